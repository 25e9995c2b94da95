package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
)

const (
	// maxSamples is the number of answers up to which a mean is a plain average. Each
	// later answer has the weight 1/maxSamples.
	maxSamples = 32
	// minCalls is the mean number of calls from which a class counts as calling a
	// service.
	minCalls = 0.02
)

// fanOut is the mean number of calls that a request makes of one service over its tree,
// by the class of the calls.
type fanOut map[call.Class]float64

// calls holds what is known of the calls of the requests of a class.
type calls struct {
	// fanOut is the mean number of calls that a request makes of each service of its
	// tree, and answers the number of answers in the mean, up to maxSamples.
	fanOut  map[call.Service]fanOut
	answers float64
}

// LearnCalls records the calls that a request of a class made of the services of its
// tree. Their number does not change with the load, so a mean over many answers is still
// right just after the load has changed.
func (ctl *Controller) LearnCalls(now time.Time, class call.Class, fanOuts []call.FanOut) {
	if len(fanOuts) == 0 {
		return
	}
	cs := ctl.anyState(class)
	if cs == nil {
		cs = ctl.stateOf(classKey{class: class})
	}
	cs.answers = min(cs.answers+1, maxSamples)
	for _, cf := range fanOuts {
		fo := cs.fanOut[cf.Service]
		if fo == nil {
			fo = make(fanOut)
			cs.fanOut[cf.Service] = fo
		}
		fo[cf.Class] += (cf.Calls - fo[cf.Class]) / cs.answers
		if cf.Occupancy >= busyOccupancy {
			ctl.service(cf.Service).busyAt = now
		}
	}
	// The mean also decreases for calls that this answer does not include: requests that
	// are routed to one of several services make only a part of the calls to each.
	for svc, fo := range cs.fanOut {
		for callee, calls := range fo {
			if !slices.ContainsFunc(fanOuts, func(cf call.FanOut) bool { return cf.Service == svc && cf.Class == callee }) {
				fo[callee] = calls - calls/cs.answers
			}
		}
	}
}

// SlotTimes returns the slot time that a request of a class takes of each service at
// present, for the services whose guards have reported slot times.
func (ctl *Controller) SlotTimes(class call.Class) map[call.Service]time.Duration {
	times := make(map[call.Service]time.Duration)
	cs := ctl.anyState(class)
	if cs == nil {
		return times
	}
	for svc := range cs.fanOut {
		if took := ctl.slotSeconds(cs, svc); took > 0 {
			times[svc] = time.Duration(took * float64(time.Second))
		}
	}
	return times
}

// CallsPerRequest returns the mean number of calls that a request of a class makes of
// each service, rounded to hundredths.
func (ctl *Controller) CallsPerRequest(class call.Class) map[string]float64 {
	all := make(map[string]float64)
	if cs := ctl.anyState(class); cs != nil {
		for svc, fo := range cs.fanOut {
			all[string(svc)] = math.Round(100*fo.total()) / 100
		}
	}
	return all
}

// slotSeconds returns the slot time that a request of a class takes of a service, in
// seconds, or zero if it is not known.
func (ctl *Controller) slotSeconds(cs *classState, svc call.Service) (sum float64) {
	sv := ctl.services[svc]
	if sv == nil {
		return 0
	}
	for callee, calls := range cs.fanOut[svc] {
		sum += calls * sv.slotTimes[callee].Seconds()
	}
	return sum
}

// total returns the number of calls of all classes.
func (fo fanOut) total() (total float64) {
	for _, calls := range fo {
		total += calls
	}
	return total
}

// rates returns the rates of the calls that a number of requests per second make.
func (fo fanOut) rates(perSecond float64) []allocation.CallRate {
	list := make([]allocation.CallRate, 0, len(fo))
	for callee, calls := range fo {
		list = append(list, allocation.CallRate{Class: callee, PerSecond: calls * perSecond})
	}
	slices.SortFunc(list, func(a, b allocation.CallRate) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// callsService reports whether requests of the class call the service.
func (cs *classState) callsService(svc call.Service) bool { return cs.fanOut[svc].total() >= minCalls }
