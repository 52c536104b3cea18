// Package drive sends requests at a fixed rate. A request that waits to be sent
// counts from the moment it was due: otherwise a slow system would slow down the
// generator, and the latency that callers see would be under-reported.
package drive

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"sync"
	"time"

	"github.com/berylspar/spar/hops"
	"github.com/valyala/fasthttp"
)

// outcomeKind is how a request ended.
type outcomeKind int

const (
	noResponse outcomeKind = iota
	done
	notRun
	unknown
	failed
	wrongBody
)

type outcome struct {
	kind   outcomeKind
	reason string
}

const (
	// responseGrace is the time beyond the deadline of a request for which its
	// response is awaited.
	responseGrace = 500 * time.Millisecond
	// maxConnsPerTarget bounds the connections to a target. A request beyond it
	// fails at once and counts as broken, so that a target that hangs can't use up
	// the memory and sockets of the generator.
	maxConnsPerTarget = 20_000
)

// Driver sends the requests of a run.
type Driver struct {
	settings Settings
	clients  []*fasthttp.HostClient
	runID    string
}

// NewDriver returns a driver with a run ID of its own, so that keys of different
// runs don't collide.
func NewDriver(s Settings) *Driver {
	d := &Driver{settings: s, runID: newRunID()}
	for _, t := range s.Targets {
		d.clients = append(d.clients, &fasthttp.HostClient{
			Addr: t, MaxConns: maxConnsPerTarget, MaxIdemponentCallAttempts: 1, NoDefaultUserAgentHeader: true,
			RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		})
	}
	return d
}

func newRunID() string {
	var b [6]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return hex.EncodeToString(b[:])
}

// Run sends requests until the duration of the run has passed or the context ends,
// and returns the report once all requests have ended.
func (d *Driver) Run(ctx context.Context) Report {
	t := newTally()
	var requests sync.WaitGroup
	began := time.Now()
	end := began.Add(time.Duration(d.settings.DurationMS) * time.Millisecond)
	interval := time.Second / time.Duration(d.settings.PerSecond)
	for n := 0; ctx.Err() == nil; n++ {
		due := began.Add(time.Duration(n) * interval)
		if due.After(end) {
			break
		}
		time.Sleep(time.Until(due))
		requests.Go(func() {
			o := d.Send(n)
			t.add(o, time.Since(due))
		})
	}
	requests.Wait()
	return t.finalReport()
}

// Send sends request number n and checks that the response echoes its body.
func (d *Driver) Send(n int) outcome {
	key := d.runID + "-" + strconv.Itoa(n)
	body := make([]byte, 0, d.settings.BodyBytes+len(key))
	body = append(body, key...)
	for len(body) < d.settings.BodyBytes {
		body = append(body, byte('a'+n%26))
	}
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	c := d.clients[n%len(d.clients)]
	req.SetRequestURI("http://" + c.Addr + "/work")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyRaw(body)
	d.setHeaders(req, key)
	err := c.DoTimeout(req, res, time.Duration(d.settings.DeadlineMS)*time.Millisecond+responseGrace)
	return d.classify(res, err, body)
}

func (d *Driver) setHeaders(req *fasthttp.Request, key string) {
	if d.settings.Direct {
		req.Header.Set(hops.BackendRequest, key)
		return
	}
	req.Header.Set(hops.Service, d.settings.Service)
	req.Header.Set(hops.Deadline, strconv.FormatInt(d.settings.DeadlineMS, 10))
	if d.settings.Keyed {
		req.Header.Set(hops.Key, key)
		return
	}
	if d.settings.Repeatable {
		req.Header.Set(hops.Repeatable, "yes")
	}
}

func (d *Driver) classify(res *fasthttp.Response, err error, body []byte) outcome {
	if err != nil {
		return outcome{kind: noResponse, reason: err.Error()}
	}
	reason := string(res.Header.Peek(hops.Reason))
	switch string(res.Header.Peek(hops.Outcome)) {
	case hops.NotRun:
		return outcome{kind: notRun, reason: reason}
	case hops.Unknown:
		return outcome{kind: unknown, reason: reason}
	}
	if res.StatusCode() >= fasthttp.StatusInternalServerError {
		return outcome{kind: failed}
	}
	if !bytes.Equal(res.Body(), body) {
		return outcome{kind: wrongBody}
	}
	return outcome{kind: done}
}
