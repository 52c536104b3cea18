package shard

import (
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/codec"
	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"
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

// crashRecord returns the record of a job's crashes, with an empty value if there
// are none any more. It returns false if nothing has to be written.
func (j *job) crashRecord() (spar.Record, bool) {
	out := spar.Record{Key: crashPrefix + j.ID}
	c := crashRecord{Failure: j.failure}
	if !j.hasEnded() {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				for _, t := range s.tasks {
					c.addTask(t)
				}
			}
		}
	}
	if c.Failure == "" && len(c.Tasks) == 0 {
		wasStored := j.crashesStored
		j.crashesStored = false
		return out, wasStored
	}
	value, err := msgpack.Marshal(&c)
	if err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode crashes of job %s", j.ID))
	}
	j.crashesStored = true
	out.Value = value
	return out, true
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

// restoreCrashes loads the record of the crashes of a job's tasks. The record of a
// job that is gone is dropped: an owner of a build without such records has left it.
func (sc *Scheduler) restoreCrashes(id string, value []byte) error {
	j := sc.jobs[id]
	if j == nil {
		sc.droppedCrashes = append(sc.droppedCrashes, id)
		return nil
	}
	c, err := codec.Decode[crashRecord](value)
	if err != nil {
		return errors.Wrapf(err, "decode crashes of job %s", id)
	}
	j.failure, j.crashesStored = c.Failure, true
	for _, tc := range c.Tasks {
		j.ensureOccurrence(tc.Task.Occur)
		t := j.findTask(tc.Task)
		if t == nil {
			return errors.Newf("restore crashes of job %s: the job has no task %s", id, tc.Task)
		}
		t.clearedRun, t.dismissed = tc.Cleared, tc.Dismissed
		for _, o := range tc.Crashes {
			t.crashes = append(t.crashes, crash{run: o.Run, node: o.Node, age: o.Age, alone: o.Alone, silent: o.Silent})
			sc.suspects[t] = true
		}
	}
	return nil
}
