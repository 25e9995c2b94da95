package tree

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// A call belongs to the attempt that expires with it.
func TestAdopt(t *testing.T) {
	tr := New(retry.DefaultLimits())
	now := time.Unix(1000, 0)
	for n := range 4 {
		started := now.Add(time.Duration(n) * 10 * time.Millisecond)
		tr.Enter(&Inbound{ID: call.AttemptID{byte(n)}, Started: started, Told: now.Add(time.Duration(n) * 100 * time.Millisecond)})
	}
	for _, tt := range []struct {
		deadline time.Duration
		want     byte
		ok       bool
	}{
		{201 * time.Millisecond, 2, true},
		{150 * time.Millisecond, 0, false},
		{81 * time.Millisecond, 0, false},
	} {
		in, ok := tr.Adopt(now, Outgoing{Deadline: now.Add(tt.deadline)})
		if ok != tt.ok || ok && in.ID != (call.AttemptID{tt.want}) {
			t.Errorf("Adopt of %v = %+v, %t; want attempt %d, %t", tt.deadline, in, ok, tt.want, tt.ok)
		}
	}
}

// A call does not outlast the attempts that run; a request that a caller sends
// outlasts those sent before, but for resends with less time left.
func TestIsCall(t *testing.T) {
	tr := New(retry.DefaultLimits())
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	const patience = 5 * time.Second
	for n := range 2000 {
		now = now.Add(10 * time.Millisecond)
		id := call.AttemptID{byte(n), byte(n >> 8)}
		tr.Enter(&Inbound{ID: id, Started: now, Told: now.Add(patience)})
		if n >= 20 {
			tr.Exit(now, call.AttemptID{byte(n - 20), byte((n - 20) >> 8)})
		}
		now = now.Add(10 * time.Millisecond)
		wait := patience
		if rng.IntN(10) < 6 {
			wait -= time.Duration(rng.IntN(2000)) * time.Millisecond
		}
		if got := tr.IsCall("look-up", now.Add(wait)); got && n > 100 {
			t.Fatalf("request %d of callers counts as a call", n)
		}
		left := 700*time.Millisecond - time.Duration(rng.IntN(100))*time.Millisecond
		if got := tr.IsCall("tariff-read", now.Add(left)); !got {
			t.Fatalf("call %d counts as a request of a caller", n)
		}
	}
}
