package random

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// network is a fake at the interface of the HTTP client: it calls handlers, and
// loses, delays and repeats requests and answers.
type network struct {
	mu       sync.Mutex
	random   *rand.Rand
	handlers map[string]http.Handler
	cut      map[string]bool
	loss     float64
	slow     time.Duration
	faults   int
}

var errNet = errors.New("network: nothing came back")

func newNetwork(random *rand.Rand) *network {
	return &network{random: random, handlers: map[string]http.Handler{}, cut: map[string]bool{}}
}

func (n *network) listen(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *network) close(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// setCut cuts the way from one process to another, in that direction.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[from+">"+to] = cut
}

// fate is what happens to one request.
type fate struct {
	handler    http.Handler
	out, back  bool // the way there and the way back are open
	twice      bool
	delay, lag time.Duration
}

func (n *network) fate(from, to string) fate {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := fate{handler: n.handlers[to], out: !n.cut[from+">"+to], back: !n.cut[to+">"+from]}
	if n.random.Float64() < n.loss {
		n.faults++
		f.out = false
	}
	if n.random.Float64() < n.loss {
		n.faults++
		f.back = false
	}
	f.twice = n.random.Float64() < n.loss
	f.delay = time.Duration(n.random.Int64N(int64(time.Millisecond + n.slow)))
	f.lag = time.Duration(n.random.Int64N(int64(time.Millisecond + n.slow)))
	return f
}

// client returns the HTTP client of a process.
func (n *network) client(from string) *http.Client {
	return &http.Client{Transport: way{net: n, from: from}}
}

type way struct {
	net  *network
	from string
}

// RoundTrip delivers a request, also after its sender has given up.
func (w way) RoundTrip(q *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	f := w.net.fate(w.from, q.URL.Host)
	if f.handler == nil {
		return nil, errNet
	}
	answers := make(chan *http.Response, 2)
	if f.out {
		copies := 1
		if f.twice {
			copies = 2
		}
		for i := range copies {
			go func() {
				time.Sleep(f.delay * time.Duration(1+9*i))
				answers <- serve(f.handler, q, body) //nolint:bodyclose // the HTTP client that asked closes it
			}()
		}
	}
	if !f.out || !f.back {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	select {
	case r := <-answers:
		if err := wait(q.Context(), f.lag); err != nil {
			return nil, err
		}
		return r, nil
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
}

func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func serve(h http.Handler, q *http.Request, body []byte) *http.Response {
	in := httptest.NewRequestWithContext(context.WithoutCancel(q.Context()), q.Method, q.URL.String(), bytes.NewReader(body))
	in.Header = q.Header.Clone()
	w := httptest.NewRecorder()
	h.ServeHTTP(w, in)
	return w.Result()
}
