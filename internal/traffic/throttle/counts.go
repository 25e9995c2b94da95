package throttle

import (
	"math"
	"time"

	"camphortrail/internal/traffic/decay"
)

const (
	// outcomeHalfLife is the time in which the weight of a past request halves: well
	// under the duration of the bursts of some seconds that the rule responds to.
	outcomeHalfLife = 500 * time.Millisecond
	// minFailures is the weight of failures above which a class counts as failing; a
	// single failure may have another cause.
	minFailures = 1.5
	// maxStaleShare is the share up to which the results of requests that were admitted while
	// all were say nothing about what it admits.
	maxStaleShare = 0.5
)

// sendCounts counts sends of a class, those of them that a share admitted, and the requests that
// succeeded. All are weighted by a half-life, which is the same in all calls for one sendCounts.
type sendCounts struct {
	arrived, admitted, served float64
	clock                     decay.Clock
}

func (sc *sendCounts) decay(now time.Time, halfLife time.Duration) {
	factor := sc.clock.Factor(now, halfLife)
	sc.arrived *= factor
	sc.admitted *= factor
	sc.served *= factor
}

func (sc *sendCounts) addServed(now time.Time, halfLife time.Duration) {
	sc.decay(now, halfLife)
	sc.served++
}

// firstSends estimates how many of a number of sends are first sends. It assumes that each
// refused request is sent again once.
func (sc *sendCounts) firstSends(sends float64) float64 {
	refused := sc.arrived - sc.admitted
	return sends / (1 + refused/max(sc.arrived, 1))
}

// rates returns the mean numbers per second of first sends and of requests that succeeded, over
// the time for which the half-life stands.
func (sc *sendCounts) rates(halfLife time.Duration) (firstSends, served float64) {
	seconds := halfLife.Seconds() / math.Ln2
	return sc.firstSends(sc.arrived) / seconds, sc.served / seconds
}

// resultCounts counts the admitted requests that have ended, and those that succeeded, weighted by
// successHalfLife.
type resultCounts struct {
	completed, succeeded float64
	clock                decay.Clock
}

func (rc *resultCounts) add(now time.Time, succeeded bool) {
	rc.decay(now)
	rc.completed++
	if succeeded {
		rc.succeeded++
	}
}

func (rc *resultCounts) decay(now time.Time) {
	factor := rc.clock.Factor(now, successHalfLife)
	rc.completed *= factor
	rc.succeeded *= factor
}

// ratio returns the fraction of the requests that succeeded, or 1 if hardly any have ended.
func (rc *resultCounts) ratio() float64 {
	if rc.completed < 1 {
		return 1
	}
	return rc.succeeded / rc.completed
}

// outcomes counts the requests of a class that were admitted, or refused for failures, and those
// that succeeded, weighted by outcomeHalfLife.
type outcomes struct {
	requests, accepts float64
	clock             decay.Clock
}

// add counts the result of a request.
func (oc *outcomes) add(now time.Time, accepted bool) {
	oc.decay(now)
	oc.requests++
	if accepted {
		oc.accepts++
	}
}

// failing reports whether so many recent requests failed that the class counts as failing.
func (oc *outcomes) failing() bool { return oc.requests-oc.accepts > minFailures }

// refusalRatio returns the fraction of requests to refuse if multiplier requests are admitted for
// each one that succeeds.
func (oc *outcomes) refusalRatio(multiplier float64) float64 {
	return max(0, (oc.requests-multiplier*oc.accepts)/(oc.requests+1))
}

func (oc *outcomes) decay(now time.Time) {
	factor := oc.clock.Factor(now, outcomeHalfLife)
	oc.requests *= factor
	oc.accepts *= factor
}
