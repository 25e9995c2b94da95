package route

import "time"

// instant is a time in nanoseconds since an hour before the first event. It
// is quicker to compare than time.Time.
type instant int64

// never is before all instants of events.
const never instant = 0

// beforeFirst is the instant of the first event, so that never is long ago.
const beforeFirst = instant(time.Hour)

func (tb *Table) instant(now time.Time) instant {
	if tb.epoch.IsZero() {
		tb.epoch = now
	}
	return beforeFirst + instant(now.Sub(tb.epoch))
}

func (in instant) since(earlier instant) time.Duration { return time.Duration(in - earlier) }

func (in instant) add(d time.Duration) instant { return in + instant(d) }
