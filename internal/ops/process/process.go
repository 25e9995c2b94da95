// Package process measures the resources that the process uses: processor time, the time that
// goroutines wait to run, and the work of the garbage collector. It also controls the growth
// of the heap.
package process

import (
	"math"
	"runtime/metrics"
	"syscall"
	"time"

	"camphortrail/internal/ops/events"
)

// Metrics of package runtime/metrics.
const (
	latenciesMetric  = "/sched/latencies:seconds"
	collectorMetric  = "/cpu/classes/gc/total:cpu-seconds"
	cyclesMetric     = "/gc/cycles/total:gc-cycles"
	heapMetric       = "/memory/classes/heap/objects:bytes"
	goroutinesMetric = "/sched/goroutines:goroutines"
)

// highQuantile is the quantile of the reported long wait of goroutines to run.
const highQuantile = 0.99

// Meter measures the resource usage between two calls of Take. It is not safe for concurrent
// use.
type Meter struct {
	samples []metrics.Sample
	// The values of the counters at the last call of Take.
	lastProcessorTime    time.Duration
	lastWaits            []uint64
	lastCollectorSeconds float64
	lastCycles           uint64
}

// NewMeter returns a meter whose first measurement begins now.
func NewMeter() *Meter {
	me := &Meter{}
	for _, name := range []string{latenciesMetric, collectorMetric, cyclesMetric, heapMetric, goroutinesMetric} {
		me.samples = append(me.samples, metrics.Sample{Name: name})
	}
	me.Take()
	return me
}

// Take returns the resource usage since the last call. The time of the garbage collector
// includes only cycles that have ended.
func (me *Meter) Take() events.ProcessUsage {
	metrics.Read(me.samples)
	used := ProcessorTime()
	ps := events.ProcessUsage{ProcessorMS: (used - me.lastProcessorTime).Milliseconds()}
	me.lastProcessorTime = used
	for i := range me.samples {
		switch sm := &me.samples[i]; sm.Name {
		case latenciesMetric:
			ps.RunWaitMeanUS, ps.RunWaitP99US = me.runWaits(sm.Value.Float64Histogram())
		case collectorMetric:
			ps.CollectorMS = int64((sm.Value.Float64() - me.lastCollectorSeconds) * 1e3)
			me.lastCollectorSeconds = sm.Value.Float64()
		case cyclesMetric:
			ps.Collections = sm.Value.Uint64() - me.lastCycles
			me.lastCycles = sm.Value.Uint64()
		case heapMetric:
			ps.HeapKB = sm.Value.Uint64() >> 10
		case goroutinesMetric:
			ps.Goroutines = sm.Value.Uint64()
		}
	}
	return ps
}

// runWaits returns the mean and the high quantile of the times that goroutines waited to run
// since the last call, in microseconds. Both are 0 if no goroutine waited.
func (me *Meter) runWaits(hg *metrics.Float64Histogram) (mean, high int64) {
	last := me.lastWaits
	if len(last) != len(hg.Counts) {
		last = make([]uint64, len(hg.Counts))
	}
	now := make([]uint64, len(hg.Counts))
	copy(now, hg.Counts)
	me.lastWaits = now
	count, sum := 0.0, 0.0
	for i, all := range now {
		added := float64(all - last[i])
		count += added
		sum += added * bucketMiddle(hg.Buckets[i], hg.Buckets[i+1])
	}
	if count == 0 {
		return 0, 0
	}
	below := 0.0
	for i, all := range now {
		if below += float64(all - last[i]); below >= highQuantile*count {
			return microseconds(sum / count), microseconds(bucketMiddle(hg.Buckets[i], hg.Buckets[i+1]))
		}
	}
	return microseconds(sum / count), 0
}

// bucketMiddle returns the middle of a histogram bucket, or its finite bound if the other one
// is infinite.
func bucketMiddle(from, to float64) float64 {
	switch {
	case math.IsInf(from, -1):
		return max(to, 0)
	case math.IsInf(to, 1):
		return from
	}
	return (from + to) / 2
}

// microseconds converts seconds to microseconds.
func microseconds(seconds float64) int64 { return int64(seconds * 1e6) }

// ProcessorTime returns the processor time, user and system, that the process has used.
func ProcessorTime() time.Duration {
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		return 0 // fails only for invalid arguments
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano())
}
