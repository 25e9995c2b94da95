package throttle

import (
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// needWeight is the divisor of a new sample of what a request takes.
	needWeight = 4
	// minSlotTime is the slot time under which a need does not matter, in seconds, and
	// minorNeed the part of the largest need of a kind, 1 in so many: what is less may
	// come from calls that were given to the wrong kind.
	minSlotTime = 1e-4
	minorNeed   = 6
)

// Learn takes in what a request of a kind takes of the services of its tree.
func (gp *Group) Learn(now time.Time, class call.Class, needs []call.Need) {
	if len(needs) == 0 {
		return
	}
	kd := gp.kind(class)
	known := len(kd.slotTime) > 0
	for _, nd := range needs {
		sample := nd.SlotTime.Seconds()
		if old, ok := kd.slotTime[nd.Service]; ok {
			kd.slotTime[nd.Service] = old + (sample-old)/needWeight
		} else if !known {
			kd.slotTime[nd.Service] = sample
		} else {
			kd.slotTime[nd.Service] = sample / needWeight
		}
		if nd.Occupancy >= busyOccupancy {
			gp.service(nd.Service).busyAt = now
		}
	}
	// Requests that are shared out to several services need each a part of the time.
	for svc, old := range kd.slotTime {
		if !slices.ContainsFunc(needs, func(nd call.Need) bool { return nd.Service == svc }) {
			kd.slotTime[svc] = old - old/needWeight
		}
	}
}

// SlotTimes returns what a request of a kind takes of each service.
func (gp *Group) SlotTimes(class call.Class) map[call.Service]time.Duration {
	times := make(map[call.Service]time.Duration)
	if kd := gp.kinds[class]; kd != nil {
		for svc, took := range kd.slotTime {
			times[svc] = time.Duration(took * float64(time.Second))
		}
	}
	return times
}

// needs reports whether requests of the kind take slots of the service.
func (kd *kind) needs(svc call.Service) bool {
	most := minSlotTime
	for _, slotTime := range kd.slotTime {
		most = max(most, slotTime/minorNeed)
	}
	return kd.slotTime[svc] >= most
}
