package shard

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

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
)

// part returns the number of the part that a task is stored in.
func (t *task) part() int {
	j := t.step.job
	return (t.step.occurrence.number*j.occurrenceTasks() + j.stepOffsets[t.step.index] + t.index) / partTasks
}

// partCount is the number of parts of the occurrences that have been held so far.
func (j *job) partCount() int {
	return (j.lastHeld()*j.occurrenceTasks() + partTasks - 1) / partTasks
}

// lastHeld is the number of the occurrences up to the last one that has been held.
func (j *job) lastHeld() int {
	last := max(j.next, min(j.finished.limit(), j.Times))
	if n := len(j.occurrences); n > 0 {
		last = max(last, j.occurrences[n-1].number+1)
	}
	return last
}

// tasksOfPart returns the tasks of a part, without those of occurrences that have not been
// held yet. Those of finished occurrences are made up for it.
func (j *job) tasksOfPart(part int) []*task {
	var out []*task
	perOccurrence := j.occurrenceTasks()
	var o *occurrence
	for n := part * partTasks; n < (part+1)*partTasks && n/perOccurrence < max(j.Times, 1); n++ {
		if number := n / perOccurrence; o == nil || o.number != number {
			o = j.storedOccurrence(number)
		}
		if o == nil {
			continue
		}
		offset := n % perOccurrence
		step, found := slices.BinarySearch(j.stepOffsets, offset)
		if !found {
			step--
		}
		out = append(out, o.steps[step].tasks[offset-j.stepOffsets[step]])
	}
	return out
}

// storedOccurrence returns an occurrence that is held or finished, or nil.
func (j *job) storedOccurrence(number int) *occurrence {
	if j.finished.has(number) {
		return j.newFinishedOccurrence(number)
	}
	return j.heldOccurrence(number)
}

// dropParts returns records that drop all parts of a job.
func (j *job) dropParts() []spar.Record {
	var out []spar.Record
	for _, p := range slices.Sorted(maps.Keys(j.pieces)) {
		for i := range j.pieces[p] {
			out = append(out, spar.Record{Key: partKey(j.ID, p, i)})
		}
	}
	for _, p := range slices.Sorted(maps.Keys(j.crashParts)) {
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
	var crashes crashRecord
	crashes.addTasks(tasks)
	value := crashes.encode()
	switch {
	case len(value) > 0:
		j.crashParts[part] = true
		out.parts = append(out.parts, spar.Record{Key: crashPartKey(j.ID, part), Value: value})
	case j.crashParts[part]:
		delete(j.crashParts, part)
		out.drops = append(out.drops, spar.Record{Key: crashPartKey(j.ID, part)})
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

// parsePart parses the end of a key that names a piece of a part.
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
