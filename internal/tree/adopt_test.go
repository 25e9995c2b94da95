package tree

import (
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// A call belongs to the attempt that expires with it; kinds of requests that
// callers send are not taken for calls when a deadline agrees by chance.
func TestAdopt(t *testing.T) {
	tr := New(retry.DefaultLimits())
	now := time.Unix(1000, 0)
	for n := range 4 {
		started := now.Add(time.Duration(n) * 10 * time.Millisecond)
		tr.Enter(&Inbound{ID: call.AttemptID{byte(n)}, Started: started, Told: now.Add(time.Duration(n) * 100 * time.Millisecond)})
	}
	if in, ok := tr.Adopt("tariff-read", 50*time.Millisecond, now.Add(81*time.Millisecond)); !ok || in.ID != (call.AttemptID{3}) {
		t.Errorf("Adopt = %+v, %t; want the attempt that began 49 ms before", in, ok)
	}
	in, ok := tr.Adopt("ledger-read", time.Minute, now.Add(201*time.Millisecond))
	if !ok || in.ID != (call.AttemptID{2}) {
		t.Errorf("Adopt = %+v, %t; want the attempt that expires 1 ms before", in, ok)
	}
	if _, ok := tr.Adopt("ledger-read", time.Minute, now.Add(150*time.Millisecond)); ok {
		t.Error("adopted by an attempt that expires 50 ms before")
	}
	for n := range 30 {
		tr.Adopt("look-up", time.Minute, now.Add(time.Duration(n)*time.Second+50*time.Millisecond))
	}
	if _, ok := tr.Adopt("look-up", time.Minute, now.Add(100*time.Millisecond)); ok {
		t.Error("a kind that mostly agrees with no attempt was adopted")
	}
}
