package expiry_test

import (
	"slices"
	"testing"
	"time"

	"camphortrail/internal/lab/fuzzing"
	"camphortrail/internal/state/expiry"

	"pgregory.net/rapid"
)

func init() {
	fuzzing.SetFlags(0, 0)
}

// TestQueue compares a Queue with a map that is searched for the earliest time.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var qu expiry.Queue[int]
		var items [5]expiry.Item[int]
		want := map[int]int{}
		for range 60 {
			i := rapid.IntRange(0, len(items)-1).Draw(t, "item")
			at := rapid.IntRange(0, 9).Draw(t, "time")
			switch rapid.IntRange(0, 2).Draw(t, "kind") {
			case 0:
				items[i].Value = i
				qu.Set(&items[i], time.Unix(int64(at), 0))
				want[i] = at
			case 1:
				qu.Remove(&items[i])
				delete(want, i)
			case 2:
				var due []int
				for _, v := range want {
					due = append(due, v)
				}
				got, ok := qu.PopBefore(time.Unix(int64(at), 0))
				if wantOK := len(due) > 0 && slices.Min(due) <= at; ok != wantOK {
					t.Fatalf("PopBefore(%d) ok = %v with times %v", at, ok, due)
				}
				if ok && want[got] != slices.Min(due) {
					t.Fatalf("PopBefore took time %d of %v", want[got], due)
				}
				if ok {
					delete(want, got)
				}
			}
			if qu.Len() != len(want) {
				t.Fatalf("Len() = %d, want %d", qu.Len(), len(want))
			}
		}
	})
}
