package calltree

import (
	"math"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// callHalfLife is the time in which the weight of a past attempt halves. The calls of
	// a class do not change with the load, but the wrongly attributed ones do.
	callHalfLife = 5 * time.Second
	// parentHalfLife is the half-life of the calls from which the fraction with a known
	// parent is computed. The fraction is smaller just after the node has started, while
	// attempts run that it does not know.
	parentHalfLife = 2 * time.Second
	// misattributionDivisor says that a class is assumed to make no calls if its calls per
	// attempt are fewer than 1/misattributionDivisor of those of the class with the most.
	// The calls attributed to it probably belong to another class.
	misattributionDivisor = 4
	// maxScale bounds the ratio of all calls to those whose parent is found.
	maxScale = 1.5
	// integerTolerance is the distance to an integer within which a mean is rounded to
	// it: most programs make the same calls each time.
	integerTolerance = 0.35
)

// callee identifies calls of a class to a service.
type callee struct {
	service call.Service
	class   call.Class
}

// calleeCount is a number of calls to a callee.
type calleeCount struct {
	callee
	calls float64
}

// callCounts estimates how many calls attempts of each class make. Some calls have no
// known parent and some a wrong one. All calls are therefore distributed: among classes
// in proportion to the calls that were attributed to them, and evenly among the attempts
// of a class.
type callCounts struct {
	classes map[call.Class]*classCounts
	callees map[callee]*parentCounts
}

// classCounts holds the number of attempts of a class that succeeded, and of their calls,
// both weighted by callHalfLife.
type classCounts struct {
	ended float64
	calls map[callee]float64
	clock decay.Clock
}

// parentCounts holds the number of calls to a callee, and of those whose parent is found.
type parentCounts struct {
	all, withParent float64
	clock           decay.Clock
}

func newCallCounts() callCounts {
	return callCounts{classes: make(map[call.Class]*classCounts), callees: make(map[callee]*parentCounts)}
}

// retain removes the classes for which retain returns false.
func (cc *callCounts) retain(retain func(call.Class) bool) {
	for class := range cc.classes {
		if !retain(class) {
			delete(cc.classes, class)
		}
	}
	for ce := range cc.callees {
		if !retain(ce.class) {
			delete(cc.callees, ce)
		}
	}
}

// addCall counts a call, and whether its parent is found.
func (cc *callCounts) addCall(now time.Time, ce callee, withParent bool) {
	pc := cc.callees[ce]
	if pc == nil {
		pc = &parentCounts{}
		cc.callees[ce] = pc
	}
	factor := pc.clock.Factor(now, parentHalfLife)
	pc.all = pc.all*factor + 1
	if pc.withParent *= factor; withParent {
		pc.withParent++
	}
}

// addParent counts calls whose parent was not found at first, and is now, among the calls
// with a parent.
func (cc *callCounts) addParent(now time.Time, cec calleeCount) {
	if pc := cc.callees[cec.callee]; pc != nil {
		factor := pc.clock.Factor(now, parentHalfLife)
		pc.all *= factor
		pc.withParent = min(pc.withParent*factor+cec.calls, pc.all)
	}
}

// addAttempt adds an attempt that succeeded, and the calls that were attributed to it.
func (cc *callCounts) addAttempt(now time.Time, class call.Class, list []calleeCount) {
	cls := cc.classes[class]
	if cls == nil {
		cls = &classCounts{calls: make(map[callee]float64)}
		cc.classes[class] = cls
	}
	factor := cls.clock.Factor(now, callHalfLife)
	cls.ended = cls.ended*factor + 1
	for ce := range cls.calls {
		cls.calls[ce] *= factor
	}
	for _, cec := range list {
		cls.calls[cec.callee] += cec.calls
	}
}

// callsPerAttempt returns the number of attributed calls per attempt of the class.
func (cls *classCounts) callsPerAttempt() (sum float64) {
	for _, calls := range cls.calls {
		sum += calls
	}
	return sum / cls.ended
}

// callsOf returns the mean number of calls that a successful attempt of a class makes, by
// callee, and whether there were any such attempts.
func (cc *callCounts) callsOf(class call.Class) ([]calleeCount, bool) {
	cls := cc.classes[class]
	if cls == nil {
		return nil, false
	}
	most := 0.0
	for _, other := range cc.classes {
		most = max(most, other.callsPerAttempt())
	}
	if cls.callsPerAttempt() < most/misattributionDivisor {
		return nil, true
	}
	var list []calleeCount
	for ce, calls := range cls.calls {
		if calls = snapToInteger(calls / cls.ended * cc.callees[ce].scale()); calls >= minCalls {
			list = append(list, calleeCount{ce, calls})
		}
	}
	return list, true
}

// snapToInteger returns the nearest integer if it is at least one and within
// integerTolerance, or else the mean itself.
func snapToInteger(calls float64) float64 {
	if near := math.Round(calls); near >= 1 && math.Abs(calls-near) <= integerTolerance {
		return near
	}
	return calls
}

// scale returns the ratio of all calls to those whose parent is found.
func (pc *parentCounts) scale() float64 {
	if pc == nil || pc.withParent == 0 {
		return 1
	}
	return min(pc.all/pc.withParent, maxScale)
}
