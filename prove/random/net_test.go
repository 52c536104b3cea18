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

// network is a fake HTTP transport: it calls handlers directly, and loses, delays
// and duplicates requests and responses.
type network struct {
	mu         sync.Mutex
	random     *rand.Rand
	handlers   map[string]http.Handler
	cutLinks   map[string]bool
	lossShare  float64
	extraDelay time.Duration
	faults     int
}

var errNoResponse = errors.New("network: no response")

func newNetwork(random *rand.Rand) *network {
	return &network{random: random, handlers: map[string]http.Handler{}, cutLinks: map[string]bool{}}
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

// setCut cuts or restores the link from one process to another, in that direction
// only.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[from+">"+to] = cut
}

// delivery is how one request and its response are delivered.
type delivery struct {
	handler                     http.Handler
	requestOpen, responseOpen   bool // neither lost nor cut in the direction of the request or response
	duplicate                   bool
	requestDelay, responseDelay time.Duration
}

func (n *network) drawDelivery(from, to string) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	f := delivery{handler: n.handlers[to], requestOpen: !n.cutLinks[from+">"+to], responseOpen: !n.cutLinks[to+">"+from]}
	if n.random.Float64() < n.lossShare {
		n.faults++
		f.requestOpen = false
	}
	if n.random.Float64() < n.lossShare {
		n.faults++
		f.responseOpen = false
	}
	f.duplicate = n.random.Float64() < n.lossShare
	f.requestDelay = time.Duration(n.random.Int64N(int64(time.Millisecond + n.extraDelay)))
	f.responseDelay = time.Duration(n.random.Int64N(int64(time.Millisecond + n.extraDelay)))
	return f
}

// client returns an HTTP client whose requests come from the given process.
func (n *network) client(from string) *http.Client {
	return &http.Client{Transport: transport{net: n, from: from}}
}

type transport struct {
	net  *network
	from string
}

// RoundTrip delivers a request to its handler even after the sender's context has
// ended, as a network does with packets that are in transit.
func (w transport) RoundTrip(q *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	f := w.net.drawDelivery(w.from, q.URL.Host)
	if f.handler == nil {
		return nil, errNoResponse
	}
	answers := make(chan *http.Response, 2)
	if f.requestOpen {
		copies := 1
		if f.duplicate {
			copies = 2
		}
		for i := range copies {
			go func() {
				time.Sleep(f.requestDelay * time.Duration(1+9*i))
				answers <- serve(f.handler, q, body) //nolint:bodyclose // the HTTP client that asked closes it
			}()
		}
	}
	if !f.requestOpen || !f.responseOpen {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	select {
	case r := <-answers:
		if err := sleepContext(q.Context(), f.responseDelay); err != nil {
			return nil, err
		}
		return r, nil
	case <-q.Context().Done():
		return nil, q.Context().Err()
	}
}

func sleepContext(ctx context.Context, d time.Duration) error {
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
