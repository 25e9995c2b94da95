package membership

import (
	"slices"
	"testing"
	"time"
)

// Guards against departures that are pushed out by one that is reported again and again: an upstream
// repeats it until it is acknowledged, and its start may not be known.
func TestRepeatedDepartureIsOne(t *testing.T) {
	begin := time.Unix(1000, 0)
	var dps []Departure
	first := Departure{Instance: HashInstance("first"), StartTime: begin, At: begin.Add(time.Minute)}
	dps = AddDeparture(dps, first)
	var last Departure
	for n := range 2 * MaxDepartures {
		last = Departure{Instance: HashInstance("again"), At: begin.Add(time.Hour + time.Duration(n)*time.Second)}
		dps = AddDeparture(dps, last)
	}
	if want := []Departure{last, first}; !slices.Equal(dps, want) {
		t.Errorf("departures are %v, want %v", dps, want)
	}
	if merged := mergeDepartures([]Departure{{Instance: last.Instance, At: begin}}, dps); !slices.Equal(merged, dps) {
		t.Errorf("merged departures are %v, want %v", merged, dps)
	}
}
