package process

import (
	"time"

	"camphortrail/internal/ops/events"
)

// Bounds of the growth of a heap, in percent of what lives on it.
const (
	// MinGrowth is the default of the runtime.
	MinGrowth = 100
	// busyProcessorTime is the processor time in a second from which the process counts as
	// busy: well under what the smallest machines give.
	busyProcessorTime = 100 * time.Millisecond
	// calmStepsToHalve is the number of calm seconds after which the growth is halved.
	calmStepsToHalve = 10
)

// HeapGrowth decides how far a heap grows over what lives on it before it is collected. The
// load pattern is a busy process with little on its heap: collections come several times
// a second, each holds up a process with one processor, and their work does not depend on
// what was allocated. A process that is calm keeps its heap small.
type HeapGrowth struct {
	limit, percent, calmSteps int
}

// NewHeapGrowth returns the least growth, which rises up to most, in percent.
func NewHeapGrowth(most int) *HeapGrowth { return &HeapGrowth{limit: max(most, MinGrowth), percent: MinGrowth} }

// Step takes in what the process took in the last second, and returns the growth, in
// percent. It doubles after a busy second with a collection, and is halved after some
// others.
func (gr *HeapGrowth) Step(ps events.ProcessUsage) int {
	if ps.Collections > 0 && ps.ProcessorMS >= busyProcessorTime.Milliseconds() {
		gr.calmSteps = 0
		gr.percent = min(2*gr.percent, gr.limit)
		return gr.percent
	}
	if gr.calmSteps++; gr.calmSteps >= calmStepsToHalve {
		gr.calmSteps = 0
		gr.percent = max(gr.percent/2, MinGrowth)
	}
	return gr.percent
}
