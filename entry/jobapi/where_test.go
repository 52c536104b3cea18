package jobapi

import (
	"context"
	"strings"
	"testing"

	"github.com/fasthttp/router"
	"github.com/valyala/fasthttp"
)

// Each question that cannot be answered names what is wrong with it.
func TestWhereNamesWhatIsWrong(t *testing.T) {
	s, _ := newTestServer(t)
	r := router.New()
	s.AddRoutes(context.Background(), r)
	job := `{"steps":[{"count":1}]}`
	for _, tt := range []struct {
		target, body string
		code         int
		want         string
	}{
		{"/where?queue=none", job, fasthttp.StatusNotFound, `"field":"queue"`},
		{"/where?host=desk.example&path=/none/", job, fasthttp.StatusNotFound, `"field":"path"`},
		{"/where?queue=q&size=2000000", "", fasthttp.StatusRequestEntityTooLarge, "at most 1048576"},
		{"/where?host=desk.example&path=/q/&method=GET", "", fasthttp.StatusOK, "length of the queue"},
		{"/where?host=desk.example&path=/q/5c0e7a21d94b36f8&method=DELETE", "", fasthttp.StatusOK, "cancels job 5c0e7a21d94b36f8"},
		{"/where?host=desk.example&path=/q/5c0e7a21d94b36f8&method=PUT", "", fasthttp.StatusOK, "answered 405"},
		{"/where?host=desk.example&path=/q/x&method=POST", "", fasthttp.StatusOK, "answered 400"},
		{"/where?queue=q", `{"steps":[{"count":-1}]}`, fasthttp.StatusBadRequest, "steps[0].count"},
		{"/where?queue=q", job, fasthttp.StatusServiceUnavailable, "no owner of the shard"},
		{"/where?host=desk.example&path=/q/5c0e7a21d94b36f8", job, fasthttp.StatusServiceUnavailable, "no owner of the shard"},
	} {
		var c fasthttp.RequestCtx
		c.Request.Header.SetMethod(fasthttp.MethodPost)
		c.Request.SetRequestURI(tt.target)
		c.Request.SetBodyString(tt.body)
		r.Handler(&c)
		if body := string(c.Response.Body()); c.Response.StatusCode() != tt.code || !strings.Contains(body, tt.want) {
			t.Errorf("%s: status %d, %s; want %d with %s", tt.target, c.Response.StatusCode(), body, tt.code, tt.want)
		}
	}
}
