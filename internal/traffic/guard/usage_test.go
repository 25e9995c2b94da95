package guard

import (
	"math"
	"slices"
	"strconv"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
)

// Means are weighted by time, and not by the number of changes.
func TestUsage(t *testing.T) {
	var us usage
	now := time.Unix(0, 0)
	us.update(now, 10, 0, 10)
	us.update(now.Add(900*time.Millisecond), 0, 0, 10)
	us.update(now.Add(901*time.Millisecond), 1, 4, 20)
	us.count("look-up", &attempt.Answer{Outcome: call.Done, Status: 200, UpstreamTime: time.Second})
	us.count("look-up", &attempt.Answer{Outcome: call.Done, Status: 500, UpstreamTime: time.Second})
	us.count("look-up", attempt.Refusal("overload", 0))
	got := us.take(now.Add(time.Second))
	for _, tt := range []struct {
		name      string
		got, want float64
	}{
		{"running", got.MeanRunning, 9.099},
		{"waiting", got.MeanWaiting, 0.396},
		{"slots", got.MeanSlots, 10.99},
		{"started", float64(got.Started), 2},
		{"rejected", float64(got.Rejected), 1},
		{"spoilt", float64(got.FailedMS), 1000},
	} {
		if math.Abs(tt.got-tt.want) > 1e-9 {
			t.Errorf("%s %v, want %v", tt.name, tt.got, tt.want)
		}
	}
	if next := us.take(now.Add(2 * time.Second)); next.Started != 0 || math.Abs(next.MeanRunning-1) > 1e-9 {
		t.Errorf("second summary %+v", next)
	}
}

// Attempts are summed by class, up to maxListedClasses classes, without allocations.
func TestUsageByClass(t *testing.T) {
	const classes = maxListedClasses + 3
	var us usage
	now := time.Unix(0, 0)
	us.update(now, 0, 0, 10)
	for i := range classes {
		class := call.Class(strconv.Itoa(i))
		us.count(class, attempt.Refusal("overload", 0))
		us.count(class, &attempt.Answer{Outcome: call.Done, Status: 200, UpstreamTime: time.Millisecond})
		us.count(class, &attempt.Answer{Outcome: call.Done, Status: 500, UpstreamTime: 3 * time.Millisecond})
	}
	var want []events.KindUsage
	for i := range maxListedClasses {
		want = append(want, events.KindUsage{Class: strconv.Itoa(i), Started: 2, MeanSlotUS: 2000})
	}
	want = append(want, events.KindUsage{Started: 2 * (classes - maxListedClasses), MeanSlotUS: 2000})
	if got := us.take(now.Add(time.Second)).ByKind; !slices.Equal(got, want) {
		t.Errorf("by kind %+v, want %+v", got, want)
	}
	if next := us.take(now.Add(2 * time.Second)); next.ByKind != nil {
		t.Errorf("second summary %+v", next.ByKind)
	}
	allocs := testing.AllocsPerRun(100, func() {
		us.count("look-up", &attempt.Answer{Outcome: call.Done, Status: 200})
	})
	if allocs > 0 {
		t.Errorf("%v allocations for an attempt", allocs)
	}
}
