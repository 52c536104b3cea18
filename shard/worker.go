package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/interf"
)

// worker is the owner's view of a worker, identified by the node of its agent.
type worker struct {
	node string
	info spar.WorkerInfo
	// token is the session's fencing token; 0 without a session.
	token int64
	// silentSince is when the last session ended, or this owner's term began.
	silentSince time.Time
	// listed reports whether the session has reported all runs on the worker.
	listed bool
	// leasesExpire is when all leases on the worker have expired if no more are
	// granted.
	leasesExpire time.Time
	// restored reports whether all that is known of the worker was stored by an earlier
	// owner.
	restored bool
	// runs are the runs that may be on the worker, and room their size; see addRun.
	runs map[*run]bool
	room spar.Size
	// stepRuns counts the runs by step, or is nil until runsOfStep needs it.
	stepRuns map[*step]int
	// nameReused reports whether the previous life had the same name, so that
	// start orders to it may still arrive in this one.
	nameReused bool
	// hasStrays reports that runs may be kept by keepStray.
	hasStrays bool
	// previous is the life before, until the worker has answered in this one. Its runs may
	// still be at work.
	previous *worker
	// successor is the last life of the same name that was named as one after this.
	successor spar.Life
	// fencedAt is when the worker was first listed under a token of this term. From then
	// on it rejects orders of earlier sessions.
	fencedAt time.Time
	// ackedEnd is the number of the last stored end of a run.
	ackedEnd int64
	// failureScore grows with failures and refusals and decays over time.
	failureScore   float64
	failureScoreAt time.Time
	// failingUntil is the time until which only a task that is overdue is placed on the
	// worker, and avoidUntil until which none is.
	failingUntil, avoidUntil time.Time
	// reservedUntil is the time until which only a trial may start on the worker.
	reservedUntil time.Time
	// listedAt is when the agent last sent a list of runs, or the changes to it.
	listedAt time.Time
	// tailsCheckedAt is when the tail latencies were last checked,
	// reliefPausedUntil when relieveServingTasks may run again, and
	// noFillsUntil when fills may be placed again.
	tailsCheckedAt, reliefPausedUntil, noFillsUntil time.Time
	recentFills                                     []endedFill
	// lastFillEnded is when the last fill was removed.
	lastFillEnded time.Time
	// lifeEnded reports whether this life of the worker is over.
	lifeEnded bool
}

// allocation is the sum of the resources assigned to the runs on a worker.
type allocation struct {
	// reserved is the total size of all runs, without the processors of fills.
	reserved spar.Size
	// servingCPU is the part of the reserved processors that belongs to
	// standing tasks.
	servingCPU int64
	// fillCPU is the sum of the processors that fills request.
	fillCPU int64
	// serving and fills split servingCPU and fillCPU. A worker holds few of
	// each, so they are searched linearly.
	serving []groupCPU
	fills   []imageCPU
}

// groupCPU is the CPU of a serving group on a worker, in thousandths of a
// processor.
type groupCPU struct {
	group interf.ServingGroup
	milli int64
	// tasks is the number of its tasks.
	tasks int
}

// imageCPU is the CPU of the fills of an image on a worker, in thousandths of a
// processor.
type imageCPU struct {
	image string
	milli int64
}

// addServing adds CPU to a serving group. A group without CPU is removed.
func (a *allocation) addServing(g interf.ServingGroup, milli int64, tasks int) {
	for i := range a.serving {
		if a.serving[i].group == g {
			a.serving[i].tasks += tasks
			if a.serving[i].milli += milli; a.serving[i].milli == 0 {
				a.serving = slices.Delete(a.serving, i, i+1)
			}
			return
		}
	}
	a.serving = append(a.serving, groupCPU{g, milli, tasks})
}

// addFill adds CPU to the fills of an image.
func (a *allocation) addFill(image string, milli int64) {
	for i := range a.fills {
		if a.fills[i].image == image {
			a.fills[i].milli += milli
			return
		}
	}
	a.fills = append(a.fills, imageCPU{image, milli})
}

// allocation sums up the runs on a worker. A serving task that exceeds its
// target without fills counts with its size but does not limit fills.
func (w *worker) allocation(now time.Time) allocation {
	var a allocation
	for r := range w.runs {
		s := r.task.step
		a.addTasks(s, r.pace, 1)
		if s.Standing && !s.Fills && w.isSlowWithoutFills(r, now) {
			a.addServing(s.servingGroup(), -s.Size.CPUMilli, -1)
		}
	}
	return a
}

// addTasks adds n tasks of a step at a pace; n may be negative.
func (a *allocation) addTasks(s *step, pace int, n int64) {
	a.reserved.MemoryMB += n * s.Size.MemoryMB
	a.reserved.Accelerators += n * s.Size.Accelerators
	if s.Fills {
		milli := n * s.fillCPU(pace)
		a.fillCPU += milli
		a.addFill(s.Image, milli)
		return
	}
	a.reserved.CPUMilli += n * s.Size.CPUMilli
	if s.Standing {
		a.servingCPU += n * s.Size.CPUMilli
		a.addServing(s.servingGroup(), n*s.Size.CPUMilli, int(n))
	}
}

// addRun assigns a run to the worker. It takes room until it is removed, also while
// it is being stopped.
func (w *worker) addRun(r *run) {
	if !w.runs[r] {
		w.runs[r] = true
		w.room = w.room.Add(r.task.step.reservedSize())
		w.countRun(r, 1)
	}
}

// removeRun removes a run from the worker.
func (w *worker) removeRun(r *run) {
	if w.runs[r] {
		delete(w.runs, r)
		w.room = w.room.Sub(r.task.step.reservedSize())
		w.countRun(r, -1)
	}
}

// reservedSize is the room that a run of the step takes. Fills reserve no processors.
func (s *step) reservedSize() spar.Size {
	size := s.Size
	if s.Fills {
		size.CPUMilli = 0
	}
	return size
}

// countRun adds n to the number of runs of a run's step, if they are counted.
func (w *worker) countRun(r *run, n int) {
	if w.stepRuns == nil {
		return
	}
	if w.stepRuns[r.task.step] += n; w.stepRuns[r.task.step] == 0 {
		delete(w.stepRuns, r.task.step)
	}
}

// runsOfStep returns the number of runs of a step on the worker.
func (w *worker) runsOfStep(s *step) int {
	if w.stepRuns == nil {
		w.stepRuns = map[*step]int{}
		for r := range w.runs {
			w.stepRuns[r.task.step]++
		}
	}
	return w.stepRuns[s]
}

// failureHalfLife is the time in which a failure score halves.
const failureHalfLife = 4 * time.Second

// addFailure increases the failure score. At failureScoreLimit the worker is
// avoided for a while.
func (w *worker) addFailure(now time.Time, weight float64) {
	w.decayFailureScore(now)
	w.failureScore += weight
	if w.failureScore >= failureScoreLimit {
		w.failingUntil = now.Add(avoidTime)
	}
}

// decayFailureScore halves the failure score once per half-life since its last
// change.
func (w *worker) decayFailureScore(now time.Time) {
	for w.failureScore > 0.01 && now.Sub(w.failureScoreAt) >= failureHalfLife {
		w.failureScore /= 2
		w.failureScoreAt = w.failureScoreAt.Add(failureHalfLife)
	}
	if w.failureScore <= 0.01 || w.failureScoreAt.IsZero() {
		w.failureScoreAt = now
	}
}

const (
	// failureScoreLimit is the score at which a worker is avoided: three
	// failures of different tasks, or two refusals of an unhealthy worker, in
	// quick succession.
	failureScoreLimit = 3
	// avoidTime is how long a worker is avoided after repeated failures.
	avoidTime = 2 * time.Second
)

// allowsStep reports whether the worker has the label that a step requires and
// runs fewer of its tasks than the step allows per worker.
func (w *worker) allowsStep(s *step) bool {
	return w.hasLabel(s) && (s.MaxPerWorker == 0 || w.runsOfStep(s) < s.MaxPerWorker)
}

// hasLabel reports whether the worker has the label that a step requires, if any.
func (w *worker) hasLabel(s *step) bool {
	return s.Label == "" || slices.Contains(w.info.Labels, s.Label)
}
