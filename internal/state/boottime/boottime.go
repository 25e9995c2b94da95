// Package boottime reads a clock that also runs while the machine is suspended.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// base is where the clock began, without the reading of the steady clock that
// package time would compare by.
var base, baseReading = time.Now().Round(0), sinceBoot()

// Now returns a time for comparison with other times of this process only. Go's
// own steady clock stands still in a suspension, so that what was true before
// it would look recent after it; see clock_gettime(2), CLOCK_BOOTTIME.
func Now() time.Time { return base.Add(sinceBoot() - baseReading) }

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("boottime: CLOCK_BOOTTIME: " + err.Error()) // there since Linux 2.6.39
	}
	return time.Duration(ts.Nano())
}
