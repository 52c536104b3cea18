// Package colo decides how batch work that shares a machine with a
// latency-critical service is held back: throttle the task most likely to
// blame, evict it when its floor does not help, and recover slowly. It is pure:
// it reads no clock and calls nobody.
package colo

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// Settings are the limits of the control.
type Settings struct {
	// Target is the answer time of the service that is to be kept.
	Target time.Duration
	// Floor is the least share of its processors that a task is throttled to.
	MinShare float64
	// Step is the factor of one throttling.
	ThrottleFactor float64
	// Raise is the share of its size by which a task recovers in one step.
	RecoveryShare float64
	// CalmSteps is the number of calm steps before a recovery.
	RecoverAfterSteps int
	// FloorSteps is the number of steps over the target, with all tasks at
	// their floor, before one is evicted.
	EvictAfterSteps int
}

// DefaultSettings return the limits for a target.
func DefaultSettings(target time.Duration) Settings {
	return Settings{Target: target, MinShare: 0.2, ThrottleFactor: 0.5, RecoveryShare: 0.15, RecoverAfterSteps: 5, EvictAfterSteps: 4}
}

// calmShare is the share of the target below which the service is calm. The
// gap between it and 1 is the hysteresis that keeps tasks from being throttled
// and released on every small change.
const recoverBelowShare = 0.8

// wary is the score from which a kind's new tasks begin throttled.
const startThrottledScore = 0.08

// Task is a batch task on the machine.
type Task struct {
	ID   spar.TaskID
	Kind string
	// Full is the size of the task and CPU its cap, in thousandths.
	SizeMilli int64
	CapMilli  int64
	// Age is the time since its start.
	Age time.Duration
}

// Action is what to do to one task.
type Action struct {
	ID spar.TaskID
	// CPU is the new cap in thousandths; ignored where Evict is set.
	CapMilli int64
	Evict    bool
	Reason   spar.Reason
}

// Controller decides step by step. The zero value needs Settings.
type Controller struct {
	settings         Settings
	scores           Scores
	stepsBelowTarget int
	stepsAtFloor     int
}

// NewController returns a controller.
func NewController(s Settings) *Controller { return &Controller{settings: s} }

// SetTarget replaces the target; the configuration may change it.
func (c *Controller) SetTarget(t time.Duration) { c.settings.Target = t }

// Scores are what was learnt about kinds of batch tasks.
func (c *Controller) Scores() *Scores { return &c.scores }

// Step decides on what the service's answers took lately, and the tasks that
// run beside it. seen is false when there were too few answers to tell.
func (c *Controller) Step(latency time.Duration, seen bool, tasks []Task) []Action {
	c.scores.decay()
	if c.settings.Target == 0 || !seen {
		return c.recoverOne(tasks)
	}
	load := float64(latency) / float64(c.settings.Target)
	c.scores.update(load, tasks)
	if load > 1 {
		c.stepsBelowTarget = 0
		return c.throttleOrEvict(tasks)
	}
	c.stepsAtFloor = 0
	if load < recoverBelowShare {
		return c.recoverOne(tasks)
	}
	c.stepsBelowTarget = 0
	return nil
}

// press throttles the tasks of the kind most likely to blame, or evicts the
// worst once all are at their floor and the service still suffers.
func (c *Controller) throttleOrEvict(tasks []Task) []Action {
	ordered := c.byInterference(tasks)
	var out []Action
	for _, t := range ordered {
		if t.CapMilli <= c.floor(t) || len(out) > 0 && t.Kind != kindOf(tasks, out[0].ID) {
			continue
		}
		next := max(int64(float64(t.CapMilli)*c.settings.ThrottleFactor), c.floor(t))
		out = append(out, Action{ID: t.ID, CapMilli: next, Reason: spar.ReasonLatency})
	}
	if len(out) > 0 || len(ordered) == 0 {
		return out
	}
	c.stepsAtFloor++
	if c.stepsAtFloor < c.settings.EvictAfterSteps {
		return nil
	}
	c.stepsAtFloor = 0
	return []Action{{ID: ordered[0].ID, Evict: true, Reason: spar.ReasonLatency}}
}

func (c *Controller) floor(t Task) int64 {
	return int64(float64(t.SizeMilli) * c.settings.MinShare)
}

func kindOf(tasks []Task, id spar.TaskID) string {
	i := slices.IndexFunc(tasks, func(t Task) bool { return t.ID == id })
	return tasks[i].Kind
}

// StartAt is the cap that a new task begins with: a kind that was seen to
// disturb the service begins throttled, and recovers in calm.
func (c *Controller) InitialCap(kind string, full int64) int64 {
	if c.scores.Of(kind) < startThrottledScore {
		return full
	}
	return int64(float64(full) * c.settings.MinShare)
}

// rest lets the least to blame recover a little, after some calm.
func (c *Controller) recoverOne(tasks []Task) []Action {
	c.stepsBelowTarget++
	if c.stepsBelowTarget < c.settings.RecoverAfterSteps {
		return nil
	}
	ordered := c.byInterference(tasks)
	slices.Reverse(ordered)
	for _, t := range ordered {
		if t.CapMilli < t.SizeMilli {
			c.stepsBelowTarget = c.settings.RecoverAfterSteps - 1
			next := min(t.CapMilli+max(int64(float64(t.SizeMilli)*c.settings.RecoveryShare), 1), t.SizeMilli)
			return []Action{{ID: t.ID, CapMilli: next}}
		}
	}
	return nil
}

// freshAge is the age below which a task is suspected for having just come.
const recentStart = 2 * time.Second

// blame orders tasks, the most likely to blame first: by what was learnt of
// their kind times what they use, the latest to come before the others.
func (c *Controller) byInterference(tasks []Task) []Task {
	weight := func(t Task) float64 {
		w := (0.1 + c.scores.Of(t.Kind)) * float64(t.CapMilli)
		if t.Age < recentStart {
			w *= 2
		}
		return w
	}
	out := slices.Clone(tasks)
	slices.SortStableFunc(out, func(a, b Task) int {
		switch wa, wb := weight(a), weight(b); {
		case wa > wb:
			return -1
		case wa < wb:
			return 1
		}
		return 0
	})
	return out
}
