package hops

import (
	"strconv"

	"github.com/berylspar/spar"
	"github.com/valyala/fasthttp"
)

// CheckAnswer returns why an answer to a request is not valid, or
// spar.ReasonNone: its idHeader must repeat the request ID, and its body must be
// as long as its length header says.
func CheckAnswer(r *fasthttp.Response, idHeader, requestID string) spar.Reason {
	if string(r.Header.Peek(idHeader)) != requestID {
		return spar.ReasonBadAnswer
	}
	if n := r.Header.Peek(Length); len(n) > 0 && string(n) != strconv.Itoa(len(r.Body())) {
		return spar.ReasonBadAnswer
	}
	return spar.ReasonNone
}
