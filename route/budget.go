package route

import "sync/atomic"

// Budget caps the load that retries and hedges add. The zero value holds
// nothing until requests have earned it.
type Budget struct {
	milli atomic.Int64
}

const (
	// earn is what a request adds, and cost what an extra one takes, in
	// thousandths.
	earn = 100
	cost = 1000
	// most bounds what can be saved up.
	most = 50 * cost
)

// Earn is called for each request of a caller.
func (b *Budget) Earn() {
	if b.milli.Load() < most {
		b.milli.Add(earn)
	}
}

// Spend tells whether one more try may be made, and takes it from the budget.
func (b *Budget) Spend() bool {
	for {
		have := b.milli.Load()
		if have < cost {
			return false
		}
		if b.milli.CompareAndSwap(have, have-cost) {
			return true
		}
	}
}
