// Package boottime provides a clock that continues while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// base is the wall time at the start of the process, and baseReading the boot time then.
// Round strips the monotonic clock reading, which package time would use in comparisons.
var base, baseReading = time.Now().Round(0), sinceBoot()

// Now returns the current time. It may only be compared with other results of Now in the same
// process. Go's monotonic clock stops while the machine is suspended, so that after a
// suspension a lease from before it would still seem valid; see clock_gettime(2),
// CLOCK_BOOTTIME.
func Now() time.Time { return base.Add(sinceBoot() - baseReading) }

// sinceBoot returns the time since the machine was booted, including suspensions.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME: " + err.Error()) // supported since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
