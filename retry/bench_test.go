package retry_test

import (
	"encoding/binary"
	"runtime"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// BenchmarkLedger takes one inbound attempt with two calls, one of them retried, from
// opening to closing. Earlier accounts expire meanwhile.
func BenchmarkLedger(b *testing.B) {
	before := heap()
	lg := retry.New(retry.DefaultLimits())
	now := epoch
	b.ReportAllocs()
	for n := range uint64(b.N) {
		now = now.Add(time.Millisecond)
		var at, down call.AttemptID
		binary.BigEndian.PutUint64(at[:], n)
		binary.BigEndian.PutUint64(down[8:], n)
		ac := retry.AttemptAccount(at)
		lg.Step(now, retry.OpenAttempt{Attempt: at, Budget: 3, Deadline: now.Add(10 * time.Second)})
		lg.Step(now, retry.Call{Account: ac, Digest: 1})
		lg.Step(now, retry.Send{Account: ac, Attempt: down})
		lg.Step(now, retry.Return{Account: ac, Attempt: down, Unused: 2})
		lg.Step(now, retry.Retry{Account: ac})
		lg.Step(now, retry.Call{Account: ac, Digest: 2})
		lg.Step(now, retry.Close{Account: ac})
	}
	b.ReportMetric(float64(heap()-before)/float64(lg.Len()), "heap-B/account")
}

// heap returns the number of bytes in use on the heap.
func heap() uint64 {
	var ms runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}

// BenchmarkSharedTotal takes one attempt that arrives and is refused once, at 1,000 attempts in a
// second.
func BenchmarkSharedTotal(b *testing.B) {
	st, now := retry.NewSharedTotal(0.15), epoch
	b.ReportAllocs()
	for n := range b.N {
		now = now.Add(time.Millisecond)
		rk := retry.Rank{Importance: call.Importance(n%7 + 1), Cohort: call.Cohort(n)}
		st.Arrive(now, rk, true)
		st.Answered(now, true)
		st.Allow(now, rk)
		st.Answered(now, false)
	}
}
