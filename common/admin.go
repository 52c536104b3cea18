package common

import (
	"context"
	"net"

	"github.com/berylspar/spar/guard"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
)

// maxBatchAdminBytes bounds the body of a request of an operator or a peer.
const maxBatchAdminBytes = 16 << 10

// ServeAdmin serves /metrics, /healthz, /readyz and the routes that add registers
// at an address until the context ends. add may be nil.
func ServeAdmin(ctx context.Context, address string, b *Base, add func(*router.Router)) (<-chan error, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "admin: listen on %q", address)
	}
	r := router.New()
	AddAdminRoutes(r, b.Common.Health, b.Reporter)
	if add != nil {
		add(r)
	}
	return b.Common.ServeFastHTTP(ctx, l, guard.Operators, b.Common.Recovering(r.Handler), maxBatchAdminBytes), nil
}
