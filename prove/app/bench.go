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
func bench(ctx context.Context, opts Options, out io.Writer) error {
	for _, measure := range benchParts(opts) {
		if err := measure(ctx, opts, out); err != nil {
			return err
		}
	}
	return nil
}

func benchParts(opts Options) []func(context.Context, Options, io.Writer) error {
	if opts.Quick {
		return []func(context.Context, Options, io.Writer) error{benchColocation, benchOverload}
	}
	return []func(context.Context, Options, io.Writer) error{benchColocation, benchRouting, benchOverload, benchMove}
}

// benchPlan returns the plan of the booking desk's deployment. Its batch work
// has two kinds: one that hardly disturbs serving tasks and one that does.
func benchPlan(opts Options) stage.Plan {
	p := naemPlan(opts)
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
func benchColocation(ctx context.Context, opts Options, out io.Writer) error {
	fmt.Fprintf(out, "colocation: %d requests/s, target %d ms, a third of the batch tasks loud\n", benchPerSecond, benchTargetMS)
	fmt.Fprintf(out, "%-28s %8s %8s %8s %10s %9s\n", "", "p50 ms", "p99 ms", "p99.9", "batch s/s", "evictions")
	for _, tc := range []struct {
		name     string
		batch    bool
		throttle bool
	}{{"nothing colocated", false, true}, {"colocated without control", true, false}, {"ours", true, true}} {
		p := benchPlan(opts)
		p.AgentOverrides = map[string]any{"throttle": tc.throttle}
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			if tc.batch {
				if err := submitBacklog(ctx, s); err != nil {
					return err
				}
			}
			benchLoad(ctx, s, benchPerSecond, warmUp)
			before, err := s.Report(ctx)
			if err != nil {
				return err
			}
			load := benchLoad(ctx, s, benchPerSecond, benchSpan)
			after, err := s.Report(ctx)
			if err != nil {
				return err
			}
			rate := workDone(after, before.Now, after.Now).Seconds() / (after.Now - before.Now).Seconds()
			fmt.Fprintf(out, "%-28s %8.2f %8.2f %8.2f %10.1f %9d\n", tc.name, milliseconds(load.P50), milliseconds(load.P99), milliseconds(load.P999), rate, stage.CountEnded(after, "stopped"))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// submitBacklog submits more batch work than the deployment can finish during
// the measurement.
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
func workDone(report work.Report, from, to time.Duration) time.Duration {
	total := time.Duration(0)
	for _, run := range report.Runs {
		if run.End == 0 || run.End <= run.Start {
			continue
		}
		start, end := max(run.Start, from), min(run.End, to)
		if end > start {
			total += time.Duration(float64(run.Progress-run.StartProgress) * float64(end-start) / float64(run.End-run.Start))
		}
	}
	return total
}

// benchRouting compares the policies of choosing a backend.
func benchRouting(ctx context.Context, opts Options, out io.Writer) error {
	const span = 4 * time.Second
	fmt.Fprintf(out, "\nrouting: p99 / p99.9 ms (failed requests), %d requests/s and twice that in the step\n", benchPerSecond)
	fmt.Fprintf(out, "%-18s %22s %22s %22s %22s\n", "", "one slow worker", "one black hole", "load step of 2", "noisy wave")
	for _, policy := range []string{"random", "round-robin", "least-in-flight", "choices"} {
		p := benchPlan(opts)
		p.EntryOverrides = map[string]any{"front": map[string]any{"policy": policy, "hedge": policy == "choices"}}
		p.AgentOverrides = map[string]any{"throttle": policy == "choices"}
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			fmt.Fprintf(out, "%-18s", policy)
			benchLoad(ctx, s, benchPerSecond, warmUp)
			for _, tc := range []struct {
				rate  int
				fault work.Faults
				wave  bool
			}{{benchPerSecond, work.Faults{SlowFactor: 8}, false}, {benchPerSecond, work.Faults{Broken: true}, false}, {2 * benchPerSecond, work.Faults{}, false}, {benchPerSecond, work.Faults{}, true}} {
				if err := s.WorkerFaults(ctx, "worker-1", tc.fault); err != nil {
					return err
				}
				if tc.wave {
					if err := submitBacklog(ctx, s); err != nil {
						return err
					}
				}
				load := benchLoad(ctx, s, tc.rate, span)
				fmt.Fprintf(out, " %22s", fmt.Sprintf("%.1f / %.1f (%d)", milliseconds(load.P99), milliseconds(load.P999), load.Sent-load.Done))
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
func benchOverload(ctx context.Context, opts Options, out io.Writer) error {
	const (
		serviceTime = 40 * time.Millisecond
		slots       = 2
		workers     = 6
		capacity    = int(workers * slots * time.Second / serviceTime)
	)
	p := benchPlan(opts)
	p.Workers, p.Slots, p.ServiceUS = workers, slots, serviceTime.Microseconds()
	return withDeployment(ctx, p, func(s *stage.Stage) error {
		settings := drive.Settings{Targets: s.ListenAddresses(), Service: "booking-desk", PerSecond: capacity / 2, DurationMS: warmUp.Milliseconds(), DeadlineMS: 300, BodyBytes: 64}
		drive.NewDriver(settings).Run(ctx)
		settings.PerSecond, settings.DurationMS = 2*capacity, benchSpan.Milliseconds()
		report := drive.NewDriver(settings).Run(ctx)
		goodput := float64(report.Done) / benchSpan.Seconds() / float64(capacity)
		fmt.Fprintf(out, "\noverload: %d requests/s, twice what %d backends with %d slots can serve at %s\n", 2*capacity, workers, slots, serviceTime)
		fmt.Fprintf(out, "goodput %.2f of capacity; done p99 %.1f ms; refused %d, all as not run, p99 %.2f ms; unknown %d, broken %d\n",
			goodput, milliseconds(report.P99), report.NotRun, milliseconds(report.RefusedP99), report.Unknown, report.Broken)
		return nil
	})
}
