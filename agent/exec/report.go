package exec

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/link"
)

// resolveStoppedRuns queues the outcome StartNever for stopped runs that are on
// neither list. They never started, and the worker will refuse to start them.
// Only lists requested after the stop was answered are conclusive, and only
// without ends that the worker has yet to list; number is that of l.
func (s *session) resolveStoppedRuns(l spar.RunLists, number int64) {
	listed := map[runKey]bool{}
	for _, r := range l.Running {
		listed[runKey{r.Task, r.Run}] = true
	}
	for _, e := range l.Ended {
		listed[runKey{e.Task, e.Run}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, listNumber := range s.stoppedRuns {
		if number <= listNumber || l.MoreEnds && !listed[k] {
			continue
		}
		delete(s.stoppedRuns, k)
		delete(s.stopOrdered, k)
		if !listed[k] {
			s.life.removeRun(k)
			s.outcomes = append(s.outcomes, link.StartOutcome{Task: k.task, Run: k.run, Result: spar.StartNever})
		}
	}
}

// reportLists sends the changes in the worker's lists to the owner. Until the
// worker has listed all ends it sends the whole list of running runs, and with the
// last ends that the lists are complete. A run that is on neither list before that
// may have ended. The message carries a heartbeat when one is due.
func (s *session) reportLists(l spar.RunLists) error {
	s.mu.Lock()
	full := !s.complete
	s.complete = s.complete || !l.MoreEnds
	m := &link.AgentMessage{Complete: full && s.complete}
	now := time.Now()
	running := make(map[spar.TaskRef]spar.Running, len(l.Running))
	for _, r := range l.Running {
		running[r.Task] = r
		if full || s.reportedRunning[r.Task] != r {
			m.Running = append(m.Running, r)
		}
	}
	s.reportedRunning = running
	for _, e := range l.Ended {
		if e.Number > s.reportedEnd {
			m.Ended = append(m.Ended, e)
		}
	}
	if n := len(l.Ended); n > 0 {
		s.reportedEnd = max(s.reportedEnd, l.Ended[n-1].Number)
	}
	if m.Complete || now.Sub(s.lastHeartbeat) >= heartbeatInterval {
		s.heartbeatNumber++
		s.lastHeartbeat = now
		s.ungranted[s.heartbeatNumber] = sentHeartbeat{workerClock: l.Clock, sentAt: s.clock()}
		m.Heartbeat = s.heartbeatNumber
	}
	m.Outcomes, s.outcomes = s.outcomes, nil
	s.mu.Unlock()
	if m.Heartbeat == 0 && !full && len(m.Running) == 0 && len(m.Ended) == 0 && len(m.Outcomes) == 0 {
		return nil
	}
	return s.send(m)
}

// send sends a message in as many frames as its size needs.
func (s *session) send(m *link.AgentMessage) error {
	for _, piece := range m.Split() {
		if err := s.conn.Send(piece); err != nil {
			return err
		}
	}
	return nil
}

// queueOutcome queues an outcome for the owner.
func (s *session) queueOutcome(o link.StartOutcome) {
	s.mu.Lock()
	s.outcomes = append(s.outcomes, o)
	s.mu.Unlock()
	select {
	case s.outcomeQueued <- struct{}{}:
	default:
	}
}

// sendOutcomes sends queued outcomes without waiting for the worker's next
// lists.
func (s *session) sendOutcomes(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() {
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case <-s.outcomeQueued:
			}
			s.mu.Lock()
			m := &link.AgentMessage{Outcomes: s.outcomes}
			s.outcomes = nil
			s.mu.Unlock()
			if len(m.Outcomes) == 0 {
				continue
			}
			if err := s.send(m); err != nil {
				done <- err
				return
			}
		}
	}()
	return done
}
