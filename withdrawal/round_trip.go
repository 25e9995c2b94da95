package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// roundTrip is what was measured of one VM, over all connections to it.
type roundTrip struct {
	vm call.VM
	// mean and spread are those of the acknowledgements.
	mean   time.Duration
	spread time.Duration
	// answer is the mean time until an answer.
	answer time.Duration
	item   expiry.Item[*roundTrip]
}

// sample takes in the time until an acknowledgement.
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

// answered takes in the time until an answer.
func (rt *roundTrip) answered(d time.Duration) {
	if rt.answer == 0 {
		rt.answer = d
		return
	}
	rt.answer += (d - rt.answer) / 8
}

// wait returns the time within which an acknowledgement is expected.
func (rt *roundTrip) wait() time.Duration {
	if rt.mean == 0 {
		return firstAckWait
	}
	return min(max(3*rt.mean+4*rt.spread, minAckWait), maxAckWait)
}

// pollWait returns the time after which an answer is asked for that is
// expected within the given time, if that is not zero.
func (rt *roundTrip) pollWait(expected time.Duration) time.Duration {
	if expected == 0 {
		expected = rt.answer
	}
	if expected == 0 {
		return firstPollWait
	}
	return max(2*expected, minPollWait)
}

// trip returns the round trip to a VM, in place of the one that is idle for
// the longest time when there is no room.
func (su *FailureDetector) trip(now time.Time, vm call.VM) *roundTrip {
	rt := su.vms[vm]
	if rt == nil {
		if len(su.vms) >= su.lim.VMs {
			su.forget(su.idle.Pop())
		}
		rt = &roundTrip{vm: vm}
		rt.item.Value = rt
		su.vms[vm] = rt
	}
	su.idle.Set(&rt.item, now.Add(idleLife))
	return rt
}

func (su *FailureDetector) forget(rt *roundTrip, ok bool) {
	if ok {
		delete(su.vms, rt.vm)
	}
}

func (su *FailureDetector) expire(now time.Time) {
	for {
		rt, ok := su.idle.PopBefore(now)
		if !ok {
			return
		}
		su.forget(rt, ok)
	}
}
