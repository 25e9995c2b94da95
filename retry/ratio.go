package retry

import (
	"time"

	"camphortrail/internal/traffic/decay"
)

// Percent is a ratio in hundredths.
type Percent uint32

// Constants of Ratio.
const (
	// ratioHalfLife is the time in which the weight of a past success or
	// retry halves.
	ratioHalfLife = 10 * time.Second
	// DefaultMinRetries is the number of retries allowed without successes, where
	// nothing else is set.
	DefaultMinRetries = 3.0
)

// Ratio bounds the retries to a service by a percentage of its successes in
// the recent past. It is not safe for concurrent use.
type Ratio struct {
	share     float64
	floor     float64
	successes float64
	retries   float64
	clock     decay.Clock
}

// NewRatio returns a ratio of per retries to 100 successes.
func NewRatio(per Percent) *Ratio {
	return &Ratio{share: float64(per) / 100, floor: DefaultMinRetries}
}

// SetPercent changes the bound and keeps the history.
func (rt *Ratio) SetPercent(per Percent) { rt.share = float64(per) / 100 }

// SetMinRetries changes the number of retries allowed without successes, and keeps
// the history.
func (rt *Ratio) SetMinRetries(floor float64) { rt.floor = floor }

// Success records a successful call.
func (rt *Ratio) Success(now time.Time) {
	rt.decay(now)
	rt.successes++
}

// Allow reports whether a retry is within the ratio, and counts it if so. A
// ratio of zero allows none.
func (rt *Ratio) Allow(now time.Time) bool {
	rt.decay(now)
	if rt.share == 0 || rt.retries+1 > rt.successes*rt.share+rt.floor {
		return false
	}
	rt.retries++
	return true
}

func (rt *Ratio) decay(now time.Time) {
	keep := rt.clock.Factor(now, ratioHalfLife)
	rt.successes *= keep
	rt.retries *= keep
}
