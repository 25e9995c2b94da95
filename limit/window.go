package limit

import "time"

const (
	// judgedSamples is the number of calls that a decrease is based on.
	judgedSamples = 16
	// trialSamples is the number of calls by which a decrease is judged.
	trialSamples = 32
	// calmSamples is the number of calls by which the limit rises without
	// waiting for maxCalmWindow.
	calmSamples = 8
	// maxCalmWindow is the longest time until a look at the recent samples.
	maxCalmWindow = 100 * time.Millisecond
	// batchSamples is the number of calls whose mean is a candidate for the
	// minimum.
	batchSamples = 64
	// maxTrial bounds the estimated time of a trial. A longer one loses more
	// throughput than a lower limit is worth.
	maxTrial = time.Second
	// maxWindow is the longest time over which samples are collected.
	maxWindow = 500 * time.Millisecond
)

// window collects the samples since the last adjustment.
type window struct {
	from  time.Time
	sum   time.Duration
	count int
	peak  int
}

func (wn *window) add(latency time.Duration, running int) {
	wn.sum += latency
	wn.count++
	wn.peak = max(wn.peak, running)
}

// merge adds the samples of a later window.
func (wn *window) merge(later window) {
	wn.sum += later.sum
	wn.count += later.count
	wn.peak = max(wn.peak, later.peak)
}

func (wn *window) mean() time.Duration {
	if wn.count == 0 {
		return 0
	}
	return wn.sum / time.Duration(wn.count)
}

func (wn *window) restart(now time.Time) {
	*wn = window{from: now}
}

// minimum keeps the lowest mean of a batch of samples over the last one to
// two halves of its span.
type minimum struct {
	span       time.Duration
	from       time.Time
	last, this time.Duration
	sum        time.Duration
	count      int
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
	if mn.this == 0 || mean < mn.this {
		mn.this = mean
	}
}

func (mn *minimum) rotate(now time.Time) {
	if now.Sub(mn.from) < mn.span/2 {
		return
	}
	mn.last, mn.this, mn.from = mn.this, 0, now
}

func (mn *minimum) value() time.Duration {
	if mn.this == 0 || (mn.last != 0 && mn.last < mn.this) {
		return mn.last
	}
	return mn.this
}
