package random

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/fleet"
	"github.com/berylspar/spar/fold"
	"github.com/berylspar/spar/prove/stage"
	"github.com/berylspar/spar/stand/logs"
	"github.com/berylspar/spar/tail"
	"github.com/berylspar/spar/wire"
)

var (
	seeds     = flag.Int("seeds", 12, "random runs")
	firstSeed = flag.Int("first", 0, "first seed")
	verbose   = flag.Bool("talk", false, "print what the processes log")
)

const (
	runTime           = 60 * time.Second
	settleTime        = 60 * time.Second
	meanFaultInterval = 700 * time.Millisecond
	maxJobs           = 12
)

// randomRun is the state of one run with a random seed.
type randomRun struct {
	*deployment
	t                *testing.T
	seed             uint64
	currentClosures  map[string]*stage.Closure // by domain, of the domains that are closed now
	pastClosures     []stage.Closure
	faultCounts      map[string]int  // by fault name
	accepted         map[string]bool // by name of an accepted job, whether it is repeatable
	acceptedRevision int64           // last configuration revision known to be accepted
}

// TestRandomRuns runs the real components together under random faults: kills,
// graceful stops, one-way cuts, delayed calls, lost responses, log outages
// during which appends take effect, and domains that close and open. It checks
// the invariants against the platform's own record.
func TestRandomRuns(t *testing.T) {
	for i := range *seeds {
		seed := uint64(*firstSeed + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	run := &randomRun{deployment: newDeployment(seed, 3, 3, 6, logOutput()), t: t, seed: seed, currentClosures: map[string]*stage.Closure{}, faultCounts: map[string]int{}, accepted: map[string]bool{}}
	run.configure()
	began := time.Now()
	for n := 0; time.Since(began) < runTime; n++ {
		time.Sleep(time.Duration(run.random.Int64N(int64(2 * meanFaultInterval))))
		if n%2 == 0 && len(run.accepted) < maxJobs {
			run.submit(n)
		}
		run.injectFault()
		run.replaceExpelled()
		run.replaceFenced()
	}
	run.endAllFaults()
	for range int(settleTime / time.Second) {
		time.Sleep(time.Second)
		run.replaceExpelled()
		run.replaceFenced()
	}
	run.checkInvariants()
	run.stopAll()
	time.Sleep(time.Minute)
}

// logOutput returns the writer for the logs of the processes.
func logOutput() io.Writer {
	if *verbose {
		return os.Stderr
	}
	return io.Discard
}

func (rr *randomRun) appendRecord(entry *process, r *wire.Record) (tail.Applied, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return entry.tail.Append(ctx, r)
}

func (rr *randomRun) configure() {
	c := fleet.Configuration{Services: []fleet.Service{}, Kinds: []fleet.Kind{}, Teams: []fleet.Team{{Name: "a", Quota: spar.Size{CPUMilli: 100_000, MemoryMB: 100_000}}}}
	for _, d := range rr.domains {
		c.Domains = append(c.Domains, fleet.Domain{Name: d, Region: "r", Closed: rr.currentClosures[d] != nil})
	}
	body, err := c.Print()
	if err != nil {
		rr.t.Fatal(err)
	}
	entries := rr.running(rr.entries)
	if len(entries) == 0 {
		return
	}
	entry := entries[rr.random.IntN(len(entries))]
	base := entry.tail.Config().Revision()
	applied, err := rr.appendRecord(entry, &wire.Record{Body: &wire.Record_Configure{Configure: &wire.Configure{Base: base, Body: body}}})
	if err == nil && applied.Outcome.IsValid() {
		rr.acceptedRevision = base + 1
	}
}

func (rr *randomRun) submit(n int) {
	entries := rr.running(rr.entries)
	if len(entries) == 0 {
		return
	}
	name := fmt.Sprintf("job%d", n)
	spec := &wire.Spec{
		Job: name, Team: string(rune('a' + n%3)), Kind: "k", Tasks: 3, Size: wire.SizeOf(spar.Size{CPUMilli: 1000, MemoryMB: 500}),
		RunMs: 1000 + rr.random.Int64N(9000), Repeatable: rr.random.IntN(4) > 0, Urgent: rr.random.IntN(4) == 0,
	}
	applied, err := rr.appendRecord(entries[rr.random.IntN(len(entries))], &wire.Record{Body: &wire.Record_Submit{Submit: spec}})
	if err == nil && applied.Outcome.IsValid() {
		rr.accepted[name] = spec.GetRepeatable()
	}
}

// injectFault applies one random fault to the deployment, or ends one.
func (rr *randomRun) injectFault() {
	entries, agents := rr.running(rr.entries), rr.running(rr.agents)
	if len(entries) == 0 {
		rr.startEntry("entry-1")
		return
	}
	entry, agent := entries[rr.random.IntN(len(entries))], agents[rr.random.IntN(len(agents))]
	kind := rr.random.IntN(12)
	rr.faultCounts[faultNames[kind]]++
	switch kind {
	case 0:
		rr.stop(entry)
		rr.startEntry(entry.address)
	case 1:
		rr.stop(agent)
		rr.startAgent(agent.worker)
	case 2:
		rr.stopGracefully(entry)
		rr.startEntry(entry.address)
	case 3:
		rr.stopGracefully(agent)
		rr.startAgent(agent.worker)
	case 4:
		rr.net.setCut(agent.address, entry.address, rr.random.IntN(2) == 0)
	case 5:
		rr.net.setCut(entry.address, agent.address, rr.random.IntN(2) == 0)
	case 6:
		rr.logCut.Store(entry.name, rr.random.IntN(2) == 0)
	case 7:
		rr.log.SetFaults(logs.Faults{Down: rr.random.IntN(2) == 0, ApplyWhileDown: rr.random.IntN(2) == 0, LostShare: 0.2, SlowMS: rr.random.Int64N(200)})
	case 8:
		rr.heldUntil.Store(agent.name, time.Now().Add(time.Duration(rr.random.Int64N(int64(6*time.Second)))))
	case 9:
		rr.net.mu.Lock()
		rr.net.lossShare, rr.net.extraDelay = rr.random.Float64()*0.2, time.Duration(rr.random.Int64N(int64(400*time.Millisecond)))
		rr.net.mu.Unlock()
	case 10:
		peer := entries[rr.random.IntN(len(entries))]
		rr.net.setCut(entry.name, peer.address, rr.random.IntN(2) == 0)
	case 11:
		rr.toggleDomain()
	}
}

var faultNames = []string{
	"entry killed", "agent killed", "entry stopped by plan", "agent stopped by plan", "agent to entry cut or mended", "entry to agent cut or mended",
	"entry off the log or on", "log outage or end of it", "worker API held up", "lossy and slow network", "entry to entry cut or mended", "domain closed or opened",
}

func (rr *randomRun) stopGracefully(p *process) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p.prepareStop(ctx)
	rr.stop(p)
}

// toggleDomain closes a random domain, or opens it if it is closed. A closure
// is recorded as starting when its append is confirmed, which is never earlier
// than the time at which the log holds it.
func (rr *randomRun) toggleDomain() {
	domain := rr.domains[rr.random.IntN(len(rr.domains))]
	revisionBefore := rr.acceptedRevision
	if closure := rr.currentClosures[domain]; closure != nil {
		delete(rr.currentClosures, domain)
		closure.To = rr.recorder.Report().Now
		rr.configure()
		if rr.acceptedRevision == revisionBefore {
			// The append is unconfirmed but may have taken effect, so the
			// closure counts as ended.
			rr.pastClosures = append(rr.pastClosures, *closure)
			return
		}
		rr.pastClosures = append(rr.pastClosures, *closure)
		return
	}
	closure := &stage.Closure{Domain: domain}
	rr.currentClosures[domain] = closure
	rr.configure()
	if rr.acceptedRevision == revisionBefore {
		delete(rr.currentClosures, domain)
		return
	}
	closure.From = rr.recorder.Report().Now
}

// endAllFaults ends all faults and opens all domains.
func (rr *randomRun) endAllFaults() {
	rr.log.SetFaults(logs.Faults{})
	rr.net.mu.Lock()
	rr.net.lossShare, rr.net.extraDelay, rr.net.cutLinks = 0, 0, map[string]bool{}
	rr.net.mu.Unlock()
	rr.logCut.Clear()
	for domain, closure := range rr.currentClosures {
		closure.To = rr.recorder.Report().Now
		rr.pastClosures = append(rr.pastClosures, *closure)
		delete(rr.currentClosures, domain)
	}
	for range 20 {
		revisionBefore := rr.acceptedRevision
		rr.configure()
		if rr.acceptedRevision > revisionBefore {
			return
		}
		time.Sleep(time.Second)
	}
	rr.t.Error("publish of the configuration after all faults had ended: want it accepted, got no acceptance within the tries")
}

func (rr *randomRun) checkInvariants() {
	report := rr.recorder.Report()
	for _, violation := range stage.Violations(report, rr.pastClosures, func(name string) bool { return rr.accepted[name] }) {
		rr.t.Error(violation)
	}
	entry := rr.running(rr.entries)[0]
	lost, open := 0, 0
	entry.tail.View(func(state *fold.State) {
		for name, repeatable := range rr.accepted {
			job := state.Job(name)
			switch {
			case job == nil:
				lost++
				rr.t.Errorf("job %s: accepted, but the state of the first running entry does not hold it", name)
			case !job.IsEnded():
				open++
				rr.t.Errorf("job %s (repeatable %v): want it ended, got %d tasks waiting and %d running", name, repeatable, job.Count(wire.Phase_PHASE_WAITING), job.Count(wire.Phase_PHASE_RUNNING))
				rr.logOpenTasks(state, job)
			case repeatable && job.Count(wire.Phase_PHASE_DONE) != job.Len():
				rr.t.Errorf("repeatable job %s: got %d of %d tasks done, want all", name, job.Count(wire.Phase_PHASE_DONE), job.Len())
			}
		}
	})
	for _, entry := range rr.running(rr.entries) {
		if got := entry.tail.Config().Revision(); got < rr.acceptedRevision {
			rr.t.Errorf("entry %s: got configuration revision %d, want at least %d, which was accepted", entry.name, got, rr.acceptedRevision)
		}
	}
	faults := 0
	for _, n := range rr.faultCounts {
		faults += n
	}
	rr.t.Logf("seed %d: %d jobs, %d runs, %d faults and %d lost messages, %d closures, revision %d", rr.seed, len(rr.accepted), len(report.Runs), faults, rr.net.faults, len(rr.pastClosures), rr.acceptedRevision)
}

// logOpenTasks logs the state of the tasks of a job that have not ended, and of
// all agents and entries.
func (rr *randomRun) logOpenTasks(state *fold.State, job *fold.Job) {
	for i := range job.Len() {
		task := job.Task(i)
		if task.IsEnded() {
			continue
		}
		fence, fenced := state.Fence(task.Session())
		rr.t.Logf("  task %s/%d: %s, attempt %d on %s, session fenced %v, lapsed %v, %s", job.Spec().GetJob(), i, task.Phase(), task.Attempt(), task.Session(), fenced, fence.IsLapsed(), task.Reason())
	}
	for _, agent := range rr.running(rr.agents) {
		rr.t.Logf("  agent %s: session %s, runs %v, ready %v", agent.name, agent.runner.Session(), agent.runner.ActiveAttempts(), agent.runner.IsReady())
	}
	for _, member := range state.Members() {
		rr.t.Logf("  entry %s: live %v", member.Entry(), member.IsLive())
	}
}
