package simul_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/berylspar/spar"
)

const (
	// keptJobs is the number of ended jobs that can still be queried: with their
	// specifications they fill a link of linkRate for five seconds.
	keptJobs = 3000
	// keptRunTime is how long their runs last.
	keptRunTime = 20 * time.Millisecond
	// repeatTime is how long after the end of a job callers repeat its submission.
	repeatTime = 10 * time.Second
	// shortKeepMS is a retention that is over before a random run is.
	shortKeepMS = 30_000
)

// Many jobs have ended that can still be queried, and the entries have slow links in every
// second seed. What a new owner reads must not keep it from renewing its term, or owners
// replace one another long after the last fault. Callers repeat submissions meanwhile,
// which must start no task again.
func TestOwnerStaysBesideManyEndedJobs(t *testing.T) { playKeptJobs(t, false) }

// As above beside tasks that crash their workers.
func TestOwnerStaysBesideManyEndedJobsAndTasksThatCrashWorkers(t *testing.T) { playKeptJobs(t, true) }

// playKeptJobs plays a third of the seeds, since each takes seconds.
func playKeptJobs(t *testing.T, crashingTasks bool) {
	playStandingSeeds(t, (*seeds+2)/3, func(seed uint64) standingOptions {
		o := standingOptions{crashingTasks: crashingTasks, skipsStanding: true, keptJobs: keptJobs, resubmits: true}
		if seed%2 == 1 {
			o.linkRate = linkRate
		}
		return o
	})
}

// Ended jobs reach the end of their retention under owners that change. Each must be known
// until then, and nothing of it may be left in the end: an owner that finds its submission
// alone would start it again.
func TestEndedJobsAreKnownForTheirRetentionAndForgotten(t *testing.T) {
	playStandingSeeds(t, *seeds, func(uint64) standingOptions {
		return standingOptions{skipsStanding: true, resubmits: true, keepMS: shortKeepMS}
	})
}

// submitKeptJobs submits small jobs and waits until they have ended.
func (p *standingPlay) submitKeptJobs(ctx context.Context) {
	for i := range p.keptJobs {
		j := &job{Job: jobOf(fmt.Sprintf("%016x", i), 1), runTime: keptRunTime}
		j.Spec, j.Steps[0].Size = strings.Repeat("x", specBytes), spar.Size{CPUMilli: 10, MemoryMB: 10}
		p.submitJob(p.entries[i%len(p.entries)], j)
		if i%20 == 0 {
			p.disturb(time.Now())
			p.pause(ctx, 50*time.Millisecond)
		}
	}
	for len(p.answers.activeJobs()) > 0 {
		p.disturb(time.Now())
		p.pause(ctx, ruleInterval)
	}
}

// resubmit repeats the submission of a job that has ended, as a caller without an answer
// does.
func (p *standingPlay) resubmit() {
	if !p.resubmits || p.repeats.IntN(4) > 0 {
		return
	}
	jobs := p.answers.endedJobs(repeatTime)
	if p.repeats.IntN(2) == 0 && p.keepMS == 0 {
		jobs = p.answers.endedJobs(p.retention() / 2)
	}
	if len(jobs) == 0 {
		return
	}
	j, e := jobs[p.repeats.IntN(len(jobs))], p.entries[p.repeats.IntN(len(p.entries))]
	go p.retryUntilStored(e, func(ctx context.Context) error { return e.asker.Submit(ctx, j.Job) })
}

// expectForgotten waits until the retention of all jobs is over. It checks that no entry
// knows them any more and that none of their records is left.
func (p *standingPlay) expectForgotten(ctx context.Context) {
	p.pause(ctx, p.retention()+10*time.Second)
	for _, e := range p.entries {
		for _, id := range p.jobIDs() {
			if state, known, err := e.owner.LocalState(id); err == nil && known {
				p.t.Errorf("after its retention: job %s is still %q", id, state)
			}
		}
	}
	p.expectNoRecords()
}
