package tasks

import (
	"sync"
	"time"

	"github.com/berylspar/spar/lease"
)

// platformClock converts deadlines to the platform's clock so that a call that
// is delayed on its way can't outlive them.
type platformClock struct {
	mu         sync.Mutex
	terms      lease.Terms
	reading    time.Duration
	receivedAt time.Time
}

// read records the platform's time, learnt by an answer received at a moment.
func (c *platformClock) setReading(now time.Duration, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.receivedAt = now, received
}

// at returns a time of the platform's clock that is not after the moment d. It
// tells false before the first reading.
func (c *platformClock) toPlatformTime(deadline time.Time) (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return 0, false
	}
	span := deadline.Sub(c.receivedAt)
	slack := span.Abs() * time.Duration(c.terms.DriftPermille) / 1000
	return c.reading + span - slack, true
}
