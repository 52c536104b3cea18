package ledger

import (
	"fmt"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"pgregory.net/rapid"
)

// Guards against committing more than a worker has. Random sequences of calls and
// of time passing run against the ledger, which panics on a violation.
func TestReservationsNeverExceedTheWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLedger(spar.Size{CPUMilli: 10, MemoryMB: 10, Accelerators: 1})
		now := time.Unix(0, 0)
		for range rapid.IntRange(1, 100).Draw(t, "calls") {
			id := spar.TaskID{Job: "j", Attempt: uint32(rapid.IntRange(1, 5).Draw(t, "task"))}
			switch rapid.IntRange(0, 3).Draw(t, "call") {
			case 0:
				size := spar.Size{CPUMilli: rapid.Int64Range(0, 6).Draw(t, "cpu"), MemoryMB: rapid.Int64Range(0, 6).Draw(t, "memory"), Accelerators: rapid.Int64Range(0, 1).Draw(t, "accelerators")}
				l.Reserve(id, size, now, now.Add(3*time.Second))
			case 1:
				l.Commit(id, now)
			case 2:
				l.Release(id)
			case 3:
				now = now.Add(time.Second)
			}
			if free := l.Free(now); free.IsNegative() {
				t.Fatalf("free size is negative: %s", free)
			}
		}
	})
}

func ExampleLedger() {
	l := NewLedger(spar.Size{CPUMilli: 4000, MemoryMB: 8192})
	now := time.Now()
	audit := spar.TaskID{Job: "audit", Attempt: 1}
	fmt.Println(l.Reserve(audit, spar.Size{CPUMilli: 3000, MemoryMB: 4096}, now, now.Add(10*time.Second)))
	fmt.Println(l.Reserve(spar.TaskID{Job: "plan", Attempt: 1}, spar.Size{CPUMilli: 2000, MemoryMB: 1024}, now, now.Add(10*time.Second)))
	fmt.Println(l.Commit(audit, now), l.Free(now))
	// Output:
	// true
	// false
	// true 1000m cpu, 4096 MiB, 0 accelerators
}
