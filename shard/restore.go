package shard

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/berylspar/spar/interf"
	"github.com/cockroachdb/errors"
)

// Restore loads the records of the progress topic. The runs that they name count as
// present on their workers until the workers report, or until expires. A record that
// cannot be loaded is left out; the errors name the records.
func (sc *Scheduler) Restore(records []spar.Record, now, expires time.Time) []error {
	sc.now = now
	var out []error
	records = inPartOrder(records)
	load := func(prefixed bool, restore func(spar.Record) error) {
		for _, r := range records {
			if strings.HasPrefix(r.Key, "#") != prefixed {
				continue
			}
			if err := restore(r); err != nil {
				out = append(out, errors.Wrapf(err, "restore record %q of %d bytes", r.Key, len(r.Value)))
			}
		}
	}
	// The parts of a job that has ended are not loaded.
	load(false, func(r spar.Record) error { return sc.restoreJob(r.Key, r.Value, now, expires) })
	load(true, func(r spar.Record) error { return sc.restoreOther(r, expires) })
	sc.holdDue(now, sc.wall)
	sc.completeGangs(now)
	sc.restoreEnds(now)
	slices.SortStableFunc(sc.retiredJobs, func(a, b *job) int { return a.endedAt.Compare(b.endedAt) })
	return out
}

// inPartOrder returns the records in an order in which the parts of a job follow one another,
// so that few of its occurrences are held of which only some tasks have been loaded.
func inPartOrder(records []spar.Record) []spar.Record {
	return slices.SortedStableFunc(slices.Values(records), func(a, b spar.Record) int {
		return cmp.Or(len(a.Key)-len(b.Key), cmp.Compare(a.Key, b.Key))
	})
}

// storedEndError is how much earlier than the moment at which callers could see the end of
// a job the stored time may be: a commit may take maxEndDelay, and the time is in seconds.
const storedEndError = maxEndDelay + time.Second

// restoreEnds has the retention of the jobs that earlier owners have ended count from their
// end: if each owner counted it anew, jobs would be kept without bound while owners change
// often. The time of day may be wrong here or where the end was stored, so a job counts as
// no older than the time by which a later one has ended after it.
func (sc *Scheduler) restoreEnds(now time.Time) {
	var newest time.Time
	for _, j := range sc.retiredJobs {
		if j.storedEnd.After(newest) {
			newest = j.storedEnd
		}
	}
	for _, j := range sc.retiredJobs {
		if j.storedEnd.IsZero() {
			continue
		}
		age := min(now.Sub(j.storedEnd), newest.Sub(j.storedEnd)) - storedEndError
		j.endedAt = now.Add(-min(max(age, 0), sc.limits.Retention))
	}
}

func (sc *Scheduler) restoreOther(r spar.Record, expires time.Time) error {
	if r.Key == modelKey {
		m, err := interf.Decode(r.Value)
		if err == nil {
			sc.interference, sc.storedModel = m, r.Value
		}
		return err
	}
	if rest, ok := strings.CutPrefix(r.Key, partPrefix); ok {
		return sc.restorePart(rest, r.Value, expires)
	}
	if rest, ok := strings.CutPrefix(r.Key, crashPrefix); ok {
		return sc.restoreCrashes(rest, r.Value)
	}
	if node, ok := strings.CutPrefix(r.Key, grantedPrefix); ok {
		return sc.restoreGrantedLife(node, r.Value)
	}
	return errors.New("unknown key")
}

// restoreJob loads the state of a job, and the progress of its tasks if it was stored
// as a whole.
func (sc *Scheduler) restoreJob(id string, value []byte, now, expires time.Time) error {
	p, err := codec.Decode[progress](value)
	if err != nil {
		return err
	}
	j := sc.jobs[id]
	switch {
	case j == nil && p.State.isFinal():
		j = newEndedJob(id, &p, now)
		sc.jobs[id] = j
		sc.retiredJobs = append(sc.retiredJobs, j)
		sc.addMemory(j, endedFootprint, endedFootprint)
		return nil
	case j == nil:
		// Only the submissions of jobs that have ended are dropped.
		sc.droppedKeys = append(sc.droppedKeys, id)
		return errors.Newf("job in state %q without its submission", p.State)
	}
	j.state, j.reportedState, j.started = p.State, p.State, p.Begun
	if j.hasEnded() {
		j.endedAt, j.storedEnd, j.endStored, j.runsUnknownUntil = now, p.storedEnd(), true, expires
		sc.retireJob(j)
		return nil
	}
	j.wholeStored = slices.ContainsFunc(p.Occurs, func(o occurProgress) bool { return len(o.Tasks) > 0 })
	return sc.restoreTasks(j, p.Occurs, expires)
}

// restorePart loads a part of a job's tasks. A part that is left from a job that has
// ended or was dropped is dropped.
func (sc *Scheduler) restorePart(rest string, value []byte, expires time.Time) error {
	id, part, piece, err := parsePart(rest)
	if err != nil {
		return err
	}
	j := sc.jobs[id]
	if j == nil || j.hasEnded() {
		sc.droppedKeys = append(sc.droppedKeys, partPrefix+rest)
		return nil
	}
	j.inParts = true
	j.pieces[part] = max(j.pieces[part], piece+1)
	rows, err := codec.Decode[[]occurProgress](value)
	if err != nil {
		return err
	}
	return sc.restoreTasks(j, rows, expires)
}

func (sc *Scheduler) restoreTasks(j *job, rows []occurProgress, expires time.Time) error {
	for _, op := range rows {
		if j.finished.has(op.Number) {
			continue
		}
		if err := sc.ensureOccurrence(j, op.Number); err != nil {
			return err
		}
		for _, tp := range op.Tasks {
			t := j.findTask(spar.TaskRef{Job: j.ID, Occur: op.Number, Step: tp.Step, Index: tp.Index})
			if t == nil {
				return errors.Newf("the job has no task %d.%d.%d", op.Number, tp.Step, tp.Index)
			}
			sc.restoreTask(t, tp, expires)
		}
		if o := j.heldOccurrence(op.Number); o.unfinished == 0 && j.Times > 0 {
			sc.release(o)
		}
	}
	return nil
}

// restoreTask loads the stored progress of a task and assigns its runs to their
// workers. The task may be in several records, of which only one is current: an owner
// may have ended between the appends of a commit. Together they name all runs that may
// exist, and all ends that were acknowledged.
func (sc *Scheduler) restoreTask(t *task, p taskProgress, expires time.Time) {
	if !t.step.Standing {
		for _, f := range p.Failed {
			if !slices.Contains(t.failedRuns, f) {
				t.failedRuns = append(t.failedRuns, f)
			}
		}
	}
	if p.Done && !t.done {
		t.markDone()
	}
	if p.Last > t.lastRun || p.Last == t.lastRun && p.Saved != "" {
		t.checkpoint = p.Saved
	}
	t.lastRun, t.idleSince = max(t.lastRun, p.Last), sc.now
	t.step.occurrence.markStarted()
	if t.done {
		for len(t.runs) > 0 {
			r := t.runs[0]
			r.worker.removeRun(r)
			t.dropRun(r)
		}
		return
	}
	for _, rp := range p.Runs {
		if t.runByNumber(rp.Number) == nil {
			sc.restoreRun(t, rp, expires)
		}
	}
}

// restoreRun assigns a run to its worker, unless the worker has a later life under
// another name.
func (sc *Scheduler) restoreRun(t *task, p runProgress, expires time.Time) {
	life := spar.Life{ID: p.Life, Born: p.Born}
	w := sc.workers[p.Node]
	if w == nil {
		w = &worker{node: p.Node, info: spar.WorkerInfo{Life: life}, runs: map[*run]bool{}, leasesExpire: expires, silentSince: sc.now, restored: true}
		sc.workers[p.Node] = w
	}
	if w.info.Life != life && w.info.Life.ID != life.ID {
		if w.info.Life.Born > life.Born {
			return
		}
		sc.endLife(w, "worker in a new life")
		w = &worker{node: p.Node, info: spar.WorkerInfo{Life: life}, runs: map[*run]bool{}, leasesExpire: expires, silentSince: sc.now, restored: true}
		sc.workers[p.Node] = w
	}
	w.info.Life.Born = max(w.info.Life.Born, life.Born)
	r := &run{task: t, worker: w, number: p.Number, ordered: true, pace: 100, started: expires}
	t.addRun(r)
	w.addRun(r)
}

// completeGangs marks all tasks of a gang as done if one of them is: an owner may have
// ended after it had stored some of them. All other changes of a job that end it are
// stored with its state alone.
func (sc *Scheduler) completeGangs(now time.Time) {
	for j := range sc.activeJobs {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if s.Gang && s.unfinished < len(s.tasks) {
					sc.completeTasks(s.tasks)
				}
			}
		}
		if j.isComplete() {
			sc.endJob(j, Completed, now)
		}
	}
}

// ensureOccurrence holds an occurrence that is not finished, whatever memory there is: what
// is known of its tasks would be lost.
func (sc *Scheduler) ensureOccurrence(j *job, number int) error {
	if number < 0 || number >= max(j.Times, 1) {
		return errors.Newf("the job has no occurrence %d", number)
	}
	if len(j.Steps) == 0 {
		return errors.New("the tasks of the job are forgotten")
	}
	if j.heldOccurrence(number) == nil && !j.finished.has(number) {
		due := j.firstSeen
		if j.Times > 0 {
			due = j.First.Add(time.Duration(number) * j.Interval)
		}
		sc.hold(j, number, due)
	}
	return nil
}
