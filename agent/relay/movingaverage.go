package relay

import (
	"sync/atomic"
	"time"
)

// movingAverage is an exponential moving average of the backend's service time. It
// takes no lock.
type movingAverage struct {
	us atomic.Int64
}

// smoothingDivisor is the weight of a new sample, as a divisor.
const smoothingDivisor = 16

func (a *movingAverage) add(d time.Duration) {
	for {
		old := a.us.Load()
		next := old + (d.Microseconds()-old)/smoothingDivisor
		if old == 0 {
			next = d.Microseconds()
		}
		if a.us.CompareAndSwap(old, next) {
			return
		}
	}
}

func (a *movingAverage) mean() time.Duration { return time.Duration(a.us.Load()) * time.Microsecond }
