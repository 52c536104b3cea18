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

func naemPlan(opts Options) stage.Plan {
	return stage.Plan{
		Bin: opts.Bin, Domains: []string{"plovdiv", "haskovo", "sliven"}, Entries: tryEntries, Workers: tryWorkers,
		Service: "booking-desk", Processors: 16, MemoryMB: 60 * 1024, ServiceUS: tryServiceUS, Slots: 8, AppendsPerSecond: 400,
	}
}

// try performs the trial run that the README describes.
func try(ctx context.Context, opts Options, out io.Writer) (err error) {
	fmt.Fprintf(out, "starting the stand-in, %d entries and %d agents in 3 domains\n", tryEntries, tryWorkers)
	s, err := stage.Open(ctx, naemPlan(opts))
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, s.Close()) }()
	if err := s.Configure(ctx, "naem"); err != nil {
		return err
	}
	direct := runLoad(ctx, drive.Settings{Targets: s.BackendAddresses(), Direct: true}, overheadSpan)
	viaEntry := runLoad(ctx, drive.Settings{Targets: s.ListenAddresses()}, overheadSpan)
	moveLoad := make(chan drive.Report, 1)
	go func() {
		moveLoad <- runLoad(ctx, drive.Settings{Targets: s.ListenAddresses()}, 2*movePause+closedTime)
	}()
	closure, err := moveDomain(ctx, s, out)
	if err != nil {
		return err
	}
	duringMove := <-moveLoad
	return printTryReport(ctx, s, out, direct, viaEntry, duringMove, closure)
}

func runLoad(ctx context.Context, settings drive.Settings, d time.Duration) drive.Report {
	settings.Service, settings.PerSecond, settings.DeadlineMS, settings.BodyBytes, settings.Repeatable = "booking-desk", tryPerSecond, 1000, 64, true
	settings.DurationMS = d.Milliseconds()
	return drive.NewDriver(settings).Run(ctx)
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
	output, err := s.RunBeryl(ctx, "domain", "close", "haskovo")
	if err != nil {
		return stage.Closure{}, err
	}
	fmt.Fprintf(out, "beryl domain close haskovo: %s", output)
	before, err := s.Report(ctx)
	if err != nil {
		return stage.Closure{}, err
	}
	pause(ctx, closedTime)
	after, err := s.Report(ctx)
	if err != nil {
		return stage.Closure{}, err
	}
	output, err = s.RunBeryl(ctx, "domain", "open", "haskovo")
	fmt.Fprintf(out, "beryl domain open haskovo: %s", output)
	return stage.Closure{Domain: "haskovo", From: before.Now, To: after.Now}, err
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func printTryReport(ctx context.Context, s *stage.Stage, out io.Writer, direct, viaEntry, duringMove drive.Report, closure stage.Closure) error {
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
	record, reportErr := s.Report(ctx)
	if reportErr != nil {
		return reportErr
	}
	violations := stage.Violations(record, []stage.Closure{closure}, nil)
	evictions := stage.CountEnded(record, "stopped") + stage.CountEnded(record, "lapsed")
	fmt.Fprintf(out, "\n%-34s %9s %9s %9s\n", "latency at 1,000 requests/s (ms)", "p50", "p99", "p99.9")
	printLatencies(out, "backend called directly", direct)
	printLatencies(out, "through entry and agent", viaEntry)
	fmt.Fprintf(out, "%-34s %9.2f %9.2f\n", "added", milliseconds(viaEntry.P50-direct.P50), milliseconds(viaEntry.P99-direct.P99))
	printLatencies(out, "with batch work, domain moving", duringMove)
	fmt.Fprintf(out, "\nrequests  sent %d, done %d, not run %d, unknown %d, broken %d, crossed %d\n", duringMove.Sent, duringMove.Done, duringMove.NotRun, duringMove.Unknown, duringMove.Broken, duringMove.Crossed)
	fmt.Fprintf(out, "batch     %d of %d tasks done, %d evictions\n", done, tryJobs*8, evictions)
	fmt.Fprintf(out, "closed    starts in the closed domain = %d (later than %s after closing, in %s)\n", lateStarts(record.Runs, closure), stage.CloseGrace, (closure.To - closure.From).Round(time.Millisecond))
	fmt.Fprintf(out, "breaches  %d\n", len(violations))
	for _, violation := range violations {
		fmt.Fprintln(out, "  ", violation)
	}
	if len(violations) > 0 {
		return errors.Newf("%d breaches of what must always hold", len(violations))
	}
	return err
}

func printLatencies(out io.Writer, name string, r drive.Report) {
	fmt.Fprintf(out, "%-34s %9.2f %9.2f %9.2f\n", name, milliseconds(r.P50), milliseconds(r.P99), milliseconds(r.P999))
}

func milliseconds(us int64) float64 { return float64(us) / 1000 }

// lateStarts returns the number of starts in a closed domain after the grace
// period.
func lateStarts(runs []work.Run, closure stage.Closure) int {
	starts := 0
	for _, run := range runs {
		if run.Domain == closure.Domain && run.Start > closure.From+stage.CloseGrace && run.Start < closure.To {
			starts++
		}
	}
	return starts
}
