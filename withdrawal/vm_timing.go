package withdrawal

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
)

// vmTiming holds the measured times of one VM, over all connections to it.
type vmTiming struct {
	vm call.VM
	// ackMean and ackDeviation are the moving averages of the time from sending to the
	// acknowledgement and of its absolute deviation. Zero means not measured.
	ackMean      time.Duration
	ackDeviation time.Duration
	// answerMean is the moving average of the time from sending to the answer.
	answerMean time.Duration
	item       expiry.Item[*vmTiming]
}

// observeAck adds a measured time from sending to acknowledgement to the averages, with a
// weight of 1/8 in the mean and 1/4 in the deviation, as RFC 6298 does for round-trip times.
func (vt *vmTiming) observeAck(d time.Duration) {
	if vt.ackMean == 0 {
		vt.ackMean = d
		vt.ackDeviation = d / 2
		return
	}
	diff := d - vt.ackMean
	vt.ackMean += diff / 8
	vt.ackDeviation += (diff.Abs() - vt.ackDeviation) / 4
}

// observeAnswer adds a measured time from sending to answer to the average, with a weight
// of 1/8.
func (vt *vmTiming) observeAnswer(d time.Duration) {
	if vt.answerMean == 0 {
		vt.answerMean = d
		return
	}
	vt.answerMean += (d - vt.answerMean) / 8
}

// baseAckTimeout returns the time within which the VM is expected to acknowledge an attempt:
// three times the mean plus four times the deviation, within the bounds.
func (vt *vmTiming) baseAckTimeout() time.Duration {
	if vt.ackMean == 0 {
		return defaultAckTimeout
	}
	return min(max(3*vt.ackMean+4*vt.ackDeviation, minAckTimeout), maxAckTimeout)
}

// firstPollInterval returns the time after which to query the state of an attempt whose answer
// usually takes the expected time: twice that time, but at least minPollInterval. An expected
// time of zero stands for the moving average of the VM.
func (vt *vmTiming) firstPollInterval(expected time.Duration) time.Duration {
	if expected == 0 {
		expected = vt.answerMean
	}
	if expected == 0 {
		return defaultPollInterval
	}
	return max(2*expected, minPollInterval)
}

// timingFor returns the timing of a VM, which is added if it is new. The timing that has
// been idle longest is removed if the limit is reached.
func (fd *FailureDetector) timingFor(now time.Time, vm call.VM) *vmTiming {
	vt := fd.timings[vm]
	if vt == nil {
		if len(fd.timings) >= fd.lim.VMs {
			fd.forgetTiming(fd.idleTimings.Pop())
		}
		vt = &vmTiming{vm: vm}
		vt.item.Value = vt
		fd.timings[vm] = vt
	}
	fd.idleTimings.Set(&vt.item, now.Add(timingRetention))
	return vt
}

// forgetTiming removes a timing that was popped from idleTimings, if ok is true.
func (fd *FailureDetector) forgetTiming(vt *vmTiming, ok bool) {
	if ok {
		delete(fd.timings, vt.vm)
	}
}

// expire removes the timings of VMs that have been idle for timingRetention.
func (fd *FailureDetector) expire(now time.Time) {
	for {
		vt, ok := fd.idleTimings.PopBefore(now)
		if !ok {
			return
		}
		fd.forgetTiming(vt, ok)
	}
}
