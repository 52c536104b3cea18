package shard

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
)

const (
	// partPrefix begins the keys of the records with a part of a job's tasks.
	partPrefix = "#tasks/"
	// partTasks is the number of tasks in a part. A change of one task writes the
	// whole part, and a takeover reads all parts.
	partTasks = 32
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

// part returns the number of the part that a task is stored in.
func (t *task) part() int {
	j := t.step.job
	return (t.step.occurrence.number*j.occurrenceTasks() + j.stepOffsets[t.step.index] + t.index) / partTasks
}

// partCount is the number of parts of the job's occurrences so far.
func (j *job) partCount() int {
	return (len(j.occurrences)*j.occurrenceTasks() + partTasks - 1) / partTasks
}

// tasksOfPart returns the tasks of a part.
func (j *job) tasksOfPart(part int) []*task {
	var out []*task
	perOccurrence := j.occurrenceTasks()
	for n := part * partTasks; n < (part+1)*partTasks && n/perOccurrence < len(j.occurrences); n++ {
		offset := n % perOccurrence
		step, found := slices.BinarySearch(j.stepOffsets, offset)
		if !found {
			step--
		}
		out = append(out, j.occurrences[n/perOccurrence].steps[step].tasks[offset-j.stepOffsets[step]])
	}
	return out
}

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
func (sc *Scheduler) markCheckpointChanged(t *task) {
	j := t.step.job
	j.checkpointParts[t.part()] = true
}

// storeDueCheckpoints has the next commit store the checkpoints of a job if that is
// due.
func (sc *Scheduler) storeDueCheckpoints(j *job, now time.Time) {
	tasks := len(j.occurrences) * j.occurrenceTasks()
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
	if j.hasEnded() {
		j.addFinalState(&out)
	} else if !j.inParts && !j.addWhole(&out, limit) {
		j.inParts, j.headChanged = true, true
	}
	if j.inParts && !j.hasEnded() {
		j.replaceWhole()
		for _, p := range sortedKeys(j.changedParts) {
			j.addPart(&out, p, limit)
		}
		if j.headChanged {
			out.head = append(out.head, spar.Record{Key: j.ID, Value: j.encodeHead()})
		}
		if j.crashesStored {
			out.drops = append(out.drops, spar.Record{Key: crashPrefix + j.ID})
			j.crashesStored = false
		}
	} else {
		clear(j.checkpointParts)
		j.storedAt = now
	}
	clear(j.changedParts)
	j.headChanged = false
	return out
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
		j.crashesStored = len(crashes.Value) > 0
		out.head = append(out.head, crashes)
	}
	return true
}

// addFinalState adds the state of a job that has ended, and drops its parts.
func (j *job) addFinalState(out *jobRecords) {
	out.head = append(out.head, spar.Record{Key: j.ID, Value: j.encodeHead()})
	if crashes, changed := j.crashRecord(); changed {
		j.crashesStored = len(crashes.Value) > 0
		out.head = append(out.head, crashes)
	}
	out.drops = append(out.drops, j.dropParts()...)
}

// dropParts returns records that drop all parts of a job.
func (j *job) dropParts() []spar.Record {
	var out []spar.Record
	for _, p := range sortedKeys(j.pieces) {
		for i := range j.pieces[p] {
			out = append(out, spar.Record{Key: partKey(j.ID, p, i)})
		}
	}
	for _, p := range sortedKeys(j.crashParts) {
		out = append(out, spar.Record{Key: crashPartKey(j.ID, p)})
	}
	clear(j.pieces)
	clear(j.crashParts)
	return out
}

// addPart adds the records of a part.
func (j *job) addPart(out *jobRecords, part, limit int) {
	tasks := j.tasksOfPart(part)
	values := encodePieces(tasks, limit)
	for i, v := range values {
		out.parts = append(out.parts, spar.Record{Key: partKey(j.ID, part, i), Value: v})
	}
	for i := len(values); i < j.pieces[part]; i++ {
		out.drops = append(out.drops, spar.Record{Key: partKey(j.ID, part, i)})
	}
	j.pieces[part] = len(values)
	value := encodeCrashes("", tasks)
	switch {
	case len(value) > 0:
		out.parts = append(out.parts, spar.Record{Key: crashPartKey(j.ID, part), Value: value})
	case j.crashParts[part]:
		out.drops = append(out.drops, spar.Record{Key: crashPartKey(j.ID, part)})
	}
	j.crashParts[part] = len(value) > 0
	if len(value) == 0 {
		delete(j.crashParts, part)
	}
}

// encodePieces returns the stored form of tasks in as few values as their size
// allows. The checkpoint of a task that exceeds the limit alone is left out.
func encodePieces(tasks []*task, limit int) [][]byte {
	progress := encodeTasks(tasks, true)
	if len(progress) == 0 {
		return nil
	}
	value := marshal(progress)
	switch {
	case len(value) <= limit:
		return [][]byte{value}
	case len(tasks) == 1:
		return [][]byte{marshal(encodeTasks(tasks, false))}
	}
	half := len(tasks) / 2
	return append(encodePieces(tasks[:half], limit), encodePieces(tasks[half:], limit)...)
}

func marshal(v any) []byte {
	out, err := msgpack.Marshal(v)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode progress"))
	}
	return out
}

// partKey is the key of a piece of a part.
func partKey(job string, part, piece int) string {
	if piece == 0 {
		return fmt.Sprintf("%s%s/%d", partPrefix, job, part)
	}
	return fmt.Sprintf("%s%s/%d.%d", partPrefix, job, part, piece)
}

func crashPartKey(job string, part int) string {
	return fmt.Sprintf("%s%s/%d", crashPrefix, job, part)
}

// parsePart parses the end of a key that names a part. The job's ID is empty if the
// key does not name one.
func parsePart(rest string) (job string, part, piece int, err error) {
	job, number, ok := strings.Cut(rest, "/")
	if !ok {
		return "", 0, 0, errors.Newf("key %q names no part", rest)
	}
	number, pieceNumber, several := strings.Cut(number, ".")
	if part, err = strconv.Atoi(number); err == nil && several {
		piece, err = strconv.Atoi(pieceNumber)
	}
	if err != nil || part < 0 || piece < 0 || part >= spar.MaxTasks || piece >= partTasks {
		return "", 0, 0, errors.Newf("key %q names no part of a job", rest)
	}
	return job, part, piece, nil
}

func sortedKeys[V any](m map[int]V) []int {
	out := make([]int, 0, len(m))
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
