package simul_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/shard"
)

const (
	// visibleTime is how long after its acceptance a job may still be answered as unknown.
	visibleTime = 3 * time.Second
	// maxUnansweredTime is how long an entry may answer no query while nothing disturbs
	// the deployment, and queryLimit how long one may take.
	maxUnansweredTime = 3 * time.Second
	queryLimit        = 2 * time.Second
	// staleOwnerTime is how long an owner that was replaced without being told may answer
	// from what it knows: the time for which the store lets it be the owner.
	staleOwnerTime = time.Second
	// jobsPerCheck bounds the jobs that one check asks the owner for.
	jobsPerCheck = 100
)

// answerRule checks what entries answer about accepted jobs: these are known until their
// retention is over, and a job that has ended stays so.
type answerRule struct {
	*simulation
	// draws picks the jobs that entries are asked for.
	draws *rand.Rand
	// next is the place of the next job that the owner is asked for.
	next int

	// answers guards the fields below. It is taken before simulation.mu.
	answers sync.Mutex
	// ends holds the final states that were shown.
	ends map[string]shownEnd
	// activeAt is when a job was last known not to have ended.
	activeAt map[string]time.Time
	// answeredAt is when each entry last answered a query.
	answeredAt map[*entry]time.Time
	found      []string
	// answered counts the answers of entries to callers.
	answered int
}

// shownEnd is a final state, and when and by which entry it was first shown.
type shownEnd struct {
	state shard.State
	at    time.Time
	by    string
}

func newAnswerRule(s *simulation) *answerRule {
	return &answerRule{simulation: s, draws: rand.New(rand.NewPCG(s.seed, 13)), ends: map[string]shownEnd{}, activeAt: map[string]time.Time{}, answeredAt: map[*entry]time.Time{}}
}

// acceptedJobs returns the jobs among those of the IDs whose callers were told that they
// are stored.
func (s *simulation) acceptedJobs(ids []string) []job {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []job
	for _, id := range ids {
		if j := s.jobs[id]; !j.acceptedAt.IsZero() {
			out = append(out, *j)
		}
	}
	return out
}

// jobIDs returns the IDs of all jobs in the order of their submission.
func (s *simulation) jobIDs() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.submitted[:len(s.submitted):len(s.submitted)]
}

// violations asks the owner for some jobs, and each entry for one. It returns what was
// wrong in the answers since the last call.
func (r *answerRule) violations(isCalm bool) []string {
	now, jobs := time.Now(), r.acceptedJobs(r.nextJobs())
	for _, e := range r.entries {
		if e.cancel != nil && len(jobs) > 0 {
			r.askLocally(e, jobs)
			go r.ask(e, e.asker, jobs[r.draws.IntN(len(jobs))])
		}
	}
	r.answers.Lock()
	defer r.answers.Unlock()
	for _, e := range r.entries {
		silent := now.Sub(r.answeredAt[e])
		switch {
		case !isCalm || len(jobs) == 0:
			r.answeredAt[e] = now
		case silent > maxUnansweredTime:
			r.found = append(r.found, fmt.Sprintf("%s has answered no query for %s, and nothing was disturbed", e.name, silent))
		}
	}
	return r.found
}

// nextJobs returns the IDs of the jobs that the next check asks for, each in its turn.
func (r *answerRule) nextJobs() []string {
	ids := r.jobIDs()
	if len(ids) <= jobsPerCheck {
		return ids
	}
	begin := r.next % len(ids)
	r.next = begin + jobsPerCheck
	return slices.Concat(ids, ids)[begin:r.next]
}

// askLocally asks an entry that serves as the owner for jobs.
func (r *answerRule) askLocally(e *entry, jobs []job) {
	now := time.Now()
	for _, j := range jobs {
		if state, known, err := e.owner.LocalState(j.ID); err == nil {
			r.check(e, j, state, known, now)
		}
	}
}

// ask asks an entry for a job as a caller does.
func (r *answerRule) ask(e *entry, via *owner.Client, j job) {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(r.ctx, queryLimit)
	defer cancel()
	status, err := via.State(ctx, j.ID)
	if err != nil {
		return
	}
	r.answers.Lock()
	r.answeredAt[e] = time.Now()
	r.answered++
	r.answers.Unlock()
	r.check(e, j, status.State, status.Known, sent)
}

// check records what an entry answered about a job to a query that was sent at a time.
func (r *answerRule) check(e *entry, j job, state shard.State, known bool, sent time.Time) {
	r.answers.Lock()
	defer r.answers.Unlock()
	end, hasEnded := r.ends[j.ID]
	report := func(what string) {
		r.found = append(r.found, fmt.Sprintf("after %s: %s: job %s, accepted after %s, %s", sent.Sub(r.startedAt), e.name, j.ID, j.acceptedAt.Sub(r.startedAt), what))
	}
	isFinal := state == shard.Completed || state == shard.Failed || state == shard.Cancelled
	switch {
	case !known:
		activeAt := j.acceptedAt
		if at := r.activeAt[j.ID]; at.After(activeAt) {
			activeAt = at
		}
		if sent.Sub(j.acceptedAt) > visibleTime && sent.Sub(activeAt) <= r.retention() {
			report(fmt.Sprintf("is answered as unknown; last end shown: %q", end.state))
		}
	case hasEnded && state != end.state && sent.Sub(end.at) > staleOwnerTime:
		report(fmt.Sprintf("is %q, but was shown as %s by %s after %s", state, end.state, end.by, end.at.Sub(r.startedAt)))
	case state == shard.Cancelled && !r.cancelWasRequested(j.ID):
		report("is cancelled, and nobody has cancelled it")
	case isFinal && !hasEnded:
		r.ends[j.ID] = shownEnd{state, time.Now(), e.name}
		r.recordEnd(j.ID)
	case !isFinal && !hasEnded && sent.After(r.activeAt[j.ID]):
		r.activeAt[j.ID] = sent
	}
}

func (s *simulation) cancelWasRequested(id string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.jobs[id].cancelRequested
}

func (s *simulation) recordEnd(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id].endedAt = time.Now()
}

// endedJobs returns the accepted jobs that were first shown as ended at most a while ago.
func (r *answerRule) endedJobs(within time.Duration) []job {
	jobs := r.acceptedJobs(r.jobIDs())
	r.answers.Lock()
	defer r.answers.Unlock()
	return slices.DeleteFunc(jobs, func(j job) bool {
		end, ok := r.ends[j.ID]
		return !ok || time.Since(end.at) > within
	})
}

// activeJobs returns the IDs of the jobs that were not shown as ended.
func (r *answerRule) activeJobs() []string {
	r.answers.Lock()
	defer r.answers.Unlock()
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []string
	for id := range r.jobs {
		if _, ok := r.ends[id]; !ok {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
