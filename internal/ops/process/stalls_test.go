package process

import (
	"testing"
	"time"
)

// A process that was suspended when it got a signal acts on it late, and must not take that for the time
// of the signal: others count from then.
func TestStalls(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	for _, tt := range []struct {
		name          string
		beats         []int
		now, earliest int
	}{
		{"no beat yet", nil, 50, 50},
		{"regular beats", []int{0, 100, 200}, 250, 250},
		{"a beat that is a little late", []int{0, 100, 290}, 295, 295},
		{"a stall that no beat has noticed", []int{0, 100}, 900, 100},
		{"a stall that a beat has just noticed", []int{0, 100, 900}, 902, 100},
		{"long after a stall", []int{0, 100, 900, 1000}, 1010, 1010},
		{"the second of two stalls", []int{0, 900, 1000, 1900}, 1901, 1000},
	} {
		sl := new(Stalls)
		for _, beat := range tt.beats {
			sl.Beat(at(beat))
		}
		if got := sl.Earliest(at(tt.now)); !got.Equal(at(tt.earliest)) {
			t.Errorf("%s: %v after the start, want %d ms", tt.name, got.Sub(start), tt.earliest)
		}
	}
}
