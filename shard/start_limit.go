package shard

import "time"

const (
	// maxClaimsPerCommit is the number of claims from which Plan places no further step
	// or task until they are stored, so that the claims of a large job do not delay
	// others.
	maxClaimsPerCommit = 1000
	// maxStartBytes is the size of the start orders of a commit, and of those under way,
	// from which Plan places no further step or task. Grants, acknowledgements and calls
	// to the store would wait behind them on a slow link.
	maxStartBytes = 256 << 10
	// startTransferTime is how long a start order without an answer is taken to be under
	// way. Orders that get no answer then leave part of a link of 10 Mbit/s free.
	startTransferTime = 300 * time.Millisecond
	// startOrderBytes is the size of a start order beside its texts.
	startOrderBytes = 160
)

// startLimit counts start orders. The zero value has none.
type startLimit struct {
	// claims and claimedBytes are of the next commit.
	claims, claimedBytes int
	// sentBytes is the size of the orders that were sent lately and are not answered.
	sentBytes int
}

// full reports whether no further start may be claimed.
func (l *startLimit) full() bool {
	return l.claims >= maxClaimsPerCommit || l.claimedBytes >= maxStartBytes || l.sentBytes >= maxStartBytes
}

func (l *startLimit) add(r *run) {
	l.claims++
	l.claimedBytes += r.orderBytes()
}

func (l *startLimit) remove(r *run) {
	l.claims--
	l.claimedBytes -= r.orderBytes()
}

// orderBytes is the size of the run's start order.
func (r *run) orderBytes() int {
	return startOrderBytes + len(r.task.step.job.Spec) + len(r.task.checkpoint)
}

// countStarts returns the start orders that are claimed, and those under way.
func (sc *Scheduler) countStarts(now time.Time) startLimit {
	var l startLimit
	for _, r := range sc.claimedRuns {
		l.add(r)
	}
	for _, w := range sc.workers {
		for r := range w.runs {
			if r.ordered && !r.confirmed && r.token == w.token && now.Sub(r.started) < startTransferTime {
				l.sentBytes += r.orderBytes()
			}
		}
	}
	return l
}
