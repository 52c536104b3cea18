package simul_test

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

var (
	first   = flag.Uint64("first", 1, "first seed")
	seeds   = flag.Uint64("seeds", 12, "number of seeds")
	verbose = flag.Bool("talk", false, "print what the processes log")
)

const (
	// maxOrderDelay is the longest delay after which an order is carried out.
	maxOrderDelay = 8 * time.Second
	// faultTime is how long faults are injected, recoveryLimit how long the jobs
	// may take to end afterwards.
	faultTime     = 60 * time.Second
	recoveryLimit = 90 * time.Second
	// settleTime is longer than any call in flight and the probes of a silent store.
	settleTime = 15 * time.Second
)

// Real owners and agents run under random faults. No invariant of the workers may
// be violated, and every accepted job must end.
func TestRandomFaults(t *testing.T) { playSeeds(t, false) }

// Beside the random faults, tasks crash the workers that start them, workers shrink
// and grow, and their processes crash. Such a task must not be started again and
// again, and no other job may be given up.
func TestRandomFaultsAndCrashingTasks(t *testing.T) { playSeeds(t, true) }

func playSeeds(t *testing.T, crashingTasks bool) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomFaults(t, seed, crashingTasks) })
		})
	}
}

func runRandomFaults(t *testing.T, seed uint64, crashingTasks bool) {
	ctx, cancel := context.WithCancel(t.Context())
	var logs bytes.Buffer
	out := io.Writer(&logs)
	if !*verbose {
		out = io.Discard
	}
	s := newSimulation(ctx, t, seed, 3, 5, &lockedWriter{w: out})
	s.crashingTasks = crashingTasks
	workersStopped := make(chan struct{})
	go s.runWorkers(workersStopped)
	defer func() {
		s.stopAll(cancel, workersStopped)
		if t.Failed() && *verbose {
			os.Stdout.Write(logs.Bytes())
		}
	}()
	track.Pause(ctx, 3*time.Second)
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		track.Pause(ctx, time.Duration(100+s.random.IntN(700))*time.Millisecond)
		s.runDue(time.Now())
		s.injectRandomFault()
		s.expectNoViolations()
	}
	s.clearFaults()
	s.expectJobsEnd()
	if n := s.checker.StartCount(); n < 50 {
		t.Fatalf("only %d tasks were started", n)
	}
}

// expectJobsEnd waits until all jobs have ended, within recoveryLimit and without a
// violation, and checks that none was given up without a cause.
func (s *simulation) expectJobsEnd() {
	for end := time.Now().Add(recoveryLimit); ; track.Pause(s.ctx, time.Second) {
		s.expectNoViolations()
		left := s.unfinishedJobs()
		if len(left) == 0 {
			break
		}
		if time.Now().After(end) {
			s.t.Fatalf("jobs not ended %s after the last fault: %v", recoveryLimit, left)
		}
	}
	s.expectNoneGivenUpWithoutCause()
}

// newFixedWorkloadSimulation starts a simulation without a log in which every run
// lasts half a second and succeeds. It runs until stop is called.
func newFixedWorkloadSimulation(t *testing.T, seed uint64, entries, nodes int) (ctx context.Context, s *simulation, stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	s = newSimulation(ctx, t, seed, entries, nodes, io.Discard)
	s.fixedWorkload = true
	ticks := make(chan struct{})
	go s.runWorkers(ticks)
	return ctx, s, func() { s.stopAll(cancel, ticks) }
}

// stopAll stops all entries and agents and waits for the workers' goroutine.
func (s *simulation) stopAll(cancel context.CancelFunc, workersStopped <-chan struct{}) {
	for _, e := range s.entries {
		s.stopEntry(e)
	}
	for _, n := range s.nodes {
		s.stopNode(n)
	}
	cancel()
	<-workersStopped
	// Appends in flight end with their own deadlines.
	time.Sleep(settleTime)
	synctest.Wait()
}

func (s *simulation) expectNoViolations() {
	if b := s.checker.Violations(); len(b) > 0 {
		s.t.Fatalf("after %s: %v", time.Since(s.startedAt), b)
	}
}

// runWorkers ends due runs every 10 ms and sends heartbeats every 500 ms.
func (s *simulation) runWorkers(done chan<- struct{}) {
	defer close(done)
	for n := 0; s.ctx.Err() == nil; n++ {
		for _, d := range s.presentNodes() {
			if d.gone.Load() {
				continue
			}
			d.worker.EndDueRuns()
			if n%50 == 0 {
				s.heartbeat(d)
			}
		}
		track.Pause(s.ctx, 10*time.Millisecond)
	}
}

// injectRandomFault injects one random fault, or submits or cancels a job.
func (s *simulation) injectRandomFault() {
	e, n := s.entries[s.random.IntN(len(s.entries))], s.nodes[s.random.IntN(len(s.nodes))]
	duration := time.Duration(500+s.random.IntN(6000)) * time.Millisecond
	kinds := 20
	if s.crashingTasks {
		kinds = 23
	}
	switch s.random.IntN(kinds) {
	case 0, 1, 2, 3, 4:
		s.submit(e)
	case 5:
		s.cancelOneJob(e)
	case 6:
		s.killEntry(e)
		s.schedule(duration, func() { s.startEntry(e) })
	case 7:
		s.stopEntry(e)
		s.schedule(duration/8, func() { s.startEntry(e) })
	case 8:
		e.storeClient.SetFaults(store.Faults{Unreachable: true})
		s.schedule(duration, func() { e.storeClient.SetFaults(store.Faults{}) })
		if s.random.IntN(2) == 0 {
			// Other entries do not reach it either; agents do.
			s.net.setIsolated(e.name, true)
			s.schedule(duration, func() { s.net.setIsolated(e.name, false) })
		}
	case 9:
		e.storeClient.SetFaults(store.Faults{LostShare: 0.3, LateShare: 0.2, LateBy: duration / 2})
		s.schedule(duration, func() { e.storeClient.SetFaults(store.Faults{}) })
	case 10:
		e.storeClient.SetFaults(store.Faults{Delay: 240 * time.Millisecond})
		s.schedule(duration, func() { e.storeClient.SetFaults(store.Faults{}) })
	case 11:
		s.store.Rebalance("owners", time.Now())
	case 12:
		for _, name := range []string{"jobs", "state", "owner", "op"} {
			s.store.Compact(name)
		}
	case 13:
		s.stopNode(n)
		s.schedule(duration, func() { s.startNode(n) })
	case 14:
		s.net.setIsolated(n.name, true)
		s.schedule(duration, func() { s.net.setIsolated(n.name, false) })
	case 15:
		n.worker.Crash()
		id := "i-" + n.name
		if s.random.IntN(2) == 0 {
			id = fmt.Sprintf("i-%s-%d", n.name, s.random.IntN(1000))
		}
		s.schedule(duration/2, func() { s.restartWorker(n, id) })
	case 16:
		n.workerClient.SetFaults(worker.Faults{LateShare: 0.3, LateBy: maxOrderDelay / 2, MuteShare: 0.2})
		s.schedule(duration, func() { n.workerClient.SetFaults(worker.Faults{}) })
	case 17:
		s.breakWorkerLink(n)
		s.schedule(duration, func() { n.workerClient.SetFaults(worker.Faults{}) })
	case 18:
		s.closeDomain(n.domain)
		s.schedule(duration, func() { s.openDomain(n.domain) })
	case 19:
		for _, o := range s.entries {
			o.storeClient.SetFaults(store.Faults{Refuse: true})
			s.schedule(duration/2, func() { o.storeClient.SetFaults(store.Faults{}) })
		}
	case 20:
		n.worker.Resize(spar.Size{CPUMilli: workerSize.CPUMilli * int64(s.random.IntN(4)) / 4, MemoryMB: workerSize.MemoryMB * int64(s.random.IntN(4)) / 4})
		s.schedule(2*duration, func() { n.worker.Resize(workerSize) })
	case 21:
		s.submitCrashing(e)
	case 22:
		n.worker.CrashProcess()
		life, _ := n.worker.Life()
		s.schedule(duration/2, func() { s.restartWorker(n, life.ID) })
	}
}

// breakWorkerLink has the calls of an agent to its worker fail in one of the ways in which a
// network may have them fail.
func (s *simulation) breakWorkerLink(n *node) {
	kinds := []worker.Faults{{Unreachable: true}, {Refused: true}, {Unanswered: true}, {ResetShare: 0.3}, {ResetShare: 1}, {}}
	n.workerClient.SetFaults(kinds[s.linkDraws.IntN(len(kinds))])
	if s.linkDraws.IntN(2) == 0 {
		n.workerClient.ResetConnections()
	}
}

// schedule runs an action after a delay. Actions that start something do nothing
// when it already runs.
func (s *simulation) schedule(d time.Duration, run func()) {
	s.scheduled = append(s.scheduled, scheduledAction{time.Now().Add(d), run})
}

type scheduledAction struct {
	dueAt time.Time
	run   func()
}

// runDue runs the scheduled actions that are due.
func (s *simulation) runDue(now time.Time) {
	actions := s.scheduled
	s.scheduled = nil
	for _, l := range actions {
		if l.dueAt.After(now) {
			s.scheduled = append(s.scheduled, l)
			continue
		}
		l.run()
	}
}

func (s *simulation) restartWorker(n *node, id string) {
	if _, up := n.worker.Life(); !up && !n.gone.Load() {
		n.seq = 0
		n.worker.Restart(spar.Life{ID: id, Born: time.Now().UnixMilli()})
	}
}

func (s *simulation) closeDomain(name string) {
	s.appendOperatorRecord(spar.Record{Key: "closed/" + name, Value: []byte{1}})
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.closedAt[name]; !ok {
		s.closedAt[name] = time.Now()
	}
}

func (s *simulation) openDomain(name string) {
	s.mu.Lock()
	delete(s.closedAt, name)
	s.mu.Unlock()
	s.appendOperatorRecord(spar.Record{Key: "closed/" + name})
}

// clearFaults ends all faults and starts everything that is stopped.
func (s *simulation) clearFaults() {
	for len(s.scheduled) > 0 {
		s.runDue(time.Now().Add(time.Hour))
	}
	for _, e := range s.entries {
		e.storeClient.SetFaults(store.Faults{})
		s.net.setIsolated(e.name, false)
		if e.cancel == nil {
			s.startEntry(e)
		}
	}
	for _, n := range s.nodes {
		s.net.setIsolated(n.name, false)
		n.worker.Resize(workerSize)
		n.workerClient.SetFaults(worker.Faults{})
		if n.cancel == nil {
			s.startNode(n)
		}
		s.restartWorker(n, "i-"+n.name)
		s.openDomain(n.domain)
	}
}
