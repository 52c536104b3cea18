package tasks

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/colo"
	"github.com/berylspar/spar/common"
)

// Times of the control of colocated work.
const (
	controlEvery  = 200 * time.Millisecond
	controlWindow = 600 * time.Millisecond
)

// Control holds batch tasks back where they hurt the service beside them, until
// the context ends.
func (r *Runner) Control(ctx context.Context, c *colo.Controller, w *colo.Window, service string) <-chan error {
	return common.Every(ctx, controlEvery, func(now time.Time) { r.control(ctx, c, w, service, now) })
}

func (r *Runner) control(ctx context.Context, c *colo.Controller, w *colo.Window, service string, now time.Time) {
	if s, ok := r.config.Load().Service(service); ok {
		c.SetTarget(time.Duration(s.TargetMS) * time.Millisecond)
	}
	latency, seen := w.Quantile(now.Add(-controlWindow))
	for _, a := range c.Step(latency, seen, r.colocated(now)) {
		r.act(ctx, a, latency)
	}
}

// colocated returns the tasks that run and are not being evicted.
func (r *Runner) colocated(now time.Time) []colo.Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []colo.Task
	for _, t := range r.tasks {
		if t.stage == running && t.evictFor == spar.ReasonNone {
			out = append(out, colo.Task{ID: t.id, Kind: t.spec.GetKind(), SizeMilli: t.spec.GetSize().GetCpuMilli(), CapMilli: t.cpu, Age: now.Sub(t.startedAt)})
		}
	}
	return out
}

func (r *Runner) act(ctx context.Context, a colo.Action, latency time.Duration) {
	if a.Evict {
		r.AddDecision(a.ID.Task(), "evicted", a.Reason, latency.String())
		r.mark(a.Reason, func(t *local) bool { return t.id == a.ID })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	if err := r.platform.Throttle(ctx, a.ID, a.CapMilli); err != nil {
		r.Warn("throttle not answered", "task", a.ID, "err", err)
		return
	}
	if a.Reason != spar.ReasonNone {
		r.AddDecision(a.ID.Task(), "throttled", a.Reason, latency.String())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[a.ID.Task()]; t != nil && t.id == a.ID {
		t.cpu = a.CapMilli
	}
}
