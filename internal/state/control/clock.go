package control

import (
	"sync/atomic"
	"time"
)

// logClock is the time of the log, by which claims expire. It begins with the
// wall time and then goes by monotonic clocks only, so that a leader whose
// wall logClock is ahead can't make claims expire early. It stands still while
// no replica runs, which keeps claims for longer.
type logClock struct{ reading atomic.Pointer[reading] }

// reading is the time of the log when an entry was applied here.
type reading struct {
	unixMS int64
	at     time.Time
}

// last returns the time of the last entry, in Unix milliseconds.
func (ck *logClock) last() int64 {
	if re := ck.reading.Load(); re != nil {
		return re.unixMS
	}
	return 0
}

// now returns the time for a new entry, in Unix milliseconds.
func (ck *logClock) now(now time.Time) int64 {
	re := ck.reading.Load()
	if re == nil {
		return now.UnixMilli()
	}
	return re.unixMS + now.Sub(re.at).Milliseconds()
}

// advance sets the time to that of an entry unless it is earlier.
func (ck *logClock) advance(now time.Time, unixMS int64) {
	if unixMS > ck.last() {
		ck.reading.Store(&reading{unixMS, now})
	}
}
