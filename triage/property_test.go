package triage_test

import (
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar/triage"
	"pgregory.net/rapid"
)

func drawJobs(t *rapid.T) []triage.Job {
	jobs := make([]triage.Job, rapid.IntRange(0, 30).Draw(t, "jobs"))
	duration := func(least int, name string) time.Duration {
		return time.Duration(rapid.IntRange(least, 60_000).Draw(t, name)) * time.Millisecond
	}
	for i := range jobs {
		due := duration(-60_000, "due")
		jobs[i] = triage.Job{
			ID: string(rune('A' + i)), Priority: rapid.IntRange(0, 2).Draw(t, "priority"), Pool: rapid.SampledFrom([]triage.Pool{p, q}).Draw(t, "pool"),
			Due: due, Last: due + duration(0, "last"), Path: duration(0, "path"), Work: duration(0, "work"),
			Worth: rapid.Float64Range(-1, 100).Draw(t, "worth"), Age: duration(0, "age"),
		}
	}
	return jobs
}

func drawRoom(t *rapid.T) triage.Room {
	return triage.Room{p: rapid.Float64Range(0, 50).Draw(t, "room"), q: rapid.Float64Range(0, 50).Draw(t, "room")}
}

func check(t *testing.T, f func(t *rapid.T, jobs []triage.Job, room triage.Room)) {
	t.Helper()
	rapid.Check(t, func(t *rapid.T) { f(t, drawJobs(t), drawRoom(t)) })
}

func TestOrderHasEachJobOnce(t *testing.T) {
	check(t, func(t *rapid.T, jobs []triage.Job, room triage.Room) {
		ids := order(jobs, room)
		if slices.Sort(ids); len(slices.Compact(ids)) != len(jobs) {
			t.Fatalf("%d jobs, in the order: %v", len(jobs), ids)
		}
	})
}

func TestPriorityIsStrict(t *testing.T) {
	check(t, func(t *rapid.T, jobs []triage.Job, room triage.Room) {
		last := 0
		for _, r := range triage.Order(jobs, room) {
			priority := jobs[r.Index].Priority
			if priority < last {
				t.Fatalf("job of priority %d after one of %d", priority, last)
			}
			last = priority
		}
	})
}

// A better priority never moves a job back.
func TestOrderIsMonotoneInPriority(t *testing.T) {
	check(t, func(t *rapid.T, jobs []triage.Job, room triage.Room) {
		if len(jobs) == 0 {
			return
		}
		i := rapid.IntRange(0, len(jobs)-1).Draw(t, "raised")
		before := slices.Index(order(jobs, room), jobs[i].ID)
		jobs[i].Priority--
		if after := slices.Index(order(jobs, room), jobs[i].ID); after > before {
			t.Fatalf("job at %d is at %d with a better priority", before, after)
		}
	})
}

func TestOrderIgnoresTheOrderOfInput(t *testing.T) {
	check(t, func(t *rapid.T, jobs []triage.Job, room triage.Room) {
		want := order(jobs, room)
		if got := order(rapid.Permutation(jobs).Draw(t, "permuted"), room); !slices.Equal(got, want) {
			t.Fatalf("order %v of permuted input, want %v", got, want)
		}
	})
}

func TestWithRoomForAllNobodyIsSetBack(t *testing.T) {
	check(t, func(t *rapid.T, jobs []triage.Job, room triage.Room) {
		var work time.Duration
		for _, j := range jobs {
			work += j.Work
		}
		for pool := range room {
			room[pool] = 1000 * (work + 1).Seconds()
		}
		for i := range jobs {
			jobs[i].Due = max(jobs[i].Due, time.Millisecond)
		}
		for _, r := range triage.Order(jobs, room) {
			if r.Prospect == triage.SetBack {
				t.Fatalf("job %+v is set back", jobs[r.Index])
			}
		}
	})
}

// A job that has waited for too long is the first of its priority once those have
// completed that have waited longer, whatever else arrives.
func TestNoJobStarves(t *testing.T) {
	check(t, func(t *rapid.T, jobs []triage.Job, room triage.Room) {
		if len(jobs) == 0 {
			return
		}
		waits := jobs[0]
		waits.Last = -triage.MaxWait - time.Duration(rapid.IntRange(0, 1000).Draw(t, "waited"))*time.Millisecond
		jobs = slices.DeleteFunc(jobs, func(j triage.Job) bool {
			return j.ID == waits.ID || j.Priority == waits.Priority && j.Last <= waits.Last
		})
		jobs = append(jobs, waits)
		for _, r := range triage.Order(jobs, room) {
			if j := jobs[r.Index]; j.Priority == waits.Priority {
				if j.ID != waits.ID {
					t.Fatalf("job %+v goes before the one that has waited for too long", j)
				}
				return
			}
		}
	})
}

func TestRunTimesStayWithinWhatWasSeen(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var r triage.RunTimes
		for range rapid.IntRange(0, 50).Draw(t, "ended") {
			r.Add(time.Duration(rapid.Int64Range(-10, 1e12).Draw(t, "estimate")), time.Duration(rapid.Int64Range(-10, 1e12).Draw(t, "ran")), rapid.Float64Range(-1, 1).Draw(t, "weight"))
		}
		if d := r.Predict(time.Duration(rapid.Int64().Draw(t, "estimate"))); d < 0 || d > 24*time.Hour {
			t.Fatalf("predicted %s", d)
		}
	})
}
