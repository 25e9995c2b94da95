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
	// needSamples bounds the number of answers whose mean is taken.
	needSamples = 32
	// minCalls is the mean number of calls of a kind from which they count.
	minCalls = 0.02
)

// calls are those that a request makes of one service over its tree, by their kind.
type calls map[call.Class]float64

// LearnCalls takes in the calls that a request of a kind makes of the services of its tree.
// Their number does not change with the load, so that a mean over many answers is
// right also just after a change.
func (gp *Controller) LearnCalls(now time.Time, class call.Class, needs []call.FanOut) {
	if len(needs) == 0 {
		return
	}
	kd := gp.kind(class)
	kd.answers = min(kd.answers+1, needSamples)
	for _, nd := range needs {
		cs := kd.calls[nd.Service]
		if cs == nil {
			cs = make(calls)
			kd.calls[nd.Service] = cs
		}
		cs[nd.Class] += (nd.Calls - cs[nd.Class]) / kd.answers
		if nd.Occupancy >= busyOccupancy {
			gp.service(nd.Service).busyAt = now
		}
	}
	// Requests that are shared out to several services make a part of the calls to each.
	for svc, cs := range kd.calls {
		for of, number := range cs {
			if !slices.ContainsFunc(needs, func(nd call.FanOut) bool { return nd.Service == svc && nd.Class == of }) {
				cs[of] = number - number/kd.answers
			}
		}
	}
}

// SlotTimes returns what a request of a kind takes of each service at present, as far
// as the guards told the time for which calls take a slot.
func (gp *Controller) SlotTimes(class call.Class) map[call.Service]time.Duration {
	times := make(map[call.Service]time.Duration)
	kd := gp.kinds[class]
	if kd == nil {
		return times
	}
	for svc := range kd.calls {
		if took := gp.slotTime(kd, svc); took > 0 {
			times[svc] = time.Duration(took * float64(time.Second))
		}
	}
	return times
}

// CallsPerRequest returns the calls that a request of a kind makes of each service, to
// hundredths.
func (gp *Controller) CallsPerRequest(class call.Class) map[string]float64 {
	all := make(map[string]float64)
	if kd := gp.kinds[class]; kd != nil {
		for svc, cs := range kd.calls {
			all[string(svc)] = math.Round(100*cs.sum()) / 100
		}
	}
	return all
}

// slotTime returns what a request of a kind takes of a service, in seconds, or zero if
// it is not known.
func (gp *Controller) slotTime(kd *kind, svc call.Service) (sum float64) {
	sv := gp.services[svc]
	if sv == nil {
		return 0
	}
	for of, number := range kd.calls[svc] {
		sum += number * sv.slotTimes[of].Seconds()
	}
	return sum
}

func (cs calls) sum() (sum float64) {
	for _, number := range cs {
		sum += number
	}
	return sum
}

// rates returns the calls of a number of requests in a second.
func (cs calls) rates(perSecond float64) []allocation.CallRate {
	list := make([]allocation.CallRate, 0, len(cs))
	for of, number := range cs {
		list = append(list, allocation.CallRate{Class: of, PerSecond: number * perSecond})
	}
	slices.SortFunc(list, func(a, b allocation.CallRate) int { return cmp.Compare(a.Class, b.Class) })
	return list
}

// needs reports whether requests of the kind call the service.
func (kd *kind) needs(svc call.Service) bool { return kd.calls[svc].sum() >= minCalls }
