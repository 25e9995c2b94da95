package retry_test

import (
	"sort"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"

	"pgregory.net/rapid"
)

// sentTimes holds the times of sends in rising order.
type sentTimes []time.Time

// in returns the number of sends later than begin and up to the time end.
func (st sentTimes) in(begin, end time.Time) float64 {
	upTo := func(end time.Time) int {
		return sort.Search(len(st), func(i int) bool { return st[i].After(end) })
	}
	return float64(upTo(end) - upTo(begin))
}

// checkWindows compares the further sends in windows that end at and around the sends with a count
// of the first ones.
func checkWindows(t *rapid.T, first, further sentTimes, fraction, slack float64) {
	const window = 10 * time.Second
	for _, at := range further {
		for _, after := range []time.Duration{0, time.Millisecond, window / 4, window / 2, 3 * window / 4, window - 1} {
			end := at.Add(after)
			most := max(first.in(end.Add(-window), end), first.in(end.Add(-2*window), end.Add(-window)), first.in(end.Add(-3*window/2), end.Add(-window/2)))
			if got := further.in(end.Add(-window), end); got > fraction*most+slack+1e-9 {
				t.Fatalf("%v further sends in the window to %v, %v first sends count", got, end.Sub(epoch), most)
			}
		}
	}
}

// drawPause draws a time between two events: short ones, pauses of seconds, and one longer than
// all that is remembered.
func drawPause(t *rapid.T) time.Duration {
	switch rapid.IntRange(0, 40).Draw(t, "pause") {
	case 0:
		return time.Duration(rapid.IntRange(0, 12000).Draw(t, "long ms")) * time.Millisecond
	case 1:
		return 31 * time.Second
	}
	return time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond
}

// Window and SharedTotal must keep their bound in every window, also while the number of requests
// falls or the process pauses.
func TestWindowsKeepTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slack := float64(rapid.IntRange(0, 3).Draw(t, "slack"))
		wn, st := retry.NewWindow(20), retry.NewSharedTotal(0.2)
		wn.SetSlack(slack)
		var first, byWindow, byTotal sentTimes
		now := epoch
		for range 100 {
			now = now.Add(drawPause(t))
			rk := retry.Rank{Importance: call.Importance(rapid.IntRange(1, 7).Draw(t, "importance"))}
			arrivals := rapid.IntRange(0, 12).Draw(t, "arrivals")
			for range arrivals {
				wn.FirstSend(now)
				st.Arrive(now, rk, true)
				st.Answered(now, rapid.IntRange(0, 2).Draw(t, "refused") == 0)
				first = append(first, now)
			}
			for range rapid.IntRange(0, 6).Draw(t, "further") {
				if wn.Allow(now) {
					byWindow = append(byWindow, now)
				}
				if st.Allow(now, rk) {
					byTotal = append(byTotal, now)
				}
			}
		}
		checkWindows(t, first, byWindow, 0.2, slack)
		checkWindows(t, first, byTotal, 0.2, 0)
	})
}

// Under steady demand, nearly the whole fraction must be of use, or refusals that could be sent
// again are given up.
func TestWindowAllowsTheFraction(t *testing.T) {
	wn, allowed := retry.NewWindow(20), 0
	for ms := range 40_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		wn.FirstSend(now)
		if ms >= 30_000 && wn.Allow(now) {
			allowed++
		}
	}
	if allowed < 1900 || allowed > 2000 {
		t.Errorf("%d further sends beside 10,000 first ones, want 1,900 to 2,000", allowed)
	}
}

// While upstreams refuse more than the total covers, less important attempts must not take what
// more important ones need, and the trees with most work done come first.
func TestSharedTotalSpendsByRank(t *testing.T) {
	st, now := retry.NewSharedTotal(0.1), epoch
	allowed, asked := map[retry.Rank]int{}, map[retry.Rank]int{}
	ranks := []retry.Rank{{Importance: 7, Progress: 3, Cohort: 9}, {Importance: 7, Progress: 0, Cohort: 200}, {Importance: 5, Progress: 3, Cohort: 250}}
	for ms := range 28_000 {
		now = epoch.Add(time.Duration(ms) * time.Millisecond)
		for _, rk := range ranks {
			st.Arrive(now, rk, true)
			isRefused := ms > 20_000 && ms%4 == 0
			st.Answered(now, isRefused)
			if !isRefused {
				continue
			}
			asked[rk]++
			if st.Allow(now, rk) {
				allowed[rk]++
				st.Answered(now, false)
			}
		}
	}
	share := func(rk retry.Rank) float64 { return float64(allowed[rk]) / float64(asked[rk]) }
	if share(ranks[0]) < 0.9 || share(ranks[1]) > 0.1 || share(ranks[2]) > 0.1 {
		t.Errorf("shares sent again: work done %.2f, none %.2f, less important %.2f; want nearly all of the first and hardly any other",
			share(ranks[0]), share(ranks[1]), share(ranks[2]))
	}
}

// An upstream that refuses everything must not be sent refused attempts again: they would be
// refused as well.
func TestSharedTotalStopsWhenAllIsRefused(t *testing.T) {
	st, rk, allowed := retry.NewSharedTotal(0.15), retry.Rank{Importance: 7}, 0
	for ms := range 12_000 {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		st.Arrive(now, rk, true)
		isRefused := ms > 10_000
		st.Answered(now, isRefused)
		if isRefused && ms > 11_000 && st.Allow(now, rk) {
			allowed++
		}
	}
	if allowed > 0 {
		t.Errorf("%d attempts were sent again to an upstream that refuses all", allowed)
	}
}
