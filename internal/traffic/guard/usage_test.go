package guard

import (
	"math"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
)

// Means are over time, and not over changes.
func TestUsage(t *testing.T) {
	var us usage
	now := time.Unix(0, 0)
	us.set(now, 10, 0, 10)
	us.set(now.Add(900*time.Millisecond), 0, 0, 10)
	us.set(now.Add(901*time.Millisecond), 1, 4, 20)
	us.count(&attempt.Answer{Outcome: call.Done, Status: 200, Work: time.Second})
	us.count(&attempt.Answer{Outcome: call.Done, Status: 500, Work: time.Second})
	us.count(attempt.Refusal("overload", 0))
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
		{"spoilt", float64(got.SpoiltMS), 1000},
	} {
		if math.Abs(tt.got-tt.want) > 1e-9 {
			t.Errorf("%s %v, want %v", tt.name, tt.got, tt.want)
		}
	}
	if next := us.take(now.Add(2 * time.Second)); next.Started != 0 || math.Abs(next.MeanRunning-1) > 1e-9 {
		t.Errorf("second summary %+v", next)
	}
}
