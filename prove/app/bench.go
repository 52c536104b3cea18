package app

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/load/drive"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/work"
	"github.com/cockroachdb/errors"
)

// Load and durations of the bench.
const (
	benchPerSecond = 600
	benchTargetMS  = 18
	benchSpan      = 8 * time.Second
	benchTaskRun   = 1200 * time.Millisecond
	warmUp         = 3 * time.Second
)

// bench measures the policy under load and compares it with simple baselines in
// the same run.
func bench(ctx context.Context, o Options, out io.Writer) error {
	for _, part := range benchParts(o) {
		if err := part(ctx, o, out); err != nil {
			return err
		}
	}
	return nil
}

func benchParts(o Options) []func(context.Context, Options, io.Writer) error {
	if o.Quick {
		return []func(context.Context, Options, io.Writer) error{benchColocation, benchOverload}
	}
	return []func(context.Context, Options, io.Writer) error{benchColocation, benchRouting, benchOverload, benchMove}
}

// benchPlan returns the plan of the booking desk's deployment. Its batch work
// has two kinds: one that hardly disturbs serving tasks and one that does.
func benchPlan(o Options) stage.Plan {
	p := naemPlan(o)
	p.Workers = tryWorkers
	return p
}

func benchConfiguration() ([]byte, error) {
	return fleet.Configuration{
		Domains:  []fleet.Domain{{Name: "plovdiv", Region: "south"}, {Name: "haskovo", Region: "south"}, {Name: "sliven", Region: "south"}},
		Services: []fleet.Service{{Name: "booking-desk", TargetMS: benchTargetMS}},
		Teams:    []fleet.Team{{Name: "fleet", Quota: fleet.Size(1000, 4000, 0)}},
		Kinds: []fleet.Kind{
			{Name: "audit", Team: "fleet", Tasks: 20, Size: fleet.Size(2, 6, 0), RunMS: benchTaskRun.Milliseconds(), Repeatable: true},
			{Name: "archive", Team: "fleet", Tasks: 20, Size: fleet.Size(2, 6, 0), RunMS: benchTaskRun.Milliseconds(), Repeatable: true},
		},
	}.Print()
}

// withDeployment starts a deployment with the bench configuration, calls f with
// it, and stops it.
func withDeployment(ctx context.Context, p stage.Plan, f func(*stage.Stage) error) (err error) {
	s, err := stage.Open(ctx, p)
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, s.Close()) }()
	body, err := benchConfiguration()
	if err != nil {
		return err
	}
	if err := s.Publish(ctx, body); err != nil {
		return err
	}
	return f(s)
}

func benchLoad(ctx context.Context, s *stage.Stage, rate int, span time.Duration) drive.Report {
	return drive.NewDriver(drive.Settings{
		Targets: s.ListenAddresses(), Service: "booking-desk", PerSecond: rate, DurationMS: span.Milliseconds(),
		DeadlineMS: 1000, BodyBytes: 64, Repeatable: true,
	}).Run(ctx)
}

// benchColocation compares serving without batch work, with unthrottled batch
// work, and with batch work under the agents' control.
func benchColocation(ctx context.Context, o Options, out io.Writer) error {
	fmt.Fprintf(out, "colocation: %d requests/s, target %d ms, a third of the batch tasks loud\n", benchPerSecond, benchTargetMS)
	fmt.Fprintf(out, "%-28s %8s %8s %8s %10s %9s\n", "", "p50 ms", "p99 ms", "p99.9", "batch s/s", "evictions")
	for _, c := range []struct {
		name     string
		batch    bool
		throttle bool
	}{{"nothing colocated", false, true}, {"colocated without control", true, false}, {"ours", true, true}} {
		p := benchPlan(o)
		p.AgentOverrides = map[string]any{"throttle": c.throttle}
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			if c.batch {
				if err := submitBacklog(ctx, s); err != nil {
					return err
				}
			}
			benchLoad(ctx, s, benchPerSecond, warmUp)
			before, err := s.Report(ctx)
			if err != nil {
				return err
			}
			r := benchLoad(ctx, s, benchPerSecond, benchSpan)
			after, err := s.Report(ctx)
			if err != nil {
				return err
			}
			rate := workDone(after, before.Now, after.Now).Seconds() / (after.Now - before.Now).Seconds()
			fmt.Fprintf(out, "%-28s %8.2f %8.2f %8.2f %10.1f %9d\n", c.name, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999), rate, stage.CountEnded(after, "stopped"))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// submitBacklog submits more batch work than the deployment can finish during the
// measurement.
func submitBacklog(ctx context.Context, s *stage.Stage) error {
	for i := range 60 {
		kind := "audit"
		if i%3 == 0 {
			kind = "archive"
		}
		if err := s.Submit(ctx, i%3, fmt.Sprintf("%s-%d", kind, i), kind, 0, 0); err != nil {
			return err
		}
	}
	return nil
}

// workDone returns the work done between two times. Each attempt counts in
// proportion to the part of its run time that lies between them.
func workDone(r work.Report, from, to time.Duration) time.Duration {
	sum := time.Duration(0)
	for _, n := range r.Runs {
		if n.End == 0 || n.End <= n.Start {
			continue
		}
		a, b := max(n.Start, from), min(n.End, to)
		if b > a {
			sum += time.Duration(float64(n.Progress-n.StartProgress) * float64(b-a) / float64(n.End-n.Start))
		}
	}
	return sum
}

// benchRouting compares the policies of choosing a backend.
func benchRouting(ctx context.Context, o Options, out io.Writer) error {
	const span = 4 * time.Second
	fmt.Fprintf(out, "\nrouting: p99 / p99.9 ms (failed requests), %d requests/s and twice that in the step\n", benchPerSecond)
	fmt.Fprintf(out, "%-18s %22s %22s %22s %22s\n", "", "one slow worker", "one black hole", "load step of 2", "noisy wave")
	for _, policy := range []string{"random", "round-robin", "least-in-flight", "choices"} {
		p := benchPlan(o)
		p.EntryOverrides = map[string]any{"front": map[string]any{"policy": policy, "hedge": policy == "choices"}}
		p.AgentOverrides = map[string]any{"throttle": policy == "choices"}
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			fmt.Fprintf(out, "%-18s", policy)
			benchLoad(ctx, s, benchPerSecond, warmUp)
			for _, c := range []struct {
				rate  int
				fault work.Faults
				wave  bool
			}{{benchPerSecond, work.Faults{SlowFactor: 8}, false}, {benchPerSecond, work.Faults{Broken: true}, false}, {2 * benchPerSecond, work.Faults{}, false}, {benchPerSecond, work.Faults{}, true}} {
				if err := s.WorkerFaults(ctx, "worker-1", c.fault); err != nil {
					return err
				}
				if c.wave {
					if err := submitBacklog(ctx, s); err != nil {
						return err
					}
				}
				r := benchLoad(ctx, s, c.rate, span)
				fmt.Fprintf(out, " %22s", fmt.Sprintf("%.1f / %.1f (%d)", milliseconds(r.P99), milliseconds(r.P999), r.Sent-r.Done))
			}
			fmt.Fprintln(out)
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// benchOverload sends twice the request rate that the backends can serve.
func benchOverload(ctx context.Context, o Options, out io.Writer) error {
	const (
		service  = 40 * time.Millisecond
		slots    = 2
		workers  = 6
		capacity = int(workers * slots * time.Second / service)
	)
	p := benchPlan(o)
	p.Workers, p.Slots, p.ServiceUS = workers, slots, service.Microseconds()
	return withDeployment(ctx, p, func(s *stage.Stage) error {
		d := drive.Settings{Targets: s.ListenAddresses(), Service: "booking-desk", PerSecond: capacity / 2, DurationMS: warmUp.Milliseconds(), DeadlineMS: 300, BodyBytes: 64}
		drive.NewDriver(d).Run(ctx)
		d.PerSecond, d.DurationMS = 2*capacity, benchSpan.Milliseconds()
		r := drive.NewDriver(d).Run(ctx)
		goodput := float64(r.Done) / benchSpan.Seconds() / float64(capacity)
		fmt.Fprintf(out, "\noverload: %d requests/s, twice what %d backends with %d slots can serve at %s\n", 2*capacity, workers, slots, service)
		fmt.Fprintf(out, "goodput %.2f of capacity; done p99 %.1f ms; refused %d, all as not run, p99 %.2f ms; unknown %d, broken %d\n",
			goodput, milliseconds(r.P99), r.NotRun, milliseconds(r.RefusedP99), r.Unknown, r.Broken)
		return nil
	})
}
