package common

import (
	"runtime/debug"

	"github.com/valyala/fasthttp"
)

// Recovering returns a handler that answers status 500 where another one panics, so
// that a single request cannot end the process, and then the next one that it is
// sent to.
func (c Common) Recovering(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(rc *fasthttp.RequestCtx) {
		defer func() {
			if p := recover(); p != nil {
				c.Warn("request handler panicked", "method", string(rc.Method()), "path", string(rc.Path()), "panic", p, "stack", string(debug.Stack()))
				c.Counter("handler_panics").Inc(1)
				rc.Response.Reset()
				rc.SetStatusCode(fasthttp.StatusInternalServerError)
			}
		}()
		handler(rc)
	}
}
