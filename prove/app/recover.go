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
	recoverTeams   = 20
	recoverVictims = 4
	recoverRounds  = 5
	recoverTask    = 30 * time.Second
	recoverTimeout = 40 * time.Second
)

// measureRecoveries measures the time until work resumes after a process was
// killed or a domain reopened.
func measureRecoveries(ctx context.Context, o Options, out io.Writer) error {
	fmt.Fprintln(out, "time from a death until the work goes on (s): samples, median, worst")
	for _, part := range []struct {
		name string
		run  func(context.Context, *stage.Stage) ([]time.Duration, error)
	}{
		{"agent killed, not started again", func(ctx context.Context, s *stage.Stage) ([]time.Duration, error) { return agentKills(ctx, s, false) }},
		{"agent killed and started again", func(ctx context.Context, s *stage.Stage) ([]time.Duration, error) { return agentKills(ctx, s, true) }},
		{"entry killed: urgent start, by team", entryKill},
		{"domain opened: first start, by worker", domainReopening},
	} {
		if err := measureRecovery(ctx, o, out, part.name, part.run); err != nil {
			return err
		}
	}
	return nil
}

func measureRecovery(ctx context.Context, o Options, out io.Writer, name string, run func(context.Context, *stage.Stage) ([]time.Duration, error)) (err error) {
	s, err := stage.Open(ctx, naemPlan(o))
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
	took, err := run(ctx, s)
	if err != nil {
		return err
	}
	if len(took) == 0 {
		return errors.Newf("%s: no sample", name)
	}
	slices.Sort(took)
	r, err := s.Report(ctx)
	if err != nil {
		return err
	}
	breaches := stage.Violations(r, nil, func(string) bool { return true })
	fmt.Fprintf(out, "%-40s %4d %8.2f %8.2f   breaches %d\n", name, len(took), took[len(took)/2].Seconds(), took[len(took)-1].Seconds(), len(breaches))
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

// agentKills kills several agents at once and measures for each the time until
// the first of its tasks runs again.
func agentKills(ctx context.Context, s *stage.Stage, again bool) ([]time.Duration, error) {
	var out []time.Duration
	for round := range recoverRounds {
		if err := s.Submit(ctx, 0, fmt.Sprintf("long-%d", round), "work-team-1", 40, recoverTask); err != nil {
			return nil, err
		}
		pause(ctx, warmUp)
		before, err := s.Report(ctx)
		if err != nil {
			return nil, err
		}
		victims := runningWorkers(before)
		for _, w := range victims {
			s.Proc(w).Kill()
			if again {
				if err := s.Start("agent", w); err != nil {
					return nil, err
				}
			}
		}
		took, err := awaitResumed(ctx, s, before, victims)
		if err != nil {
			return nil, err
		}
		out = append(out, took...)
		for _, w := range victims {
			if !again {
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
	return out, nil
}

func runningWorkers(r work.Report) []string {
	var out []string
	for _, n := range r.Runs {
		if n.End == 0 && !slices.Contains(out, n.Worker) && len(out) < recoverVictims {
			out = append(out, n.Worker)
		}
	}
	return out
}

// awaitResumed waits until a task of each killed worker runs as a later attempt,
// and returns the times from the kill to these starts.
func awaitResumed(ctx context.Context, s *stage.Stage, before work.Report, victims []string) ([]time.Duration, error) {
	var out []time.Duration
	err := stage.WaitUntil(ctx, recoverTimeout, "tasks of dead agents run again", func() bool {
		after, err := s.Report(ctx)
		if err != nil {
			return false
		}
		out = nil
		for _, w := range victims {
			if at := firstLaterAttempt(before, after, w); at > 0 {
				out = append(out, at-before.Now)
			}
		}
		pause(ctx, 50*time.Millisecond)
		return len(out) == len(victims)
	})
	return out, err
}

func firstLaterAttempt(before, after work.Report, worker string) time.Duration {
	first := time.Duration(0)
	for _, n := range before.Runs {
		if n.Worker != worker || n.End != 0 {
			continue
		}
		for _, m := range after.Runs {
			if m.ID.Task() == n.ID.Task() && m.ID.Attempt > n.ID.Attempt && (first == 0 || m.Start < first) {
				first = m.Start
			}
		}
	}
	return first
}

// entryKill kills an entry, at once submits urgent work of each team through
// another one, and measures the time until each starts.
func entryKill(ctx context.Context, s *stage.Stage) ([]time.Duration, error) {
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
	var out []time.Duration
	err = stage.WaitUntil(ctx, recoverTimeout, "urgent work of each team starts", func() bool {
		after, err := s.Report(ctx)
		if err != nil {
			return false
		}
		out = nil
		for _, n := range after.Runs {
			if n.ID.Attempt == 1 {
				out = append(out, n.Start-before.Now)
			}
		}
		pause(ctx, 50*time.Millisecond)
		return len(out) == recoverTeams
	})
	return out, err
}

// domainReopening closes and reopens a domain while work is waiting, and measures
// the time until each of its workers starts a task.
func domainReopening(ctx context.Context, s *stage.Stage) ([]time.Duration, error) {
	var out []time.Duration
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
		for _, n := range after.Runs {
			if n.Domain == "plovdiv" && n.Start > before.Now && (first[n.Worker] == 0 || n.Start < first[n.Worker]) {
				first[n.Worker] = n.Start
			}
		}
		for _, at := range first {
			out = append(out, at-before.Now)
		}
	}
	return out, nil
}
