package tasks

import (
	"sync"
	"time"

	"github.com/berylspar/spar/lease"
)

// platformClock converts local times to the platform's clock. Calls carry
// deadlines on that clock, so a call that is delayed on its way cannot take
// effect after its deadline.
type platformClock struct {
	mu    sync.Mutex
	terms lease.Terms
	// reading is the last known platform time, which arrived at receivedAt.
	reading    time.Duration
	receivedAt time.Time
}

// setReading records the platform's time from an answer and when the answer
// was received.
func (c *platformClock) setReading(now time.Duration, received time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading, c.receivedAt = now, received
}

// toPlatformTime returns a time on the platform's clock that is not after the
// deadline, allowing for clock drift since the last reading. It returns false
// before the first reading.
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
