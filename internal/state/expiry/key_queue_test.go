package expiry

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestKeyQueue compares a KeyQueue with a sorted slice.
func TestKeyQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var kq KeyQueue[int]
		var want []time.Duration
		times := make(map[int]time.Duration)
		t.Repeat(map[string]func(*rapid.T){
			"push": func(t *rapid.T) {
				at, key := time.Duration(rapid.IntRange(0, 20).Draw(t, "at")), len(times)
				times[key] = at
				kq.Push(key, at)
				want = append(want, at)
				slices.Sort(want)
			},
			"pop": func(t *rapid.T) {
				key, at, ok := kq.First()
				if ok != (len(want) > 0) || ok && (at != want[0] || times[key] != at) {
					t.Fatalf("first %d at %v, %t, want %v", key, at, ok, want)
				}
				if ok {
					want = want[1:]
				}
				kq.Pop()
			},
			"": func(t *rapid.T) {
				if kq.Len() != len(want) {
					t.Fatalf("%d keys, want %d", kq.Len(), len(want))
				}
			},
		})
	})
}
