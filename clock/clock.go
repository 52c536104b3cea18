// Package clock reads a clock that counts the time in which the machine was
// suspended. Rights that end by themselves are measured with it: the usual
// monotonic clock stands still during a suspension.
package clock

import (
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Now is the time since the machine's start.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(errors.NewAssertionErrorWithWrappedErrf(err, "boot time clock"))
	}
	return time.Duration(t.Nano())
}
