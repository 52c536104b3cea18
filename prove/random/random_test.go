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
	t            *testing.T
	seed         uint64
	closures     map[string]*stage.Closure
	pastClosures []stage.Closure
	faultCounts  map[string]int
	accepted     map[string]bool
	revision     int64
}

// TestRandomRuns runs the real components together under random faults: kills,
// planned stops, one-way cuts, delayed calls, lost responses, log outages during
// which appends take effect, and domains that close and open. It checks the
// invariants on the platform's own record.
func TestRandomRuns(t *testing.T) {
	for i := range *seeds {
		seed := uint64(*firstSeed + i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSeed(t, seed) })
		})
	}
}

func runSeed(t *testing.T, seed uint64) {
	h := &randomRun{deployment: newDeployment(seed, 3, 3, 6, logOutput()), t: t, seed: seed, closures: map[string]*stage.Closure{}, faultCounts: map[string]int{}, accepted: map[string]bool{}}
	h.configure()
	began := time.Now()
	for n := 0; time.Since(began) < runTime; n++ {
		time.Sleep(time.Duration(h.random.Int64N(int64(2 * meanFaultInterval))))
		if n%2 == 0 && len(h.accepted) < maxJobs {
			h.submit(n)
		}
		h.injectFault()
		h.replaceExpelled()
		h.replaceFenced()
	}
	h.endAllFaults()
	for range int(settleTime / time.Second) {
		time.Sleep(time.Second)
		h.replaceExpelled()
		h.replaceFenced()
	}
	h.checkInvariants()
	h.close()
	time.Sleep(time.Minute)
}

// logOutput returns the writer for the logs of the processes.
func logOutput() io.Writer {
	if *verbose {
		return os.Stderr
	}
	return io.Discard
}

func (h *randomRun) append(p *process, r *wire.Record) (tail.Applied, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	return p.tail.Append(ctx, r)
}

func (h *randomRun) configure() {
	c := fleet.Configuration{Services: []fleet.Service{}, Kinds: []fleet.Kind{}, Teams: []fleet.Team{{Name: "a", Quota: spar.Size{CPUMilli: 100_000, MemoryMB: 100_000}}}}
	for _, d := range h.domains {
		c.Domains = append(c.Domains, fleet.Domain{Name: d, Region: "r", Closed: h.closures[d] != nil})
	}
	body, err := c.Print()
	if err != nil {
		h.t.Fatal(err)
	}
	up := h.up(h.entries)
	if len(up) == 0 {
		return
	}
	p := up[h.random.IntN(len(up))]
	base := p.tail.Config().Revision()
	a, err := h.append(p, &wire.Record{Body: &wire.Record_Configure{Configure: &wire.Configure{Base: base, Body: body}}})
	if err == nil && a.Outcome.IsValid() {
		h.revision = base + 1
	}
}

func (h *randomRun) submit(n int) {
	up := h.up(h.entries)
	if len(up) == 0 {
		return
	}
	name := fmt.Sprintf("job%d", n)
	spec := &wire.Spec{
		Job: name, Team: string(rune('a' + n%3)), Kind: "k", Tasks: 3, Size: wire.SizeOf(spar.Size{CPUMilli: 1000, MemoryMB: 500}),
		RunMs: 1000 + h.random.Int64N(9000), Repeatable: h.random.IntN(4) > 0, Urgent: h.random.IntN(4) == 0,
	}
	a, err := h.append(up[h.random.IntN(len(up))], &wire.Record{Body: &wire.Record_Submit{Submit: spec}})
	if err == nil && a.Outcome.IsValid() {
		h.accepted[name] = spec.GetRepeatable()
	}
}

// injectFault applies one random fault to the deployment, or ends one.
func (h *randomRun) injectFault() {
	entries, all := h.up(h.entries), h.up(h.agents)
	if len(entries) == 0 {
		h.startEntry("entry-1")
		return
	}
	e, a := entries[h.random.IntN(len(entries))], all[h.random.IntN(len(all))]
	n := h.random.IntN(12)
	h.faultCounts[faultNames[n]]++
	switch n {
	case 0:
		h.stop(e)
		h.startEntry(e.address)
	case 1:
		h.stop(a)
		h.startAgent(a.worker)
	case 2:
		h.drainAndStop(e)
		h.startEntry(e.address)
	case 3:
		h.drainAndStop(a)
		h.startAgent(a.worker)
	case 4:
		h.net.setCut(a.address, e.address, h.random.IntN(2) == 0)
	case 5:
		h.net.setCut(e.address, a.address, h.random.IntN(2) == 0)
	case 6:
		h.logCut.Store(e.name, h.random.IntN(2) == 0)
	case 7:
		h.log.SetFaults(logs.Faults{Down: h.random.IntN(2) == 0, ApplyWhileDown: h.random.IntN(2) == 0, LostShare: 0.2, SlowMS: h.random.Int64N(200)})
	case 8:
		h.heldUntil.Store(a.name, time.Now().Add(time.Duration(h.random.Int64N(int64(6*time.Second)))))
	case 9:
		h.net.mu.Lock()
		h.net.lossShare, h.net.extraDelay = h.random.Float64()*0.2, time.Duration(h.random.Int64N(int64(400*time.Millisecond)))
		h.net.mu.Unlock()
	case 10:
		o := entries[h.random.IntN(len(entries))]
		h.net.setCut(e.name, o.address, h.random.IntN(2) == 0)
	case 11:
		h.toggleDomain()
	}
}

var faultNames = []string{
	"entry killed", "agent killed", "entry stopped by plan", "agent stopped by plan", "agent to entry cut or mended", "entry to agent cut or mended",
	"entry off the log or on", "log outage or end of it", "worker API held up", "lossy and slow network", "entry to entry cut or mended", "domain closed or opened",
}

func (h *randomRun) drainAndStop(p *process) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	p.drain(ctx)
	h.stop(p)
}

// toggleDomain closes a random domain, or opens it if it is closed. The recorded
// start of a closure is the time after the append was confirmed, which is not
// before the log held it.
func (h *randomRun) toggleDomain() {
	d := h.domains[h.random.IntN(len(h.domains))]
	before := h.revision
	if c := h.closures[d]; c != nil {
		delete(h.closures, d)
		c.To = h.record.Report().Now
		h.configure()
		if h.revision == before {
			// The append is unconfirmed but may have taken effect, so the closure
			// counts as ended.
			h.pastClosures = append(h.pastClosures, *c)
			return
		}
		h.pastClosures = append(h.pastClosures, *c)
		return
	}
	c := &stage.Closure{Domain: d}
	h.closures[d] = c
	h.configure()
	if h.revision == before {
		delete(h.closures, d)
		return
	}
	c.From = h.record.Report().Now
}

// endAllFaults ends all faults and opens all domains.
func (h *randomRun) endAllFaults() {
	h.log.SetFaults(logs.Faults{})
	h.net.mu.Lock()
	h.net.lossShare, h.net.extraDelay, h.net.cutLinks = 0, 0, map[string]bool{}
	h.net.mu.Unlock()
	h.logCut.Clear()
	for d, c := range h.closures {
		c.To = h.record.Report().Now
		h.pastClosures = append(h.pastClosures, *c)
		delete(h.closures, d)
	}
	for range 20 {
		before := h.revision
		h.configure()
		if h.revision > before {
			return
		}
		time.Sleep(time.Second)
	}
	h.t.Error("no configuration was accepted after all faults had ended")
}

func (h *randomRun) checkInvariants() {
	r := h.record.Report()
	for _, b := range stage.Violations(r, h.pastClosures, func(job string) bool { return h.accepted[job] }) {
		h.t.Error(b)
	}
	p := h.up(h.entries)[0]
	lost, open := 0, 0
	p.tail.View(func(f *fold.State) {
		for name, repeatable := range h.accepted {
			j := f.Job(name)
			switch {
			case j == nil:
				lost++
				h.t.Errorf("job %s was accepted and is lost", name)
			case !j.IsEnded():
				open++
				h.t.Errorf("job %s (repeatable %v) has not ended: %d waiting, %d running", name, repeatable, j.Count(wire.Phase_PHASE_WAITING), j.Count(wire.Phase_PHASE_RUNNING))
				h.logOpenTasks(f, j)
			case repeatable && j.Count(wire.Phase_PHASE_DONE) != j.Len():
				h.t.Errorf("job %s is repeatable and only %d of %d tasks are done", name, j.Count(wire.Phase_PHASE_DONE), j.Len())
			}
		}
	})
	for _, e := range h.up(h.entries) {
		if got := e.tail.Config().Revision(); got < h.revision {
			h.t.Errorf("entry %s holds revision %d, and %d was accepted", e.name, got, h.revision)
		}
	}
	faults := 0
	for _, n := range h.faultCounts {
		faults += n
	}
	h.t.Logf("seed %d: %d jobs, %d runs, %d faults and %d lost messages, %d closures, revision %d", h.seed, len(h.accepted), len(r.Runs), faults, h.net.faults, len(h.pastClosures), h.revision)
}

// logOpenTasks logs the state of the tasks of a job that have not ended, and of
// all agents and entries.
func (h *randomRun) logOpenTasks(f *fold.State, j *fold.Job) {
	for i := range j.Len() {
		n := j.Task(i)
		if n.IsEnded() {
			continue
		}
		x, fenced := f.Fence(n.Session())
		h.t.Logf("  task %s/%d: %s, attempt %d on %s, session fenced %v, lapsed %v, %s", j.Spec().GetJob(), i, n.Phase(), n.Attempt(), n.Session(), fenced, x.IsLapsed(), n.Reason())
	}
	for _, a := range h.up(h.agents) {
		h.t.Logf("  agent %s: session %s, runs %v, ready %v", a.name, a.runner.Session(), a.runner.ActiveAttempts(), a.runner.IsReady())
	}
	for _, m := range f.Members() {
		h.t.Logf("  entry %s: live %v", m.Entry(), m.IsLive())
	}
}
