// Package clock reads the clock that leases are measured on.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since boot, suspension included (CLOCK_BOOTTIME). A
// lease measured on it ends on time even if the VM was suspended meanwhile.
func Now() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Linux has provided the clock since 2.6.39; nothing safe can run without it.
		panic("CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}

// Func is a source of clock readings, Now in production.
type Func func() time.Duration
