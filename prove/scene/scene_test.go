// Package scene holds the integration tests: real processes, a fault-injecting
// proxy between them, and the stand-in's own record as the judge.
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

// Scenario is one integration test: what it shows, what it needs, what it does.
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
	ctx      context.Context
	net      *fault.Net
	closures []stage.Closure
	again    func(job string) bool
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
			play(t, c)
		})
	}
}

// play brings up the deployment, runs the scenario, and then holds the record
// of the platform against what must always hold.
func play(t *testing.T, c Scenario) {
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	net := fault.NewNet(ctx)
	defer net.Wait()
	defer cancel()
	p := stage.Plan{
		Bin: bin(t), Dir: t.TempDir(), Domains: []string{"plovdiv", "haskovo", "sliven"}, Entries: 3, Workers: 6, Service: "booking-desk",
		Processors: 16, MemoryMB: 60 * 1024, ServiceUS: 2000, Slots: 8, Appends: 400, Via: net.ProxyAddress,
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
	s.must(net.Err())
	s.must(s.Configure(ctx, "naem"))
	c.Run(s)
	s.judge()
}

// bin returns the folder of the programs that make build left.
func bin(t *testing.T) string {
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
			s.Logf("%s:\n%s", e.Name, tailOf(s.Log(e.Name)))
		}
	}
	if err := s.Close(); err != nil {
		s.Error(err)
	}
}

const tailBytes = 6000

func tailOf(text string) string { return text[max(len(text)-tailBytes, 0):] }

func (s *Scene) must(err error) {
	s.Helper()
	if err != nil {
		s.Fatal(err)
	}
}

// judge holds the platform's record against what must always hold.
func (s *Scene) judge() {
	r, err := s.Report(s.ctx)
	s.must(err)
	for _, b := range stage.Violations(r, s.closures, s.again) {
		s.Error(b)
	}
	s.Logf("%d runs, %d done, %d evicted, %d lapsed, %d faults injected by proxies", len(r.Runs), stage.CountEnded(r, "done"), stage.CountEnded(r, "stopped"), stage.CountEnded(r, "lapsed"), s.net.FaultCount())
}

// submit submits jobs of a number of tasks, spread over the entries.
func (s *Scene) submit(kind string, jobs, tasks int, run time.Duration) []string {
	var out []string
	for i := range jobs {
		name := fmt.Sprintf("%s-%d", kind, i+1)
		s.must(s.Submit(s.ctx, i%len(s.Entries()), name, kind, tasks, run))
		out = append(out, name)
	}
	return out
}

// awaitDone waits until all tasks of jobs are done.
func (s *Scene) awaitDone(entry int, jobs []string, limit time.Duration) {
	s.Helper()
	s.must(stage.WaitUntil(s.ctx, limit, "jobs done", func() bool {
		for _, j := range jobs {
			got, err := s.Job(s.ctx, entry, j)
			if err != nil || !got.Ended || got.Done != len(got.Tasks) {
				return false
			}
		}
		return true
	}))
}

// awaitRunning waits until tasks run, and returns a worker that runs some.
func (s *Scene) awaitRunning() string {
	s.Helper()
	worker := ""
	s.must(stage.WaitUntil(s.ctx, 10*time.Second, "tasks running", func() bool {
		worker = s.runsOn()
		return worker != ""
	}))
	return worker
}

func (s *Scene) runsOn() string {
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

func (s *Scene) now() time.Duration {
	r, err := s.Report(s.ctx)
	s.must(err)
	return r.Now
}

// load sends requests in the background.
func (s *Scene) load(d drive.Settings, length time.Duration) <-chan drive.Report {
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
