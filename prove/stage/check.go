package stage

import (
	"fmt"
	"time"

	"github.com/berylspar/spar/stand/work"
)

// Closure is a period during which a domain was closed, on the platform's clock.
type Closure struct {
	Domain string
	From   time.Duration
	// To is 0 while the domain is closed.
	To time.Duration
}

// CloseGrace is the time after the closure from which no task may start in a
// closed domain.
const CloseGrace = 3 * time.Second

// Violations checks the platform's record against the invariants of the system
// and returns a text for each violation. mayRepeat reports whether the tasks of a
// job may run again when their outcome is unknown; nil means that none may.
func Violations(r work.Report, closures []Closure, mayRepeat func(job string) bool) []string {
	out := append([]string{}, taskViolations(r, mayRepeat)...)
	for _, w := range r.Overcommitted {
		out = append(out, "committed beyond its size: "+w)
	}
	for k, n := range r.KeyExecutions {
		if n > 1 {
			out = append(out, fmt.Sprintf("request %s ran %d times", k, n))
		}
	}
	for _, c := range closures {
		out = append(out, startsInClosedDomain(r, c)...)
	}
	return out
}

// taskViolations finds tasks that ran on two workers at once and tasks that were
// done twice.
func taskViolations(r work.Report, mayRepeat func(string) bool) []string {
	var out []string
	byTask := map[string][]work.Run{}
	for _, n := range r.Runs {
		byTask[n.ID.Task()] = append(byTask[n.ID.Task()], n)
	}
	for task, runs := range byTask {
		done := 0
		for i, a := range runs {
			if a.EndState == "done" {
				done++
			}
			for _, b := range runs[i+1:] {
				if a.Start < endTime(b, r) && b.Start < endTime(a, r) {
					out = append(out, fmt.Sprintf("task %s ran as attempt %d on %s and attempt %d on %s at once", task, a.ID.Attempt, a.Worker, b.ID.Attempt, b.Worker))
				}
			}
		}
		if done > 1 && (mayRepeat == nil || !mayRepeat(runs[0].ID.Job)) {
			out = append(out, fmt.Sprintf("task %s was done %d times", task, done))
		}
	}
	return out
}

func endTime(n work.Run, r work.Report) time.Duration {
	if n.End == 0 {
		return r.Now
	}
	return n.End
}

func startsInClosedDomain(r work.Report, c Closure) []string {
	var out []string
	for _, n := range r.Runs {
		late := n.Start > c.From+CloseGrace && (c.To == 0 || n.Start < c.To)
		if n.Domain == c.Domain && late {
			out = append(out, fmt.Sprintf("task %s started on %s, %s after domain %s was closed", n.ID, n.Worker, n.Start-c.From, c.Domain))
		}
	}
	return out
}

// CountEnded returns the number of runs that ended in the given way.
func CountEnded(r work.Report, how string) int {
	n := 0
	for _, x := range r.Runs {
		if x.EndState == how {
			n++
		}
	}
	return n
}
