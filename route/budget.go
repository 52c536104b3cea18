package route

import "sync/atomic"

// Budget caps the load that retries and hedges add. The zero value holds a small
// reserve, so that the first requests after a start can be tried again too.
type RetryBudget struct {
	// earned is beyond the reserve; below 0 when the reserve is drawn on.
	balance atomic.Int64
}

const (
	// earn is what a request adds, and cost what an extra one takes, in
	// thousandths.
	depositPerRequest = 100
	retryCost         = 1000
	// most bounds what can be saved up.
	maxBalance = 50 * retryCost
	// reserve is what a new budget holds.
	initialReserve = 10 * retryCost
)

// Earn is called for each request of a caller.
func (b *RetryBudget) Deposit() {
	if b.balance.Load() < maxBalance {
		b.balance.Add(depositPerRequest)
	}
}

// Spend tells whether one more try may be made, and takes it from the budget.
func (b *RetryBudget) TryWithdraw() bool {
	for {
		have := b.balance.Load()
		if have+initialReserve < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(have, have-retryCost) {
			return true
		}
	}
}
