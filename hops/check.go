package hops

import (
	"strconv"

	"github.com/berylspar/spar"
	"github.com/valyala/fasthttp"
)

// CheckAnswer tells what is wrong with an answer to the request with an
// identity: it must repeat the identity and hold as many bytes as it says.
func CheckAnswer(r *fasthttp.Response, identityHeader, identity string) spar.Reason {
	if string(r.Header.Peek(identityHeader)) != identity {
		return spar.ReasonBadAnswer
	}
	if n := r.Header.Peek(Length); len(n) > 0 && string(n) != strconv.Itoa(len(r.Body())) {
		return spar.ReasonBadAnswer
	}
	return spar.ReasonNone
}
