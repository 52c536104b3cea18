package shard

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// HandleReport processes a message from a worker's agent. It ignores messages
// of earlier sessions.
func (sc *Scheduler) HandleReport(node string, token int64, m *link.AgentMessage, now time.Time) {
	w := sc.workerInSession(node, token)
	if w == nil {
		return
	}
	sc.now = now
	if m.Complete || len(m.Running) > 0 || len(m.Ended) > 0 {
		sc.confirmLife(w, now)
	}
	// Other messages carry outcomes alone and say nothing about progress.
	if m.Heartbeat > 0 || len(m.Running) > 0 || m.Complete {
		w.countIdleTime(now)
	}
	for _, r := range m.Running {
		sc.handleRunning(w, r, now)
	}
	for _, e := range m.Ended {
		sc.handleRunEnd(w, e, now)
	}
	for _, o := range m.Outcomes {
		sc.handleStartOutcome(w, o, now)
	}
	if m.Complete {
		sc.reconcileListing(w, now)
	}
	sc.checkTails(w, now)
}

// handleRunning processes a reported run. A run that is no longer wanted is
// stopped.
func (sc *Scheduler) handleRunning(w *worker, row spar.Running, now time.Time) {
	r := sc.findRun(w, row.Task, row.Run)
	if r == nil {
		sc.adoptRun(w, row, now)
		return
	}
	if r.stopping && r.token != w.token {
		// The stop may not have reached the worker in the earlier session.
		sc.pendingStops[r] = true
	}
	sc.confirmRun(r, now)
	if row.Percent != r.percent {
		r.percent, r.idle = row.Percent, 0
	}
	r.measured = row.Measurement
	if row.Checkpoint != "" && row.Checkpoint != r.task.checkpoint {
		r.task.checkpoint = row.Checkpoint
		r.task.markCheckpointChanged()
	}
	sc.storeDueCheckpoints(r.task.step.job, now)
}

// adoptRun adds a reported run that is not among the known runs of the worker.
// A run that had been removed as lost is kept if it is the latest of an
// unfinished task that has no other run. Any other run is stopped.
func (sc *Scheduler) adoptRun(w *worker, row spar.Running, now time.Time) {
	j := sc.jobs[row.Task.Job]
	var t *task
	if j != nil && sc.ensureOccurrence(j, row.Task.Occur) == nil {
		t = j.findTask(row.Task)
	}
	if t == nil {
		sc.onEvent(Event{Name: "unknown run found", Task: row.Task.String(), Run: row.Run, Node: w.node})
		sc.pendingStops[&run{task: unknownTask(row.Task), worker: w, number: row.Run}] = true
		// The size of the run is not known.
		w.avoidUntil = now.Add(unknownRunBackoff)
		return
	}
	r := &run{task: t, worker: w, number: row.Run, ordered: true, token: w.token, pace: 100, started: now}
	keep := !j.hasEnded() && !t.done && len(t.runs) == 0 && row.Run == t.lastRun
	t.addRun(r)
	t.step.stoppedRun = 0
	w.addRun(r)
	sc.markTaskChanged(t)
	sc.confirmRun(r, now)
	if !keep {
		sc.stopRun(r)
	}
}

// unknownTask returns a placeholder for a task of an unknown job, so that its
// run can be stopped.
func unknownTask(ref spar.TaskRef) *task {
	j := &job{Job: spar.Job{ID: ref.Job}}
	o := &occurrence{number: ref.Occur}
	return &task{step: &step{job: j, occurrence: o, index: ref.Step}, index: ref.Index}
}

// confirmRun marks a run as present on its worker.
func (sc *Scheduler) confirmRun(r *run, now time.Time) {
	if !r.confirmed {
		r.confirmed, r.started, r.idle, r.strayUntil = true, now, 0, time.Time{}
		if r.pace != 100 {
			// Workers start every run at full speed.
			sc.pendingPaces[r] = true
		}
	}
	r.ordered, r.token = true, r.worker.token
	j := r.task.step.job
	if !j.started {
		j.started = true
		sc.markChanged(j)
	}
}

// findRun returns a run on a worker, or nil if it is unknown or on another
// worker.
func (sc *Scheduler) findRun(w *worker, ref spar.TaskRef, number int64) *run {
	t := sc.findTask(ref)
	if t == nil {
		return nil
	}
	if r := t.runByNumber(number); r != nil && r.worker == w {
		return r
	}
	return nil
}

// handleStartOutcome processes the result of a start order. A refused run is
// removed and its task placed again.
func (sc *Scheduler) handleStartOutcome(w *worker, o link.StartOutcome, now time.Time) {
	r := sc.findRun(w, o.Task, o.Run)
	if r == nil {
		return
	}
	if o.Result == spar.StartDone {
		sc.confirmRun(r, now)
		return
	}
	if o.Result == spar.StartNever && sc.keepStray(r, now) {
		return
	}
	sc.onEvent(Event{Name: "start refused", Task: o.Task.String(), Run: o.Run, Node: w.node, Reason: string(o.Result)})
	t := r.task
	t.notBefore = now.Add(refusalBackoff)
	switch o.Result {
	case spar.StartUnhealthy:
		// Two such refusals in quick succession reach failureScoreLimit.
		w.addFailure(now, 1.5)
		t.lastFailedNode = w.node
		if t.isOverdue(now) {
			t.notBefore = now.Add(unhealthyBackoff)
		}
	case spar.StartNoTicket:
		t.step.forgetPermit(w)
	case spar.StartNoRoom:
		w.avoidUntil = now.Add(noRoomBackoff)
	case spar.StartDraining:
		w.info.Draining = true
	}
	sc.removeRun(r)
}

const (
	// refusalBackoff delays a task after a refusal, so that an update of the
	// worker's state can arrive before the next placement.
	refusalBackoff = 20 * time.Millisecond
	// unhealthyBackoff is the same for a task that is overdue, which may be placed on an
	// unhealthy worker again.
	unhealthyBackoff = 250 * time.Millisecond
	// noRoomBackoff is how long a worker gets no new tasks after it refused one
	// for lack of room.
	noRoomBackoff = 150 * time.Millisecond
	// unknownRunBackoff is how long a worker gets no new tasks after it has listed
	// a run of an unknown job. Stopping it may take that long.
	unknownRunBackoff = time.Second
)

// reconcileListing removes the runs of earlier sessions that the worker has listed
// neither as running nor as ended in this one. They do not exist and cannot start
// any more, since the worker rejects orders with an older fencing token.
func (sc *Scheduler) reconcileListing(w *worker, now time.Time) {
	for r := range w.runs {
		if r.token == w.token || sc.keepStray(r, now) {
			continue
		}
		sc.onEvent(Event{Name: "run not found", Task: r.task.ref().String(), Run: r.number, Node: w.node})
		r.task.notBefore = now
		r.task.history().dismiss(r.number)
		sc.markHistoryChanged(r.task)
		sc.removeRun(r)
	}
	w.listed = true
	if w.fencedAt.IsZero() {
		w.fencedAt = now
	}
	if w.info.Draining {
		// An earlier owner or session may not have stopped them.
		sc.stopMovableRuns(w)
	}
	if w.nameReused {
		// From now on the worker rejects orders to its previous life.
		w.nameReused = false
		w.leasesExpire = now.Add(sc.limits.strayLeaseTime())
	}
}
