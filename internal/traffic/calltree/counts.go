package calltree

import (
	"cmp"
	"maps"
	"math"
	"slices"
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
	// maxRoundingError is the largest difference between the sum of rounded means and the
	// number of calls, relative to it. maxRoundedCallers bounds the classes whose means are
	// rounded together: the combinations double with each. movedWeight is the weight of the calls
	// that rounding moves from one class to another, relative to those that it adds.
	maxRoundingError  = 0.05
	maxRoundedCallers = 6
	movedWeight       = 0.1
	// maxAbandonedRatio is the fraction of the attempts above which so many are abandoned that too
	// few calls are attributed to the others.
	maxAbandonedRatio = 0.05
	// minFoundAttempts is the weight of attempts that succeeded from which the numbers of their
	// calls are worth keeping.
	minFoundAttempts = 16
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
//
// Under overload, calls that are attributed to an attempt that is then abandoned are lost, and too
// few are left for the others. Programs make the same calls then as before, so that the whole
// numbers that were found before are a lower bound.
type callCounts struct {
	classes map[call.Class]*classCounts
	callees map[callee]*parentCounts
	// found holds the whole numbers of calls that were found last, by callee and calling class.
	found map[callee]map[call.Class]float64
}

// classCounts holds the number of attempts of a class that succeeded, and of their calls, and the
// number of those that were abandoned, all weighted by callHalfLife.
type classCounts struct {
	ended, abandoned float64
	calls            map[callee]float64
	clock            decay.Clock
}

// parentCounts holds the number of calls to a callee, and of those whose parent is found.
type parentCounts struct {
	all, withParent float64
	clock           decay.Clock
}

func newCallCounts() callCounts {
	return callCounts{classes: make(map[call.Class]*classCounts), callees: make(map[callee]*parentCounts), found: make(map[callee]map[call.Class]float64)}
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
	for ce, calls := range cc.found {
		maps.DeleteFunc(calls, func(class call.Class, _ float64) bool { return !retain(class) })
		if !retain(ce.class) {
			delete(cc.found, ce)
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
	cls := cc.class(now, class)
	cls.ended++
	for _, cec := range list {
		cls.calls[cec.callee] += cec.calls
	}
}

// addAbandoned adds an attempt that ended without success.
func (cc *callCounts) addAbandoned(now time.Time, class call.Class) {
	if cc.classes[class] != nil {
		cc.class(now, class).abandoned++
	}
}

// class returns the counts of a class at the given time, and creates them if needed.
func (cc *callCounts) class(now time.Time, class call.Class) *classCounts {
	cls := cc.classes[class]
	if cls == nil {
		cls = &classCounts{calls: make(map[callee]float64)}
		cc.classes[class] = cls
	}
	factor := cls.clock.Factor(now, callHalfLife)
	cls.ended *= factor
	cls.abandoned *= factor
	for ce := range cls.calls {
		cls.calls[ce] *= factor
	}
	return cls
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
	if cls.callsPerAttempt() < cc.minCallsPerAttempt() {
		return nil, true
	}
	var list []calleeCount
	for ce := range cls.calls {
		if calls := cc.callsTo(class, ce); calls >= minCalls {
			list = append(list, calleeCount{ce, calls})
		}
	}
	return list, true
}

// minCallsPerAttempt returns the number of attributed calls below which a class is assumed to make
// none.
func (cc *callCounts) minCallsPerAttempt() float64 {
	most := 0.0
	for _, cls := range cc.classes {
		most = max(most, cls.callsPerAttempt())
	}
	return most / misattributionDivisor
}

// caller is a class that calls a callee, with the mean number of its calls as they were attributed.
type caller struct {
	class        call.Class
	ended, calls float64
}

// callsTo returns the mean number of calls of a class to a callee. Calls that run in parallel are
// attributed to other attempts that wait to make their first one, often of another class, so
// that the means of all classes are near 1 together. Their sum is right. The means are therefore
// rounded up or down together to the numbers that add up to it, and only one by one if there are
// none. While many attempts are abandoned, they are no less than the numbers found before;
// otherwise callsTo records them.
func (cc *callCounts) callsTo(class call.Class, ce callee) float64 {
	callers, total := cc.callersOf(ce)
	at := slices.IndexFunc(callers, func(cr caller) bool { return cr.class == class })
	if at < 0 {
		return 0
	}
	calls := snapToInteger(callers[at].calls)
	if len(callers) > 1 && len(callers) <= maxRoundedCallers {
		if rounded, ok := roundTogether(callers, total); ok {
			calls = rounded[at]
		}
	}
	if cc.manyAbandoned(callers) {
		return max(calls, cc.found[ce][class])
	}
	cc.setFound(class, ce, callers[at].ended, calls)
	return calls
}

// setFound records the number of calls that was found for a class, if it is a whole one and found
// from enough attempts.
func (cc *callCounts) setFound(class call.Class, ce callee, ended, calls float64) {
	if ended < minFoundAttempts || calls != math.Trunc(calls) {
		delete(cc.found[ce], class)
		return
	}
	if cc.found[ce] == nil {
		cc.found[ce] = make(map[call.Class]float64)
	}
	cc.found[ce][class] = calls
}

// manyAbandoned reports whether so many attempts of the callers are abandoned that the numbers of
// calls that are attributed to the others are too small.
func (cc *callCounts) manyAbandoned(callers []caller) bool {
	ended, abandoned := 0.0, 0.0
	for _, cr := range callers {
		ended += cr.ended
		abandoned += cc.classes[cr.class].abandoned
	}
	return abandoned > maxAbandonedRatio*(ended+abandoned)
}

// callersOf returns the classes that call a callee, ordered by name, and the weighted number of all
// calls to it.
func (cc *callCounts) callersOf(ce callee) (callers []caller, total float64) {
	least, scale := cc.minCallsPerAttempt(), cc.callees[ce].scale()
	for class, cls := range cc.classes {
		total += cls.calls[ce] * scale
		if calls := cls.calls[ce] / cls.ended * scale; calls >= minCalls && cls.callsPerAttempt() >= least {
			callers = append(callers, caller{class, cls.ended, calls})
		}
	}
	slices.SortFunc(callers, func(a, b caller) int { return cmp.Compare(a.class, b.class) })
	return callers, total
}

// roundTogether returns the means of the callers, each rounded up or down, that add up to the total
// number of calls and are near the means themselves. It returns false if no such numbers differ
// from the total by less than maxRoundingError.
func roundTogether(callers []caller, total float64) (best []float64, ok bool) {
	least := math.Inf(1)
	for up := range 1 << len(callers) {
		rounded, sum, moved := make([]float64, len(callers)), 0.0, 0.0
		for i, cr := range callers {
			if rounded[i] = math.Floor(cr.calls); up>>i&1 == 1 {
				rounded[i]++
			}
			sum += rounded[i] * cr.ended
			moved += math.Abs(rounded[i]-cr.calls) * cr.ended
		}
		apart := math.Abs(sum - total)
		if cost := apart + movedWeight*moved; apart < maxRoundingError*total && cost < least && slices.Min(rounded) > 0 {
			best, least = rounded, cost
		}
	}
	return best, best != nil
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
