package shard

// maxLooks bounds the looks at workers and tasks of a pass of Plan, and so the time for
// which leases and answers wait for the pass.
const maxLooks = 200_000

// looksPerTask is how many tasks of a step take as long as a look at a worker.
const looksPerTask = 8

// lookBudget counts the looks of a pass of Plan. The zero value has none left.
type lookBudget struct{ used, limit int }

func (b *lookBudget) isUsed() bool { return b.used >= b.limit }

// planInTurn places the steps of a queue, as many as a pass may. If that is not all, half of
// the pass goes to the first ones, and the other half to those at which the last pass ended,
// so that each step has its turn.
func (sc *Scheduler) planInTurn(queue []queuedStep, place func(queuedStep)) {
	sc.looks = lookBudget{limit: maxLooks / 2}
	next := sc.placeUntilUsed(queue, 0, place)
	if next == len(queue) {
		sc.resumeAt, sc.passCut = 0, false
		return
	}
	if sc.resumeAt > next && sc.resumeAt < len(queue) {
		next = sc.resumeAt
	}
	sc.looks.limit = maxLooks
	next = sc.placeUntilUsed(queue, next, place)
	sc.passCut = next < len(queue)
	sc.resumeAt = next
}

// placeUntilUsed places steps from an index on until the budget is used. It returns the
// index of the next one.
func (sc *Scheduler) placeUntilUsed(queue []queuedStep, from int, place func(queuedStep)) int {
	for i := from; i < len(queue); i++ {
		if sc.looks.isUsed() {
			return i
		}
		sc.looks.used += 1 + len(queue[i].tasks)/looksPerTask
		place(queue[i])
	}
	return len(queue)
}

// IsPassCut reports whether the last pass of Plan has left steps to the next one.
func (sc *Scheduler) IsPassCut() bool { return sc.passCut }
