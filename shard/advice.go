package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

const (
	// mostAsked bounds the workers in one question: the adviser takes its time
	// for each.
	maxWorkersPerRequest = 30
	// mostOpen bounds the questions in flight; the adviser takes them in turn.
	maxRequestsInFlight = 2
	// askAgain is the pause after a question without an answer.
	adviceRetryPause = 200 * time.Millisecond
	// ticketMargin is how long a ticket must still be good when a run is claimed:
	// the claim is stored and the order sent meanwhile.
	minTicketValidity = 300 * time.Millisecond
)

// Question asks the adviser which workers may run a step.
type AdviceRequest struct {
	Step spar.StepRef
	// Workers are names of lives of workers.
	Workers []string
}

// leave is what the adviser has said of one life of a worker.
type permit struct {
	ticket     string
	validUntil time.Time
}

// advice is what is known of where a step may run; which workers those are does
// not change.
type advice struct {
	// leaves are by the life of the worker; one without a ticket may not run
	// the step.
	permits         map[string]permit
	requestInFlight bool
	retryAfter      time.Time
}

// permits tells whether a step may start on a worker as far as advice goes.
func (s *step) mayStartOn(w *worker, now time.Time) bool {
	return !s.job.policy.Advised || s.advice.permits[w.info.Life.ID].validUntil.After(now.Add(minTicketValidity))
}

// Questions returns what the adviser is to be asked now, the most urgent steps
// first, as Plan has found them. Each has to be answered by Advise.
func (sc *Scheduler) AdviceRequests(now time.Time) []AdviceRequest {
	var out []AdviceRequest
	for _, s := range sc.stepsAwaitingAdvice {
		if sc.adviceInFlight+len(out) >= maxRequestsInFlight {
			break
		}
		if s.advice.requestInFlight || now.Before(s.advice.retryAfter) {
			continue
		}
		if ids := sc.workersToAsk(s, now); len(ids) > 0 {
			s.advice.requestInFlight = true
			out = append(out, AdviceRequest{Step: s.ref(), Workers: ids})
		}
	}
	sc.adviceInFlight += len(out)
	return out
}

// askFor returns the workers of which a step has no ticket and may get one,
// those with the most room first.
func (sc *Scheduler) workersToAsk(s *step, now time.Time) []string {
	var ids []string
	pool := sc.candidates(now)
	slices.SortStableFunc(pool, func(a, b *candidate) int {
		return sign(b.info.Size.CPUMilli - b.reserved.CPUMilli - a.info.Size.CPUMilli + a.reserved.CPUMilli)
	})
	for _, w := range pool {
		l, known := s.advice.permits[w.info.Life.ID]
		barred := known && l.ticket == ""
		if len(ids) == maxWorkersPerRequest || barred || s.mayStartOn(w.worker, now) || w.info.Service != s.job.policy.Service || !w.allowsStep(s) {
			continue
		}
		ids = append(ids, w.info.Life.ID)
	}
	return ids
}

// Advise takes the answer to a question: the tickets by worker, good until a
// time. Workers that were asked for and got none may not run the step. A
// question without an answer has ok false.
func (sc *Scheduler) RecordAdvice(q AdviceRequest, tickets map[string]string, until time.Time, ok bool, now time.Time) {
	sc.adviceInFlight--
	s := sc.findStep(q.Step)
	if s == nil {
		return
	}
	s.advice.requestInFlight = false
	if !ok {
		s.advice.retryAfter = now.Add(adviceRetryPause)
		return
	}
	if s.advice.permits == nil {
		s.advice.permits = map[string]permit{}
	}
	for _, id := range q.Workers {
		s.advice.permits[id] = permit{ticket: tickets[id]}
		if tickets[id] != "" {
			s.advice.permits[id] = permit{ticket: tickets[id], validUntil: until}
		}
	}
}

// revoke forgets a ticket that a worker has refused.
func (s *step) forgetPermit(w *worker) { delete(s.advice.permits, w.info.Life.ID) }

func (s *step) ref() spar.StepRef {
	return spar.StepRef{Job: s.job.ID, Occur: s.occurrence.number, Step: s.index}
}

func (sc *Scheduler) findStep(r spar.StepRef) *step {
	j := sc.jobs[r.Job]
	if j == nil {
		return nil
	}
	if t := j.findTask(spar.TaskRef{Job: r.Job, Occur: r.Occur, Step: r.Step}); t != nil {
		return t.step
	}
	return nil
}
