package jobapi

import (
	"bufio"
	"bytes"
	"strings"
	"testing"

	"github.com/berylspar/spar"
	"github.com/valyala/fasthttp"
)

// What callers send in the head of a request selects a queue, an ID and a time to wait.
func FuzzRequestHead(f *testing.F) {
	f.Add("GET /jobs/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: h\r\nTime-Remaining: 1500\r\n\r\n")
	f.Add("POST /jobs/../x%00 HTTP/1.1\r\nHost: h\r\nTime-Remaining: 99999999999999999999\r\n\r\n")
	f.Add("GET * HTTP/1.0\r\nTime-Remaining: -1\r\n\r\n")
	rules := &spar.Rules{Queues: []spar.Queue{{Name: "a", Host: "h", Prefix: "/jobs/"}, {Name: "b", Host: "h", Prefix: "/jobs/5"}, {Name: "c", Host: "h"}}}
	f.Fuzz(func(t *testing.T, head string) {
		var c fasthttp.RequestCtx
		if err := c.Request.ReadLimitBody(bufio.NewReader(bytes.NewReader([]byte(head))), 1<<10); err != nil {
			return
		}
		s := Server{format: Format{TimeoutHeader: "Time-Remaining"}}
		if wait := s.callerTimeout(&c); wait < replyReserve {
			t.Errorf("caller waits %s", wait)
		}
		q, id := matchQueue(rules, string(c.Host()), string(c.Path()))
		if q != nil && !strings.HasSuffix(string(c.Path()), id) {
			t.Errorf("id %q of path %q", id, c.Path())
		}
		if isID(id) && len(id) != idDigits {
			t.Errorf("id %q", id)
		}
	})
}
