// Package colo decides how to restrain batch work that shares a machine with a
// latency-critical service. It throttles the tasks most likely to interfere,
// evicts one when throttling to the minimum does not help, and restores their
// processors slowly. It does no I/O and reads no clock.
package colo

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
)

// Settings are the parameters of a Controller.
type Settings struct {
	// Target is the latency that the service must stay below.
	Target time.Duration
	// MinShare is the share of its size below which a task is not throttled.
	MinShare float64
	// ThrottleFactor multiplies the cap of a task in one throttling step.
	ThrottleFactor float64
	// RecoveryShare is the share of its size that a task gets back in one step.
	RecoveryShare float64
	// RecoverAfterSteps is the number of steps below the target before the first
	// recovery.
	RecoverAfterSteps int
	// EvictAfterSteps is the number of steps above the target, with all tasks
	// throttled to the minimum, before one is evicted.
	EvictAfterSteps int
}

// DefaultSettings returns the default parameters for a target.
func DefaultSettings(target time.Duration) Settings {
	return Settings{Target: target, MinShare: 0.2, ThrottleFactor: 0.5, RecoveryShare: 0.15, RecoverAfterSteps: 5, EvictAfterSteps: 4}
}

// recoverBelowShare is the share of the target below which tasks recover. The
// gap between it and 1 is the hysteresis that keeps tasks from being throttled
// and released on every small change.
const recoverBelowShare = 0.8

// startThrottledScore is the interference score from which new tasks of a kind
// start throttled.
const startThrottledScore = 0.08

// Task is a batch task on the machine.
type Task struct {
	ID   spar.TaskID
	Kind string
	// SizeMilli is the size of the task and CapMilli its current cap, in
	// thousandths of a processor.
	SizeMilli int64
	CapMilli  int64
	// Age is the time since the task started.
	Age time.Duration
}

// Action is a change to one task.
type Action struct {
	ID spar.TaskID
	// CapMilli is the new cap in thousandths of a processor; ignored if Evict is
	// set.
	CapMilli int64
	Evict    bool
	Reason   spar.Reason
}

// Controller decides the actions of each control step. Use NewController: the
// zero value has no settings.
type Controller struct {
	settings         Settings
	scores           Scores
	stepsBelowTarget int
	stepsAtMinCap    int
}

// NewController returns a controller with the given settings.
func NewController(s Settings) *Controller { return &Controller{settings: s} }

// SetTarget replaces the target, which operators may change at run time.
func (c *Controller) SetTarget(t time.Duration) { c.settings.Target = t }

// Scores returns the learned interference scores of the kinds of batch tasks.
func (c *Controller) Scores() *Scores { return &c.scores }

// Step returns the actions for the recent latency of the service and the tasks
// that run beside it. enough is false if there were too few answers to measure
// the latency; tasks then recover as if the service were below its target.
func (c *Controller) Step(latency time.Duration, enough bool, tasks []Task) []Action {
	c.scores.decay()
	if c.settings.Target == 0 || !enough {
		return c.recoverOne(tasks)
	}
	ratio := float64(latency) / float64(c.settings.Target)
	c.scores.update(ratio, tasks)
	if ratio > 1 {
		c.stepsBelowTarget = 0
		return c.throttleOrEvict(tasks)
	}
	c.stepsAtMinCap = 0
	if ratio < recoverBelowShare {
		return c.recoverOne(tasks)
	}
	c.stepsBelowTarget = 0
	return nil
}

// throttleOrEvict throttles the tasks of the kind most likely to interfere. Once
// all tasks are at their minimum and the service stays above its target for
// EvictAfterSteps, it evicts the most likely one.
func (c *Controller) throttleOrEvict(tasks []Task) []Action {
	ordered := c.byInterference(tasks)
	var out []Action
	for _, t := range ordered {
		if t.CapMilli <= c.minCap(t) || len(out) > 0 && t.Kind != kindOf(tasks, out[0].ID) {
			continue
		}
		next := max(int64(float64(t.CapMilli)*c.settings.ThrottleFactor), c.minCap(t))
		out = append(out, Action{ID: t.ID, CapMilli: next, Reason: spar.ReasonLatency})
	}
	if len(out) > 0 || len(ordered) == 0 {
		return out
	}
	c.stepsAtMinCap++
	if c.stepsAtMinCap < c.settings.EvictAfterSteps {
		return nil
	}
	c.stepsAtMinCap = 0
	return []Action{{ID: ordered[0].ID, Evict: true, Reason: spar.ReasonLatency}}
}

// minCap returns the lowest cap that a task is throttled to.
func (c *Controller) minCap(t Task) int64 {
	return int64(float64(t.SizeMilli) * c.settings.MinShare)
}

func kindOf(tasks []Task, id spar.TaskID) string {
	i := slices.IndexFunc(tasks, func(t Task) bool { return t.ID == id })
	return tasks[i].Kind
}

// InitialCap returns the cap that a new task starts with. Tasks of a kind that
// has interfered with the service start at their minimum, and recover while the
// service is below its target.
func (c *Controller) InitialCap(kind string, sizeMilli int64) int64 {
	if c.scores.Of(kind) < startThrottledScore {
		return sizeMilli
	}
	return int64(float64(sizeMilli) * c.settings.MinShare)
}

// recoverOne gives back some processors to the throttled task that is least
// likely to interfere, after RecoverAfterSteps steps below the target.
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

// recentStart is the age below which a task is suspected more, since its start
// may have caused the latency to rise.
const recentStart = 2 * time.Second

// byInterference returns the tasks ordered by how likely they interfere with the
// service, the most likely first: by the score of their kind times their cap,
// with double weight for tasks that started recently. The constant added to the
// score ranks kinds without a score by their cap.
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
