package withdrawal

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"camphortrail/call"
)

// TestEndedAttemptsAreNotScanned checks that ended attempts are few heap objects. A registry
// remembers the attempts of two minutes; with one heap object each, the garbage collector
// took a third of the processor time of a busy node to scan them.
func TestEndedAttemptsAreNotScanned(t *testing.T) {
	const attempts = 100_000
	// maxObjects is low enough for the records not to matter beside the rest of the heap.
	const maxObjects = attempts / 100
	begin := time.Unix(1000, 0)
	rg := NewRegistry[*int](7, begin, DefaultLimits())
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for n := range attempts {
		now := begin.Add(time.Duration(n) * 250 * time.Microsecond)
		var id call.AttemptID
		binary.BigEndian.PutUint64(id[:], uint64(n))
		if rs := rg.Step(now, Arrive[*int]{Attempt: id, Stamp: rg.Stamp(now)}); rs.Decision != Accepted {
			t.Fatalf("attempt %d: %+v", n, rs)
		}
		rg.Step(now, Start[*int]{Attempt: id})
		rg.Step(now, Abort[*int]{Attempt: id})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if rg.Len() != attempts {
		t.Fatalf("%d attempts are held, want %d", rg.Len(), attempts)
	}
	if objects := int(after.HeapObjects) - int(before.HeapObjects); objects > maxObjects {
		t.Errorf("%d objects for %d attempts, want at most %d", objects, attempts, maxObjects)
	}
	runtime.KeepAlive(rg)
}
