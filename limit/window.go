package limit

import "time"

const (
	// decreaseSamples is the number of calls on which a decrease is based.
	decreaseSamples = 16
	// trialSamples is the number of calls by which a trial is evaluated.
	trialSamples = 32
	// checkSamples is the number of recent calls after which the latency is checked
	// without waiting for maxCheckInterval.
	checkSamples = 8
	// maxCheckInterval is the longest time until recent calls are checked.
	maxCheckInterval = 100 * time.Millisecond
	// batchSamples is the number of calls whose mean is a candidate for the minimum.
	batchSamples = 64
	// maxTrialTime bounds the estimated duration of a trial. A longer one would lose more
	// throughput than the lower limit is worth.
	maxTrialTime = time.Second
	// maxWindowSpan is the longest time over which samples are collected.
	maxWindowSpan = 500 * time.Millisecond
)

// window sums up the calls that ended since start.
type window struct {
	start time.Time
	sum   time.Duration
	count int
	// peakRunning is the largest number of calls that ran at once.
	peakRunning int
}

func (wn *window) add(latency time.Duration, running int) {
	wn.sum += latency
	wn.count++
	wn.peakRunning = max(wn.peakRunning, running)
}

// merge adds the samples of a later window.
func (wn *window) merge(later window) {
	wn.sum += later.sum
	wn.count += later.count
	wn.peakRunning = max(wn.peakRunning, later.peakRunning)
}

func (wn *window) mean() time.Duration {
	if wn.count == 0 {
		return 0
	}
	return wn.sum / time.Duration(wn.count)
}

func (wn *window) reset(now time.Time) {
	*wn = window{start: now}
}

// minimum tracks the lowest mean of a batch of samples. It covers at least the last half
// of its span and at most all of it: current is the minimum of the running half, and
// previous that of the half before.
type minimum struct {
	span              time.Duration
	start             time.Time
	previous, current time.Duration
	// sum and count describe the batch that is being collected.
	sum   time.Duration
	count int
}

func (mn *minimum) add(now time.Time, latency time.Duration) {
	mn.sum += max(latency, time.Nanosecond)
	mn.count++
	if mn.count < batchSamples {
		return
	}
	mn.rotate(now)
	mean := mn.sum / time.Duration(mn.count)
	mn.sum, mn.count = 0, 0
	if mn.current == 0 || mean < mn.current {
		mn.current = mean
	}
}

func (mn *minimum) rotate(now time.Time) {
	if now.Sub(mn.start) < mn.span/2 {
		return
	}
	mn.previous, mn.current, mn.start = mn.current, 0, now
}

func (mn *minimum) value() time.Duration {
	if mn.current == 0 || (mn.previous != 0 && mn.previous < mn.current) {
		return mn.previous
	}
	return mn.current
}
