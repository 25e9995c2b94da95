package measure

import (
	"testing"
	"time"

	"camphortrail/internal/lab/standin"
)

// TestPartitionFigures checks that lookups count by the time of their arrival, separately
// for the first second of the partition, and that keyed issues to all nodes do not count.
func TestPartitionFigures(t *testing.T) {
	begin := time.Unix(0, 0)
	times := newPartitionTimes(begin, 20*time.Second+startupTime)
	if got := times.heal.Sub(times.partition); got != 8*time.Second || times.partition.Sub(begin) != 6*time.Second {
		t.Fatalf("partition after %v for %v, want 6s for 8s", times.partition.Sub(begin), got)
	}
	root := func(stream standin.RootID, class standin.Pattern, after time.Duration, succeeded bool) standin.Root {
		at := times.partition.Add(after)
		return standin.Root{ID: stream*rootsPerStream + standin.RootID(after), Class: class.Class, Arrived: at, Ended: at.Add(time.Millisecond), Succeeded: succeeded}
	}
	lg := &standin.Log{Roots: []standin.Root{
		root(1, lookup, -time.Second, false), root(1, lookup, 100*time.Millisecond, false),
		root(1, lookup, 200*time.Millisecond, true), root(1, lookup, 2*time.Second, true), root(1, lookup, 3*time.Second, true),
		root(1, lookup, 4*time.Second, true), root(1, lookup, 5*time.Second, false), root(1, lookup, 9*time.Second, false),
		root(2, issue, 2*time.Second, true), root(2, issue, 3*time.Second, false), root(3, issue, 2*time.Second, true),
	}}
	fg := partitionFigures(lg, times)
	if fg.ServedRatio != 0.75 || fg.ServedRatioFirstSecond != 0.5 || fg.KeyedDuringPartition != 1 {
		t.Errorf("figures %+v, want 0.75 and 0.5 served, 1 keyed", fg)
	}
}
