package triage_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/berylspar/spar/triage"
)

var (
	p = triage.Pool{Service: "desk"}
	q = triage.Pool{Service: "desk", Fills: true}
)

// fresh is a job of which nothing has run: n tasks at once, on one processor each.
func fresh(id string, n int, task, due time.Duration) triage.Job {
	work := time.Duration(n) * task
	return triage.Job{ID: id, Pool: p, Due: due, Last: 3 * due, Path: task, Work: work, Worth: 10 + work.Seconds()}
}

type change func(*triage.Job)

func (c change) apply(j triage.Job) triage.Job { c(&j); return j }

func order(jobs []triage.Job, room triage.Room) (out []string) {
	for _, r := range triage.Order(jobs, room) {
		out = append(out, jobs[r.Index].ID)
	}
	return out
}

func TestOrderByLoadPattern(t *testing.T) {
	const s = time.Second
	half := change(func(j *triage.Job) { j.Work /= 2 })
	room := func(cores float64) triage.Room { return triage.Room{p: cores} }
	for _, c := range []struct {
		pattern string
		jobs    []triage.Job
		room    triage.Room
		want    string
	}{
		{"no jobs", nil, room(1), "[]"},
		{"burst of one kind: one is set back, the others are in time", []triage.Job{
			fresh("small", 10, s, 2*s), fresh("large", 40, s, 2*s), fresh("other", 12, s, 2*s),
		}, room(16), "[small other large]"},
		{"burst of all kinds: the first priority takes its room first", []triage.Job{
			change(func(j *triage.Job) { j.Priority = 2 }).apply(fresh("plan", 16, s, 2*s)), fresh("check", 32, s, 2*s),
		}, room(16), "[check plan]"},
		{"wave past its crest: late jobs wait for those that can be in time", []triage.Job{
			fresh("late", 4, 3*s, s), fresh("in time", 40, s, 9*s), fresh("expired", 1, 9*s, s),
		}, room(16), "[in time late expired]"},
		{"wide jobs: what has begun is completed first", []triage.Job{
			fresh("new", 30, s, 4*s), half.apply(fresh("begun", 40, s, 4*s)),
		}, nil, "[begun new]"},
		{"cancels amid a burst: the job set back moves up", []triage.Job{
			fresh("small", 10, s, 2*s), fresh("large", 20, s, 2*s),
		}, room(16), "[small large]"},
		{"room lost to a zone: those that still fit stay ahead", []triage.Job{
			fresh("soon", 30, s, 2*s), fresh("wide", 60, s, 8*s), fresh("small", 2, s, 2*s),
		}, room(8), "[small wide soon]"},
		{"waited for too long: goes ahead, the longest wait first and one at a time", []triage.Job{
			fresh("in time", 1, s, 2*s),
			change(func(j *triage.Job) { j.Last = -triage.MaxWait }).apply(fresh("waits", 9, s, -s)),
			change(func(j *triage.Job) { j.Last = -triage.MaxWait - s }).apply(fresh("waits longer", 9, s, -s)),
		}, nil, "[waits longer in time waits]"},
	} {
		t.Run(c.pattern, func(t *testing.T) {
			if got := fmt.Sprint(order(c.jobs, c.room)); got != c.want {
				t.Errorf("order is %s, want %s", got, c.want)
			}
			slices.Reverse(c.jobs)
			if got := fmt.Sprint(order(c.jobs, c.room)); got != c.want {
				t.Errorf("order of the reversed input is %s, want %s", got, c.want)
			}
		})
	}
}
