package crowd_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

const (
	callTimeout = 5 * time.Second
	// retryPause is the pause after a try without an answer.
	retryPause = 100 * time.Millisecond
)

// ask sends an ordinary request on a new connection. It reports whether the request
// was served, and else how long to wait before the next try.
type ask func(ctx context.Context) (served bool, wait time.Duration)

// askTimes asks up to a number of times, until the request is served.
func askTimes(ctx context.Context, a ask, limit int) bool {
	for range limit {
		served, wait := a(ctx)
		if served {
			return true
		}
		time.Sleep(wait)
	}
	return false
}

// askUntil asks until the request is served or askTimeout is over.
func askUntil(ctx context.Context, a ask) bool {
	for end := time.Now().Add(askTimeout); time.Now().Before(end); {
		if askTimes(ctx, a, 1) {
			return true
		}
	}
	return false
}

// askHTTP returns an ask of one HTTP request. It honours Retry-After.
func askHTTP(method, url, requestHost string, body func() string) ask {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	return func(ctx context.Context) (bool, time.Duration) {
		path, content := url, ""
		if body != nil {
			content = body()
		}
		if strings.HasSuffix(path, prefix) {
			path += newID()
		}
		q, err := http.NewRequestWithContext(ctx, method, path, strings.NewReader(content))
		if err != nil {
			return false, retryPause
		}
		q.Host = requestHost
		q.Header.Set("Content-Type", "application/json")
		a, err := client.Do(q)
		if err != nil {
			return false, retryPause
		}
		defer a.Body.Close()
		io.Copy(io.Discard, a.Body)
		if seconds, err := strconv.Atoi(a.Header.Get("Retry-After")); err == nil {
			return a.StatusCode == http.StatusOK, time.Duration(seconds) * time.Second
		}
		return a.StatusCode == http.StatusOK, retryPause
	}
}

// askLink returns an ask that opens a session as an agent does.
func askLink(address string) ask {
	return func(ctx context.Context) (bool, time.Duration) {
		d := net.Dialer{Timeout: dialTimeout}
		c, err := d.DialContext(ctx, "tcp4", address)
		if err != nil {
			return false, retryPause
		}
		conn := link.NewConn[link.OwnerMessage, link.AgentMessage](c)
		defer conn.Close()
		if err := conn.Send(hello("ordinary")); err != nil {
			return false, retryPause
		}
		m, err := conn.Receive(callTimeout)
		return err == nil && m.Welcome != nil, retryPause
	}
}

// hello returns the first message of the agent of a node.
func hello(node string) *link.AgentMessage {
	return &link.AgentMessage{Node: node, Worker: &spar.WorkerInfo{
		Life: spar.Life{ID: node, Born: 1}, Service: "desk", Domain: "d", Size: spar.Size{CPUMilli: 1000, MemoryMB: 1000},
	}}
}

var lastID atomic.Int64

// newID returns an ID that no other job of the test process has.
func newID() string { return fmt.Sprintf("%016x", lastID.Add(1)) }

// job returns the body of an ordinary job.
func job() string {
	return `{"taskSpec":"x","steps":[{"count":2,"cpu":500,"memMb":200,"estDurationMs":500}]}`
}

// heartbeat returns the body of the worker's next heartbeat.
func heartbeat() string {
	return fmt.Sprintf(`{"service":"desk","address":"127.0.0.1:1","zone":"d","state":"ready","seq":%d,"born":1,"clockMs":1,"capacity":{"cpu":1000,"memMb":1000},"labels":["a"]}`, lastID.Add(1))
}
