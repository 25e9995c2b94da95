package calltree

import (
	"math"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// countHalfLife is the time in which the weight of a past attempt halves. The calls of
	// a kind do not change with the load, but those that are found wrongly do.
	countHalfLife = 5 * time.Second
	// foundHalfLife is the same for the part of the calls whose attempt is found: it is
	// less after a start, when attempts run that the node does not know.
	foundHalfLife = 2 * time.Second
	// wrongShare is the part of the calls of an attempt of another kind, 1 in so many,
	// under which those of a kind are taken for calls of the other.
	wrongShare = 4
	// maxScale bounds the ratio of all calls to those whose attempt is found.
	maxScale = 1.5
	// wholeBand is the distance to a whole number within which a mean is taken for it:
	// most programs make the same calls each time.
	wholeBand = 0.35
)

// callee names calls of a kind to a service.
type callee struct {
	service call.Service
	class   call.Class
}

// made is a number of calls.
type made struct {
	callee
	calls float64
}

// counts estimates how many calls attempts of each kind make. Of some calls no attempt
// is found, and of some a wrong one, so that all calls are shared out: by kind, in
// proportion to those that were found to be theirs, and evenly among the attempts of a
// kind.
type counts struct {
	kinds   map[call.Class]*kindCount
	callees map[callee]*foundCount
}

// kindCount is what is known of attempts of a kind that came through.
type kindCount struct {
	ended float64
	calls map[callee]float64
	clock decay.Clock
}

// foundCount holds the calls of a kind, and those of them whose attempt is found.
type foundCount struct {
	all, found float64
	clock      decay.Clock
}

func newCounts() counts {
	return counts{kinds: make(map[call.Class]*kindCount), callees: make(map[callee]*foundCount)}
}

// keep forgets the kinds that are not to be kept.
func (ct *counts) keep(keep func(call.Class) bool) {
	for class := range ct.kinds {
		if !keep(class) {
			delete(ct.kinds, class)
		}
	}
	for ce := range ct.callees {
		if !keep(ce.class) {
			delete(ct.callees, ce)
		}
	}
}

// call counts a call, and whether its attempt is found.
func (ct *counts) call(now time.Time, ce callee, found bool) {
	fc := ct.callees[ce]
	if fc == nil {
		fc = &foundCount{}
		ct.callees[ce] = fc
	}
	keep := fc.clock.Factor(now, foundHalfLife)
	fc.all = fc.all*keep + 1
	if fc.found *= keep; found {
		fc.found++
	}
}

// find notes that the attempt of calls is found that was not at first.
func (ct *counts) find(now time.Time, md made) {
	if fc := ct.callees[md.callee]; fc != nil {
		keep := fc.clock.Factor(now, foundHalfLife)
		fc.all *= keep
		fc.found = min(fc.found*keep+md.calls, fc.all)
	}
}

// end takes in the calls that were found to be those of an attempt that came through.
func (ct *counts) end(now time.Time, class call.Class, list []made) {
	kc := ct.kinds[class]
	if kc == nil {
		kc = &kindCount{calls: make(map[callee]float64)}
		ct.kinds[class] = kc
	}
	keep := kc.clock.Factor(now, countHalfLife)
	kc.ended = kc.ended*keep + 1
	for ce := range kc.calls {
		kc.calls[ce] *= keep
	}
	for _, md := range list {
		kc.calls[md.callee] += md.calls
	}
}

// sum returns the calls that were found for an attempt of the kind.
func (kc *kindCount) sum() (sum float64) {
	for _, calls := range kc.calls {
		sum += calls
	}
	return sum / kc.ended
}

// of returns the calls that attempts of a kind make which come through, and whether
// any did.
func (ct *counts) of(class call.Class) ([]made, bool) {
	kc := ct.kinds[class]
	if kc == nil {
		return nil, false
	}
	most := 0.0
	for _, other := range ct.kinds {
		most = max(most, other.sum())
	}
	if kc.sum() < most/wrongShare {
		return nil, true
	}
	var list []made
	for ce, calls := range kc.calls {
		if calls = whole(calls / kc.ended * ct.callees[ce].scale()); calls >= minCalls {
			list = append(list, made{ce, calls})
		}
	}
	return list, true
}

// whole returns the whole number that a mean of one or more is close to, or else the mean.
func whole(calls float64) float64 {
	if near := math.Round(calls); near >= 1 && math.Abs(calls-near) <= wholeBand {
		return near
	}
	return calls
}

// scale returns the ratio of all calls to those whose attempt is found.
func (fc *foundCount) scale() float64 {
	if fc == nil || fc.found == 0 {
		return 1
	}
	return min(fc.all/fc.found, maxScale)
}
