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
	expires time.Time
	runs    map[*run]bool
	// renamed says that the last life had the same name, and that orders to it
	// may still come.
	renamed bool
	// acked is the last end that is stored.
	acked int64
	// trouble rises with failures and refusals, and fades.
	trouble   float64
	troubleAt time.Time
	// asideUntil keeps work away for a while.
	asideUntil time.Time
	// looked is when the tails were last looked at, settled when they may be
	// acted on again, and noFills until when no fill is placed.
	looked, settled, noFills time.Time
	echoes                   []echo
	// filled is when the last fill left.
	filled time.Time
	// gone says that the worker's life is over.
	gone bool
}

// usage is what the runs on a worker have been promised.
type usage struct {
	// reserved is the size of everything but fills' processors.
	reserved spar.Size
	// serving is the part of the reserved processors that serves users.
	serving int64
	// filling are the processors that fills ask for.
	filling int64
	// servings are the processors asked for by what serves, and fills those
	// asked for by the images that fill.
	servings map[interf.Serving]int64
	fills    map[string]int64
}

// usage adds up what runs on a worker. A serving task that is over its target
// whatever the fills do counts with its size, and bounds no fill.
func (w *worker) usage(now time.Time) usage {
	u := usage{servings: map[interf.Serving]int64{}, fills: map[string]int64{}}
	for r := range w.runs {
		s := r.task.step
		u.book(s, r.pace, 1)
		if s.Standing && !s.Fills && w.isSlow(r, now) {
			if u.servings[s.serving()] -= s.Size.CPUMilli; u.servings[s.serving()] == 0 {
				delete(u.servings, s.serving())
			}
		}
	}
	return u
}

// book adds n tasks of a step at a pace.
func (u *usage) book(s *step, pace int, n int64) {
	u.reserved.MemoryMB += n * s.Size.MemoryMB
	u.reserved.Accelerators += n * s.Size.Accelerators
	if s.Fills {
		milli := n * s.milli(pace)
		u.filling += milli
		u.fills[s.Image] += milli
		return
	}
	u.reserved.CPUMilli += n * s.Size.CPUMilli
	if s.Standing {
		u.serving += n * s.Size.CPUMilli
		u.servings[s.serving()] += n * s.Size.CPUMilli
	}
}

// ofStep counts the runs of a step on the worker.
func (w *worker) ofStep(s *step) int {
	n := 0
	for r := range w.runs {
		if r.task.step == s {
			n++
		}
	}
	return n
}

// troubleHalf is the time in which half of a worker's trouble is forgotten.
const troubleHalf = 4 * time.Second

// blame adds to a worker's trouble and puts it aside when there is much.
func (w *worker) blame(now time.Time, amount float64) {
	w.fade(now)
	w.trouble += amount
	if w.trouble >= troubleAside {
		w.asideUntil = now.Add(asideTime)
	}
}

func (w *worker) fade(now time.Time) {
	for w.trouble > 0.01 && now.Sub(w.troubleAt) >= troubleHalf {
		w.trouble /= 2
		w.troubleAt = w.troubleAt.Add(troubleHalf)
	}
	if w.trouble <= 0.01 || w.troubleAt.IsZero() {
		w.troubleAt = now
	}
}

const (
	// troubleAside is the trouble at which a worker is put aside: three
	// failures of different tasks close together.
	troubleAside = 3
	// asideTime is how long a worker that fails what it starts is left alone.
	asideTime = 2 * time.Second
)

func (w *worker) allows(s *step) bool {
	if s.Label != "" && !slices.Contains(w.info.Labels, s.Label) {
		return false
	}
	return s.MaxPerWorker == 0 || w.ofStep(s) < s.MaxPerWorker
}
