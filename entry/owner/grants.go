package owner

import (
	"sync"
	"time"
)

// grants records when the terms of this process last granted a lease, and refuses
// leases of terms that a newer owner has asked about. Times are of the candidate's
// clock.
type grants struct {
	mu sync.Mutex
	// last is when the last lease was granted by a term of this process, or by an
	// earlier owner that answered one of them. It starts as the start of the process:
	// an earlier process at the same address was over by then.
	last time.Duration
	// firstEpoch is the epoch of the first term of this process, 0 before it.
	firstEpoch int64
	// fence is the lowest epoch under which leases may be granted.
	fence int64
}

// begin is called when a term begins.
func (g *grants) begin(epoch int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.firstEpoch == 0 {
		g.firstEpoch = epoch
	}
}

// raise records that a lease may have been granted at a time.
func (g *grants) raise(at time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.last = max(g.last, at)
}

// record reports whether a lease may be granted under an epoch, and records it.
func (g *grants) record(epoch int64, clock func() time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch < g.fence {
		return false
	}
	g.last = max(g.last, clock())
	return true
}

// settle returns how long ago, at least, a lease was granted under an epoch below the
// asker's. None is granted any more afterwards. restarted reports whether the term with
// the given epoch was of an earlier process.
func (g *grants) settle(epoch, asker int64, clock func() time.Duration) (age time.Duration, restarted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fence = max(g.fence, asker)
	return clock() - g.last, g.firstEpoch == 0 || epoch < g.firstEpoch
}
