package guard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar/guard"
	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"
)

// serve serves a handler that echoes the length of the body, and returns its address.
func serve(t *testing.T, l guard.Limits, k guard.Kind, maxBody int) (*guard.Guard, string) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g := guard.NewGuard(l, tally.NoopScope, func(string, ...any) {})
	s := g.Server(func(c *fasthttp.RequestCtx) { fmt.Fprint(c, len(c.PostBody())) }, maxBody)
	done := make(chan error, 1)
	go func() { done <- s.Serve(g.Listen(listener, k)) }()
	t.Cleanup(func() {
		if err := s.ShutdownWithContext(context.Background()); err != nil {
			t.Error(err)
		}
		<-done
	})
	return g, listener.Addr().String()
}

// dial connects and sends text.
func dial(t *testing.T, address, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	// The server may have closed the connection.
	_, _ = io.WriteString(c, text)
	return c
}

// answer reads the status, the Retry-After header and the body of an answer.
func answer(t *testing.T, c net.Conn) (status int, retryAfter, body string) {
	t.Helper()
	if err := c.SetReadDeadline(time.Now().Add(5 * time.Second)); err != nil {
		t.Fatal(err)
	}
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", err.Error()
	}
	defer r.Body.Close()
	data, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r.StatusCode, r.Header.Get("Retry-After"), string(data)
}

func announce(n int) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", n)
}

func chunk(n int) string { return fmt.Sprintf("%x\r\n%s\r\n", n, strings.Repeat("x", n)) }

const chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

// Answers the crowd whose single requests are beyond a limit or malformed, and requests
// within the limits.
func TestSingleRequests(t *testing.T) {
	const most = 100_000
	_, address := serve(t, guard.Limits{BodyMS: 3000, HeaderMS: 3000}, guard.Callers, most)
	for name, tt := range map[string]struct {
		sent   string
		status int
		body   string
	}{
		"no body":             {"GET / HTTP/1.1\r\nHost: h\r\n\r\n", 200, "0"},
		"empty body":          {announce(0), 200, "0"},
		"body":                {announce(5000) + strings.Repeat("x", 5000), 200, "5000"},
		"body at the limit":   {announce(most) + strings.Repeat("x", most), 200, "100000"},
		"announced over it":   {announce(most + 1), 413, ""},
		"far over it":         {announce(1 << 40), 413, ""},
		"sent over it":        {announce(4*most) + strings.Repeat("x", 4*most), 413, ""},
		"forged mark":         {"GET / HTTP/1.1\r\nHost: h\r\nGuard-Body-Too-Large: 1\r\n\r\n", 200, "0"},
		"expected":            {"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 100001\r\n\r\n", 413, ""},
		"chunked":             {chunked + chunk(70_000) + chunk(20) + "0\r\n\r\n", 200, "70020"},
		"chunked at limit":    {chunked + chunk(most) + "0\r\n\r\n", 200, "100000"},
		"chunked over it":     {chunked + chunk(most) + chunk(1), 413, ""},
		"huge chunk":          {chunked + "7fffffff\r\n" + strings.Repeat("x", 2*most), 413, ""},
		"body that stops":     {announce(5000) + "x", 408, ""},
		"body without a byte": {announce(5000), 408, "Request timeout"},
		"endless header":      {"GET / HTTP/1.1\r\nHost: h\r\nA: " + strings.Repeat("x", 20<<10), 431, "Too big request header"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			status, _, body := answer(t, dial(t, address, tt.sent))
			if status != tt.status || body != tt.body {
				t.Errorf("%d %q, want %d %q", status, body, tt.status, tt.body)
			}
		})
	}
}

// Answers a crowd of bodies that stop shortly before their end: an ordinary request
// finds room.
func TestStalledBodiesMakeRoom(t *testing.T) {
	g, address := serve(t, guard.Limits{FlightMB: 8}, guard.Callers, 1<<20)
	for range 40 {
		dial(t, address, announce(1<<20)+strings.Repeat("x", 1_000_000))
	}
	for range 3 {
		status, _, body := answer(t, dial(t, address, announce(4000)+strings.Repeat("x", 4000)))
		if status != 200 || body != "4000" {
			t.Errorf("%d %q", status, body)
		}
	}
	if bytes, _ := g.Usage(); bytes > 8<<20 {
		t.Errorf("%d bytes held", bytes)
	}
}

// Answers a crowd of connections that say nothing, or never end a header.
func TestSilentConnectionsMakeRoom(t *testing.T) {
	g, address := serve(t, guard.Limits{Connections: 20}, guard.Callers, 1<<20)
	for i := range 200 {
		dial(t, address, []string{"", "POST / HTTP/1.1\r\nHost: "}[i%2])
	}
	if status, _, _ := answer(t, dial(t, address, announce(1)+"x")); status != 200 {
		t.Errorf("status %d", status)
	}
	if _, open := g.Usage(); open > 20 {
		t.Errorf("%d connections", open)
	}
}

// Answers callers that keep their connections: each request after the first is served.
func TestKeptConnectionIsServedAgain(t *testing.T) {
	g, address := serve(t, guard.Limits{}, guard.Callers, 1<<20)
	c := dial(t, address, "")
	var before int
	for i := range 5 {
		fmt.Fprint(c, announce(9000)+strings.Repeat("x", 9000))
		if status, _, body := answer(t, c); status != 200 || body != "9000" {
			t.Fatalf("request %d: %d %q", i, status, body)
		}
		time.Sleep(20 * time.Millisecond)
		bytes, _ := g.Usage()
		if i > 0 && bytes != before {
			t.Errorf("%d bytes held after request %d, %d before", bytes, i, before)
		}
		before = bytes
	}
}

// Answers a caller whose kept connection was idle for longer than an answer may take: it
// is still told to send its body.
func TestKeptConnectionIsToldToContinue(t *testing.T) {
	_, address := serve(t, guard.Limits{AnswerMS: 100}, guard.Callers, 1<<20)
	c := dial(t, address, announce(1)+"x")
	if status, _, _ := answer(t, c); status != 200 {
		t.Fatalf("status %d", status)
	}
	time.Sleep(200 * time.Millisecond)
	fmt.Fprint(c, "POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\n")
	if status, _, body := answer(t, c); status != 100 {
		t.Errorf("%d %q", status, body)
	}
}
