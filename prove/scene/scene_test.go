// Package scene holds the integration tests: they run real processes with
// fault-injecting proxies between them, and check the stand-in's own record of
// the runs.
package scene

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/berylspar/spar/load/drive"
	"github.com/berylspar/spar/prove/fault"
	"github.com/berylspar/spar/prove/stage"
)

// Scenario is one integration test. Setup, which may be nil, changes the plan
// of the deployment before it starts.
type Scenario struct {
	Name        string
	Description string
	Setup       func(p *stage.Plan)
	Run         func(s *Scene)
}

// Scene is a deployment under test.
type Scene struct {
	*testing.T
	*stage.Stage
	ctx       context.Context
	net       *fault.Net
	closures  []stage.Closure
	mayRepeat func(job string) bool
}

func scenarios() []Scenario {
	return []Scenario{
		agentKilled, agentFrozen, entryKilled, entryFrozen, logOutage, lostAnswers, operatorsRace,
		domainClosedWhileCut, domainGone, plannedStops, wrongAnswers, atMostOnce, retentionPasses, badUse, traceShowsTheWay, showWhileBusy,
	}
}

func TestScenario(t *testing.T) {
	for _, scenario := range scenarios() {
		t.Run(scenario.Name, func(t *testing.T) {
			t.Parallel()
			t.Log(scenario.Description)
			runScenario(t, scenario)
		})
	}
}

// runScenario starts the deployment, runs the scenario, and then checks the
// platform's record against the invariants.
func runScenario(t *testing.T, scenario Scenario) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	net := fault.NewNet(ctx)
	defer net.Wait()
	defer cancel()
	plan := stage.Plan{
		Bin: binDir(t), Dir: t.TempDir(), Domains: []string{"plovdiv", "haskovo", "sliven"}, Entries: 3, Workers: 6, Service: "booking-desk",
		Processors: 16, MemoryMB: 60 * 1024, ServiceUS: 2000, Slots: 8, AppendsPerSecond: 400, DialAddress: net.ProxyAddress,
	}
	if scenario.Setup != nil {
		scenario.Setup(&plan)
	}
	deployment, err := stage.Open(ctx, plan)
	if err != nil {
		t.Fatal(err)
	}
	s := &Scene{T: t, Stage: deployment, ctx: ctx, net: net}
	defer s.close()
	s.requireNoError(net.Err())
	s.requireNoError(s.Configure(ctx, "naem"))
	scenario.Run(s)
	s.checkInvariants()
}

// binDir returns the folder of the programs that make build writes.
func binDir(t *testing.T) string {
	path, err := filepath.Abs("../../bin")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(filepath.Join(path, "entry")); err != nil {
		t.Fatalf("the programs are not built; make test builds them first: %v", err)
	}
	return path
}

func (s *Scene) close() {
	if s.Failed() {
		for _, entry := range s.Entries() {
			s.Logf("%s:\n%s", entry.Name, lastBytes(s.Log(entry.Name)))
		}
	}
	if err := s.Close(); err != nil {
		s.Error(err)
	}
}

const logTailBytes = 6000

func lastBytes(text string) string { return text[max(len(text)-logTailBytes, 0):] }

func (s *Scene) requireNoError(err error) {
	s.Helper()
	if err != nil {
		s.Fatal(err)
	}
}

// checkInvariants checks the platform's record against the invariants that hold
// in every scenario.
func (s *Scene) checkInvariants() {
	record, err := s.Report(s.ctx)
	s.requireNoError(err)
	for _, violation := range stage.Violations(record, s.closures, s.mayRepeat) {
		s.Error(violation)
	}
	s.Logf("%d runs, %d done, %d evicted, %d lapsed, %d faults injected by proxies", len(record.Runs), stage.CountEnded(record, "done"), stage.CountEnded(record, "stopped"), stage.CountEnded(record, "lapsed"), s.net.FaultCount())
}

// submitJobs submits jobs with the given number of tasks, distributed over the
// entries, and returns their names.
func (s *Scene) submitJobs(kind string, jobs, tasks int, runTime time.Duration) []string {
	var out []string
	for i := range jobs {
		name := fmt.Sprintf("%s-%d", kind, i+1)
		s.requireNoError(s.Submit(s.ctx, i%len(s.Entries()), name, kind, tasks, runTime))
		out = append(out, name)
	}
	return out
}

// awaitDone waits until all tasks of the jobs are done.
func (s *Scene) awaitDone(entry int, jobs []string, limit time.Duration) {
	s.Helper()
	s.requireNoError(stage.WaitUntil(s.ctx, limit, "jobs done", func() bool {
		for _, job := range jobs {
			status, err := s.Job(s.ctx, entry, job)
			if err != nil || !status.Ended || status.Done != len(status.Tasks) {
				return false
			}
		}
		return true
	}))
}

// awaitRunningWorker waits until a task is running and returns its worker.
func (s *Scene) awaitRunningWorker() string {
	s.Helper()
	worker := ""
	s.requireNoError(stage.WaitUntil(s.ctx, 10*time.Second, "tasks running", func() bool {
		worker = s.runningWorker()
		return worker != ""
	}))
	return worker
}

func (s *Scene) runningWorker() string {
	record, err := s.Report(s.ctx)
	if err != nil {
		return ""
	}
	for _, run := range record.Runs {
		if run.End == 0 {
			return run.Worker
		}
	}
	return ""
}

func (s *Scene) platformTime() time.Duration {
	record, err := s.Report(s.ctx)
	s.requireNoError(err)
	return record.Now
}

// startLoad sends requests in the background; the channel receives the report
// at the end.
func (s *Scene) startLoad(settings drive.Settings, duration time.Duration) <-chan drive.Report {
	settings.Service, settings.DurationMS = "booking-desk", duration.Milliseconds()
	if settings.PerSecond == 0 {
		settings.PerSecond = 200
	}
	if settings.DeadlineMS == 0 {
		settings.DeadlineMS = 1000
	}
	settings.BodyBytes = 64
	if settings.Targets == nil {
		settings.Targets = s.ListenAddresses()
	}
	reports := make(chan drive.Report, 1)
	go func() { reports <- drive.NewDriver(settings).Run(s.ctx) }()
	return reports
}

func (s *Scene) domainOf(worker string) string {
	for _, agent := range s.Agents() {
		if agent.Worker == worker {
			return agent.Domain
		}
	}
	return ""
}

func (s *Scene) pause(d time.Duration) {
	select {
	case <-s.ctx.Done():
	case <-time.After(d):
	}
}
