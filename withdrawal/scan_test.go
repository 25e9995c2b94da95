package withdrawal

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"camphortrail/call"
)

// Each attempt of two minutes is an object for the collector, which takes a third of
// the processor of a busy node.
func TestEndedAttemptsAreScanned(t *testing.T) {
	const attempts = 100_000
	// For a heap of other data to matter, the records are to be few objects.
	const most = attempts / 100
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
	if objects := int(after.HeapObjects) - int(before.HeapObjects); objects > most {
		t.Errorf("%d objects for %d attempts, want at most %d", objects, attempts, most)
	}
	runtime.KeepAlive(rg)
}
