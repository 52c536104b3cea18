package world_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/track"
)

// Entries that start, one after another, leave the shard with its owner: each
// change of hands stops all starts for a while.
func TestNewcomersLeaveTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, w, stop := evenWorld(t, 5, 4, 3)
		defer stop()
		track.Pause(ctx, 3*time.Second)
		first := w.ownerNow()
		for _, e := range w.entries {
			if e == first {
				continue
			}
			w.stopEntry(e)
			track.Pause(ctx, time.Second)
			w.startEntry(e)
			track.Pause(ctx, 3*time.Second)
			if now := w.ownerNow(); now != first {
				t.Fatalf("after a start of %s the owner is %s, want %s", e.name, now.name, first.name)
			}
		}
	})
}
