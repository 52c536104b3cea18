package world_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/shard"
	"github.com/berylspar/spar/stand/store"
)

// An owner that was cut off from the store owns the shard again after another
// has owned it. What it knew is out of date, and callers must not be told of it.
func TestOwnerAgainAfterAnotherReadsAnew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, 6, 2, 4, io.Discard)
		w.even = true
		ticks := make(chan struct{})
		go w.tick(ticks)
		defer w.close(cancel, ticks)
		wait(ctx, 3*time.Second)
		first := w.ownerNow()
		second := w.entries[0]
		if second == first {
			second = w.entries[1]
		}
		w.submit(first)
		wait(ctx, 100*time.Millisecond)
		first.client.SetFaults(store.Faults{Cut: true})
		for begun := time.Now(); w.ownerNow() != second || len(w.open()) > 0; wait(ctx, 20*time.Millisecond) {
			if time.Since(begun) > 10*time.Second {
				t.Fatal("the second entry did not finish the job")
			}
		}
		w.stopEntry(second)
		first.client.SetFaults(store.Faults{})
		for range 200 {
			for id := range w.jobs {
				if s, known, err := first.owner.Local(id); err == nil && (!known || s != shard.Completed) {
					t.Fatalf("job %s, which has been told to be completed, is %q (known %v)", id, s, known)
				}
			}
			wait(ctx, 10*time.Millisecond)
		}
		if w.ownerNow() != first {
			t.Fatal("the first entry does not own the shard again")
		}
	})
}
