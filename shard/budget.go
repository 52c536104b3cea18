package shard

// maxChecks bounds the checks of workers in a pass of Plan, and so the time for
// which leases and answers wait for the pass.
const maxChecks = 200_000

// tasksPerCheck is how many tasks of a step take as long to pass over as the check of a worker.
const tasksPerCheck = 8

// checkBudget counts the checks of a pass of Plan. The zero value has none left.
type checkBudget struct{ used, limit int }

func (b *checkBudget) isUsed() bool { return b.used >= b.limit }

// planInTurn places the steps of a queue, as many as a pass may. If that is not all, half of
// the pass goes to the first ones, and the other half to those at which the last pass ended,
// so that each step has its turn.
func (sc *Scheduler) planInTurn(queue []queuedStep, place func(queuedStep)) {
	sc.checks = checkBudget{limit: maxChecks / 2}
	next := sc.placeUntilUsed(queue, 0, place)
	if next == len(queue) {
		sc.resumeAt, sc.passCut = 0, false
		return
	}
	if sc.resumeAt > next && sc.resumeAt < len(queue) {
		next = sc.resumeAt
	}
	sc.checks.limit = maxChecks
	next = sc.placeUntilUsed(queue, next, place)
	sc.passCut = next < len(queue)
	sc.resumeAt = next
}

// placeUntilUsed places steps from an index on until the budget is used. It returns the
// index of the next one.
func (sc *Scheduler) placeUntilUsed(queue []queuedStep, from int, place func(queuedStep)) int {
	for i := from; i < len(queue); i++ {
		if sc.checks.isUsed() {
			return i
		}
		sc.checks.used += 1 + len(queue[i].tasks)/tasksPerCheck
		place(queue[i])
	}
	return len(queue)
}

// IsPassCut reports whether the last pass of Plan has left steps to the next one.
func (sc *Scheduler) IsPassCut() bool { return sc.passCut }
