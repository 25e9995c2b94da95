package withdrawal

import "time"

// roundTrip is a smoothed round trip to one VM, shared by the connections to
// it.
type roundTrip struct {
	conns  int
	mean   time.Duration
	spread time.Duration
}

func (rt *roundTrip) sample(d time.Duration) {
	if rt.mean == 0 {
		rt.mean = d
		rt.spread = d / 2
		return
	}
	diff := d - rt.mean
	rt.mean += diff / 8
	rt.spread += (diff.Abs() - rt.spread) / 4
}

// wait returns the time within which an acknowledgement is expected.
func (rt *roundTrip) wait() time.Duration {
	if rt.mean == 0 {
		return firstAckWait
	}
	return min(max(3*rt.mean+4*rt.spread, minAckWait), maxAckWait)
}
