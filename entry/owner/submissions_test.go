package owner

import (
	"testing"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/shard"
)

// A follower that is behind reads a repeated submission together with the drop that came
// after it, when the job is already forgotten. The dropped submission must not start the job.
func TestSubmissionThatWasDroppedSinceIsNotApplied(t *testing.T) {
	b := newDepartureBench(t)
	tm := newTerm(b.candidate, 9, time.Hour)
	j := spar.Job{ID: "0000000000000001", Queue: "q", Steps: []spar.Step{{Count: 1, Size: spar.Size{CPUMilli: 1, MemoryMB: 1}, Estimate: time.Second}}}
	key := JobPrefix + j.ID
	tm.applyJobRecords([]spar.Record{{Key: key, Value: shard.EncodeJob(j)}, {Key: key}})
	if state, known := tm.scheduler.JobState(j.ID); known {
		t.Errorf("the job is %q", state)
	}
}
