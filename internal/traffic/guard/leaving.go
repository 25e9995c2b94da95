package guard

import (
	"time"

	"camphortrail/internal/traffic/attempt"
)

const (
	// maxRunTimeFactor is a multiple of the mean time for which calls of a class hold a slot.
	// Hardly any takes longer.
	maxRunTimeFactor = 8
	// lastGrantTime is the time before the end of an upstream from which no requests are
	// admitted on account of its slots: their call trees would make calls after the end.
	lastGrantTime = 700 * time.Millisecond
)

// outlastsUpstream reports whether the upstream has started to leave and the attempt may still run
// when it stops serving. An attempt that would only be cut off, and may then run elsewhere, is
// judged by the usual duration of its class, and others by their deadline.
//
// The load pattern is a VM of a busy service that leaves: as long as it serves, each call that it
// takes is one that the others need not.
func (gd *Guard) outlastsUpstream(now time.Time, at *attempt.Attempt) bool {
	tg := gd.target.Load()
	if tg == nil || tg.upstream.ServesUntil.IsZero() || !at.Deadline.After(tg.upstream.ServesUntil) {
		return false
	}
	usual := gd.slots.slotTime(at.Class)
	return !at.Idempotent || usual == 0 || now.Add(maxRunTimeFactor*usual).After(tg.upstream.ServesUntil)
}

// hasEnded reports whether the upstream of the target has started to leave and serves no longer.
func (tg *target) hasEnded(now time.Time) bool {
	return !tg.upstream.ServesUntil.IsZero() && !now.Before(tg.upstream.ServesUntil)
}

// endsSoon reports whether the upstream stops serving before the call trees of requests that are
// admitted now have ended. Its slots are then no longer divided, but for one: entries take a grant
// without slots for that of an older version, and direct their demand by the slots that are granted.
func (tg *target) endsSoon(now time.Time) bool {
	end := tg.upstream.ServesUntil
	return !end.IsZero() && end.Sub(now) < lastGrantTime
}
