package guard

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

const (
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// firstBodyBytes is the first buffer of a body, which grows as the body arrives.
	firstBodyBytes = 16 << 10
	// tooLargeHeader marks a request whose announced body is over the limit. Clients
	// cannot set it.
	tooLargeHeader = "Guard-Body-Too-Large"
	// retryAfterSeconds is the Retry-After header of a refusal for want of memory.
	retryAfterSeconds = "1"
)

// Server returns a server for connections of the guard's listeners. A request is
// handled once its body, of at most maxBody bytes, has been read. One that is refused
// has not been handled.
func (g *Guard) Server(h fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	maxBody = g.limits.MaxBody(maxBody)
	return &fasthttp.Server{
		Handler:            g.handler(h, maxBody),
		HeaderReceived:     func(h *fasthttp.RequestHeader) fasthttp.RequestConfig { return checkAnnounced(h, maxBody) },
		ExpectHandler:      answerExpectation,
		ConnState:          noteState,
		ReadBufferSize:     maxHeaderBytes,
		ReadTimeout:        g.limits.header(),
		WriteTimeout:       g.limits.answer(),
		IdleTimeout:        g.limits.idle(),
		StreamRequestBody:  true,
		ReduceMemoryUsage:  true,
		CloseOnShutdown:    true,
		MaxRequestBodySize: 1, // The handler reads and limits bodies; the server reads 1 byte ahead.

		DisablePreParseMultipartForm: true,
		NoDefaultServerHeader:        true,
		Logger:                       discardLogger{},
	}
}

// discardLogger drops the server's log lines about clients that disconnected.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// checkAnnounced marks a request that announces a body of more than maxBody bytes, so
// that it is refused before any of it is read.
func checkAnnounced(h *fasthttp.RequestHeader, maxBody int) fasthttp.RequestConfig {
	h.Del(tooLargeHeader)
	if h.ContentLength() > maxBody {
		h.SetContentLength(0)
		h.SetConnectionClose()
		h.Set(tooLargeHeader, "1")
	}
	return fasthttp.RequestConfig{}
}

// answerExpectation refuses an announced body over the limit before it is sent.
func answerExpectation(c *fasthttp.RequestCtx) int {
	if isTooLarge(c) {
		return fasthttp.StatusRequestEntityTooLarge
	}
	return fasthttp.StatusContinue
}

func isTooLarge(c *fasthttp.RequestCtx) bool { return len(c.Request.Header.Peek(tooLargeHeader)) > 0 }

func noteState(nc net.Conn, s fasthttp.ConnState) {
	c, ok := nc.(*Conn)
	switch {
	case !ok:
	case s == fasthttp.StateActive:
		c.begin()
	case s == fasthttp.StateIdle:
		c.end()
	}
}

// handler returns a handler that reads the body and handles the request if there is
// memory for it.
func (g *Guard) handler(h fasthttp.RequestHandler, maxBody int) fasthttp.RequestHandler {
	return func(r *fasthttp.RequestCtx) {
		c, ok := r.Conn().(*Conn)
		if !ok {
			panic(errors.AssertionFailedf("connection %T is not of the guard", r.Conn()))
		}
		if isTooLarge(r) {
			c.refuseRequest(r, errTooLarge)
			return
		}
		answer := c.entry.kind.answerReserve(r.Path())
		err := c.readBody(r, maxBody, answer)
		if err == nil && !g.move(c.entry, Handled) {
			err = net.ErrClosed
		}
		if err != nil {
			c.refuseRequest(r, err)
			return
		}
		h(r)
		c.answer(len(r.Response.Body()) * answerCost)
	}
}

// readBody reads the body into a buffer that grows as it arrives. It reserves extra
// bytes beside.
func (c *Conn) readBody(r *fasthttp.RequestCtx, maxBody, extra int) error {
	size := r.Request.Header.ContentLength()
	if !r.Request.IsBodyStream() || size == 0 {
		c.guard.move(c.entry, Waiting)
		return c.grow(extra)
	}
	if size < 0 {
		size = maxBody
	}
	stream := r.RequestBodyStream()
	var buffer []byte
	for reads := 0; ; reads++ {
		// The first two reads return what came with the header.
		if reads == 2 {
			if err := c.SetReadDeadline(time.Now().Add(c.guard.limits.body())); err != nil {
				return err
			}
		}
		if len(buffer) == cap(buffer) {
			n := min(max(2*cap(buffer), firstBodyBytes), size)
			if n == len(buffer) {
				break
			}
			if err := c.grow(extra + n*bodyCost); err != nil {
				return err
			}
			buffer = append(make([]byte, 0, n), buffer...)
		}
		n, err := stream.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if errors.Is(err, io.EOF) {
			return c.setBody(r, buffer, extra)
		}
		if err != nil {
			return err
		}
	}
	// A chunked body is at the limit, and may have ended there.
	if n, err := stream.Read(make([]byte, 1)); n > 0 || !errors.Is(err, io.EOF) {
		return errors.CombineErrors(errTooLarge, err)
	}
	return c.setBody(r, buffer, extra)
}

// setBody sets the body that has been read, and reserves what it may decode to.
func (c *Conn) setBody(r *fasthttp.RequestCtx, body []byte, extra int) error {
	r.Request.SetBodyRaw(body)
	c.guard.move(c.entry, Waiting)
	return c.grow(max(c.body, extra+len(body)*bodyCost+decodedBytes(body)))
}

// decodedBytes bounds the memory that the values of a JSON text take, beside its texts.
func decodedBytes(text []byte) int {
	objects := bytes.Count(text, []byte("{")) + bytes.Count(text, []byte("["))
	return objects*objectBytes + bytes.Count(text, []byte(","))*elementBytes
}

// refuseRequest answers a request that has not been handled, and closes the connection.
func (c *Conn) refuseRequest(r *fasthttp.RequestCtx, err error) {
	var timeout net.Error
	c.refused = true
	r.SetConnectionClose()
	switch {
	case errors.Is(err, errTooLarge):
		c.guard.refuse(BodyTooLarge, c.RemoteAddr())
		r.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrNoRoom):
		r.Response.Header.Set(fasthttp.HeaderRetryAfter, retryAfterSeconds)
		r.SetStatusCode(fasthttp.StatusServiceUnavailable)
	case errors.As(err, &timeout) && timeout.Timeout():
		c.guard.refuse(TooSlow, c.RemoteAddr())
		r.SetStatusCode(fasthttp.StatusRequestTimeout)
	default:
		c.refused = false
		r.SetStatusCode(fasthttp.StatusBadRequest)
	}
}
