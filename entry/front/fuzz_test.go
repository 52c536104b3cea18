package front

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

func FuzzParseParams(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nBeryl-Service: s\r\nBeryl-Deadline-Ms: 500\r\nBeryl-Repeatable: yes\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: h\r\nBeryl-Service: s\r\nBeryl-Deadline-Ms: 99999999999999999999\r\nBeryl-Key: k\r\n\r\n")
	f.Fuzz(func(t *testing.T, head string) {
		var c fasthttp.RequestCtx
		if err := c.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader([]byte(head))), 1<<10); err != nil {
			return
		}
		now := time.Unix(5, 0)
		p, err := parseParams(&c, time.Second, now)
		if err != nil {
			return
		}
		left := p.deadline.Sub(now)
		if left <= 0 || left > maxDeadline || p.service == "" || len(p.key) > maxKeyBytes || p.repeatable && p.key != "" {
			t.Errorf("%q accepted as %+v", head, p)
		}
	})
}
