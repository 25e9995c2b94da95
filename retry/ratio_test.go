package retry_test

import (
	"testing"
	"time"

	"camphortrail/retry"

	"pgregory.net/rapid"
)

func TestRatioMinRetriesAndPercent(t *testing.T) {
	for _, tc := range []struct {
		per       retry.Percent
		successes int
		want      int
	}{
		{0, 1000, 0},
		{10, 0, 3},
		{10, 100, 13},
		{50, 100, 53},
	} {
		rt := retry.NewRatio(tc.per)
		for range tc.successes {
			rt.Success(epoch)
		}
		got := 0
		for rt.Allow(epoch) {
			got++
		}
		if got != tc.want {
			t.Errorf("%d %% of %d successes: %d retries, want %d", tc.per, tc.successes, got, tc.want)
		}
	}
}

func TestRatioDecays(t *testing.T) {
	rt := retry.NewRatio(10)
	for range 1000 {
		rt.Success(epoch)
	}
	later := epoch.Add(5 * time.Minute)
	got := 0
	for rt.Allow(later) {
		got++
	}
	if got != 3 {
		t.Errorf("%d retries on successes of five minutes ago, want the minimum of 3", got)
	}
}

// TestRatioBound compares the retries of a run with all its successes.
func TestRatioBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		per := rapid.IntRange(1, 50).Draw(t, "percent")
		rt := retry.NewRatio(retry.Percent(per))
		now, successes, retries := epoch, 0, 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 2).Draw(t, "kind") > 0 {
				rt.Success(now)
				successes++
			} else if rt.Allow(now) {
				retries++
			}
		}
		// The retries allowed without successes come back as past retries lose weight.
		floor := 3 * (1 + now.Sub(epoch).Seconds()/10)
		if most := floor + float64(successes*per)/100; float64(retries) > most {
			t.Fatalf("%d retries for %d successes at %d %%, at most %.1f", retries, successes, per, most)
		}
	})
}

func TestSteadyStateDoesNotAllocate(t *testing.T) {
	rt := retry.NewRatio(10)
	now := epoch
	if n := testing.AllocsPerRun(100, func() {
		now = now.Add(time.Millisecond)
		rt.Success(now)
		rt.Allow(now)
	}); n != 0 {
		t.Errorf("%v allocations for each call", n)
	}
}
