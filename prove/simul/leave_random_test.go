package simul_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/stand/worker"
	"github.com/berylspar/spar/track"
)

// Workers drain and leave by plan under random faults, with their agents or without, and
// come back in a new life, half of them under the same name. What agents tell entries of
// that must not let a task run twice or be lost, however late it is applied.
func TestRandomFaultsWithWorkersThatLeave(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runRandomLeaves(t, seed) })
		})
	}
}

func runRandomLeaves(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	s := newSimulation(ctx, t, seed, 3, 6, &lockedWriter{w: t.Output()})
	workersStopped := make(chan struct{})
	go s.runWorkers(workersStopped)
	defer s.stopAll(cancel, workersStopped)
	track.Pause(ctx, 3*time.Second)
	for end := time.Now().Add(faultTime); time.Now().Before(end); {
		track.Pause(ctx, time.Duration(50+s.random.IntN(350))*time.Millisecond)
		s.runDue(time.Now())
		switch s.random.IntN(6) {
		case 0:
			s.leaveAndReturn(s.nodes[s.random.IntN(len(s.nodes))])
		case 1:
			s.silenceStore(time.Duration(500+s.random.IntN(5000)) * time.Millisecond)
		case 2, 3:
			s.submit(s.entries[s.random.IntN(len(s.entries))])
		default:
			s.injectRandomFault()
		}
		s.expectNoViolations()
	}
	s.clearFaults()
	s.expectJobsEnd()
}

// silenceStore makes the store unreachable for all for a time.
func (s *simulation) silenceStore(d time.Duration) {
	s.setStoreFaults(store.Faults{Unreachable: true})
	s.schedule(d, func() { s.setStoreFaults(store.Faults{}) })
}

// maxOutlive is how long a worker whose deregistration was not acknowledged is at work at most.
const maxOutlive = 4 * time.Second

// leaveAndReturn has a worker drain, deregister and end, its agent stop or go on, and both come
// back some seconds later. Half of the workers do not hear that their deregistration has
// arrived, since their connections fail, and are at work for a while longer.
func (s *simulation) leaveAndReturn(n *node) {
	life, up := n.worker.Life()
	if !up {
		return
	}
	s.drain(n)
	drained := time.Duration(s.random.IntN(2000)) * time.Millisecond
	gone := drained + time.Duration(s.random.IntN(300))*time.Millisecond
	outlives := s.linkDraws.IntN(2) == 0
	if outlives {
		gone = drained + time.Duration(s.linkDraws.Int64N(int64(maxOutlive)))
	}
	back := gone + time.Duration(500+s.random.IntN(5000))*time.Millisecond
	id := life.ID
	if s.random.IntN(2) == 0 {
		id = fmt.Sprintf("i-%s-%d", n.name, s.random.IntN(1000))
	}
	isLast := func() bool {
		now, up := n.worker.Life()
		return up && now == life
	}
	s.schedule(drained, func() {
		if isLast() {
			n.beats.Deregister(life.ID)
			if outlives {
				s.breakWorkerLink(n)
			}
		}
	})
	s.schedule(gone, func() {
		if outlives {
			n.workerClient.SetFaults(worker.Faults{})
		}
		if isLast() {
			s.endWorker(n)
		}
	})
	if s.random.IntN(2) == 0 {
		s.schedule(gone+time.Duration(s.random.IntN(800))*time.Millisecond, func() { s.stopNode(n) })
	}
	s.schedule(back, func() {
		s.startNode(n)
		s.restartWorker(n, id)
	})
}

// endWorker ends a worker's life: its machine is gone, or only its process, so that its
// connections are closed.
func (s *simulation) endWorker(n *node) {
	if s.linkDraws.IntN(2) == 0 {
		n.worker.Crash()
		return
	}
	n.worker.CrashProcess()
}
