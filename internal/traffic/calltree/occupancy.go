package calltree

import (
	"time"

	"camphortrail/call"
)

// readingLifetime is the time for which an occupancy counts: longer than the usual time
// between two calls of a class, and shorter than a change of load lasts.
const readingLifetime = 500 * time.Millisecond

// reading is an occupancy and when it was reported.
type reading struct {
	occupancy call.Occupancy
	at        time.Time
}

// RecordOccupancy records the highest occupancy in the tree of a call to the service by
// an attempt of the class. It is zero if no guard answered the call, which says nothing
// about the load.
func (tr *Trees) RecordOccupancy(now time.Time, class call.Class, svc call.Service, oc call.Occupancy) {
	if oc == 0 {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	readings := tr.observed[class]
	if readings == nil {
		readings = make(map[call.Service]reading)
		tr.observed[class] = readings
	}
	readings[svc] = reading{occupancy: oc, at: now}
}

// Occupancy returns the highest occupancy that the calls of attempts of the class
// recently met. It follows the load faster than what one attempt met: an attempt with a
// deep tree takes long, while calls of others end all the time. Once the calls of the class are
// known, services that it does not call are left out: calls to them were attributed to the wrong
// attempt.
func (tr *Trees) Occupancy(now time.Time, class call.Class) (highest call.Occupancy) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	cfo := tr.fanOutOf(now, class)
	for svc, rd := range tr.observed[class] {
		if now.Sub(rd.at) < readingLifetime && (!cfo.known || cfo.calls(svc)) {
			highest = max(highest, rd.occupancy)
		}
	}
	return highest
}
