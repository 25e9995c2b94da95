package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// vmTiming is what was measured of one VM, over all connections to it.
type vmTiming struct {
	vm call.VM
	// ackMean and spread are those of the acknowledgements.
	ackMean   time.Duration
	ackDeviation time.Duration
	// answerMean is the mean time until an answerMean.
	answerMean time.Duration
	item   expiry.Item[*vmTiming]
}

// observeAck takes in the time until an acknowledgement.
func (rt *vmTiming) observeAck(d time.Duration) {
	if rt.ackMean == 0 {
		rt.ackMean = d
		rt.ackDeviation = d / 2
		return
	}
	diff := d - rt.ackMean
	rt.ackMean += diff / 8
	rt.ackDeviation += (diff.Abs() - rt.ackDeviation) / 4
}

// observeAnswer takes in the time until an answer.
func (rt *vmTiming) observeAnswer(d time.Duration) {
	if rt.answerMean == 0 {
		rt.answerMean = d
		return
	}
	rt.answerMean += (d - rt.answerMean) / 8
}

// ackTimeout returns the time within which an acknowledgement is expected.
func (rt *vmTiming) ackTimeout() time.Duration {
	if rt.ackMean == 0 {
		return defaultAckTimeout
	}
	return min(max(3*rt.ackMean+4*rt.ackDeviation, minAckTimeout), maxAckTimeout)
}

// pollInterval returns the time after which an answer is asked for that is
// expected within the given time, if that is not zero.
func (rt *vmTiming) pollInterval(expected time.Duration) time.Duration {
	if expected == 0 {
		expected = rt.answerMean
	}
	if expected == 0 {
		return defaultPollInterval
	}
	return max(2*expected, minPollInterval)
}

// timingFor returns the round timingFor to a VM, in place of the one that is idle for
// the longest time when there is no room.
func (su *FailureDetector) timingFor(now time.Time, vm call.VM) *vmTiming {
	rt := su.timings[vm]
	if rt == nil {
		if len(su.timings) >= su.lim.VMs {
			su.forgetTiming(su.idleTimings.Pop())
		}
		rt = &vmTiming{vm: vm}
		rt.item.Value = rt
		su.timings[vm] = rt
	}
	su.idleTimings.Set(&rt.item, now.Add(timingRetention))
	return rt
}

func (su *FailureDetector) forgetTiming(rt *vmTiming, ok bool) {
	if ok {
		delete(su.timings, rt.vm)
	}
}

func (su *FailureDetector) expire(now time.Time) {
	for {
		rt, ok := su.idleTimings.PopBefore(now)
		if !ok {
			return
		}
		su.forgetTiming(rt, ok)
	}
}
