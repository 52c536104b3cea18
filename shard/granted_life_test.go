package shard_test

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// takeoverWait is how long a new owner waits for a silent worker, and grantedWait
	// the time until the leases of earlier owners have expired, if that is known.
	takeoverWait = 12 * time.Second
	grantedWait  = 4 * time.Second
	// strayWait is how long after its listing a worker may hold a lease that an order to
	// its earlier life gave, by clocks that differ by 5 s.
	strayWait = 6*time.Second + 6*time.Second/50 + 50*time.Millisecond + 5*time.Second
)

// A new owner reaches neither a worker that has just started nor anyone who knows of its
// end. It must not wait for orders to an earlier life of the same name if there can be
// none, and must wait for them if there may be some: a run under such a lease would meet
// the next one of its task.
func TestNewOwnerWaitsForYoungWorkerOnlyIfOrdersToAnEarlierLifeMayArrive(t *testing.T) {
	life, earlier := spar.Life{ID: "i-n1", Born: time.Unix(999, 0).UnixMilli()}, spar.Life{ID: "i-n1", Born: 1}
	nothing := func(*harness) {}
	for _, tt := range []struct {
		name    string
		isFirst bool
		// before is done before the life begins, and after once the task runs.
		before, after func(*harness)
		want          time.Duration
	}{
		{"no earlier owner", true, nothing, nothing, grantedWait},
		{"unknown earlier owners", false, nothing, nothing, strayWait},
		{"unknown earlier owners, listed 3 s ago", false, nothing, func(h *harness) { h.keepLease("n1", 3*time.Second) }, strayWait - 3*time.Second},
		{"unknown earlier owners, listed 9 s ago", false, nothing, func(h *harness) { h.keepLease("n1", 9*time.Second) }, grantedWait},
		{"an earlier life", true, func(h *harness) { h.connectLife("n1", earlier) }, nothing, strayWait},
		{"an earlier life on another node", true, func(h *harness) { h.connectLife("n3", earlier) }, nothing, strayWait},
		{"an earlier life of another name", true, func(h *harness) { h.connectLife("n1", spar.Life{ID: "i-old", Born: 1}) }, nothing, grantedWait},
		{"two changes of the owner", true, nothing, func(h *harness) { h.replaceOwner(takeoverWait) }, grantedWait},
		{"another session, listed 3 s ago", false, nothing, func(h *harness) {
			h.keepLease("n1", 3*time.Second)
			h.connectLife("n1", life)
			h.submit("j2", "checks", shortStep(1))
			h.runCycle()
		}, strayWait - 3*time.Second},
		{"no record", true, nothing, func(h *harness) { delete(h.state, "#granted/n1") }, takeoverWait},
		{"record of the life before", true, nothing, func(h *harness) {
			value, err := msgpack.Marshal(spar.Life{ID: life.ID, Born: life.Born - 1})
			if err != nil {
				h.Fatal(err)
			}
			h.state["#granted/n1"] = value
		}, takeoverWait},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t)
			if tt.isFirst {
				h.scheduler.BeginFirstTerm()
			}
			tt.before(h)
			for node, token := range h.tokens {
				h.scheduler.Disconnect(node, token)
			}
			h.connectLife("n1", life)
			h.submitAndStart("j1", "checks", shortStep(1))
			tt.after(h)
			h.replaceOwner(takeoverWait)
			h.scheduler.ShortenRestoredLeases(h.now.Add(grantedWait), h.now, h.now)
			h.advance(tt.want)
			h.connect("n2")
			h.expectStarts(h.runCycle(), 0)
			h.advance(10 * time.Millisecond)
			if n := len(starts(h.runCycle())); n == 0 {
				t.Fatal("nothing starts when the leases have expired")
			}
		})
	}
}

// keepLease lets time pass and grants a lease to a node.
func (h *harness) keepLease(node string, d time.Duration) {
	h.advance(d)
	h.scheduler.GrantLease(node, h.tokens[node], h.now)
}

// The record of a life is taken along by commits, and has no use once the life is old: it
// must not be left behind for each node that ever was, nor cause a write of its own.
func TestRecordOfGrantedLifeIsDroppedWithAnotherCommit(t *testing.T) {
	h := newHarness(t)
	h.scheduler.BeginFirstTerm()
	life := spar.Life{ID: "i-n1", Born: h.now.UnixMilli()}
	h.connectLife("n1", life)
	h.runCycle()
	if len(h.state) != 0 {
		t.Fatalf("stored for a worker without runs: %v", h.state)
	}
	h.submitAndStart("j1", "checks", shortStep(1))
	var stored spar.Life
	if err := msgpack.Unmarshal(h.state["#granted/n1"], &stored); err != nil || stored != life {
		t.Fatalf("stored life %v, error %v, want %v", stored, err, life)
	}
	h.keepLease("n1", time.Minute)
	h.scheduler.Tick(h.now, h.now)
	if c := h.scheduler.PrepareCommit(); !c.Empty() {
		t.Fatalf("a commit of its own: %v", c.Records)
	}
	h.submit("j2", "checks", shortStep(1))
	h.runCycle()
	if _, ok := h.state["#granted/n1"]; ok {
		t.Fatal("the record of a life that is no longer young is left")
	}
}
