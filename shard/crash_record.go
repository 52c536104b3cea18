package shard

import (
	"strings"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/cockroachdb/errors"
)

// crashPrefix begins the keys of the records with the crashes of a job's tasks. They
// are apart from the progress, which builds without them read and write, so that
// the crashes last while an owner of such a build is in between.
const crashPrefix = "#crashes/"

// crashRecord is the stored form of the crashes of a job's tasks.
type crashRecord struct {
	// Failure says why the job has failed.
	Failure string        `msgpack:"f,omitempty"`
	Tasks   []taskCrashes `msgpack:"t,omitempty"`
}

type taskCrashes struct {
	Task      spar.TaskRef  `msgpack:"t"`
	Cleared   int64         `msgpack:"c,omitempty"`
	Dismissed []int64       `msgpack:"d,omitempty"`
	Crashes   []storedCrash `msgpack:"l,omitempty"`
}

type storedCrash struct {
	Run    int64         `msgpack:"r"`
	Node   string        `msgpack:"n"`
	Age    time.Duration `msgpack:"a"`
	Alone  bool          `msgpack:"o,omitempty"`
	Silent bool          `msgpack:"s,omitempty"`
}

// crashRecord returns the record of a job's failure and of the crashes of all its
// tasks, with an empty value if there are none any more. It returns false if nothing
// has to be written.
func (j *job) crashRecord() (spar.Record, bool) {
	c := crashRecord{Failure: j.failure}
	if !j.hasEnded() {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				c.addTasks(s.tasks)
			}
		}
	}
	value := c.encode()
	return spar.Record{Key: crashPrefix + j.ID, Value: value}, len(value) > 0 || j.crashesStored
}

// encode returns the stored form, or nil if the record is empty.
func (c *crashRecord) encode() []byte {
	if c.Failure == "" && len(c.Tasks) == 0 {
		return nil
	}
	return marshal(c)
}

func (c *crashRecord) addTasks(tasks []*task) {
	for _, t := range tasks {
		c.addTask(t)
	}
}

func (c *crashRecord) addTask(t *task) {
	if len(t.crashes) == 0 && t.clearedRun == 0 && len(t.dismissed) == 0 {
		return
	}
	tc := taskCrashes{Task: t.ref(), Cleared: t.clearedRun, Dismissed: t.dismissed}
	for _, o := range t.crashes {
		tc.Crashes = append(tc.Crashes, storedCrash{Run: o.run, Node: o.node, Age: o.age, Alone: o.alone, Silent: o.silent})
	}
	c.Tasks = append(c.Tasks, tc)
}

// restoreCrashes loads the crashes of the tasks of a job, or of a part of them. The
// record of a job that is gone is dropped: an owner of a build without such records
// has left it.
func (sc *Scheduler) restoreCrashes(rest string, value []byte) error {
	id, part, whole := rest, 0, !strings.Contains(rest, "/")
	if !whole {
		var err error
		if id, part, _, err = parsePart(rest); err != nil {
			return err
		}
	}
	j := sc.jobs[id]
	if j == nil || !whole && j.hasEnded() {
		sc.droppedKeys = append(sc.droppedKeys, crashPrefix+rest)
		return nil
	}
	if whole {
		j.crashesStored = true
	} else {
		j.inParts, j.crashParts[part] = true, true
	}
	c, err := codec.Decode[crashRecord](value)
	if err != nil {
		return err
	}
	if whole {
		j.failure = c.Failure
	}
	for _, tc := range c.Tasks {
		if j.finished.has(tc.Task.Occur) {
			continue
		}
		if err := sc.ensureOccurrence(j, tc.Task.Occur); err != nil {
			return err
		}
		t := j.findTask(tc.Task)
		if t == nil {
			return errors.Newf("the job has no task %s", tc.Task)
		}
		sc.restoreHistory(t, tc)
	}
	return nil
}

// restoreHistory adds stored crashes to a task. They may be in two records: an owner
// may have ended between the appends of a commit.
func (sc *Scheduler) restoreHistory(t *task, tc taskCrashes) {
	t.clear(tc.Cleared)
	for _, d := range tc.Dismissed {
		t.dismiss(d)
	}
	for _, o := range tc.Crashes {
		if !t.isSettled(o.Run) {
			t.crashes = append(t.crashes, crash{run: o.Run, node: o.Node, age: o.Age, alone: o.Alone, silent: o.Silent})
		}
	}
	if len(t.crashes) > 0 {
		sc.suspects[t] = true
	}
}
