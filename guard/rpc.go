package guard

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// connKey is the key of a request's *Conn in its context.
type connKey struct{}

// RPCServer returns an HTTP/1 server of net/http for connections of the guard's
// listeners. Bodies have at most maxBody bytes.
func (g *Guard) RPCServer(h http.Handler, maxBody int) *http.Server {
	return &http.Server{
		Handler:           g.rpcHandler(h, g.limits.MaxBody(maxBody)),
		ConnState:         noteRPCState,
		ConnContext:       func(ctx context.Context, nc net.Conn) context.Context { return context.WithValue(ctx, connKey{}, nc) },
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: g.limits.header(),
		WriteTimeout:      g.limits.header() + g.limits.body() + g.limits.answer(),
		IdleTimeout:       g.limits.idle(),
	}
}

func noteRPCState(nc net.Conn, s http.ConnState) {
	c, ok := nc.(*Conn)
	switch {
	case !ok:
	case s == http.StateActive:
		c.begin()
	case s == http.StateIdle:
		c.end()
	}
}

func (g *Guard) rpcHandler(h http.Handler, maxBody int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok {
			panic(errors.AssertionFailedf("request without a connection of the guard"))
		}
		if r.ContentLength > int64(maxBody) {
			g.refuse(BodyTooLarge, c.RemoteAddr())
			c.refused = true
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusRequestEntityTooLarge)
			return
		}
		if isCompressed(r.Header) {
			g.refuse(BodyTooLarge, c.RemoteAddr())
			c.refused = true
			w.Header().Set("Connection", "close")
			w.WriteHeader(http.StatusUnsupportedMediaType)
			return
		}
		if r.ContentLength == 0 {
			g.move(c.entry, Handled)
		} else if http.NewResponseController(w).SetReadDeadline(time.Now().Add(g.limits.body())) != nil {
			return
		}
		r.Body = &meteredBody{ReadCloser: http.MaxBytesReader(w, r.Body, int64(maxBody)), conn: c}
		h.ServeHTTP(w, r)
		g.move(c.entry, Answering)
	})
}

// isCompressed reports whether a body or the messages in it are compressed, so that their
// length does not bound what they take.
func isCompressed(h http.Header) bool {
	for _, name := range []string{"Content-Encoding", "Connect-Content-Encoding", "Grpc-Encoding"} {
		if v := h.Get(name); v != "" && v != "identity" {
			return true
		}
	}
	return false
}

// meteredBody reserves the memory of a body as it is read.
type meteredBody struct {
	io.ReadCloser
	conn *Conn
}

func (b *meteredBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		if e := b.conn.grow(b.conn.body + n*rpcBodyCost); e != nil {
			return 0, e
		}
	}
	if errors.Is(err, io.EOF) {
		b.conn.guard.move(b.conn.entry, Handled)
		if e := b.conn.SetReadDeadline(time.Time{}); e != nil {
			return n, e
		}
	}
	return n, err
}
