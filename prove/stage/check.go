package stage

import (
	"fmt"
	"time"

	"github.com/berylspar/spar/stand/work"
)

// Closure is a period during which a domain was closed, on the platform's
// clock.
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
// and returns a text for each violation. mayRepeat reports whether the tasks of
// a job may run again when their outcome is unknown; nil means that none may.
func Violations(r work.Report, closures []Closure, mayRepeat func(job string) bool) []string {
	violations := append([]string{}, taskViolations(r, mayRepeat)...)
	for _, overcommitted := range r.Overcommitted {
		violations = append(violations, "committed beyond its size: "+overcommitted)
	}
	for key, executions := range r.KeyExecutions {
		if executions > 1 {
			violations = append(violations, fmt.Sprintf("request %s ran %d times", key, executions))
		}
	}
	for _, c := range closures {
		violations = append(violations, startsInClosedDomain(r, c)...)
	}
	return violations
}

// taskViolations finds tasks that ran on two workers at once and tasks that
// were done twice.
func taskViolations(r work.Report, mayRepeat func(string) bool) []string {
	var violations []string
	byTask := map[string][]work.Run{}
	for _, run := range r.Runs {
		byTask[run.ID.Task()] = append(byTask[run.ID.Task()], run)
	}
	for task, runs := range byTask {
		done := 0
		for i, a := range runs {
			if a.EndState == "done" {
				done++
			}
			for _, b := range runs[i+1:] {
				if a.Start < endTime(b, r) && b.Start < endTime(a, r) {
					violations = append(violations, fmt.Sprintf("task %s ran as attempt %d on %s and attempt %d on %s at once", task, a.ID.Attempt, a.Worker, b.ID.Attempt, b.Worker))
				}
			}
		}
		if done > 1 && (mayRepeat == nil || !mayRepeat(runs[0].ID.Job)) {
			violations = append(violations, fmt.Sprintf("task %s was done %d times", task, done))
		}
	}
	return violations
}

func endTime(run work.Run, r work.Report) time.Duration {
	if run.End == 0 {
		return r.Now
	}
	return run.End
}

func startsInClosedDomain(r work.Report, c Closure) []string {
	var violations []string
	for _, run := range r.Runs {
		late := run.Start > c.From+CloseGrace && (c.To == 0 || run.Start < c.To)
		if run.Domain == c.Domain && late {
			violations = append(violations, fmt.Sprintf("task %s started on %s, %s after domain %s was closed", run.ID, run.Worker, run.Start-c.From, c.Domain))
		}
	}
	return violations
}

// CountEnded returns the number of runs with the given end state.
func CountEnded(r work.Report, endState string) int {
	count := 0
	for _, run := range r.Runs {
		if run.EndState == endState {
			count++
		}
	}
	return count
}
