package common

import (
	"context"
	"net"

	"github.com/berylspar/spar/guard"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
)

// ServeAdmin serves /metrics, /healthz, /readyz and the routes that add registers
// at an address until the context ends. add may be nil. maxBody bounds the body of a
// request in bytes.
func ServeAdmin(ctx context.Context, address string, b *Base, add func(*router.Router), maxBody int) (<-chan error, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, errors.Wrapf(err, "admin: listen on %q", address)
	}
	r := router.New()
	AddAdminRoutes(r, b.Common.Health, b.Reporter)
	if add != nil {
		add(r)
	}
	return b.Common.ServeFastHTTP(ctx, l, guard.Operators, b.Common.Recovering(r.Handler), maxBody), nil
}
