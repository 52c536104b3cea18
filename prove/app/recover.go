package app

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/work"
	"github.com/cockroachdb/errors"
)

// Sizes and durations of the recovery measurements.
const (
	recoverTeams    = 20
	maxKilledAgents = 4
	recoverRounds   = 5
	recoverTaskRun  = 30 * time.Second
	recoverTimeout  = 40 * time.Second
)

// measureRecoveries measures the time until work resumes after a process was
// killed or a domain reopened.
func measureRecoveries(ctx context.Context, opts Options, out io.Writer) error {
	fmt.Fprintln(out, "time from a death until the work goes on (s): samples, median, worst")
	for _, measurement := range []struct {
		name string
		run  func(context.Context, *stage.Stage) ([]time.Duration, error)
	}{
		{"agent killed, not started again", func(ctx context.Context, s *stage.Stage) ([]time.Duration, error) {
			return measureAgentKills(ctx, s, false)
		}},
		{"agent killed and started again", func(ctx context.Context, s *stage.Stage) ([]time.Duration, error) {
			return measureAgentKills(ctx, s, true)
		}},
		{"entry killed: urgent start, by team", measureEntryKill},
		{"domain opened: first start, by worker", measureDomainReopening},
	} {
		if err := measureRecovery(ctx, opts, out, measurement.name, measurement.run); err != nil {
			return err
		}
	}
	return nil
}

func measureRecovery(ctx context.Context, opts Options, out io.Writer, name string, run func(context.Context, *stage.Stage) ([]time.Duration, error)) (err error) {
	s, err := stage.Open(ctx, naemPlan(opts))
	if err != nil {
		return err
	}
	defer func() { err = errors.CombineErrors(err, s.Close()) }()
	body, err := teamsConfiguration()
	if err != nil {
		return err
	}
	if err := s.Publish(ctx, body); err != nil {
		return err
	}
	samples, err := run(ctx, s)
	if err != nil {
		return err
	}
	if len(samples) == 0 {
		return errors.Newf("%s: no sample", name)
	}
	slices.Sort(samples)
	report, err := s.Report(ctx)
	if err != nil {
		return err
	}
	violations := stage.Violations(report, nil, func(string) bool { return true })
	fmt.Fprintf(out, "%-40s %4d %8.2f %8.2f   breaches %d\n", name, len(samples), samples[len(samples)/2].Seconds(), samples[len(samples)-1].Seconds(), len(violations))
	return nil
}

func teamsConfiguration() ([]byte, error) {
	c := fleet.Configuration{
		Domains:  []fleet.Domain{{Name: "plovdiv", Region: "south"}, {Name: "haskovo", Region: "south"}, {Name: "sliven", Region: "south"}},
		Services: []fleet.Service{{Name: "booking-desk", TargetMS: 50}},
	}
	for i := range recoverTeams {
		team := fmt.Sprintf("team-%d", i)
		c.Teams = append(c.Teams, fleet.Team{Name: team, Quota: fleet.Size(1000, 4000, 0)})
		c.Kinds = append(c.Kinds, fleet.Kind{Name: "work-" + team, Team: team, Tasks: 1, Size: fleet.Size(1, 2, 0), RunMS: 1000, Urgent: true, Repeatable: true})
	}
	return c.Print()
}

// measureAgentKills kills several agents at once and measures for each the time
// until the first of its tasks runs again.
func measureAgentKills(ctx context.Context, s *stage.Stage, restart bool) ([]time.Duration, error) {
	var samples []time.Duration
	for round := range recoverRounds {
		if err := s.Submit(ctx, 0, fmt.Sprintf("long-%d", round), "work-team-1", 40, recoverTaskRun); err != nil {
			return nil, err
		}
		pause(ctx, warmUp)
		before, err := s.Report(ctx)
		if err != nil {
			return nil, err
		}
		killed := runningWorkers(before)
		for _, w := range killed {
			s.Proc(w).Kill()
			if restart {
				if err := s.Start("agent", w); err != nil {
					return nil, err
				}
			}
		}
		resumed, err := awaitResumed(ctx, s, before, killed)
		if err != nil {
			return nil, err
		}
		samples = append(samples, resumed...)
		for _, w := range killed {
			if !restart {
				if err := s.Start("agent", w); err != nil {
					return nil, err
				}
			}
		}
		if _, err := s.RunBeryl(ctx, "job", "cancel", fmt.Sprintf("long-%d", round)); err != nil {
			return nil, err
		}
		pause(ctx, warmUp)
	}
	return samples, nil
}

func runningWorkers(report work.Report) []string {
	var workers []string
	for _, run := range report.Runs {
		if run.End == 0 && !slices.Contains(workers, run.Worker) && len(workers) < maxKilledAgents {
			workers = append(workers, run.Worker)
		}
	}
	return workers
}

// awaitResumed waits until a task of each killed agent runs as a later attempt,
// and returns the times from the kill to these starts.
func awaitResumed(ctx context.Context, s *stage.Stage, before work.Report, killed []string) ([]time.Duration, error) {
	var resumed []time.Duration
	err := stage.WaitUntil(ctx, recoverTimeout, "tasks of dead agents run again", func() bool {
		after, err := s.Report(ctx)
		if err != nil {
			return false
		}
		resumed = nil
		for _, w := range killed {
			if start := firstLaterAttempt(before, after, w); start > 0 {
				resumed = append(resumed, start-before.Now)
			}
		}
		pause(ctx, 50*time.Millisecond)
		return len(resumed) == len(killed)
	})
	return resumed, err
}

func firstLaterAttempt(before, after work.Report, worker string) time.Duration {
	first := time.Duration(0)
	for _, run := range before.Runs {
		if run.Worker != worker || run.End != 0 {
			continue
		}
		for _, later := range after.Runs {
			if later.ID.Task() == run.ID.Task() && later.ID.Attempt > run.ID.Attempt && (first == 0 || later.Start < first) {
				first = later.Start
			}
		}
	}
	return first
}

// measureEntryKill kills an entry, immediately submits urgent work of each team
// through another one, and measures the time until each starts.
func measureEntryKill(ctx context.Context, s *stage.Stage) ([]time.Duration, error) {
	s.Proc("entry-1").Kill()
	before, err := s.Report(ctx)
	if err != nil {
		return nil, err
	}
	for i := range recoverTeams {
		if err := s.Submit(ctx, 1, fmt.Sprintf("urgent-%d", i), fmt.Sprintf("work-team-%d", i), 1, time.Second); err != nil {
			return nil, err
		}
	}
	var samples []time.Duration
	err = stage.WaitUntil(ctx, recoverTimeout, "urgent work of each team starts", func() bool {
		after, err := s.Report(ctx)
		if err != nil {
			return false
		}
		samples = nil
		for _, run := range after.Runs {
			if run.ID.Attempt == 1 {
				samples = append(samples, run.Start-before.Now)
			}
		}
		pause(ctx, 50*time.Millisecond)
		return len(samples) == recoverTeams
	})
	return samples, err
}

// measureDomainReopening closes and reopens a domain while work is waiting, and
// measures the time until each of its workers starts a task.
func measureDomainReopening(ctx context.Context, s *stage.Stage) ([]time.Duration, error) {
	var samples []time.Duration
	if err := s.Submit(ctx, 0, "backlog", "work-team-2", 1000, 2*time.Second); err != nil {
		return nil, err
	}
	for range recoverRounds {
		if _, err := s.RunBeryl(ctx, "domain", "close", "plovdiv"); err != nil {
			return nil, err
		}
		pause(ctx, warmUp)
		before, err := s.Report(ctx)
		if err != nil {
			return nil, err
		}
		if _, err := s.RunBeryl(ctx, "domain", "open", "plovdiv"); err != nil {
			return nil, err
		}
		pause(ctx, 2*warmUp)
		after, err := s.Report(ctx)
		if err != nil {
			return nil, err
		}
		first := map[string]time.Duration{}
		for _, run := range after.Runs {
			if run.Domain == "plovdiv" && run.Start > before.Now && (first[run.Worker] == 0 || run.Start < first[run.Worker]) {
				first[run.Worker] = run.Start
			}
		}
		for _, start := range first {
			samples = append(samples, start-before.Now)
		}
	}
	return samples, nil
}
