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
	earn = 100
	cost = 1000
	// most bounds what can be saved up.
	most = 50 * cost
	// reserve is what a new budget holds.
	reserve = 10 * cost
)

// Earn is called for each request of a caller.
func (b *RetryBudget) Deposit() {
	if b.balance.Load() < most {
		b.balance.Add(earn)
	}
}

// Spend tells whether one more try may be made, and takes it from the budget.
func (b *RetryBudget) TryWithdraw() bool {
	for {
		have := b.balance.Load()
		if have+reserve < cost {
			return false
		}
		if b.balance.CompareAndSwap(have, have-cost) {
			return true
		}
	}
}
