package simul_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/entry/owner"
	"github.com/berylspar/spar/stand/store"
	"github.com/berylspar/spar/track"
	"github.com/cockroachdb/errors"
)

// crowd is a simulation whose callers hand in more than the workers can do.
type crowd struct {
	*simulation
	// turnedAway holds the jobs whose callers gave up after a refusal and had no other
	// answer; s.mu guards it.
	turnedAway        map[string]bool
	refused, returned int
}

// Callers hand in more than the workers can do, first in calm, so that jobs are refused,
// and then while owners change, entries crash and the store is slow, away or leaves calls
// without an answer. What is refused for good never starts, what may be stored is never
// refused, and what is accepted ends.
func TestRandomFaultsWithAdmission(t *testing.T) {
	refused, returned := 0, 0
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := playCrowd(t, seed)
				refused, returned = refused+p.refused, returned+p.returned
			})
		})
	}
	t.Logf("%d refusals, %d callers accepted after one", refused, returned)
	if refused < 30 || returned < 5 {
		t.Errorf("%d refusals, and %d callers accepted after one: too few to show anything", refused, returned)
	}
}

func playCrowd(t *testing.T, seed uint64) *crowd {
	ctx, cancel := context.WithCancel(t.Context())
	p := &crowd{turnedAway: map[string]bool{}}
	p.simulation = newSimulation(ctx, t, seed, 3, 5, io.Discard, func(s *simulation) { s.admission = true })
	p.fixedWorkload = true
	p.checker.StartForbidden = p.startForbiddenToRefused
	workersStopped := make(chan struct{})
	go p.runWorkers(workersStopped)
	defer func() { p.stopAll(cancel, workersStopped) }()
	track.Pause(ctx, 33*time.Second)
	begun := time.Now()
	for i := 0; time.Since(begun) < 25*time.Second; i++ {
		track.Pause(ctx, time.Duration(10+p.random.IntN(70))*time.Millisecond)
		p.runDue(time.Now())
		p.handIn(i)
		// Callers that ask for their jobs are how entries hear of the load.
		for _, e := range p.entries {
			if asker := e.asker; e.cancel != nil {
				go asker.Waiting(ctx, queue) //nolint:errcheck // only the load counts
			}
		}
		if time.Since(begun) > 10*time.Second && p.random.IntN(8) == 0 {
			p.disturbEntry(p.entries[p.random.IntN(len(p.entries))])
		}
		p.expectNoViolations()
	}
	p.clearFaults()
	p.expectJobsEnd()
	return p
}

// disturbEntry makes an entry fail, or its store, or the shard change its owner.
func (p *crowd) disturbEntry(e *entry) {
	duration := time.Duration(500+p.random.IntN(3000)) * time.Millisecond
	after := func(do func()) { p.schedule(duration, do) }
	faults := store.Faults{}
	switch p.random.IntN(5) {
	case 0:
		p.killEntry(e)
		after(func() { p.startEntry(e) })
		return
	case 1:
		p.store.Rebalance("owners", time.Now())
		return
	case 2:
		faults.Unreachable = true
	case 3:
		faults.LostShare, faults.LateShare, faults.LateBy = 0.3, 0.2, duration/2
	case 4:
		faults.Delay = 240 * time.Millisecond
	}
	e.storeClient.SetFaults(faults)
	after(func() { e.storeClient.SetFaults(store.Faults{}) })
}

// handIn has a caller hand a job in, at one entry after another. Half of the callers
// give up at the first refusal; some of the others hand in again what was accepted.
func (p *crowd) handIn(number int) {
	j := &job{Job: jobOf(fmt.Sprintf("%016x", p.random.Uint64()), 2+p.random.IntN(8))}
	j.Policy.Stretch, j.Policy.Slack = 1.5, 200*time.Millisecond
	givesUp, repeats := p.random.IntN(2) == 0, p.random.IntN(4) == 0
	p.mu.Lock()
	p.jobs[j.ID] = j
	p.mu.Unlock()
	go func() {
		mayBeStored, wasRefused := false, false
		for i := number; p.ctx.Err() == nil; i++ {
			e := p.entries[i%len(p.entries)]
			asker := e.asker
			if e.cancel == nil {
				track.Pause(p.ctx, 100*time.Millisecond)
				continue
			}
			if v := asker.Admit(p.ctx, &j.Job, 3*time.Second); asker.Tried(j.ID) == owner.NotTried && v.IsRefused() {
				p.countRefusal(j, mayBeStored, givesUp)
				if givesUp {
					return
				}
				wasRefused = true
				track.Pause(p.ctx, v.Return)
				continue
			}
			err := asker.Submit(p.ctx, j.Job)
			mayBeStored = mayBeStored || !errors.Is(err, spar.ErrRefused)
			switch {
			case err != nil:
				track.Pause(p.ctx, 100*time.Millisecond)
				continue
			case wasRefused:
				p.returned++
			}
			if !repeats {
				return
			}
			repeats = false
			track.Pause(p.ctx, 2*time.Second)
		}
	}()
}

func (p *crowd) countRefusal(j *job, mayBeStored, forGood bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused++
	if mayBeStored {
		p.t.Errorf("after %s: job %s was refused though an earlier try may be stored", time.Since(p.startedAt), j.ID)
	}
	if forGood {
		p.turnedAway[j.ID] = true
		delete(p.jobs, j.ID)
	}
}

func (p *crowd) startForbiddenToRefused(t spar.TaskRef, name string) string {
	p.mu.Lock()
	turnedAway := p.turnedAway[t.Job]
	p.mu.Unlock()
	if turnedAway {
		return "its job was refused"
	}
	return p.startForbidden(t, name)
}
