package calltree

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// callingDivisor says that a class makes calls if at least 1/callingDivisor of its
	// attempts did.
	callingDivisor = 4
	// stepDivisor gives the step by which a sample moves an estimate, as a fraction of the
	// spread.
	stepDivisor = 32
	// minSpreadDivisor gives the minimum spread of an estimate as a fraction of its
	// median.
	minSpreadDivisor = 32
	// maxDeviations is the number of spreads beyond which an age is ruled out.
	maxDeviations = 3
	// unknownClassScore is returned for a class of calls without an estimate. It is
	// larger than the score of any age for a class with one.
	unknownClassScore = 100
)

// callPattern holds what is known of the attempts of a class: how many ended, how many of
// them made calls, and how long after their start they made the first one, by the class
// of the call.
type callPattern struct {
	ended, called int
	firstCalls    map[call.Class]*delayEstimate
	// ends counts all attempts that ended, and those that did so just after calls.
	ends coincidence
}

// pattern returns the pattern of a class, and creates it if needed. The lock is held.
func (tr *Trees) pattern(class call.Class) *callPattern {
	cp := tr.patterns[class]
	if cp == nil {
		cp = &callPattern{firstCalls: make(map[call.Class]*delayEstimate)}
		tr.patterns[class] = cp
	}
	return cp
}

// addAttempt counts an attempt that has ended.
func (cp *callPattern) addAttempt(called bool) {
	if cp.ended >= originSamples {
		cp.ended, cp.called = cp.ended/2, cp.called/2
	}
	cp.ended++
	if called {
		cp.called++
	}
}

// makesCalls reports whether attempts of the class make calls. It is true until enough of
// them have ended.
func (cp *callPattern) makesCalls() bool {
	return cp.ended < minOriginSamples || cp.called*callingDivisor >= cp.ended
}

// endsAfterCalls reports whether attempts of the class end just after calls more often than by chance.
// It is true until enough of them have ended.
func (cp *callPattern) endsAfterCalls(chance float64) bool {
	least := chance + (1-chance)/callingDivisor
	return cp.ends.moments < minOriginSamples || float64(cp.ends.found) >= least*float64(cp.ends.moments)
}

// coincidence counts moments, and those within maxChainGap after the answer to a call. The load pattern
// is a busy upstream: with a call answered each millisecond, attempts without calls mostly end just after
// one, too.
type coincidence struct{ moments, found int }

// add adds a moment, and whether a call was answered just before it.
func (co *coincidence) add(found bool) {
	if co.moments >= originSamples {
		co.moments, co.found = co.moments/2, co.found/2
	}
	co.moments++
	if found {
		co.found++
	}
}

// chance returns the ratio of the moments that were found, or zero before there are enough.
func (co *coincidence) chance() float64 {
	if co.moments < minOriginSamples {
		return 0
	}
	return float64(co.found) / float64(co.moments)
}

// addFirstCall adds the age of an attempt at its first call, which is of the given class.
func (cp *callPattern) addFirstCall(class call.Class, age time.Duration) {
	de := cp.firstCalls[class]
	if de == nil {
		de = &delayEstimate{median: age, spread: age / 4}
		cp.firstCalls[class] = de
	}
	de.add(age)
}

// delayEstimate is a running estimate of a duration by its median and the median of its
// deviations, which single wrong samples hardly move.
type delayEstimate struct{ median, spread time.Duration }

// add moves both a small step towards the sample.
func (de *delayEstimate) add(d time.Duration) {
	deviation := d - de.median
	step := de.spread / stepDivisor
	if deviation < 0 {
		step = -step
	}
	de.median += step
	if deviation.Abs() > de.spread {
		de.spread += de.spread / stepDivisor
	} else {
		de.spread -= de.spread / stepDivisor
	}
	de.spread = max(de.spread, de.median/minSpreadDivisor, time.Millisecond/2)
}

// negLogLikelihood returns the negative logarithm of the likelihood that an attempt makes
// its first call, of the given class, at an age: that of the normal density, without its
// constant, or unknownClassScore without an estimate. It returns false for ages more than
// maxDeviations from the median. Without this bound, an attempt whose own first call was
// attributed to another attempt would get the call of a third one.
func (cp *callPattern) negLogLikelihood(class call.Class, age time.Duration) (float64, bool) {
	de := cp.firstCalls[class]
	if de == nil {
		return unknownClassScore, true
	}
	deviation := float64(age-de.median) / float64(de.spread)
	return deviation*deviation/2 + math.Log(de.spread.Seconds()), math.Abs(deviation) <= maxDeviations
}
