package calltree

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// callingShare is the part of the attempts of a kind, 1 in so many, from
	// which the kind counts as one that makes calls.
	callingShare = 4
	// delayStep is the divisor of the step by which a sample moves a delay.
	delayStep = 32
	// minSpread bounds the spread of a delay from below, as a divisor of its
	// median.
	minSpread = 32
	// maxDeviations is the number of spreads from which an age is far off.
	maxDeviations = 3
	// unknownDelay is more unlikely than any age of a kind that is known.
	unknownDelay = 100
)

// caller is what is known of the attempts of a kind: how many made calls, and
// how long after their start they made the first one, by its kind.
type caller struct {
	ended, called int
	first         map[call.Class]*delay
}

func (tr *Trees) caller(kind call.Class) *caller {
	cr := tr.callers[kind]
	if cr == nil {
		cr = &caller{first: make(map[call.Class]*delay)}
		tr.callers[kind] = cr
	}
	return cr
}

// end counts an attempt that has ended.
func (cr *caller) end(called bool) {
	if cr.ended >= originSamples {
		cr.ended, cr.called = cr.ended/2, cr.called/2
	}
	cr.ended++
	if called {
		cr.called++
	}
}

// calls reports whether attempts of the kind make calls, as far as is known.
func (cr *caller) calls() bool {
	return cr.ended < minOriginSamples || cr.called*callingShare >= cr.ended
}

// learn takes in the time until a first call of the kind.
func (cr *caller) learn(kind call.Class, age time.Duration) {
	de := cr.first[kind]
	if de == nil {
		de = &delay{median: age, spread: age / 4}
		cr.first[kind] = de
	}
	de.add(age)
}

// delay is a running estimate of a time by its median and the median of its
// deviations, which single wrong samples hardly move.
type delay struct{ median, spread time.Duration }

// add moves both a small step towards the sample.
func (de *delay) add(d time.Duration) {
	off := d - de.median
	step := de.spread / delayStep
	if off < 0 {
		step = -step
	}
	de.median += step
	if off.Abs() > de.spread {
		de.spread += de.spread / delayStep
	} else {
		de.spread -= de.spread / delayStep
	}
	de.spread = max(de.spread, de.median/minSpread, time.Millisecond/2)
}

// unlikelihood returns how unlikely it is that an attempt of the kind makes its
// first call at an age: the negative logarithm of the normal density, but for
// a constant. It returns false for ages that are far off: an attempt whose call
// was given to another one must not take that of a third.
func (cr *caller) unlikelihood(kind call.Class, age time.Duration) (float64, bool) {
	de := cr.first[kind]
	if de == nil {
		return unknownDelay, true
	}
	off := float64(age-de.median) / float64(de.spread)
	return off*off/2 + math.Log(de.spread.Seconds()), math.Abs(off) <= maxDeviations
}
