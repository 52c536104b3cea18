package front

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// dial connects to an agent. Its errors tell that nothing was sent.
func dial(address string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(address, dialTimeout)
	return c, errors.Mark(err, errDial)
}
