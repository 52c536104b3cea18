package admit

import "time"

// Decide returns whether a job is accepted. It refuses only a job that would be done
// after its result has become worthless, even if the backlog takes Margin times less
// than it seems to.
func (r Rules) Decide(l Load, q Request) Verdict {
	switch {
	case q.History != NeverAccepted:
		return Verdict{Reason: Repeat}
	case q.Standing:
		return Verdict{Reason: Lasting}
	case l.Age < 0 || l.Age > r.MaxAge:
		return Verdict{Reason: NotKnown}
	}
	s, ok := l.Services[q.Service]
	if !ok {
		return Verdict{Reason: NotKnown}
	}
	wait, known := s.wait(q)
	limit := time.Duration(r.Margin * r.WorthlessAfter * float64(q.Objective))
	switch {
	case wait <= limit && !known:
		return Verdict{Reason: NotKnown, Wait: wait}
	case wait <= limit:
		return Verdict{Reason: InTime, Wait: wait}
	case q.Refusals >= r.MaxRefusals:
		return Verdict{Reason: RefusedOften, Wait: wait}
	}
	return Verdict{Reason: Hopeless, Wait: wait, Return: r.Return(wait-limit, q)}
}

// wait returns how long the backlog before a request takes at least, and whether that
// is known of all that the request needs.
func (s Service) wait(q Request) (wait time.Duration, known bool) {
	known = true
	for _, b := range []struct {
		Backlog
		used bool
	}{{s.Reserved, q.Reserves}, {s.Filling, q.Fills}} {
		if b.used {
			w, ok := b.WaitAt(q.Priority, SizeOf(q.Work))
			wait, known = max(wait, w), known && ok
		}
	}
	return wait, known
}
