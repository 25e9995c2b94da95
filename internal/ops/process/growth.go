package process

import (
	"time"

	"camphortrail/internal/ops/events"
)

// Limits of the heap growth, which is in percent of the live heap.
const (
	// MinGrowth is the default of the Go runtime, in percent.
	MinGrowth = 100
	// busyProcessorTime is the processor time in a second from which the process counts as
	// busy. It is well below what the smallest VMs provide.
	busyProcessorTime = 100 * time.Millisecond
	// calmStepsToHalve is the number of calm seconds after which the growth is halved.
	calmStepsToHalve = 10
)

// HeapGrowth controls how far the heap may grow over its live part before it is collected.
// With the default growth, a busy process with a small live heap collects several times a
// second. Each collection delays the requests of a process with one processor, and its cost
// does not depend on what was allocated since the last one. A larger growth makes collections
// rare; a calm process has the default growth, so that its heap stays small.
type HeapGrowth struct {
	// limit is the largest growth and percent the current one, both in percent. calmSteps is
	// the number of seconds since the growth last changed or the process was last busy.
	limit, percent, calmSteps int
}

// NewHeapGrowth returns a controller that starts at MinGrowth and rises up to limit, in
// percent.
func NewHeapGrowth(limit int) *HeapGrowth {
	return &HeapGrowth{limit: max(limit, MinGrowth), percent: MinGrowth}
}

// Step takes the usage of the last second and returns the new growth, in percent. The growth
// doubles after a busy second with a collection, and is halved after each calmStepsToHalve
// other seconds in a row.
func (hg *HeapGrowth) Step(ps events.ProcessUsage) int {
	if ps.Collections > 0 && ps.ProcessorMS >= busyProcessorTime.Milliseconds() {
		hg.calmSteps = 0
		hg.percent = min(2*hg.percent, hg.limit)
		return hg.percent
	}
	if hg.calmSteps++; hg.calmSteps >= calmStepsToHalve {
		hg.calmSteps = 0
		hg.percent = max(hg.percent/2, MinGrowth)
	}
	return hg.percent
}
