package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/berylspar/spar/stand/store"
	"github.com/vmihailenco/msgpack/v5"
)

// Owners before a term may have given orders to an earlier life of a name that is new to
// the term. If it took the name for unused, the next owner would not wait for the leases
// that such orders give.
func TestOnlyTheFirstTermTakesNamesWithoutSessionForUnused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, peers := &store.Store{}, &fakePeers{}
		a, b := newTestCandidate(s, "a", peers), newTestCandidate(s, "b", peers)
		defer stopTerms(a, b)
		if !begin(t.Context(), t, a, 1).recordsUnusedName(t) {
			t.Error("the first term takes a name for used")
		}
		if begin(t.Context(), t, a, 2).recordsUnusedName(t) {
			t.Error("the second term of a process takes a name for unused")
		}
		if begin(t.Context(), t, b, 3).recordsUnusedName(t) {
			t.Error("the first term of another process takes a name for unused")
		}
	})
}

// recordsUnusedName reports whether the commit with the first run on a worker says that
// there was no earlier life of its name.
func (t *term) recordsUnusedName(tt *testing.T) bool {
	tt.Helper()
	now := time.Now()
	t.stateMu.Lock()
	defer t.stateMu.Unlock()
	size := spar.Size{CPUMilli: 1000, MemoryMB: 1000}
	t.scheduler.Tick(now, now)
	t.scheduler.SetRules(&spar.Rules{Version: 1, Queues: []spar.Queue{{Name: "work", Service: "desk", MaxAttempts: 3}}})
	t.scheduler.Connect("n1", spar.WorkerInfo{Life: spar.Life{ID: "i-n1", Born: now.UnixMilli()}, Service: "desk", Size: size}, 1, nil, now)
	t.scheduler.HandleReport("n1", 1, &link.AgentMessage{Complete: true}, now)
	t.scheduler.Submit(spar.Job{ID: "j1", Queue: "work", Steps: []spar.Step{{Count: 1, Size: size}}, Accepted: now}, now)
	t.scheduler.Plan(now)
	for _, r := range t.scheduler.PrepareCommit().Records {
		if r.Key != "#granted/n1" {
			continue
		}
		var life struct {
			From int64 `msgpack:"f"`
		}
		if err := msgpack.Unmarshal(r.Value, &life); err != nil {
			tt.Fatal(err)
		}
		return life.From == 0
	}
	tt.Fatal("no record of the life")
	return false
}
