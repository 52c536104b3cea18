package tasks

import (
	"context"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/colo"
	"github.com/berylspar/spar/common"
)

// Intervals of the colocation control loop.
const (
	controlInterval = 200 * time.Millisecond
	// latencyWindow is how far back service latencies are taken into account.
	latencyWindow = 600 * time.Millisecond
)

// ControlColocation throttles or evicts batch tasks that raise the latency of
// the service on this worker above its target, until the context ends.
func (r *Runner) ControlColocation(ctx context.Context, c *colo.Controller, w *colo.Window, service string) <-chan error {
	return common.Every(ctx, controlInterval, func(now time.Time) { r.controlOnce(ctx, c, w, service, now) })
}

func (r *Runner) controlOnce(ctx context.Context, c *colo.Controller, w *colo.Window, service string, now time.Time) {
	if s, ok := r.config.Load().Service(service); ok {
		c.SetTarget(time.Duration(s.TargetMS) * time.Millisecond)
	}
	latency, seen := w.Quantile(now.Add(-latencyWindow))
	for _, a := range c.Step(latency, seen, r.colocated(now)) {
		r.applyAction(ctx, a, latency)
	}
}

// colocated returns the tasks that are running and not being evicted.
func (r *Runner) colocated(now time.Time) []colo.Task {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []colo.Task
	for _, t := range r.tasks {
		if t.stage == running && t.evictReason == spar.ReasonNone {
			out = append(out, colo.Task{ID: t.id, Kind: t.spec.GetKind(), SizeMilli: t.spec.GetSize().GetCpuMilli(), CapMilli: t.capMilli, Age: now.Sub(t.startedAt)})
		}
	}
	return out
}

func (r *Runner) applyAction(ctx context.Context, a colo.Action, latency time.Duration) {
	if a.Evict {
		r.AddDecision(a.ID.Task(), "evicted", a.Reason, latency.String())
		r.markForEviction(a.Reason, func(t *localTask) bool { return t.id == a.ID })
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := r.platform.Throttle(ctx, a.ID, a.CapMilli); err != nil {
		r.Warn("could not throttle a task", "task", a.ID, "err", err)
		return
	}
	if a.Reason != spar.ReasonNone {
		r.AddDecision(a.ID.Task(), "throttled", a.Reason, latency.String())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.tasks[a.ID.Task()]; t != nil && t.id == a.ID {
		t.capMilli = a.CapMilli
	}
}
