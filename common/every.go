package common

import (
	"context"
	"time"
)

// Every calls f at each interval until the context ends, and then sends nil on the
// channel. A call that takes longer than the interval drops ticks.
func Every(ctx context.Context, interval time.Duration, f func(now time.Time)) <-chan error {
	done := make(chan error, 1)
	go func() {
		tick := time.NewTicker(interval)
		defer tick.Stop()
		for {
			select {
			case <-ctx.Done():
				done <- nil
				return
			case now := <-tick.C:
				f(now)
			}
		}
	}()
	return done
}
