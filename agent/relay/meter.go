package relay

import (
	"sync/atomic"
	"time"
)

// meter smooths the service time of the backend, without a lock.
type movingAverage struct {
	us atomic.Int64
}

// weight is the share of a new sample, as a divisor.
const smoothingDivisor = 16

func (m *movingAverage) add(d time.Duration) {
	for {
		old := m.us.Load()
		next := old + (d.Microseconds()-old)/smoothingDivisor
		if old == 0 {
			next = d.Microseconds()
		}
		if m.us.CompareAndSwap(old, next) {
			return
		}
	}
}

func (m *movingAverage) mean() time.Duration { return time.Duration(m.us.Load()) * time.Microsecond }
