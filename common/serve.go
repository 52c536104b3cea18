package common

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fasthttp/router"
	"github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// Limits of the HTTP servers.
const (
	maxHeaderBytes  = 16 << 10
	readTimeout     = 10 * time.Second
	idleTimeout     = 60 * time.Second
	shutdownTimeout = 10 * time.Second
)

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

// ServeFastHTTP serves a fasthttp handler on a listener until the context ends,
// and then finishes the requests in progress. maxBody bounds the body of a request
// in bytes.
func ServeFastHTTP(ctx context.Context, l net.Listener, handler fasthttp.RequestHandler, maxBody int) <-chan error {
	s := &fasthttp.Server{
		Handler: handler, ReadBufferSize: maxHeaderBytes, MaxRequestBodySize: maxBody,
		ReadTimeout: readTimeout, IdleTimeout: idleTimeout, NoDefaultServerHeader: true,
		CloseOnShutdown: true, Logger: discardLogger{},
	}
	return serveUntil(ctx, l, s.Serve, s.ShutdownWithContext)
}

// ServeRPC serves Connect handlers on a listener, over HTTP/1 and cleartext
// HTTP/2, until the context ends.
func ServeRPC(ctx context.Context, l net.Listener, handler http.Handler) <-chan error {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: handler, Protocols: protocols, ReadHeaderTimeout: readTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return serveUntil(ctx, l, s.Serve, s.Shutdown)
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

// discardLogger drops the HTTP server's log lines about clients that disconnected.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
