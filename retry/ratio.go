package retry

import (
	"time"

	"camphortrail/internal/traffic/decay"
)

// Percent is a ratio in hundredths.
type Percent uint32

// Constants of Ratio.
const (
	// ratioHalfLife is the time in which the weight of a past success or retry halves.
	ratioHalfLife = 10 * time.Second
	// DefaultMinRetries is the default number of retries allowed without successes.
	DefaultMinRetries = 3.0
)

// Ratio bounds the retries to a service by a percentage of its recent successes. It is
// not safe for concurrent use.
type Ratio struct {
	fraction   float64
	minRetries float64
	successes  float64
	retries    float64
	clock      decay.Clock
}

// NewRatio returns a ratio that allows per retries for 100 successes.
func NewRatio(per Percent) *Ratio {
	return &Ratio{fraction: float64(per) / 100, minRetries: DefaultMinRetries}
}

// SetPercent changes the percentage and retains the history.
func (rt *Ratio) SetPercent(per Percent) { rt.fraction = float64(per) / 100 }

// SetMinRetries changes the number of retries allowed without successes, and retains the
// history.
func (rt *Ratio) SetMinRetries(minRetries float64) { rt.minRetries = minRetries }

// Success records a successful call.
func (rt *Ratio) Success(now time.Time) {
	rt.decay(now)
	rt.successes++
}

// Available reports whether a retry is within the ratio. A percentage of zero allows none.
func (rt *Ratio) Available(now time.Time) bool {
	rt.decay(now)
	return rt.fraction != 0 && rt.retries+1 <= rt.successes*rt.fraction+rt.minRetries
}

// Allow reports whether a retry is within the ratio, and counts it if so.
func (rt *Ratio) Allow(now time.Time) bool {
	if !rt.Available(now) {
		return false
	}
	rt.retries++
	return true
}

func (rt *Ratio) decay(now time.Time) {
	factor := rt.clock.Factor(now, ratioHalfLife)
	rt.successes *= factor
	rt.retries *= factor
}
