package throttle

import (
	"time"

	"camphortrail/call"
)

const (
	// initialWindow is the number of requests of a class that may be in flight at first in a
	// slow start.
	initialWindow = 3
	// freeGrowth is the further growth of the window for a success that met only services with
	// free slots.
	freeGrowth = 2
	// maxSlowStart is the time after which a slow start of a class ends in any case.
	maxSlowStart = 5 * time.Second
)

// slowStart limits the requests of a class in flight while nothing is known of the calls that
// they make. The load pattern is a start of all nodes under load: if each entry admitted all
// requests until the first answers report what they take, the services deep in the call trees
// would refuse or abort most of them, and waste the work of the services above. Like the
// congestion window of TCP, the window grows by one request for each success, and therefore
// doubles per round trip; it grows faster while there are free slots, and not while all are busy.
//
// The slow start ends when the guards grant less than the window admits. Before, they may not know the
// demand of most entries, or the slots that are left, and their grants are too large.
type slowStart struct {
	// window is the number of requests that may be in flight, or 0 without a slow start.
	window int
	// inFlight is the number of requests that were admitted and have not ended.
	inFlight int
	// began is when the first request of the class arrived.
	began time.Time
}

// SlowStart begins a slow start of all classes. It is for a start at which all nodes forget
// what they have learned, and not for that of a single node, whose neighbors carry on.
func (ctl *Controller) SlowStart() { ctl.startSlowly = true }

// admits reports whether the window has room for another request at the given time.
func (ss *slowStart) admits(now time.Time) bool {
	if ss.window > 0 && now.Sub(ss.began) >= maxSlowStart {
		ss.window = 0
	}
	return ss.window == 0 || ss.inFlight < ss.window
}

// end records that a request has ended, and the highest occupancy that it met, in percent, or zero if
// that is not known.
func (ss *slowStart) end(succeeded bool, oc call.Occupancy) {
	ss.inFlight = max(ss.inFlight-1, 0)
	if ss.window == 0 || !succeeded || oc >= baseTarget {
		return
	}
	ss.window++
	if oc > 0 && oc < freeOccupancy {
		ss.window += freeGrowth
	}
}

// grantLimits reports whether a share of the timely requests that was granted admits fewer than the window
// of a slow start: by Little's law, the granted rate times the mean duration of a request are in flight.
func (cs *classState) grantLimits(share float64) bool {
	return !cs.timely.isReported || share*cs.timely.reported*cs.meanDuration.Seconds() <= float64(cs.slowStart.window)
}
