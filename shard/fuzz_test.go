package shard

import (
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fuzz"
)

// fuzzJob is the job whose records are restored.
const fuzzJob = "5c0e7a21d94b36f8"

func storedJob() spar.Job {
	return spar.Job{ID: fuzzJob, Queue: "q", Steps: []spar.Step{{Count: 3}, {Count: 2, After: []int{0}, Gang: true}}}
}

// A stored job that is accepted must be one that the system can hold.
func FuzzDecodeJob(f *testing.F) {
	f.Add(EncodeJob(storedJob()))
	f.Fuzz(func(t *testing.T, value []byte) {
		fuzz.Bounded(t, len(value), func() {
			j, err := DecodeJob(value)
			if err != nil {
				return
			}
			if again, err := DecodeJob(EncodeJob(j)); err != nil || again.ID != j.ID || len(again.Steps) != len(j.Steps) {
				t.Errorf("%+v is %+v, %v after it was written", j, again, err)
			}
		})
	})
}

// Records of another build, or torn ones, must not end an owner that restores them.
func FuzzRestore(f *testing.F) {
	rows := []occurProgress{{Number: 0, Tasks: []taskProgress{{Step: 0, Index: 1, Last: 2, Failed: []int64{1}, Saved: "s", Runs: []runProgress{{Number: 2, Node: "n", Life: "i-1", Born: 7}}}}}}
	f.Add(fuzzJob, marshal(&progress{State: Active, Begun: true, Occurs: rows}))
	f.Add(fuzzJob, marshal(&progress{State: Completed, Occurs: []occurProgress{{Number: 1700000000}}}))
	f.Add(fuzzJob, marshal(&progress{State: Active, Occurs: []occurProgress{{Number: -1, Tasks: []taskProgress{{Step: -1, Index: 1 << 40}}}}}))
	f.Add(partPrefix+fuzzJob+"/0", marshal(&rows))
	f.Add(crashPrefix+fuzzJob, marshal(&crashRecord{Failure: "f", Tasks: []taskCrashes{{Task: spar.TaskRef{Job: fuzzJob, Step: 9}}}}))
	f.Add(grantedPrefix+"n", marshal(&grantedLife{ID: "i-1", Born: 1 << 62, From: -1}))
	f.Add(modelKey, []byte("\x91\x94\xa1s\xa1f\xca\x7f\xc0\x00\x00\xca\xff\x80\x00\x00"))
	f.Fuzz(func(t *testing.T, key string, value []byte) {
		fuzz.Bounded(t, len(value), func() {
			now := time.UnixMilli(1700000000000)
			sc := NewScheduler(Limits{Lease: 5 * time.Second, MaxLease: 6 * time.Second, Retention: time.Minute}, func(Event) {})
			sc.SetRules(&spar.Rules{Queues: []spar.Queue{{Name: "q", MaxAttempts: 3}}})
			sc.Submit(storedJob(), now)
			sc.Restore([]spar.Record{{Key: key, Value: value}}, now, now.Add(time.Second))
			sc.Plan(now.Add(time.Minute))
		})
	})
}

func FuzzParsePart(f *testing.F) {
	f.Add(fuzzJob + "/0")
	f.Add(fuzzJob + "/1/2")
	f.Add(strings.Repeat("/", 100))
	f.Fuzz(func(t *testing.T, rest string) {
		if _, part, piece, err := parsePart(rest); err == nil && (part < 0 || piece < 0) {
			t.Errorf("%q: part %d, piece %d", rest, part, piece)
		}
	})
}
