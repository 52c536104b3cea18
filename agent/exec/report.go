package exec

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// settle reports runs that were stopped and are on neither list: they never
// began, and the worker will not let them.
func (s *session) settle(l spar.Listed, number int64) {
	there := map[runKey]bool{}
	for _, r := range l.Running {
		there[runKey{r.Task, r.Run}] = true
	}
	for _, e := range l.Ended {
		there[runKey{e.Task, e.Run}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, after := range s.unsettled {
		if number <= after {
			continue
		}
		delete(s.unsettled, k)
		if !there[k] {
			s.results = append(s.results, link.StartOutcome{Task: k.task, Run: k.run, Result: spar.StartNever})
		}
	}
}

// report tells the owner what is new on the worker's lists.
func (s *session) report(l spar.Listed, all bool) error {
	m := &link.AgentMessage{Complete: all}
	s.mu.Lock()
	now := time.Now()
	rows := make(map[spar.TaskRef]spar.Running, len(l.Running))
	for _, r := range l.Running {
		rows[r.Task] = r
		if all || s.rows[r.Task] != r {
			m.Running = append(m.Running, r)
		}
	}
	s.rows = rows
	for _, e := range l.Ended {
		if e.Number > s.passed {
			m.Ended = append(m.Ended, e)
		}
	}
	if n := len(l.Ended); n > 0 {
		s.passed = max(s.passed, l.Ended[n-1].Number)
	}
	if all || now.Sub(s.beatAt) >= beatEvery {
		s.beat++
		s.beatAt = now
		s.sent[s.beat] = sentBeat{clock: l.Clock, at: s.clock()}
		m.Heartbeat = s.beat
	}
	m.Outcomes, s.results = s.results, nil
	s.mu.Unlock()
	if m.Heartbeat == 0 && !all && len(m.Running) == 0 && len(m.Ended) == 0 && len(m.Outcomes) == 0 {
		return nil
	}
	return s.conn.Send(m)
}

// result queues an outcome for the owner.
func (s *session) result(o link.StartOutcome) {
	s.mu.Lock()
	s.results = append(s.results, o)
	s.mu.Unlock()
	select {
	case s.news <- struct{}{}:
	default:
	}
}

// flush sends outcomes without waiting for the next list.
func (s *session) flush(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-s.news:
			}
			s.mu.Lock()
			m := &link.AgentMessage{Outcomes: s.results}
			s.results = nil
			s.mu.Unlock()
			if len(m.Outcomes) == 0 {
				continue
			}
			if err := s.conn.Send(m); err != nil {
				done <- err
				return
			}
		}
	}()
	return done
}
