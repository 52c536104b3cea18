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
	outageSpan    = time.Minute
	outageTaskRun = 3 * time.Minute
	quickSpan     = 15 * time.Second
)

// outage compares the batch work done in a minute without the log with the
// minute before, once with log freshness from the log alone and once also from
// peers.
func outage(ctx context.Context, opts Options, out io.Writer) error {
	span := outageSpan
	if opts.Quick {
		span = quickSpan
	}
	fmt.Fprintf(out, "batch work in %s without the log, against the same time before (task seconds)\n", span)
	for _, variant := range []struct {
		name            string
		peerFreshnessMS int64
	}{{"freshness from the log alone", 0}, {"and from the peers' word", lease.DefaultTerms().HearsayMS}} {
		terms := lease.DefaultTerms()
		terms.HearsayMS = variant.peerFreshnessMS
		p := naemPlan(opts)
		p.EntryOverrides = map[string]any{"terms": terms}
		p.AgentOverrides = map[string]any{"terms": terms, "throttle": false}
		err := withDeployment(ctx, p, func(s *stage.Stage) error {
			if err := s.Submit(ctx, 0, "long", "audit", 50, outageTaskRun); err != nil {
				return err
			}
			pause(ctx, warmUp)
			beforeSpan, err := s.Report(ctx)
			if err != nil {
				return err
			}
			pause(ctx, span)
			if err := s.LogFaults(ctx, logs.Faults{Down: true, ApplyWhileDown: true}); err != nil {
				return err
			}
			atOutage, err := s.Report(ctx)
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
			afterOutage, err := s.Report(ctx)
			if err != nil {
				return err
			}
			before := workDone(afterOutage, beforeSpan.Now, atOutage.Now).Seconds()
			during := workDone(afterOutage, atOutage.Now, atOutage.Now+span).Seconds()
			violations := stage.Violations(afterOutage, nil, func(string) bool { return true })
			fmt.Fprintf(out, "%-32s before %7.0f, during %7.0f, ratio %.3f, breaches %d\n", variant.name, before, during, during/before, len(violations))
			return nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}
