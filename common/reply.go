package common

import (
	"encoding/json"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// WriteJSON answers a request with a value as JSON.
func WriteJSON(c *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode answer %T", v))
	}
	c.SetContentType("application/json")
	c.SetBody(body)
}
