package shard

import (
	"maps"
	"slices"
	"time"

	"github.com/berylspar/spar"
)

const (
	// maxWholeBytes is the size up to which the progress of a job is one record. A
	// larger job is stored in parts from then on.
	maxWholeBytes = 32 << 10
	// defaultRecordBytes is the largest value of a record if Limits does not tell.
	defaultRecordBytes = 255 << 10
)

// storage holds how a job's progress is stored, and what of it has changed since the
// last commit.
//
// The progress of a job is one record under its ID. Once that would exceed
// maxWholeBytes, the record holds the state of the job alone, and the tasks are
// stored in parts of partTasks, so that a change is not written with the whole job.
// A part that exceeds the largest record is stored in several pieces. Each record
// can be read without the others.
type storage struct {
	// stepOffsets holds, by step, the number of tasks of an occurrence in earlier
	// steps, and at the end those of all steps.
	stepOffsets []int
	inParts     bool
	// wholeStored reports that the stored record of the job holds tasks.
	wholeStored bool
	// headChanged reports a change of the job's own state.
	headChanged bool
	// changedParts are the parts with changed tasks, and checkpointParts those of
	// which only checkpoints have changed.
	changedParts, checkpointParts map[int]bool
	// pieces holds the number of stored records by part. crashParts are the parts
	// with a record of crashes, and crashesStored reports whether there is one for
	// the whole job, which also holds the reason of its failure.
	pieces        map[int]int
	crashParts    map[int]bool
	crashesStored bool
	// storedAt is when a commit last contained the checkpoints.
	storedAt time.Time
}

func newStorage(steps []spar.Step) storage {
	s := storage{changedParts: map[int]bool{}, checkpointParts: map[int]bool{}, pieces: map[int]int{}, crashParts: map[int]bool{}}
	n := 0
	for _, st := range steps {
		s.stepOffsets = append(s.stepOffsets, n)
		n += st.Count
	}
	s.stepOffsets = append(s.stepOffsets, n)
	return s
}

// occurrenceTasks is the number of tasks of an occurrence.
func (s *storage) occurrenceTasks() int { return s.stepOffsets[len(s.stepOffsets)-1] }

// markChanged has the next commit store the state of a job.
func (sc *Scheduler) markChanged(j *job) {
	j.headChanged = true
	sc.changedJobs[j] = true
}

// markTaskChanged has the next commit store the progress of a task.
func (sc *Scheduler) markTaskChanged(t *task) {
	j := t.step.job
	j.changedParts[t.part()] = true
	sc.changedJobs[j] = true
}

// checkpointStoreInterval is the shortest time between two writes of a job's
// progress that only bring new checkpoints. Without them, work done since the
// last other change would be lost when workers and owner go down together. For
// jobs with more tasks than tasksPerCheckpointStore it is longer in proportion.
const (
	checkpointStoreInterval = time.Second
	tasksPerCheckpointStore = 8192
)

// markCheckpointChanged has a commit store the new checkpoint of a task, not sooner
// than checkpointStoreInterval after the last one with checkpoints.
func (t *task) markCheckpointChanged() { t.step.job.checkpointParts[t.part()] = true }

// storeDueCheckpoints has the next commit store the checkpoints of a job if that is
// due.
func (sc *Scheduler) storeDueCheckpoints(j *job, now time.Time) {
	tasks := j.due * j.occurrenceTasks()
	interval := checkpointStoreInterval * time.Duration(1+tasks/tasksPerCheckpointStore)
	if len(j.checkpointParts) == 0 || now.Sub(j.storedAt) < interval {
		return
	}
	for p := range j.checkpointParts {
		j.changedParts[p] = true
	}
	clear(j.checkpointParts)
	j.storedAt = now
	sc.changedJobs[j] = true
}

// jobRecords are the records that store the changes of a job, in the order in which
// they must be appended. The parts come first: a record of the state without the
// tasks replaces one with them, and an owner that reads a state that is final
// ignores the parts, which are dropped last.
type jobRecords struct{ parts, head, drops []spar.Record }

// takeChanges returns the records that store the changes of a job since the last
// commit. limit is the largest value of a record.
func (j *job) takeChanges(limit int, now time.Time) jobRecords {
	var out jobRecords
	switch {
	case j.hasEnded():
		j.addFinalState(&out)
	case j.inParts || !j.addWhole(&out, limit):
		j.addChangedParts(&out, limit)
	}
	if !j.inParts {
		clear(j.checkpointParts)
		j.storedAt = now
	}
	clear(j.changedParts)
	j.headChanged = false
	return out
}

// addChangedParts adds the changed parts of a job, and its state if that has changed.
func (j *job) addChangedParts(out *jobRecords, limit int) {
	j.inParts = true
	j.replaceWhole()
	for _, p := range slices.Sorted(maps.Keys(j.changedParts)) {
		j.addPart(out, p, limit)
	}
	if j.headChanged {
		out.head = append(out.head, spar.Record{Key: j.ID, Value: j.encodeHead()})
	}
	if j.crashesStored {
		out.drops = append(out.drops, spar.Record{Key: crashPrefix + j.ID})
		j.crashesStored = false
	}
}

// replaceWhole has all parts and the state of the job stored, if its stored record
// holds the tasks.
func (j *job) replaceWhole() {
	if !j.wholeStored {
		return
	}
	for p := range j.partCount() {
		j.changedParts[p] = true
	}
	j.headChanged, j.wholeStored = true, false
}

// addWhole adds the progress of a job as one record, or returns false if it is too
// large for that.
func (j *job) addWhole(out *jobRecords, limit int) bool {
	value := j.encode()
	crashes, changed := j.crashRecord()
	if most := min(maxWholeBytes, limit); len(value) > most || len(crashes.Value) > most {
		return false
	}
	j.wholeStored = true
	out.head = append(out.head, spar.Record{Key: j.ID, Value: value})
	if changed {
		j.addCrashes(out, crashes)
	}
	return true
}

// addCrashes adds the record of a job's failure and crashes, or drops it if it is empty.
func (j *job) addCrashes(out *jobRecords, r spar.Record) {
	j.crashesStored = len(r.Value) > 0
	out.head = append(out.head, r)
}

// addFinalState adds the state of a job that has ended, and drops its parts.
func (j *job) addFinalState(out *jobRecords) {
	out.head = append(out.head, spar.Record{Key: j.ID, Value: j.encodeHead()})
	if crashes, changed := j.crashRecord(); changed {
		j.addCrashes(out, crashes)
	}
	out.drops = append(out.drops, j.dropParts()...)
}
