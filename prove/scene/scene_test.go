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

// Scenario is one integration test. Setup, which may be nil, changes the plan of
// the deployment before it starts.
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
	for _, c := range scenarios() {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			t.Log(c.Description)
			runScenario(t, c)
		})
	}
}

// runScenario starts the deployment, runs the scenario, and then checks the
// platform's record against the invariants.
func runScenario(t *testing.T, c Scenario) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	net := fault.NewNet(ctx)
	defer net.Wait()
	defer cancel()
	p := stage.Plan{
		Bin: binDir(t), Dir: t.TempDir(), Domains: []string{"plovdiv", "haskovo", "sliven"}, Entries: 3, Workers: 6, Service: "booking-desk",
		Processors: 16, MemoryMB: 60 * 1024, ServiceUS: 2000, Slots: 8, AppendsPerSecond: 400, DialAddress: net.ProxyAddress,
	}
	if c.Setup != nil {
		c.Setup(&p)
	}
	st, err := stage.Open(ctx, p)
	if err != nil {
		t.Fatal(err)
	}
	s := &Scene{T: t, Stage: st, ctx: ctx, net: net}
	defer s.close()
	s.requireNoError(net.Err())
	s.requireNoError(s.Configure(ctx, "naem"))
	c.Run(s)
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
		for _, e := range s.Entries() {
			s.Logf("%s:\n%s", e.Name, lastBytes(s.Log(e.Name)))
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
	r, err := s.Report(s.ctx)
	s.requireNoError(err)
	for _, b := range stage.Violations(r, s.closures, s.mayRepeat) {
		s.Error(b)
	}
	s.Logf("%d runs, %d done, %d evicted, %d lapsed, %d faults injected by proxies", len(r.Runs), stage.CountEnded(r, "done"), stage.CountEnded(r, "stopped"), stage.CountEnded(r, "lapsed"), s.net.FaultCount())
}

// submitJobs submits jobs with the given number of tasks, distributed over the
// entries, and returns their names.
func (s *Scene) submitJobs(kind string, jobs, tasks int, run time.Duration) []string {
	var out []string
	for i := range jobs {
		name := fmt.Sprintf("%s-%d", kind, i+1)
		s.requireNoError(s.Submit(s.ctx, i%len(s.Entries()), name, kind, tasks, run))
		out = append(out, name)
	}
	return out
}

// awaitDone waits until all tasks of jobs are done.
func (s *Scene) awaitDone(entry int, jobs []string, limit time.Duration) {
	s.Helper()
	s.requireNoError(stage.WaitUntil(s.ctx, limit, "jobs done", func() bool {
		for _, j := range jobs {
			got, err := s.Job(s.ctx, entry, j)
			if err != nil || !got.Ended || got.Done != len(got.Tasks) {
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
	r, err := s.Report(s.ctx)
	if err != nil {
		return ""
	}
	for _, n := range r.Runs {
		if n.End == 0 {
			return n.Worker
		}
	}
	return ""
}

func (s *Scene) platformTime() time.Duration {
	r, err := s.Report(s.ctx)
	s.requireNoError(err)
	return r.Now
}

// startLoad sends requests in the background and delivers the report at the end.
func (s *Scene) startLoad(d drive.Settings, length time.Duration) <-chan drive.Report {
	d.Service, d.DurationMS = "booking-desk", length.Milliseconds()
	if d.PerSecond == 0 {
		d.PerSecond = 200
	}
	if d.DeadlineMS == 0 {
		d.DeadlineMS = 1000
	}
	d.BodyBytes = 64
	if d.Targets == nil {
		d.Targets = s.ListenAddresses()
	}
	out := make(chan drive.Report, 1)
	go func() { out <- drive.NewDriver(d).Run(s.ctx) }()
	return out
}

func (s *Scene) domainOf(worker string) string {
	for _, a := range s.Agents() {
		if a.Worker == worker {
			return a.Domain
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
