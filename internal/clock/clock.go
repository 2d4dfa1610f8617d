// Package clock reads the system clock that leases, deadlines and ages are
// measured on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, including time in suspension (CLOCK_BOOTTIME).
// A lease measured on this clock expires on time even if the VM was suspended.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has provided this clock since 2.6.39. Without it leases would not be
		// safe, so the process must not run.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Func returns a clock reading. It is Now in production.
type Func func() time.Duration
