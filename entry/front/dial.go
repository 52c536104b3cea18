package front

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// dial connects to an agent. Its errors are marked with errDial, which means that
// nothing was sent.
func dial(address string) (net.Conn, error) {
	c, err := fasthttp.DialTimeout(address, dialTimeout)
	return c, errors.Mark(err, errDial)
}
