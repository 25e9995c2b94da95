package cost

import (
	"time"

	"camphortrail/internal/traffic/decay"
)

const (
	// speedHalfLife is the time in which the weight of past requests in the speed halves. An
	// upstream may be slow for half a second.
	speedHalfLife = 120 * time.Millisecond
	// speedPrior is the weight, in requests, of the assumption that the speed is the usual one.
	speedPrior = 4
)

// Speed estimates how slow an upstream is at present, by what requests took and what was expected.
type Speed struct {
	took, expected, count float64
	clock                 decay.Clock
	updated               time.Time
}

// Add records what a request took of an expected time. Without an expectation it has no effect.
func (sp *Speed) Add(now time.Time, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	sp.decay(now)
	sp.took += float64(took)
	sp.expected += float64(expected)
	sp.count++
	sp.updated = now
}

// Slowness returns the present factor on the usual times, and its age: the time since the last
// request that it is based on. It is 1 if nothing is known, or nothing recent.
func (sp *Speed) Slowness(now time.Time) (factor float64, age time.Duration) {
	if sp.count == 0 {
		return 1, 0
	}
	sp.decay(now)
	// After seconds without requests the sums are too small for the division.
	const minCount = 1e-6
	if sp.count < minCount {
		return 1, 0
	}
	// The prior has the mean expectation of the recent requests.
	prior := speedPrior * sp.expected / sp.count
	return (sp.took + prior) / max(sp.expected+prior, 1), now.Sub(sp.updated)
}

func (sp *Speed) decay(now time.Time) {
	factor := sp.clock.Factor(now, speedHalfLife)
	sp.took *= factor
	sp.expected *= factor
	sp.count *= factor
}

// Work holds the requests that run at an upstream.
type Work struct {
	running []runningRequest
	free    []int
}

// runningRequest is a request that began at a time, or an unused entry if isRunning is false.
type runningRequest struct {
	began     time.Time
	expected  Estimate
	isRunning bool
}

// Begin adds a request that begins to run, and returns its handle for End.
func (wk *Work) Begin(now time.Time, expected Estimate) (handle int) {
	rr := runningRequest{began: now, expected: expected, isRunning: true}
	if last := len(wk.free) - 1; last >= 0 {
		handle, wk.free = wk.free[last], wk.free[:last]
		wk.running[handle] = rr
		return handle
	}
	wk.running = append(wk.running, rr)
	return len(wk.running) - 1
}

// End removes a request. The handle may be reused.
func (wk *Work) End(handle int) {
	wk.running[handle] = runningRequest{}
	wk.free = append(wk.free, handle)
}

// Remaining returns the expected time that all running requests together still take. One that has
// taken longer than the mean is expected to last up to the tail, and beyond that as long as the mean
// again.
func (wk *Work) Remaining(now time.Time) (sum time.Duration) {
	for i := range wk.running {
		rr := &wk.running[i]
		if !rr.isRunning {
			continue
		}
		switch elapsed := now.Sub(rr.began); {
		case elapsed < rr.expected.Mean:
			sum += rr.expected.Mean - elapsed
		case elapsed < rr.expected.Tail:
			sum += rr.expected.Tail - elapsed
		default:
			sum += rr.expected.Mean
		}
	}
	return sum
}
