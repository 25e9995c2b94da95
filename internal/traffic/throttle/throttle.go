// Package throttle refuses requests at their entry, before any work, in
// proportion to those of their kind that fail for load somewhere in their call
// tree.
//
// The load pattern is a small service deep in the tree at its limit: what it
// refuses has spent the work of all services above it. The refusals there go by
// importance, so the kinds that fail are the ones to refuse here. The rule is
// the adaptive throttling of Beyer et al., "Site Reliability Engineering",
// chapter 21: of n requests of which a came through, max(0, (n - k*a)/(n + 1))
// are refused.
package throttle

import (
	"maps"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// excess is k: the requests that are let through for each that comes
	// through. With it a share of 1/5 may fail, and the share that is let
	// through doubles in 2 s when none does.
	excess = 1.25
	// halfLife is the time in which the weight of a past request halves: well
	// under the bursts of some seconds that the rule answers.
	halfLife = 500 * time.Millisecond
	// blameWeight is the number of requests that count as failed for each one
	// of a more important kind that fails.
	blameWeight = 1
	// sharedFailures is the weight of failures from which a kind counts as
	// failing; a single one may have another cause.
	sharedFailures = 1.5
	// mostlyRefused is the share of refusals from which a kind counts as
	// refused.
	mostlyRefused = 0.85
	// minRetryAfter is about the time in which the rule reacts, and
	// maxRetryAfter about that in which the share of refusals falls from
	// nearly all to few.
	minRetryAfter = 400 * time.Millisecond
	maxRetryAfter = 4 * time.Second
)

// Group decides on the requests of all kinds at one entry. It is not safe for
// concurrent use.
type Group struct {
	kinds map[call.Class]*kind
}

// New returns a group that refuses nothing.
func New() *Group { return &Group{kinds: make(map[call.Class]*kind)} }

// Admit decides on a request. The draw is uniform from 0 to 1. A kind is
// refused only after the less important ones that fail with it. A request that
// is refused may come back after retryAfter in the mean.
func (gp *Group) Admit(now time.Time, class call.Class, imp call.Importance, draw float64) (retryAfter time.Duration, ok bool) {
	kd := gp.kinds[class]
	if kd == nil {
		kd = new(kind)
		gp.kinds[class] = kd
	}
	kd.importance = imp
	refusing := kd.refusing(now)
	if draw >= refusing || gp.othersYield(now, imp) {
		return 0, true
	}
	kd.requests++
	return minRetryAfter + time.Duration(refusing*refusing*float64(maxRetryAfter-minRetryAfter)), false
}

// othersYield reports whether a less important kind fails, and is not refused
// for the most part yet.
func (gp *Group) othersYield(now time.Time, imp call.Importance) bool {
	for _, kd := range gp.kinds {
		if kd.importance < imp && kd.refusing(now) < mostlyRefused && kd.fails() {
			return true
		}
	}
	return false
}

// Finish counts a request that was admitted, and whether it came through. A
// failure also counts for the less important kinds that fail: they share what is
// short, and are to give way. Requests whose callers left are not counted.
func (gp *Group) Finish(now time.Time, class call.Class, through bool) {
	kd := gp.kinds[class]
	if kd == nil {
		return
	}
	kd.decay(now)
	kd.requests++
	if through {
		kd.accepts++
		return
	}
	for _, other := range gp.kinds {
		if other.importance >= kd.importance {
			continue
		}
		if other.decay(now); other.fails() {
			other.requests += blameWeight
		}
	}
}

// Keep forgets the kinds that are not to be kept.
func (gp *Group) Keep(keep func(call.Class) bool) {
	maps.DeleteFunc(gp.kinds, func(class call.Class, _ *kind) bool { return !keep(class) })
}

// kind counts the requests of one kind, refused ones too, and those that came
// through.
type kind struct {
	importance        call.Importance
	requests, accepts float64
	clock             decay.Clock
}

// refusing returns the share of requests that is refused.
func (kd *kind) refusing(now time.Time) float64 {
	kd.decay(now)
	return max(0, (kd.requests-excess*kd.accepts)/(kd.requests+1))
}

func (kd *kind) fails() bool { return kd.requests-kd.accepts > sharedFailures }

func (kd *kind) decay(now time.Time) {
	keep := kd.clock.Keep(now, halfLife)
	kd.requests *= keep
	kd.accepts *= keep
}
