package shard

import (
	"slices"
	"time"

	"github.com/berylspar/spar"
	"github.com/berylspar/spar/interf"
)

// worker is a worker as the owner knows it, by the node of its agent.
type worker struct {
	node string
	info spar.WorkerInfo
	// token is the session's fencing token; 0 without a session.
	token int64
	// listed says that the session has told everything that is on the worker.
	listed bool
	// expires is when all leases on the worker have ended, if nothing more is
	// granted.
	leasesExpire time.Time
	runs         map[*run]bool
	// renamed says that the last life had the same name, and that orders to it
	// may still come.
	nameReused bool
	// acked is the last end that is stored.
	ackedEnd int64
	// trouble rises with failures and refusals, and fades.
	failureScore   float64
	failureScoreAt time.Time
	// asideUntil keeps work away for a while.
	avoidUntil time.Time
	// looked is when the tails were last looked at, settled when they may be
	// acted on again, and noFills until when no fill is placed.
	tailsCheckedAt, reliefPausedUntil, noFillsUntil time.Time
	recentFills                                     []endedFill
	// filled is when the last fill left.
	lastFillEnded time.Time
	// gone says that the worker's life is over.
	lifeEnded bool
}

// usage is what the runs on a worker have been promised.
type allocation struct {
	// reserved is the size of everything but fills' processors.
	reserved spar.Size
	// serving is the part of the reserved processors that serves users.
	servingCPU int64
	// filling are the processors that fills ask for.
	fillCPU int64
	// servings are the processors asked for by what serves, and fills those
	// asked for by the images that fill.
	cpuByServingGroup map[interf.ServingGroup]int64
	cpuByFillImage    map[string]int64
}

// usage adds up what runs on a worker. A serving task that is over its target
// whatever the fills do counts with its size, and bounds no fill.
func (w *worker) allocation(now time.Time) allocation {
	u := allocation{cpuByServingGroup: map[interf.ServingGroup]int64{}, cpuByFillImage: map[string]int64{}}
	for r := range w.runs {
		s := r.task.step
		u.addTasks(s, r.pace, 1)
		if s.Standing && !s.Fills && w.isSlowWithoutFills(r, now) {
			if u.cpuByServingGroup[s.servingGroup()] -= s.Size.CPUMilli; u.cpuByServingGroup[s.servingGroup()] == 0 {
				delete(u.cpuByServingGroup, s.servingGroup())
			}
		}
	}
	return u
}

// book adds n tasks of a step at a pace.
func (u *allocation) addTasks(s *step, pace int, n int64) {
	u.reserved.MemoryMB += n * s.Size.MemoryMB
	u.reserved.Accelerators += n * s.Size.Accelerators
	if s.Fills {
		milli := n * s.fillCPU(pace)
		u.fillCPU += milli
		u.cpuByFillImage[s.Image] += milli
		return
	}
	u.reserved.CPUMilli += n * s.Size.CPUMilli
	if s.Standing {
		u.servingCPU += n * s.Size.CPUMilli
		u.cpuByServingGroup[s.servingGroup()] += n * s.Size.CPUMilli
	}
}

// ofStep counts the runs of a step on the worker.
func (w *worker) runsOfStep(s *step) int {
	n := 0
	for r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// troubleHalf is the time in which half of a worker's trouble is forgotten.
const failureHalfLife = 4 * time.Second

// blame adds to a worker's trouble and puts it aside when there is much.
func (w *worker) addFailure(now time.Time, amount float64) {
	w.decayFailureScore(now)
	w.failureScore += amount
	if w.failureScore >= failureScoreLimit {
		w.avoidUntil = now.Add(avoidTime)
	}
}

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
	// troubleAside is the trouble at which a worker is put aside: three
	// failures of different tasks close together.
	failureScoreLimit = 3
	// asideTime is how long a worker that fails what it starts is left alone.
	avoidTime = 2 * time.Second
)

func (w *worker) allowsStep(s *step) bool {
	if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
		return false
	}
	return s.PerWorker == 0 || w.runsOfStep(s) < s.PerWorker
}
