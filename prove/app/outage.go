package app

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/berylspar/spar/lease"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/logs"
)

const (
	outageSpan = time.Minute
	outageTask = 3 * time.Minute
	quickSpan  = 15 * time.Second
)

// outage compares the batch work done in a minute without the log with the minute
// before, once with log freshness from the log alone and once also from peers.
func outage(ctx context.Context, o Options, out io.Writer) error {
	span := outageSpan
	if o.Quick {
		span = quickSpan
	}
	fmt.Fprintf(out, "batch work in %s without the log, against the same time before (task seconds)\n", span)
	for _, c := range []struct {
		name    string
		hearsay int64
	}{{"freshness from the log alone", 0}, {"and from the peers' word", lease.DefaultTerms().HearsayMS}} {
		terms := lease.DefaultTerms()
		terms.HearsayMS = c.hearsay
		p := naemPlan(o)
		p.EntryOverrides = map[string]any{"terms": terms}
		p.AgentOverrides = map[string]any{"terms": terms, "throttle": false}
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			if err := s.Submit(ctx, 0, "long", "audit", 50, outageTask); err != nil {
				return err
			}
			pause(ctx, warmUp)
			first, err := s.Report(ctx)
			if err != nil {
				return err
			}
			pause(ctx, span)
			if err := s.LogFaults(ctx, logs.Faults{Down: true, ApplyWhileDown: true}); err != nil {
				return err
			}
			second, err := s.Report(ctx)
			if err != nil {
				return err
			}
			pause(ctx, span)
			if err := s.LogFaults(ctx, logs.Faults{}); err != nil {
				return err
			}
			if _, err := s.RunBeryl(ctx, "job", "cancel", "long"); err != nil {
				return err
			}
			pause(ctx, warmUp)
			last, err := s.Report(ctx)
			if err != nil {
				return err
			}
			before := workDone(last, first.Now, second.Now).Seconds()
			during := workDone(last, second.Now, second.Now+span).Seconds()
			breaches := stage.Violations(last, nil, func(string) bool { return true })
			fmt.Fprintf(out, "%-32s before %7.0f, during %7.0f, ratio %.3f, breaches %d\n", c.name, before, during, during/before, len(breaches))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
