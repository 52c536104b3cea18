package owner

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
)

// A pass has taken long. Leases and answers wait for the same lock and processor, so that the
// next pass must leave them as much time. A short one holds nobody up, and neither does it
// hold up the next one.
func TestLongPassLeavesTimeToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tm := newTestTerm(store.NewClient(&store.Store{}, 1))
		for took, pause := range map[time.Duration]time.Duration{time.Millisecond: 0, 50 * time.Millisecond: 50 * time.Millisecond, 2 * time.Second: 2 * time.Second} {
			tm.planAfter = time.Time{}
			begun := time.Now()
			tm.recordPass(took)
			for tm.isPaused(time.Now()) {
				time.Sleep(time.Millisecond)
			}
			if got := time.Since(begun); got != pause {
				t.Errorf("paused for %s after a pass of %s, want %s", got, took, pause)
			}
		}
	})
}
