package link

import (
	"cmp"
	"slices"
)

const (
	// maxPieceBytes bounds the rows of a message, by their estimated size.
	maxPieceBytes = 1 << 20
	// rowBytes is the size of a row beside its texts, at most.
	rowBytes = 160
)

// splitter distributes rows over messages of type M. The zero value is empty.
type splitter[M any] struct {
	full    []*M
	current M
	size    int
}

// message returns the message for a row with texts of the given length.
func (s *splitter[M]) message(textBytes int) *M {
	if s.size += rowBytes + textBytes; s.size > maxPieceBytes {
		full := s.current
		s.full = append(s.full, &full)
		var empty M
		s.current, s.size = empty, rowBytes+textBytes
	}
	return &s.current
}

// Split returns messages that together say the same and fit into a frame each. Rows come
// in their order, and everything else is in the last message, so that it takes effect
// after all rows.
func (m *AgentMessage) Split() []*AgentMessage {
	var s splitter[AgentMessage]
	for _, r := range m.Running {
		p := s.message(len(r.Checkpoint) + len(r.Task.Job))
		p.Running = append(p.Running, r)
	}
	for _, e := range m.Ended {
		p := s.message(len(e.Checkpoint) + len(e.Task.Job))
		p.Ended = append(p.Ended, e)
	}
	for _, o := range m.Outcomes {
		p := s.message(len(o.Task.Job))
		p.Outcomes = append(p.Outcomes, o)
	}
	last := *m
	last.Running, last.Ended, last.Outcomes = s.current.Running, s.current.Ended, s.current.Outcomes
	return append(s.full, &last)
}

// Split returns messages that together say the same and fit into a frame each. Everything
// but the orders is in the last message.
func (m *OwnerMessage) Split() []*OwnerMessage {
	var s splitter[OwnerMessage]
	for _, o := range m.Starts {
		p := s.message(len(o.Task.Job) + len(o.Spec) + len(o.Checkpoint) + len(o.Ticket))
		p.Starts = append(p.Starts, o)
	}
	for _, o := range m.Stops {
		p := s.message(len(o.Task.Job))
		p.Stops = append(p.Stops, o)
	}
	for _, o := range m.Paces {
		p := s.message(len(o.Task.Job))
		p.Paces = append(p.Paces, o)
	}
	last := *m
	last.Starts, last.Stops, last.Paces = s.current.Starts, s.current.Stops, s.current.Paces
	return append(s.full, &last)
}

// maxLostRuns is the number of lost runs that a report of a life's end holds.
const maxLostRuns = 4000

// Shorten drops the oldest of the lost runs if there are more than a message should hold.
// Those that were started last are the ones that may have crashed the worker.
func (e *LifeEnd) Shorten() {
	if len(e.Runs) > maxLostRuns {
		slices.SortFunc(e.Runs, func(a, b LostRun) int { return cmp.Compare(a.Age, b.Age) })
		e.Runs = e.Runs[:maxLostRuns]
	}
}
