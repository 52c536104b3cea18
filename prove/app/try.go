package app

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/berylspar/spar/load/drive"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/work"
	"github.com/cockroachdb/errors"
)

// Sizes and durations of the trial run: three domains, three entries, eleven
// workers.
const (
	tryEntries   = 3
	tryWorkers   = 11
	tryJobs      = 6
	tryPerSecond = 1000
	tryServiceUS = 4000
	overheadSpan = 4 * time.Second
	movePause    = 5 * time.Second
	closedTime   = 6 * time.Second
	doneTimeout  = 20 * time.Second
)

func naemPlan(o Options) stage.Plan {
	return stage.Plan{
		Bin: o.Bin, Domains: []string{"plovdiv", "haskovo", "sliven"}, Entries: tryEntries, Workers: tryWorkers,
		Service: "booking-desk", Processors: 16, MemoryMB: 60 * 1024, ServiceUS: tryServiceUS, Slots: 8, AppendsPerSecond: 400,
	}
}

// try performs the trial run that the README describes.
func try(ctx context.Context, o Options, out io.Writer) (err error) {
	fmt.Fprintf(out, "starting the stand-in, %d entries and %d agents in 3 domains\n", tryEntries, tryWorkers)
	s, err := stage.Open(ctx, naemPlan(o))
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, s.Close()) }()
	if err := s.Configure(ctx, "naem"); err != nil {
		return err
	}
	direct := runLoad(ctx, drive.Settings{Targets: s.BackendAddresses(), Direct: true}, overheadSpan)
	through := runLoad(ctx, drive.Settings{Targets: s.ListenAddresses()}, overheadSpan)
	loaded := make(chan drive.Report, 1)
	go func() {
		loaded <- runLoad(ctx, drive.Settings{Targets: s.ListenAddresses()}, 2*movePause+closedTime)
	}()
	closure, err := moveDomain(ctx, s, out)
	if err != nil {
		return err
	}
	service := <-loaded
	return tryReport(ctx, s, out, direct, through, service, closure)
}

func runLoad(ctx context.Context, s drive.Settings, d time.Duration) drive.Report {
	s.Service, s.PerSecond, s.DeadlineMS, s.BodyBytes, s.Repeatable = "booking-desk", tryPerSecond, 1000, 64, true
	s.DurationMS = d.Milliseconds()
	return drive.NewDriver(s).Run(ctx)
}

// moveDomain submits jobs, and closes and reopens a domain while they run.
func moveDomain(ctx context.Context, s *stage.Stage, out io.Writer) (stage.Closure, error) {
	fmt.Fprintf(out, "submitting %d fleet plans of 8 tasks each\n", tryJobs)
	for i := range tryJobs {
		if err := s.Submit(ctx, i%tryEntries, fmt.Sprintf("plan-%d", i+1), "fleet-plan", 0, 0); err != nil {
			return stage.Closure{}, err
		}
	}
	pause(ctx, movePause)
	said, err := s.RunBeryl(ctx, "domain", "close", "haskovo")
	if err != nil {
		return stage.Closure{}, err
	}
	fmt.Fprintf(out, "beryl domain close haskovo: %s", said)
	before, err := s.Report(ctx)
	if err != nil {
		return stage.Closure{}, err
	}
	pause(ctx, closedTime)
	after, err := s.Report(ctx)
	if err != nil {
		return stage.Closure{}, err
	}
	said, err = s.RunBeryl(ctx, "domain", "open", "haskovo")
	fmt.Fprintf(out, "beryl domain open haskovo: %s", said)
	return stage.Closure{Domain: "haskovo", From: before.Now, To: after.Now}, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func tryReport(ctx context.Context, s *stage.Stage, out io.Writer, direct, through, service drive.Report, c stage.Closure) error {
	done := 0
	err := stage.WaitUntil(ctx, doneTimeout, "all jobs done", func() bool {
		done = 0
		for i := range tryJobs {
			j, err := s.Job(ctx, 0, fmt.Sprintf("plan-%d", i+1))
			if err == nil {
				done += j.Done
			}
		}
		return done == tryJobs*8
	})
	truth, e := s.Report(ctx)
	if e != nil {
		return e
	}
	breaches := stage.Violations(truth, []stage.Closure{c}, nil)
	evictions := stage.CountEnded(truth, "stopped") + stage.CountEnded(truth, "lapsed")
	fmt.Fprintf(out, "\n%-34s %9s %9s %9s\n", "latency at 1,000 requests/s (ms)", "p50", "p99", "p99.9")
	printLatencies(out, "backend called directly", direct)
	printLatencies(out, "through entry and agent", through)
	fmt.Fprintf(out, "%-34s %9.2f %9.2f\n", "added", milliseconds(through.P50-direct.P50), milliseconds(through.P99-direct.P99))
	printLatencies(out, "with batch work, domain moving", service)
	fmt.Fprintf(out, "\nrequests  sent %d, done %d, not run %d, unknown %d, broken %d, crossed %d\n", service.Sent, service.Done, service.NotRun, service.Unknown, service.Broken, service.Crossed)
	fmt.Fprintf(out, "batch     %d of %d tasks done, %d evictions\n", done, tryJobs*8, evictions)
	fmt.Fprintf(out, "closed    starts in the closed domain = %d (later than %s after closing, in %s)\n", lateStarts(truth.Runs, c), stage.CloseGrace, (c.To - c.From).Round(time.Millisecond))
	fmt.Fprintf(out, "breaches  %d\n", len(breaches))
	for _, b := range breaches {
		fmt.Fprintln(out, "  ", b)
	}
	if len(breaches) > 0 {
		return errors.Newf("%d breaches of what must always hold", len(breaches))
	}
	return err
}

func printLatencies(out io.Writer, name string, r drive.Report) {
	fmt.Fprintf(out, "%-34s %9.2f %9.2f %9.2f\n", name, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999))
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// lateStarts returns the number of starts in a closed domain after the grace
// period.
func lateStarts(runs []work.Run, c stage.Closure) int {
	n := 0
	for _, r := range runs {
		if r.Domain == c.Domain && r.Start > c.From+stage.CloseGrace && r.Start < c.To {
			n++
		}
	}
	return n
}
