package calltree

import (
	"time"

	"camphortrail/call"
)

// readingLife is the time for which an occupancy counts: more than the usual time
// between two calls of a kind, and less than a change of load lasts.
const readingLife = 500 * time.Millisecond

// reading is an occupancy and when it was learned.
type reading struct {
	occupancy call.Occupancy
	at        time.Time
}

// RecordOccupancy notes the highest occupancy that a call to the service has met in its tree;
// an attempt of the kind made it. It is zero if no guard answered the call, which
// tells nothing of the load.
func (tr *Trees) RecordOccupancy(now time.Time, kind call.Class, svc call.Service, oc call.Occupancy) {
	if oc == 0 {
		return
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	readings := tr.met[kind]
	if readings == nil {
		readings = make(map[call.Service]reading)
		tr.met[kind] = readings
	}
	readings[svc] = reading{occupancy: oc, at: now}
}

// Occupancy returns the highest occupancy that the calls of attempts of the kind
// met lately. It follows the load faster than what one attempt met: an attempt of
// a deep tree takes long, while calls of others end all the time.
func (tr *Trees) Occupancy(now time.Time, kind call.Class) (highest call.Occupancy) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for _, rd := range tr.met[kind] {
		if now.Sub(rd.at) < readingLife {
			highest = max(highest, rd.occupancy)
		}
	}
	return highest
}
