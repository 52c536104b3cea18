package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

const (
	// mostAsked bounds the workers in one question: the adviser takes its time
	// for each.
	mostAsked = 30
	// mostOpen bounds the questions in flight; the adviser takes them in turn.
	mostOpen = 2
	// askAgain is the pause after a question without an answer.
	askAgain = 200 * time.Millisecond
	// ticketMargin is how long a ticket must still be good when a run is claimed:
	// the claim is stored and the order sent meanwhile.
	ticketMargin = 300 * time.Millisecond
)

// Question asks the adviser which workers may run a step.
type Question struct {
	Step spar.StepRef
	// Workers are names of lives of workers.
	Workers []string
}

// leave is what the adviser has said of one life of a worker.
type leave struct {
	ticket string
	until  time.Time
}

// advice is what is known of where a step may run; which workers those are does
// not change.
type advice struct {
	// leaves are by the life of the worker; one without a ticket may not run
	// the step.
	leaves map[string]leave
	open   bool
	after  time.Time
}

// permits tells whether a step may start on a worker as far as advice goes.
func (s *step) permits(w *worker, now time.Time) bool {
	return !s.job.policy.Advised || s.advice.leaves[w.info.Life.ID].until.After(now.Add(ticketMargin))
}

// Questions returns what the adviser is to be asked now, the most urgent steps
// first, as Plan has found them. Each has to be answered by Advise.
func (c *Core) Questions(now time.Time) []Question {
	var out []Question
	for _, s := range c.unadvised {
		if c.asking+len(out) >= mostOpen {
			break
		}
		if s.advice.open || now.Before(s.advice.after) {
			continue
		}
		if ids := c.askFor(s, now); len(ids) > 0 {
			s.advice.open = true
			out = append(out, Question{Step: s.ref(), Workers: ids})
		}
	}
	c.asking += len(out)
	return out
}

// askFor returns the workers of which a step has no ticket and may get one,
// those with the most room first.
func (c *Core) askFor(s *step, now time.Time) []string {
	var ids []string
	pool := c.pool(now)
	slices.SortStableFunc(pool, func(a, b *candidate) int {
		return sign(b.info.Size.CPUMilli - b.reserved.CPUMilli - a.info.Size.CPUMilli + a.reserved.CPUMilli)
	})
	for _, w := range pool {
		l, known := s.advice.leaves[w.info.Life.ID]
		barred := known && l.ticket == ""
		if len(ids) == mostAsked || barred || s.permits(w.worker, now) || w.info.Service != s.job.policy.Service || !w.allows(s) {
			continue
		}
		ids = append(ids, w.info.Life.ID)
	}
	return ids
}

// Advise takes the answer to a question: the tickets by worker, good until a
// time. Workers that were asked for and got none may not run the step. A
// question without an answer has ok false.
func (c *Core) Advise(q Question, tickets map[string]string, until time.Time, ok bool, now time.Time) {
	c.asking--
	s := c.findStep(q.Step)
	if s == nil {
		return
	}
	s.advice.open = false
	if !ok {
		s.advice.after = now.Add(askAgain)
		return
	}
	if s.advice.leaves == nil {
		s.advice.leaves = map[string]leave{}
	}
	for _, id := range q.Workers {
		s.advice.leaves[id] = leave{ticket: tickets[id]}
		if tickets[id] != "" {
			s.advice.leaves[id] = leave{ticket: tickets[id], until: until}
		}
	}
}

// revoke forgets a ticket that a worker has refused.
func (s *step) revoke(w *worker) { delete(s.advice.leaves, w.info.Life.ID) }

func (s *step) ref() spar.StepRef {
	return spar.StepRef{Job: s.job.ID, Occur: s.occur.number, Step: s.index}
}

func (c *Core) findStep(r spar.StepRef) *step {
	j := c.jobs[r.Job]
	if j == nil {
		return nil
	}
	if t := j.find(spar.TaskRef{Job: r.Job, Occur: r.Occur, Step: r.Step}); t != nil {
		return t.step
	}
	return nil
}
