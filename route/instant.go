package route

import "time"

// instant is a time in nanoseconds, counted from an hour before the first event.
// Comparing instants is quicker than comparing values of time.Time.
type instant int64

// never is the zero instant, which lies before all events.
const never instant = 0

// firstInstant is the instant of the first event. It is so late that never lies further
// back than any interval of the package.
const firstInstant = instant(time.Hour)

func (tb *Table) instant(now time.Time) instant {
	if tb.epoch.IsZero() {
		tb.epoch = now
	}
	return firstInstant + instant(now.Sub(tb.epoch))
}

func (in instant) since(earlier instant) time.Duration { return time.Duration(in - earlier) }

func (in instant) add(d time.Duration) instant { return in + instant(d) }
