package allocation

import (
	"reflect"
	"testing"
	"time"
)

// The total holds each rank and class once, and leaves out demands that have expired.
func TestAggregatorTotal(t *testing.T) {
	now, ag := time.Unix(0, 0), NewAggregator()
	ag.SetDemand(now, "expired", []RankDemand{{Rank: 1, Successes: 100}})
	now = now.Add(demandLifetime / 2)
	ag.SetDemand(now, "a", []RankDemand{
		{Rank: 4, Calls: []CallRate{{"read", 2}, {"index", 1}}, Successes: 1, FirstSends: 3},
		{Rank: 1, Calls: []CallRate{{"read", 8}}, Successes: 4, FirstSends: 4},
	})
	now = now.Add(demandLifetime / 2)
	ag.SetDemand(now, "b", []RankDemand{{Rank: 4, Calls: []CallRate{{"index", 5}}, Successes: 2, FirstSends: 2}})
	want := []RankDemand{
		{Rank: 1, Calls: []CallRate{{"read", 8}}, Successes: 4, FirstSends: 4},
		{Rank: 4, Calls: []CallRate{{"index", 6}, {"read", 2}}, Successes: 3, FirstSends: 5},
	}
	for range 2 {
		// A total must not change the demands that it sums up.
		if got := ag.Total(now); !reflect.DeepEqual(got, want) {
			t.Errorf("total %v, want %v", got, want)
		}
	}
	if others := ag.Others(now, "a"); others != 1 {
		t.Errorf("%d other entries, want 1", others)
	}
}
