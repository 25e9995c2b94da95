package claim_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/claim"
)

// BenchmarkTable claims and completes one key per iteration.
func BenchmarkTable(b *testing.B) {
	lim := claim.DefaultLimits()
	lim.KeysPerTenant = lim.Keys
	tb := claim.New(lim)
	now := epoch
	keys := make([]claim.Key, b.N)
	for n := range keys {
		keys[n] = claim.Key(fmt.Sprintf("key-%020d", n))
	}
	answer := make([]byte, 100)
	b.ReportAllocs()
	b.ResetTimer()
	for _, key := range keys {
		now = now.Add(20 * time.Millisecond)
		res := tb.Step(now, claim.Claim{Tenant: "t", Key: key, Attempt: call.AttemptID{1}, Digest: "0123456789abcdef", Retention: time.Minute})
		tb.Step(now, claim.Complete{Tenant: "t", Key: key, Attempt: call.AttemptID{1}, Epoch: res.Epoch, Answer: answer})
	}
	b.ReportMetric(float64(tb.Len()), "keys")
}

// BenchmarkSnapshot encodes and restores a table of 20,000 keys, and reports
// the heap and snapshot bytes per key.
func BenchmarkSnapshot(b *testing.B) {
	const keys = 20_000
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	tb := claim.New(claim.DefaultLimits())
	for n := range keys {
		tb.Step(epoch, claim.Claim{Tenant: "t", Key: claim.Key(fmt.Sprintf("key-%020d", n)), Digest: "0123456789abcdef"})
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	var data []byte
	for b.Loop() {
		data = tb.Snapshot()
		if _, err := claim.Restore(data, claim.DefaultLimits()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/keys, "heap-B/key")
	b.ReportMetric(float64(len(data))/keys, "snapshot-B/key")
}
