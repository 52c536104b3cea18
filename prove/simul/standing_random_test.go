package simul_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
)

const (
	// maxStandingTasks bounds the standing tasks, so that workers have room.
	maxStandingTasks = 12
	// maxAbsentNodes bounds the machines that are away at a time.
	maxAbsentNodes = 2
	// minReportedDrain is longer than the time between two heartbeats, so that an agent that
	// is up hears of the drain.
	minReportedDrain = 600 * time.Millisecond
)

// Random faults, departures of workers and outages of the store overlap, with quiet
// spells between them. A standing task that nothing disturbs must run again within
// seconds if a worker has room for it: it must not wait for leases on workers that are
// gone, or for a worker that is wrongly taken for full or unfit. No task may run twice
// meanwhile, also where a worker is at work after it has deregistered.
func TestStandingTasksRunAgainAfterRandomFaults(t *testing.T) {
	playStandingSeeds(t, *seeds, func(uint64) standingOptions { return standingOptions{} })
}

// As above beside tasks that crash their workers: their trials must not hold standing
// tasks back.
func TestStandingTasksRunAgainBesideTasksThatCrashWorkers(t *testing.T) {
	playStandingSeeds(t, *seeds, func(uint64) standingOptions { return standingOptions{crashingTasks: true} })
}

// standingOptions are the options of random runs with standing tasks.
type standingOptions struct {
	crashingTasks bool
	// skipsStanding leaves the rule on standing tasks to the tests that are named after it.
	skipsStanding bool
	// keptJobs is the number of jobs that end before the first fault and can still be
	// queried. With resubmits, callers repeat submissions of jobs that have ended.
	keptJobs  int
	resubmits bool
	// linkRate limits the links of the entries, 0 for no limit.
	linkRate int
	// keepMS is how long an ended job can be queried, 0 for the default.
	keepMS int64
}

func playStandingSeeds(t *testing.T, count uint64, options func(seed uint64) standingOptions) {
	for seed := *first; seed < *first+count; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runStandingTasks(t, seed, options(seed)) })
		})
	}
}

// standingPlay is a random run with standing tasks.
type standingPlay struct {
	standingRule
	standingOptions
	owner   ownerRule
	answers *answerRule
	// draws decides on the faults and jobs beside those of injectRandomFault, and
	// repeats on the submissions that are repeated.
	draws, repeats *rand.Rand
	// outliveDraws decides on how long workers are at work after they have deregistered.
	outliveDraws *rand.Rand
}

func runStandingTasks(t *testing.T, seed uint64, o standingOptions) {
	ctx, cancel := context.WithCancel(t.Context())
	var logs bytes.Buffer
	out := io.Writer(&logs)
	if !*verbose {
		out = io.Discard
	}
	s := newSimulation(ctx, t, seed, 3, 5, &lockedWriter{w: out}, func(s *simulation) { s.keepMS = o.keepMS })
	s.crashingTasks = o.crashingTasks
	for _, e := range s.entries {
		e.storeClient.SetLinkRate(o.linkRate)
	}
	workersStopped := make(chan struct{})
	go s.runWorkers(workersStopped)
	defer func() {
		s.stopAll(cancel, workersStopped)
		if t.Failed() && *verbose {
			os.Stdout.Write(logs.Bytes())
		}
	}()
	p := &standingPlay{
		standingRule: standingRule{simulation: s, disturbedAt: time.Now()}, standingOptions: o, owner: ownerRule{simulation: s}, answers: newAnswerRule(s),
		draws: rand.New(rand.NewPCG(seed, 11)), repeats: rand.New(rand.NewPCG(seed, 17)), outliveDraws: rand.New(rand.NewPCG(seed, 19)),
	}
	p.pause(ctx, 3*time.Second)
	p.submitKeptJobs(ctx)
	p.submitStandingJob()
	p.submitStandingJob()
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		p.pause(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond)
		if p.draws.IntN(30) == 0 {
			end = end.Add(p.beQuiet(ctx))
			continue
		}
		s.injectRandomFault()
		p.disturb(time.Now())
		p.injectStandingFault()
		p.resubmit()
	}
	s.clearFaults()
	p.disturb(time.Now())
	p.beQuiet(ctx)
	p.cancelStandingJobs()
	p.awaitEnds(ctx)
	s.expectNoneGivenUpWithoutCause()
	t.Logf("standing tasks had to run for %s, callers got %d answers", time.Duration(p.calmChecks)*ruleInterval, p.answers.answered)
	if o.keepMS > 0 {
		p.expectForgotten(ctx)
	}
	if p.calmChecks == 0 {
		t.Fatal("no moment at which a standing task had to run")
	}
}

// awaitEnds waits until all jobs were shown as ended.
func (p *standingPlay) awaitEnds(ctx context.Context) {
	for end := time.Now().Add(recoveryLimit); ; p.pause(ctx, time.Second) {
		left := p.answers.activeJobs()
		if len(left) == 0 {
			return
		}
		if time.Now().After(end) {
			p.t.Fatalf("jobs not ended %s after the last fault: %v, owner knows as not ended: %v", recoveryLimit, left, p.unfinishedJobs())
		}
	}
}

// pause waits, and runs due actions and checks the invariants and the rule meanwhile.
func (p *standingPlay) pause(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		track.Pause(ctx, min(ruleInterval, time.Until(end)))
		p.disturbByPending()
		p.runDue(time.Now())
		p.expectNoViolations()
		v := p.violations()
		if p.skipsStanding {
			v = nil
		}
		v = append(v, p.owner.violations(p.isCalm())...)
		v = append(v, p.answers.violations(p.isCalm())...)
		if len(v) > 0 {
			p.t.Fatalf("after %s: %v", time.Since(p.startedAt), v)
		}
	}
}

// beQuiet waits until all faults have ended and then for a while in which standing tasks
// must run. It returns the time that took.
func (p *standingPlay) beQuiet(ctx context.Context) time.Duration {
	begun := time.Now()
	for len(p.scheduled) > 0 || time.Now().Before(p.disturbedAt) {
		p.pause(ctx, ruleInterval)
	}
	for end := time.Now().Add(time.Duration(9000+p.draws.IntN(5000)) * time.Millisecond); time.Now().Before(end); {
		p.pause(ctx, time.Duration(100+p.draws.IntN(700))*time.Millisecond)
		p.submitOrCancel()
		p.resubmit()
	}
	return time.Since(begun)
}

// submitOrCancel submits or cancels a job, or does nothing, about as often as
// injectRandomFault.
func (p *standingPlay) submitOrCancel() {
	e := p.entries[p.draws.IntN(len(p.entries))]
	switch p.draws.IntN(20) {
	case 0, 1, 2, 3, 4:
		p.submit(e)
	case 5:
		p.cancelOneJob(e)
	case 6:
		if p.crashingTasks {
			p.submitCrashing(e)
		}
	}
}

// injectStandingFault draws a departure, an outage of the store or a standing job.
func (p *standingPlay) injectStandingFault() {
	switch p.draws.IntN(60) {
	case 0, 1:
		p.submitStandingJob()
	case 2, 3:
		p.leaveByPlan(p.nodes[p.draws.IntN(len(p.nodes))])
	case 4, 5:
		p.interruptStore()
	}
}

func (p *standingPlay) submitStandingJob() {
	e, tasks := p.entries[p.draws.IntN(len(p.entries))], 1+p.draws.IntN(4)
	others := 0
	for _, j := range p.standingJobs() {
		others += j.Steps[0].Count
	}
	if tasks+others <= maxStandingTasks {
		p.submitStanding(e, tasks)
	}
}

// leaveByPlan has a worker leave, drained first or not, and its agent with it. Some workers
// that have drained are at work for a while after they have deregistered. Another machine
// follows later.
func (p *standingPlay) leaveByPlan(n *node) {
	away := 0
	for _, o := range p.nodes {
		if o.gone.Load() || o.draining.Load() {
			away++
		}
	}
	if _, up := n.worker.Life(); !up || n.cancel == nil || away >= maxAbsentNodes || n.draining.Load() {
		return
	}
	var drainTime time.Duration
	if p.draws.IntN(2) == 0 {
		n.draining.Store(true)
		drainTime = time.Duration(p.draws.IntN(2500)) * time.Millisecond
	}
	agentTime := time.Duration(500+p.draws.IntN(1500)) * time.Millisecond
	var outlive time.Duration
	if n.draining.Load() && p.outliveDraws.IntN(2) == 0 {
		drainTime = max(drainTime, minReportedDrain)
		outlive = time.Duration(p.outliveDraws.IntN(3000)) * time.Millisecond
	}
	p.schedule(drainTime, func() {
		life, _ := n.worker.Life()
		if n.cancel != nil {
			n.beats.Deregister(life.ID)
		}
		n.draining.Store(true)
		if outlive > 0 {
			p.breakWorkerLink(n)
		}
	})
	p.schedule(drainTime+outlive, func() {
		n.gone.Store(true)
		p.endWorker(n)
		p.schedule(agentTime, func() { p.stopNode(n) })
		p.schedule(agentTime+time.Duration(p.draws.IntN(5000))*time.Millisecond, func() { p.replaceNode(n) })
	})
}

// replaceNode puts a machine with a new name at the place of one that is gone.
func (s *simulation) replaceNode(gone *node) {
	s.stopNode(gone)
	for i, n := range s.presentNodes() {
		if n == gone {
			fresh := s.newNode(s.nodeCount, i)
			s.nodeCount++
			s.mu.Lock()
			s.nodes[i] = fresh
			s.mu.Unlock()
			s.startNode(fresh)
		}
	}
}

// presentNodes returns the nodes, of which a departed one stays until it is replaced.
func (s *simulation) presentNodes() []*node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*node(nil), s.nodes...)
}

// interruptStore makes the store unreachable for all. A worker may leave meanwhile, and
// one or two entries, the owner first, may be killed before the store is back.
func (p *standingPlay) interruptStore() {
	length := time.Duration(1500+p.draws.IntN(4500)) * time.Millisecond
	var killed []*entry
	if o := p.currentOwner(); o != nil {
		killed = p.ownerAndOthers(p.draws.IntN(3))
	}
	p.setAllStoreFaults(store.Faults{Unreachable: true})
	if p.draws.IntN(2) == 0 {
		p.schedule(length/4, func() { p.leaveByPlan(p.nodes[p.draws.IntN(len(p.nodes))]) })
	}
	for _, e := range killed {
		p.schedule(length-time.Duration(100+p.draws.IntN(900))*time.Millisecond, func() { p.killEntry(e) })
		p.schedule(length+time.Duration(p.draws.IntN(3000))*time.Millisecond, func() { p.startEntry(e) })
	}
	p.schedule(length, func() { p.setAllStoreFaults(store.Faults{}) })
}

// cancelStandingJobs cancels all standing jobs, so that all jobs can end.
func (p *standingPlay) cancelStandingJobs() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, j := range p.jobs {
		if j.Steps[0].Standing && !j.cancelRequested {
			p.cancelLocked(p.entries[0], j)
		}
	}
}
