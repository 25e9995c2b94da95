package withdrawal_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/withdrawal"
)

// BenchmarkRegistry records one attempt per iteration, from its arrival to its answer.
// Earlier attempts expire meanwhile.
func BenchmarkRegistry(b *testing.B) {
	before := heap()
	rg := withdrawal.NewRegistry[[]byte](1, epoch, withdrawal.DefaultLimits())
	now := epoch
	answer := make([]byte, 100)
	b.ReportAllocs()
	for n := range uint64(b.N) {
		now = now.Add(time.Millisecond)
		var at call.AttemptID
		binary.BigEndian.PutUint64(at[:], n)
		rg.Step(now, withdrawal.Arrive[[]byte]{Attempt: at, Stamp: rg.Stamp(now)})
		rg.Step(now, withdrawal.Start[[]byte]{Attempt: at})
		rg.Step(now, withdrawal.Finish[[]byte]{Attempt: at, Answer: answer, Bytes: len(answer)})
	}
	b.ReportMetric(float64(heap()-before)/float64(rg.Len()), "heap-B/attempt")
}

// BenchmarkFailureDetector watches one attempt per iteration, from sending to its answer.
func BenchmarkFailureDetector(b *testing.B) {
	fd := withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits())
	now := epoch
	b.ReportAllocs()
	for n := range uint64(b.N) {
		now = now.Add(time.Millisecond)
		var at call.AttemptID
		binary.BigEndian.PutUint64(at[:], n)
		fd.Step(now, withdrawal.Sent{Conn: 1, Attempt: at, VM: "v", Deadline: now.Add(time.Second)})
		fd.Step(now, withdrawal.Acked{Attempt: at})
		fd.Step(now, withdrawal.Settled{Attempt: at})
	}
}

// heap returns the bytes in use on the heap.
func heap() uint64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
