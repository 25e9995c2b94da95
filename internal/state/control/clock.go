package control

import (
	"sync/atomic"
	"time"
)

// logClock is the clock of the log, by which claims expire. It starts at the wall time and
// then advances by monotonic clocks only, so that a leader whose wall clock is ahead cannot
// make claims expire early. It stops while no replica runs, which prolongs claims.
type logClock struct{ reading atomic.Pointer[clockReading] }

// clockReading is the time of the log at the last entry, with the local time at which this
// replica applied the entry.
type clockReading struct {
	unixMS int64
	at     time.Time
}

// last returns the time of the last entry, in Unix milliseconds.
func (lc *logClock) last() int64 {
	if cr := lc.reading.Load(); cr != nil {
		return cr.unixMS
	}
	return 0
}

// now returns the time for a new entry, in Unix milliseconds.
func (lc *logClock) now(now time.Time) int64 {
	cr := lc.reading.Load()
	if cr == nil {
		return now.UnixMilli()
	}
	return cr.unixMS + now.Sub(cr.at).Milliseconds()
}

// advance sets the clock to the time of an entry, unless that is earlier.
func (lc *logClock) advance(now time.Time, unixMS int64) {
	if unixMS > lc.last() {
		lc.reading.Store(&clockReading{unixMS, now})
	}
}
