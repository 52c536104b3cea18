package soak_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/berylspar/spar"
)

// taskSize is the size of every task.
var taskSize = spar.Size{CPUMilli: 500, MemoryMB: 200}

const (
	submitInterval = 250 * time.Millisecond
	callTimeout    = 3 * time.Second
)

// callers submit jobs, cancel some of them, and record which submissions and
// cancels were accepted.
type callers struct {
	d         *deployment
	client    *http.Client
	stopping  chan struct{}
	stopped   chan struct{}
	mu        sync.Mutex
	accepted  []string
	cancelled map[string]bool
}

func (d *deployment) startCallers() *callers {
	c := &callers{d: d, client: &http.Client{Timeout: callTimeout}, stopping: make(chan struct{}), stopped: make(chan struct{}), cancelled: map[string]bool{}}
	go c.run()
	return c
}

func (c *callers) run() {
	defer close(c.stopped)
	random := rand.New(rand.NewPCG(uint64(time.Now().UnixNano()), 1))
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		select {
		case <-c.stopping:
			return
		case <-time.After(submitInterval):
		}
		id, cancelled := fmt.Sprintf("%016x", random.Uint64()), random.Float64() < 0.1
		if random.Float64() < c.d.crashingShare {
			c.d.markCrashing(id)
		}
		calls.Go(func() { c.submit(id, cancelled) })
	}
}

func (c *callers) stop() {
	close(c.stopping)
	<-c.stopped
}

// submit sends a job to one entry after another until it is accepted. It gives up
// when the first entry refuses, or after 20 tries.
func (c *callers) submit(id string, cancelled bool) {
	body, _ := json.Marshal(map[string]any{"taskSpec": "x", "steps": []any{
		map[string]any{"count": 2, "cpu": taskSize.CPUMilli, "memMb": taskSize.MemoryMB, "estDurationMs": 500},
		map[string]any{"count": 1, "cpu": taskSize.CPUMilli, "memMb": taskSize.MemoryMB, "estDurationMs": 500, "dependsOn": []int{0}},
	}})
	for try := range 20 {
		code, _ := c.call(try, http.MethodPost, id, body)
		switch {
		case code == http.StatusOK:
			c.mu.Lock()
			c.accepted = append(c.accepted, id)
			c.mu.Unlock()
			if cancelled {
				c.cancel(id)
			}
			return
		case code == http.StatusServiceUnavailable && try == 0:
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (c *callers) cancel(id string) {
	for try := range 20 {
		if code, _ := c.call(try, http.MethodDelete, id, nil); code == http.StatusOK {
			c.mu.Lock()
			c.cancelled[id] = true
			c.mu.Unlock()
			return
		}
	}
}

// call sends one request to the entry that try and id select. It returns the
// status, 0 without an answer, and the body.
func (c *callers) call(try int, method, id string, body []byte) (int, string) {
	e := c.d.entries[(try+len(id)+int(id[0]))%len(c.d.entries)]
	q, err := http.NewRequest(method, "http://"+e.listen+prefix+id, bytes.NewReader(body))
	if err != nil {
		c.d.t.Error(err)
		return 0, ""
	}
	q.Host = host
	a, err := c.client.Do(q)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, ""
	}
	return a.StatusCode, string(text)
}

// expectAllEnded waits until every accepted job is completed or, if its cancel was
// accepted, cancelled.
func (c *callers) expectAllEnded(limit time.Duration) {
	c.mu.Lock()
	unended := append([]string(nil), c.accepted...)
	c.mu.Unlock()
	c.d.log("%d jobs accepted, %d cancelled", len(unended), len(c.cancelled))
	if len(unended) == 0 {
		c.d.t.Fatal("no job was accepted")
	}
	for end := time.Now().Add(limit); len(unended) > 0; time.Sleep(200 * time.Millisecond) {
		var open []string
		for i, id := range unended {
			code, text := c.call(i, http.MethodGet, id, nil)
			switch {
			case code == http.StatusGone:
				c.d.t.Fatalf("job %s was accepted, but an entry answers that it is not known", id)
			case strings.Contains(text, "completed"):
			case strings.Contains(text, "failed") && c.d.isCrashing(id):
			case strings.Contains(text, "cancelled") && c.wasCancelled(id):
			default:
				open = append(open, fmt.Sprintf("%s (%d %s)", id, code, text))
			}
		}
		if time.Now().After(end) && len(open) > 0 {
			c.d.t.Fatalf("%d jobs not ended after %s: %v", len(open), limit, open)
		}
		for i, o := range open {
			open[i], _, _ = strings.Cut(o, " ")
		}
		unended = open
	}
}

func (c *callers) wasCancelled(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cancelled[id]
}
