package process

import (
	"testing"

	"camphortrail/internal/ops/events"
)

// A constant growth of 400 % makes the heap of a calm process five times as large as its live
// part. The growth must rise only under load and fall again after it.
func TestHeapGrowthFollowsLoad(t *testing.T) {
	hg := NewHeapGrowth(400)
	steps := func(n int, ps events.ProcessUsage) (percent int) {
		for range n {
			percent = hg.Step(ps)
		}
		return percent
	}
	busy, calm := events.ProcessUsage{ProcessorMS: 300, Collections: 2}, events.ProcessUsage{ProcessorMS: 40, Collections: 1}
	for _, tt := range []struct {
		name    string
		seconds int
		second  events.ProcessUsage
		want    int
	}{
		{"start", 1, calm, 100},
		{"a busy second", 1, busy, 200},
		{"a busy time", 20, busy, 400},
		{"a pause", calmStepsToHalve - 1, calm, 400},
		{"busy again", 1, busy, 400},
		{"a calm time", calmStepsToHalve, calm, 200},
		{"a long calm time", 5 * calmStepsToHalve, calm, 100},
	} {
		if got := steps(tt.seconds, tt.second); got != tt.want {
			t.Errorf("%s: growth %d %%, want %d", tt.name, got, tt.want)
		}
	}
}
