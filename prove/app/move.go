package app

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/berylspar/spar/prove/stage"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Timing of the closing and reopening of a domain, from the start of the
// measurement.
const (
	moveClose      = 6 * time.Second
	moveOpen       = 14 * time.Second
	moveEnd        = 24 * time.Second
	recoveredShare = 0.95
	// Run times differ by job, so that the tasks do not all end at the same
	// time.
	moveRun    = 1500 * time.Millisecond
	moveSpread = 25 * time.Millisecond
)

// benchMove measures the work done in each second while a domain is closed and
// reopened.
func benchMove(ctx context.Context, opts Options, out io.Writer) error {
	return withDeployment(ctx, benchPlan(opts), func(s *stage.Stage) error {
		for n := range 3 {
			for i := range 60 {
				if err := s.Submit(ctx, i%3, fmt.Sprintf("move-%d-%d", n, i), "audit", 0, moveRun+time.Duration(i)*moveSpread); err != nil {
					return err
				}
			}
		}
		pause(ctx, warmUp)
		startReport, err := s.Report(ctx)
		if err != nil {
			return err
		}
		startTime := time.Now()
		pause(ctx, moveClose)
		closed := time.Since(startTime)
		if _, err := s.RunBeryl(ctx, "domain", "close", "haskovo"); err != nil {
			return err
		}
		pause(ctx, moveOpen-time.Since(startTime))
		opened := time.Since(startTime)
		if _, err := s.RunBeryl(ctx, "domain", "open", "haskovo"); err != nil {
			return err
		}
		pause(ctx, moveEnd+4*benchTaskRun-time.Since(startTime))
		report, err := s.Report(ctx)
		if err != nil {
			return err
		}
		var bySecond []float64
		for second := startReport.Now; second < startReport.Now+moveEnd; second += time.Second {
			bySecond = append(bySecond, workDone(report, second, second+time.Second).Seconds())
		}
		violations := stage.Violations(report, []stage.Closure{{Domain: "haskovo", From: startReport.Now + closed + 2*time.Second, To: startReport.Now + opened}}, nil)
		return reportMove(opts, out, bySecond, closed, opened, len(violations))
	})
}

func reportMove(opts Options, out io.Writer, bySecond []float64, closed, opened time.Duration, violations int) error {
	before, total := 0.0, 0.0
	for i, seconds := range bySecond {
		if time.Duration(i+1)*time.Second <= closed {
			before += seconds / float64(int(closed/time.Second))
		}
		total += seconds
	}
	worstSecond, recoveryTime := before, time.Duration(-1)
	for i, seconds := range bySecond {
		if time.Duration(i)*time.Second >= closed {
			worstSecond = min(worstSecond, seconds)
		}
		if second := time.Duration(i) * time.Second; second >= opened && recoveryTime < 0 && seconds >= recoveredShare*before {
			recoveryTime = second + time.Second - opened
		}
	}
	fmt.Fprintf(out, "\ndomain move: one of three closed at %s and opened at %s; work done in task seconds a second\n", closed.Round(time.Millisecond), opened.Round(time.Millisecond))
	for i, seconds := range bySecond {
		fmt.Fprintf(out, "%5.1f", seconds)
		if i%12 == 11 {
			fmt.Fprintln(out)
		}
	}
	recovery := recoveryTime.Round(100 * time.Millisecond).String()
	if recoveryTime < 0 {
		recovery = "not within the run"
	}
	fmt.Fprintf(out, "before %.1f, total %.0f, worst second %.2f of before, back at %.0f%% after %s, breaches %d\n", before, total, worstSecond/before, recoveredShare*100, recovery, violations)
	return plotMove(opts, bySecond)
}

func plotMove(opts Options, bySecond []float64) error {
	if err := os.MkdirAll(opts.Out, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Work done while a failure domain leaves and returns"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "task seconds done a second"
	p.Y.Min = 0
	points := make(plotter.XYs, len(bySecond))
	for i, seconds := range bySecond {
		points[i] = plotter.XY{X: float64(i), Y: seconds}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return err
	}
	p.Add(line, plotter.NewGrid())
	return p.Save(16*vg.Centimeter, 8*vg.Centimeter, filepath.Join(opts.Out, "move.svg"))
}
