package exec

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
	"github.com/cockroachdb/errors"
)

// maxLifeEnds bounds the ended lives of the worker that are reported to an owner.
const maxLifeEnds = 4

// lifeRecord holds what this process knows about one life of the worker, so that
// it can report which runs ended with the life, and how. A worker that crashes
// reports nothing itself. Times are on the executor's clock.
type lifeRecord struct {
	life spar.Life

	mu sync.Mutex
	// starts holds the runs that are or may be on the worker.
	starts map[runKey]runStart
	// failedAt is the time of the first call that failed since the worker last
	// answered one, or 0. disconnected reports whether the worker closed or
	// refused the connection of that call.
	failedAt     time.Duration
	disconnected bool
	// failedTime is the same time as failedAt, to be compared with that of a heartbeat.
	failedTime time.Time
	// ends are those that no owner has acknowledged. moreEnds reports that the worker had
	// others that it did not list.
	ends     unackedEnds
	moreEnds bool
	// left reports that the worker had deregistered, and that its runs are proved to be over.
	left bool
	// leased reports that leaseEnd is known: the latest time at which the leases on the
	// life end, by a clock that may be ahead of the worker's by leaseMargin. If leaseFixed
	// is set, none is extended beyond that.
	leased, leaseFixed    bool
	leaseEnd, leaseMargin time.Duration
	// nameReused reports that this process has served an earlier life of the same name,
	// to which orders may have been carried out late in this one.
	nameReused bool
}

// runStart is the start of a run.
type runStart struct {
	// at is the time of the last start call, or of the first listing of a run that
	// an earlier process has started.
	at time.Duration
	// confirmed reports whether the worker has answered a start call or listed the
	// run. Else the worker may have carried out any of the calls, at any time.
	confirmed bool
}

func newLifeRecord(l spar.Life) *lifeRecord {
	return &lifeRecord{life: l, starts: map[runKey]runStart{}}
}

// recordStart records that a start call is sent. It returns false if none must be sent any
// more: the entries may have been told already what is left on the worker.
func (l *lifeRecord) recordStart(k runKey, now time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.leaseFixed {
		return false
	}
	if !l.starts[k].confirmed {
		l.starts[k] = runStart{at: now}
	}
	return true
}

// confirmRun records that a start call was answered.
func (l *lifeRecord) confirmRun(k runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.starts[k]; ok {
		s.confirmed = true
		l.starts[k] = s
	}
}

// removeRun removes a run that the worker has refused to start.
func (l *lifeRecord) removeRun(k runKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.starts, k)
}

// recordLists applies the worker's lists.
func (l *lifeRecord) recordLists(lists spar.RunLists, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range lists.Running {
		k := runKey{r.Task, r.Run}
		if s, ok := l.starts[k]; !ok {
			l.starts[k] = runStart{now, true}
		} else if !s.confirmed {
			l.starts[k] = runStart{s.at, true}
		}
	}
	for _, e := range lists.Ended {
		delete(l.starts, runKey{e.Task, e.Run})
	}
	l.ends.update(lists.Ended, now)
	l.moreEnds = lists.MoreEnds
	// A worker that answers has not left, whatever an earlier call seemed to tell.
	l.left = false
}

// recordFencedLists applies the worker's lists under a new fencing token. Runs that
// are not in progress have ended, listed or not, or never start any more.
func (l *lifeRecord) recordFencedLists(lists spar.RunLists, now time.Duration) {
	l.recordLists(lists, now)
	listed := map[runKey]bool{}
	for _, r := range lists.Running {
		listed[runKey{r.Task, r.Run}] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.starts, func(k runKey, _ runStart) bool { return !listed[k] })
}

// recordResult records whether a call to the worker was answered.
func (l *lifeRecord) recordResult(err error, now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.failedAt, l.disconnected = 0, false
	case l.failedAt == 0 && !errors.Is(err, spar.ErrOtherLife):
		l.failedAt, l.failedTime, l.disconnected = now, time.Now(), errors.Is(err, spar.ErrDisconnected)
	}
}

// lastCallFailed reports whether the worker has left the last call without an answer.
func (l *lifeRecord) lastCallFailed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.failedAt != 0
}

// end returns the report that the life is over. heardAt is when its last heartbeat arrived.
// Without a failed call it is not known when and how the life ended. A worker that was heard
// of after the first one did not crash then: the call failed by a fault of its connection.
func (l *lifeRecord) end(heardAt time.Time) link.LifeEnd {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := link.LifeEnd{Life: l.life, Crashed: l.disconnected && !heardAt.After(l.failedTime)}
	if l.failedAt == 0 {
		return e
	}
	for k, s := range l.starts {
		if s.at <= l.failedAt {
			e.Runs = append(e.Runs, link.LostRun{Task: k.task, Run: k.run, Age: l.failedAt - s.at, Unconfirmed: !s.confirmed})
		}
	}
	e.Shorten()
	return e
}

// recordLife returns the record of the worker's current life. If the last record
// is of an earlier life, its end is kept for the owners.
func (e *Executor) recordLife(current spar.Life) *lifeRecord {
	if e.lifeRecord != nil && e.lifeRecord.life == current {
		return e.lifeRecord
	}
	if e.lifeRecord != nil && !e.heartbeats.WasDraining(e.lifeRecord.life) {
		end := e.lifeRecord.end(e.heartbeats.HeardAt(e.lifeRecord.life))
		e.Warn("worker ended without leaving", "worker", end.Life.ID, "born", end.Life.Born, "crashed", end.Crashed, "runs", len(end.Runs), "youngest", end.YoungestAge())
		e.Counter("worker_ends").Inc(1)
		e.lifeEnds = append(e.lifeEnds, end)
		e.lifeEnds = e.lifeEnds[max(len(e.lifeEnds)-maxLifeEnds, 0):]
	}
	e.lifeRecord = newLifeRecord(current)
	e.lifeRecord.nameReused = slices.Contains(e.earlierIDs, current.ID)
	e.earlierIDs = append(e.earlierIDs, current.ID)
	e.earlierIDs = e.earlierIDs[max(len(e.earlierIDs)-maxLifeEnds, 0):]
	e.departures.life.Store(e.lifeRecord)
	return e.lifeRecord
}
