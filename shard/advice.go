package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

const (
	// maxWorkersPerRequest bounds the workers in one request, since the adviser
	// needs time for each.
	maxWorkersPerRequest = 30
	// maxRequestsInFlight bounds the requests in flight. The adviser handles
	// them one after another.
	maxRequestsInFlight = 2
	// adviceRetryPause is the pause after a failed request.
	adviceRetryPause = 200 * time.Millisecond
	// minTicketValidity is how long a ticket must still be valid when a run is
	// claimed. It covers storing the claim and sending the order.
	minTicketValidity = 300 * time.Millisecond
)

// AdviceRequest asks the adviser which workers may run a step.
type AdviceRequest struct {
	Step spar.StepRef
	// Workers are the names of lives of workers.
	Workers []string
}

// permit is the adviser's answer for one life of a worker. Without a ticket the
// worker may not run the step.
type permit struct {
	ticket     string
	validUntil time.Time
}

// advice holds the adviser's answers for a step. Tickets expire, but whether a
// worker may run a step does not change.
type advice struct {
	// permits are keyed by the name of the worker's life.
	permits         map[string]permit
	requestInFlight bool
	retryAfter      time.Time
}

// mayStartOn reports whether a step may start on a worker: its queue requires
// no advice, or the worker has a ticket that is valid long enough.
func (s *step) mayStartOn(w *worker, now time.Time) bool {
	return !s.job.policy.Advised || s.advice.permits[w.info.Life.ID].validUntil.After(now.Add(minTicketValidity))
}

// AdviceRequests returns the requests to send to the adviser now, for the steps
// that the last Plan could not place, most urgent first. Each one must be
// answered by a call of RecordAdvice.
func (sc *Scheduler) AdviceRequests(now time.Time) []AdviceRequest {
	var out []AdviceRequest
	var pool []*candidate
	for checks := 0; len(sc.stepsAwaitingAdvice) > 0 && checks < maxChecks && sc.adviceInFlight+len(out) < maxRequestsInFlight; checks += 1 + len(pool) {
		s := sc.stepsAwaitingAdvice[0]
		sc.stepsAwaitingAdvice = sc.stepsAwaitingAdvice[1:]
		if s.advice.requestInFlight || now.Before(s.advice.retryAfter) {
			continue
		}
		if pool == nil {
			pool = sc.candidates(now)
			slices.SortStableFunc(pool, func(a, b *candidate) int {
				return sign(b.info.Size.CPUMilli - b.reserved.CPUMilli - a.info.Size.CPUMilli + a.reserved.CPUMilli)
			})
		}
		if ids := sc.workersToAsk(s, pool, now); len(ids) > 0 {
			s.advice.requestInFlight = true
			out = append(out, AdviceRequest{Step: s.ref(), Workers: ids})
		}
	}
	sc.adviceInFlight += len(out)
	return out
}

// workersToAsk returns the workers of a pool for which a step has no valid ticket and may
// get one, in the order of the pool, which is that of their free CPU.
func (sc *Scheduler) workersToAsk(s *step, pool []*candidate, now time.Time) []string {
	var ids []string
	for _, w := range pool {
		p, known := s.advice.permits[w.info.Life.ID]
		barred := known && p.ticket == ""
		if len(ids) == maxWorkersPerRequest || barred || now.Before(w.failingUntil) && !s.Standing || s.mayStartOn(w.worker, now) || w.info.Service != s.job.policy.Service || !w.allowsStep(s) {
			continue
		}
		ids = append(ids, w.info.Life.ID)
	}
	return ids
}

// RecordAdvice records the answer to a request: tickets by worker, valid until
// a time. Workers in the request without a ticket may not run the step. If ok
// is false, the request failed and is repeated later.
func (sc *Scheduler) RecordAdvice(q AdviceRequest, tickets map[string]string, validUntil time.Time, ok bool, now time.Time) {
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
			s.advice.permits[id] = permit{ticket: tickets[id], validUntil: validUntil}
		}
	}
}

// forgetPermit drops a ticket that a worker has refused, so that a new one is
// requested.
func (s *step) forgetPermit(w *worker) { delete(s.advice.permits, w.info.Life.ID) }

func (s *step) ref() spar.StepRef {
	return spar.StepRef{Job: s.job.ID, Occur: s.occurrence.number, Step: s.index}
}

// findStep returns the named step, or nil if it is unknown.
func (sc *Scheduler) findStep(r spar.StepRef) *step {
	if t := sc.findTask(spar.TaskRef{Job: r.Job, Occur: r.Occur, Step: r.Step}); t != nil {
		return t.step
	}
	return nil
}
