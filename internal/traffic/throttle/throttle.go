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
	"math"
	"time"
)

const (
	// excess is k: the requests that are let through for each that comes
	// through. With it a share of 1/5 may fail, and the share that is let
	// through doubles in 2 s when none does.
	excess = 1.25
	// halfLife is the time in which the weight of a past request halves: well
	// under the bursts of some seconds that the rule answers.
	halfLife = 500 * time.Millisecond
)

// Throttle decides for one kind of request at one entry. The zero value refuses
// nothing. It is not safe for concurrent use.
type Throttle struct {
	requests, accepts float64
	last              time.Time
}

// Admit decides on a request, and counts it if it is refused. The draw is
// uniform from 0 to 1.
func (th *Throttle) Admit(now time.Time, draw float64) bool {
	th.decay(now)
	refusing := (th.requests - excess*th.accepts) / (th.requests + 1)
	if draw >= refusing {
		return true
	}
	th.requests++
	return false
}

// Finish counts a request that was admitted, and whether it came through.
// Requests whose callers left are not counted.
func (th *Throttle) Finish(now time.Time, through bool) {
	th.decay(now)
	th.requests++
	if through {
		th.accepts++
	}
}

// blameWeight is the number of requests that count as failed for each one of a
// more important kind that fails.
const blameWeight = 2

// Blame counts the failure of a request of a more important kind, if this kind
// fails too: then they share what is short, and this one is to give way.
func (th *Throttle) Blame(now time.Time) {
	th.decay(now)
	if th.requests-th.accepts > sharedFailures {
		th.requests += blameWeight
	}
}

// sharedFailures is the weight of failures from which a kind counts as failing;
// a single one may have another cause.
const sharedFailures = 1.5

func (th *Throttle) decay(now time.Time) {
	passed := now.Sub(th.last)
	if passed <= 0 {
		return
	}
	th.last = now
	keep := math.Exp2(-float64(passed) / float64(halfLife))
	th.requests *= keep
	th.accepts *= keep
}
