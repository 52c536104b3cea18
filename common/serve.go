package common

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/berylspar/spar/guard"
	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const shutdownTimeout = 10 * time.Second

// AddAdminRoutes adds /metrics, /healthz and /readyz to a router.
func AddAdminRoutes(r *router.Router, h *Health, p prometheus.Reporter) {
	r.GET("/metrics", fasthttpadaptor.NewFastHTTPHandler(p.HTTPHandler()))
	r.GET("/healthz", func(c *fasthttp.RequestCtx) { c.SetBodyString("alive\n") })
	r.GET("/readyz", func(c *fasthttp.RequestCtx) {
		if !h.IsReady() {
			c.Error("not ready\n", fasthttp.StatusServiceUnavailable)
			return
		}
		c.SetBodyString("ready\n")
	})
}

// ServeFastHTTP serves a handler as Common.ServeFastHTTP does for callers, with the
// default limits.
func ServeFastHTTP(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler, maxBody int) <-chan error {
	return Common{}.ServeFastHTTP(ctx, l, guard.Callers, handler, maxBody)
}

// ServeFastHTTP serves a fasthttp handler on a listener for clients of a kind until the
// context ends, and then finishes the requests in progress. maxBody bounds the body of
// a request in bytes.
func (c Common) ServeFastHTTP(ctx context.Context, l net.Listener, k guard.Kind, handler fasthttp.RequestHandler, maxBody int) <-chan error {
	g := c.guard()
	s := g.Server(handler, maxBody)
	return serveUntil(ctx, g.Listen(l, k), s.Serve, s.ShutdownWithContext)
}

// ServeRPC serves Connect handlers on a listener, over HTTP/1, until the context ends.
// maxBody bounds the body of a request in bytes.
func (c Common) ServeRPC(ctx context.Context, l net.Listener, handler http.Handler, maxBody int) <-chan error {
	g := c.guard()
	s := g.RPCServer(handler, maxBody)
	return serveUntil(ctx, g.Listen(l, guard.Operators), s.Serve, s.Shutdown)
}

func (c Common) guard() *guard.Guard {
	if c.Guard != nil {
		return c.Guard
	}
	return guard.NewGuard(guard.Limits{}, tally.NoopScope, func(string, ...any) {})
}

// serveUntil serves until the context ends, and then shuts down within
// shutdownTimeout. The channel reports the error of either.
func serveUntil(ctx context.Context, l net.Listener, serve func(net.Listener) error, shutdown func(context.Context) error) <-chan error {
	done := make(chan error, 1)
	served := make(chan error, 1)
	go func() { served <- serve(l) }()
	go func() {
		select {
		case err := <-served:
			done <- errors.Wrapf(err, "serve %s", l.Addr())
			return
		case <-ctx.Done():
		}
		drain, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		done <- shutdown(drain)
	}()
	return done
}

// MaxAdminBodyBytes bounds the body of an operator's request.
const MaxAdminBodyBytes = 1 << 20
