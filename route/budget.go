package route

import "sync/atomic"

// RetryBudget caps the load that retries and hedges add: each request deposits a
// fraction of the cost of a retry. The zero value holds a small reserve, so that
// the first requests after a start can be retried too.
type RetryBudget struct {
	// balance excludes the initial reserve; it is negative while part of the
	// reserve is spent.
	balance atomic.Int64
}

const (
	// depositPerRequest and retryCost are in thousandths of a retry.
	depositPerRequest = 100
	retryCost         = 1000
	// maxBalance bounds the burst of retries after a long time without any.
	maxBalance = 50 * retryCost
	// initialReserve is what a new budget can spend before any deposit.
	initialReserve = 10 * retryCost
)

// Deposit adds the share of one request of a caller. It is called once for each.
func (b *RetryBudget) Deposit() {
	if b.balance.Load() < maxBalance {
		b.balance.Add(depositPerRequest)
	}
}

// TryWithdraw takes the cost of one retry or hedge from the budget and reports
// whether there was enough.
func (b *RetryBudget) TryWithdraw() bool {
	for {
		balance := b.balance.Load()
		if balance+initialReserve < retryCost {
			return false
		}
		if b.balance.CompareAndSwap(balance, balance-retryCost) {
			return true
		}
	}
}
