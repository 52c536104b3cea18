// Package clock provides a monotonic clock that includes the time during which
// the machine was suspended. Leases and other rights that expire are measured
// with it, since Go's monotonic clock stops during a suspension.
package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "read CLOCK_BOOTTIME"))
	}
	return time.Duration(t.Nano())
}
