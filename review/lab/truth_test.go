package lab

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// Interval is one run of a task on one life of a worker.
type Interval struct {
	Task   string
	Run    int64
	Worker string
	Begin  time.Time
	// End is zero while the run goes on.
	End time.Time
	How string
	// Noted is when the end was taken note of.
	Noted time.Time
}

// Truth holds all runs that workers have carried out.
type Truth struct {
	mu    sync.Mutex
	rec   *Record
	runs  []*Interval
	gangs gangRuns
}

// Started records the start of a run.
func (t *Truth) Started(task string, run int64, worker string) *Interval {
	i := &Interval{Task: task, Run: run, Worker: worker, Begin: time.Now()}
	t.mu.Lock()
	t.runs = append(t.runs, i)
	t.mu.Unlock()
	t.rec.Log("worker %s begins run %d of task %s", worker, run, task)
	return i
}

// Ended records the end of a run.
func (t *Truth) Ended(i *Interval, how string) {
	t.mu.Lock()
	i.End, i.How = time.Now(), how
	t.mu.Unlock()
	t.rec.Log("worker %s ends run %d of task %s: %s", i.Worker, i.Run, i.Task, how)
}

// Overlaps returns the pairs of runs of one task that were at work at the same time on two
// workers that were up.
func (t *Truth) Overlaps() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	var out []string
	for n, a := range t.runs {
		for _, b := range t.runs[n+1:] {
			if a.Task != b.Task {
				continue
			}
			endA, endB := a.End, b.End
			if endA.IsZero() {
				endA = now
			}
			if endB.IsZero() {
				endB = now
			}
			begin, end := a.Begin, endA
			if b.Begin.After(begin) {
				begin = b.Begin
			}
			if endB.Before(end) {
				end = endB
			}
			if end.After(begin) {
				out = append(out, fmt.Sprintf("task %s: run %d on %s and run %d on %s, both at work from %.3f s to %.3f s",
					a.Task, a.Run, a.Worker, b.Run, b.Worker, t.rec.Since(begin), t.rec.Since(end)))
			}
		}
	}
	return out
}

// Of returns copies of the runs of a job's tasks.
func (t *Truth) Of(job string) []Interval {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Interval
	for _, i := range t.runs {
		if len(i.Task) > len(job) && i.Task[:len(job)] == job {
			out = append(out, *i)
		}
	}
	return slices.Clip(out)
}

// Count returns the number of runs that have begun.
func (t *Truth) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.runs)
}

// AtWork returns the number of runs that go on.
func (t *Truth) AtWork() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, i := range t.runs {
		if i.End.IsZero() {
			n++
		}
	}
	return n
}

// LastEnds returns, for each task of a job of which no run goes on, when its last run ended.
func (t *Truth) LastEnds(job string) map[string]time.Time {
	last, atWork := map[string]time.Time{}, map[string]bool{}
	for _, i := range t.Of(job) {
		atWork[i.Task] = atWork[i.Task] || i.End.IsZero()
		if i.End.After(last[i.Task]) {
			last[i.Task] = i.End
		}
	}
	for task := range atWork {
		if atWork[task] {
			delete(last, task)
		}
	}
	return last
}

// Noted records that the end of a run was taken note of: ackedUpto has reached it.
func (t *Truth) Noted(i *Interval, acked int64) {
	t.mu.Lock()
	i.Noted = time.Now()
	t.mu.Unlock()
	t.rec.Log("worker %s: the end of run %d of task %s is taken note of by ackedUpto %d", i.Worker, i.Run, i.Task, acked)
}
