package admit

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func drawLoad(t *rapid.T) Load {
	b := func(name string) Backlog {
		out := Backlog{DrainMilli: rapid.Int64Range(0, 100_000).Draw(t, name+" drain")}
		for p := range 4 {
			w := Waiting{Priority: p, Late: time.Duration(rapid.Int64Range(0, 3600).Draw(t, name+" late")) * time.Second}
			for s := range w.Sizes {
				w.Sizes[s] = time.Duration(rapid.Int64Range(0, 600).Draw(t, name+" work")) * time.Second
				w.Work += w.Sizes[s]
			}
			out.Waiting = append(out.Waiting, w)
		}
		return out
	}
	return Load{Age: time.Duration(rapid.Int64Range(0, 4000).Draw(t, "age")) * time.Millisecond,
		Services: map[string]Service{"desk": {Reserved: b("reserved"), Filling: b("filling")}}}
}

func drawRequest(t *rapid.T) Request {
	return Request{
		ID: fmt.Sprintf("%016x", rapid.Uint64().Draw(t, "id")), Service: "desk", Priority: rapid.IntRange(0, 4).Draw(t, "priority"),
		Work:      time.Duration(rapid.Int64Range(0, 1000).Draw(t, "work")) * time.Second,
		Objective: time.Duration(rapid.Int64Range(1, 30_000).Draw(t, "objective")) * time.Millisecond, Standing: rapid.Bool().Draw(t, "standing"),
		Reserves: rapid.Bool().Draw(t, "reserves"), Fills: rapid.Bool().Draw(t, "fills"), History: History(rapid.IntRange(0, 1).Draw(t, "history")),
		Refusals: rapid.IntRange(0, 4).Draw(t, "refusals"), Patience: time.Duration(rapid.Int64Range(0, 5000).Draw(t, "patience")) * time.Millisecond,
	}
}

// Whatever the load is, these are never refused, and what is refused is hopeless by a
// clear margin.
func TestWhatIsNeverRefused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, l, q := DefaultRules(), drawLoad(t), drawRequest(t)
		if !r.Decide(l, q).IsRefused() {
			return
		}
		s := l.Services["desk"]
		reserved, _ := s.Reserved.WaitAt(q.Priority, SizeOf(q.Work))
		filling, _ := s.Filling.WaitAt(q.Priority, SizeOf(q.Work))
		switch {
		case l.Age > r.MaxAge, q.Standing, q.History == MayBeAccepted, q.Refusals >= r.MaxRefusals:
			t.Fatalf("refused: %+v at %+v", q, l)
		case max(reserved, filling) <= 6*q.Objective:
			t.Fatalf("refused though the backlog takes only %s", max(reserved, filling))
		}
	})
}

func TestRoomWithoutBacklogAcceptsEverything(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := drawRequest(t)
		drain := rapid.Int64Range(0, 100_000).Draw(t, "drain")
		b := Backlog{DrainMilli: drain, Waiting: []Waiting{{Priority: 0}}}
		if v := DefaultRules().Decide(Load{Services: map[string]Service{"desk": {Reserved: b, Filling: b}}}, q); v.IsRefused() {
			t.Fatalf("%+v", v)
		}
	})
}

// A higher priority is accepted wherever a lower one is, waits no longer, and returns
// no later.
func TestMonotoneInPriority(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, l, q := DefaultRules(), drawLoad(t), drawRequest(t)
		higher := q
		higher.Priority = rapid.IntRange(0, q.Priority).Draw(t, "higher priority")
		a, b := r.Decide(l, higher), r.Decide(l, q)
		if a.IsRefused() && !b.IsRefused() || a.IsRefused() && b.IsRefused() && (a.Return > b.Return || a.Wait > b.Wait) {
			t.Fatalf("priority %d: %+v, priority %d: %+v", higher.Priority, a, q.Priority, b)
		}
	})
}

// A caller is sent away for at least a second, and not beyond the bound or its own
// patience.
func TestReturnIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, q := DefaultRules(), drawRequest(t)
		got := r.Return(time.Duration(rapid.Int64Range(-1000, 1<<40).Draw(t, "after"))*time.Millisecond, q)
		if got < minReturn || got > r.MaxReturn || q.Patience > minReturn && got > q.Patience {
			t.Fatalf("%s for a patience of %s", got, q.Patience)
		}
	})
}

// However long a burst lasts, a caller that returns as told is accepted after a bounded
// number of tries.
func TestNobodyStarves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, q := DefaultRules(), drawRequest(t)
		for q.Refusals = 0; q.Refusals <= r.MaxRefusals; q.Refusals++ {
			if !r.Decide(drawLoad(t), q).IsRefused() {
				return
			}
		}
		t.Fatalf("refused %d times", q.Refusals)
	})
}

// Callers that are refused together return over several seconds, the most urgent first.
func TestReturnsAreSpread(t *testing.T) {
	const callers = 1000
	perSecond, sum := map[int]int{}, map[int]time.Duration{}
	for i := range callers {
		for _, priority := range []int{0, 2} {
			q := short(priority)
			q.ID = fmt.Sprintf("%016x", i*0x9e3779b1)
			back := DefaultRules().Return(4*time.Second, q)
			sum[priority] += back
			if priority == 2 {
				perSecond[Seconds(back)]++
			}
		}
	}
	if sum[0] >= sum[2] {
		t.Errorf("priority 0 returns after %s on average, priority 2 after %s", sum[0]/callers, sum[2]/callers)
	}
	for s, n := range perSecond {
		if n > callers*3/4 {
			t.Errorf("%d of %d return after %d s", n, callers, s)
		}
	}
}
