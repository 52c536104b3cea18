package route

import (
	"testing"
	"time"

	"github.com/berylspar/spar/wire"
	"github.com/valyala/fasthttp"
)

func newTestRouter(n int, p Policy) *Router {
	r := NewRouter("d1", time.Millisecond, p, func(string) *fasthttp.HostClient { return nil })
	var announced []Announcement
	for i := range n {
		announced = append(announced, Announcement{Worker: string(rune('a' + i)), Domain: "d1", Service: "s", Load: &wire.Load{Slots: 8, ServiceUs: 1000}})
	}
	r.Update(announced, time.Unix(0, 0))
	return r
}

// Guards against a request failing right after a start: its first backend is
// leaving, and an empty budget does not allow a retry at another one.
func TestNewRetryBudgetAllowsRetries(t *testing.T) {
	var b RetryBudget
	if !b.TryWithdraw() {
		t.Fatal("a new budget allows no retry")
	}
	n := 1
	for b.TryWithdraw() {
		n++
	}
	if n != initialReserve/retryCost {
		t.Fatalf("a new budget allows %d retries, want %d", n, initialReserve/retryCost)
	}
	for range retryCost / depositPerRequest {
		b.Deposit()
	}
	if !b.TryWithdraw() || b.TryWithdraw() {
		t.Fatalf("%d requests must pay for exactly one retry", retryCost/depositPerRequest)
	}
}

// Guards against a service losing most of its backends when all of them fail.
func TestEjectionIsCapped(t *testing.T) {
	r := newTestRouter(6, PowerOfChoices)
	now := time.Unix(100, 0)
	for _, b := range r.table.Load().services["s"] {
		for range 2 * ejectAfterFailures {
			b.BeginRequest()
			r.RecordOutcome(b, now, false)
		}
	}
	if got := r.ejectedCount("s"); got != 6/maxEjectedDivisor {
		t.Fatalf("%d of 6 backends are ejected, want %d", got, 6/maxEjectedDivisor)
	}
}

// Guards against a backend that is picked while ejected, flooded when its ejection
// period ends, or kept out after a successful probe.
func TestEjectedBackendReturnsAfterOneProbe(t *testing.T) {
	r := newTestRouter(3, PowerOfChoices)
	now := time.Unix(100, 0)
	bad := r.table.Load().services["s"][0]
	for range ejectAfterFailures {
		bad.BeginRequest()
		r.RecordOutcome(bad, now, false)
	}
	for range 100 {
		if b, _ := r.Pick("s", nil, now); b == bad {
			t.Fatal("an ejected backend was picked")
		}
	}
	now = now.Add(minEjection + time.Millisecond)
	probes := 0
	for range 100 {
		if b, _ := r.Pick("s", nil, now); b == bad {
			probes++
		}
	}
	if probes != 1 {
		t.Fatalf("%d probes at once, want 1", probes)
	}
	bad.BeginRequest()
	r.RecordOutcome(bad, now, true)
	if bad.isEjected(now) {
		t.Fatal("the backend is still ejected after a successful probe")
	}
}

// Guards against requests that cross domains while a local backend is idle, or wait
// in a local queue for longer than a remote backend needs.
func TestLocalDomainIsPreferredUntilItsQueueIsLonger(t *testing.T) {
	r := NewRouter("d1", 2*time.Millisecond, PowerOfChoices, func(string) *fasthttp.HostClient { return nil })
	r.Update([]Announcement{
		{Worker: "near", Domain: "d1", Service: "s", Load: &wire.Load{Slots: 8, ServiceUs: 1000}},
		{Worker: "far", Domain: "d2", Service: "s", Load: &wire.Load{Slots: 8, ServiceUs: 1000}},
	}, time.Unix(0, 0))
	now := time.Unix(100, 0)
	for range 50 {
		if b, _ := r.Pick("s", nil, now); b.Worker() != "near" {
			t.Fatal("the far backend was picked though the near one is idle")
		}
	}
	r.backends["near"].UpdateLoad(&wire.Load{InFlight: 8, Queued: 24, Slots: 8, ServiceUs: 1000})
	if b, _ := r.Pick("s", nil, now); b.Worker() != "far" {
		t.Fatal("the near backend was picked though its expected wait is longer than the extra delay to the far one")
	}
}
