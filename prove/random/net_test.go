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

// network is a fake HTTP transport: it calls handlers directly, loses and
// delays requests and responses, and duplicates requests.
type network struct {
	mu         sync.Mutex
	random     *rand.Rand
	handlers   map[string]http.Handler
	cutLinks   map[string]bool
	lossShare  float64
	extraDelay time.Duration
	faults     int
}

var errNoListener = errors.New("network: no process listens at the address")

func newNetwork(random *rand.Rand) *network {
	return &network{random: random, handlers: map[string]http.Handler{}, cutLinks: map[string]bool{}}
}

func (n *network) addHandler(address string, h http.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[address] = h
}

func (n *network) removeHandler(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.handlers, address)
}

// setCut cuts or restores the link from one process to another, in that
// direction only.
func (n *network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cutLinks[from+">"+to] = cut
}

// delivery is how one request and its response are delivered.
type delivery struct {
	handler                     http.Handler
	requestOpen, responseOpen   bool // whether the message is neither lost nor on a cut link
	duplicate                   bool
	requestDelay, responseDelay time.Duration
}

func (n *network) drawDelivery(from, to string) delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	d := delivery{handler: n.handlers[to], requestOpen: !n.cutLinks[from+">"+to], responseOpen: !n.cutLinks[to+">"+from]}
	if n.random.Float64() < n.lossShare {
		n.faults++
		d.requestOpen = false
	}
	if n.random.Float64() < n.lossShare {
		n.faults++
		d.responseOpen = false
	}
	d.duplicate = n.random.Float64() < n.lossShare
	d.requestDelay = time.Duration(n.random.Int64N(int64(time.Millisecond + n.extraDelay)))
	d.responseDelay = time.Duration(n.random.Int64N(int64(time.Millisecond + n.extraDelay)))
	return d
}

// client returns an HTTP client whose requests come from the given process.
func (n *network) client(from string) *http.Client {
	return &http.Client{Transport: transport{net: n, from: from}}
}

type transport struct {
	net  *network
	from string
}

// RoundTrip delivers a request to its handler even after the sender's context
// has ended, as a network does with packets that are in transit.
func (t transport) RoundTrip(q *http.Request) (*http.Response, error) {
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return nil, err
	}
	d := t.net.drawDelivery(t.from, q.URL.Host)
	if d.handler == nil {
		return nil, errNoListener
	}
	responses := make(chan *http.Response, 2)
	if d.requestOpen {
		copies := 1
		if d.duplicate {
			copies = 2
		}
		for i := range copies {
			go func() {
				time.Sleep(d.requestDelay * time.Duration(1+9*i))
				responses <- serve(d.handler, q, body) //nolint:bodyclose // closed by the HTTP client that sent the request
			}()
		}
	}
	if !d.requestOpen || !d.responseOpen {
		<-q.Context().Done()
		return nil, q.Context().Err()
	}
	select {
	case r := <-responses:
		if err := sleepContext(q.Context(), d.responseDelay); err != nil {
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
