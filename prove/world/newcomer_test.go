package world_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"
)

// Entries that start, one after another, leave the shard with its owner: each
// change of hands stops all starts for a while.
func TestNewcomersLeaveTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, t, 5, 4, 3, io.Discard)
		ticks := make(chan struct{})
		go w.tick(ticks)
		defer w.close(cancel, ticks)
		wait(ctx, 3*time.Second)
		first := w.ownerNow()
		for _, e := range w.entries {
			if e == first {
				continue
			}
			w.stopEntry(e)
			wait(ctx, time.Second)
			w.startEntry(e)
			wait(ctx, 3*time.Second)
			if now := w.ownerNow(); now != first {
				t.Fatalf("after a start of %s the owner is %s, want %s", e.name, now.name, first.name)
			}
		}
	})
}
