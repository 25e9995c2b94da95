package cost_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/cost"
	"camphortrail/internal/lab/fuzzing"

	"pgregory.net/rapid"
)

func init() { fuzzing.SetFlags(0, 0) }

var epoch = time.Unix(1000, 0)

// Requests of one route with large bodies must not be taken for those with small ones, and the tail
// must show requests that cost seven times as much.
func TestModelTellsCostsApart(t *testing.T) {
	md, rng := cost.NewModel(), rand.New(rand.NewPCG(1, 1))
	small, large, other := cost.KeyOf("upload", 200), cost.KeyOf("upload", 300<<10), cost.KeyOf("look-up", 0)
	for n := range 4000 {
		now := epoch.Add(time.Duration(n) * 5 * time.Millisecond)
		md.Add(now, small, 10*time.Millisecond)
		md.Add(now, large, 80*time.Millisecond)
		length := 20 * time.Millisecond
		if rng.IntN(10) == 0 {
			length *= 7
		}
		md.Add(now, other, length)
	}
	for _, tt := range []struct {
		key        cost.Key
		mean, tail time.Duration
	}{{small, 10, 10}, {large, 80, 80}, {other, 32, 140}} {
		es := md.Estimate(tt.key)
		if near := func(got, want time.Duration) bool {
			return math.Abs(float64(got)/float64(want*time.Millisecond)-1) < 0.2
		}; !near(es.Mean, tt.mean) || !near(es.Tail, tt.tail) {
			t.Errorf("%v: %v, want about %d and %d ms", tt.key, es, tt.mean, tt.tail)
		}
	}
	if es := md.Estimate(cost.KeyOf("unknown", 0)); es.Mean < 30*time.Millisecond || es.Mean > 50*time.Millisecond {
		t.Errorf("a request of an unknown route costs %v, want the mean of all", es.Mean)
	}
}

// A slow phase of half a second must show while it lasts, and be over half a second after it.
func TestSpeedFollowsSlowPhases(t *testing.T) {
	var sp cost.Speed
	for ms := range 2500 {
		now, took := epoch.Add(time.Duration(ms)*time.Millisecond), 40*time.Millisecond
		if ms >= 1000 && ms < 1500 {
			took *= 5
			took /= 2
		}
		if ms%5 == 0 {
			sp.Add(now, took, 40*time.Millisecond)
		}
		factor, age := sp.Slowness(now)
		if usual := ms < 1000 || ms > 1950; usual && (factor < 0.95 || factor > 1.1) || ms > 1250 && ms < 1500 && factor < 1.9 {
			t.Fatalf("factor %.2f after %d ms", factor, ms)
		}
		if age < 0 || age > 5*time.Millisecond {
			t.Fatalf("age %v after %d ms", age, ms)
		}
	}
}

// After a time without requests the factor must return to 1 and stay there. A factor near zero made a
// guard report no work ahead with its first refusal after 8 s, and an age of more than twelve days
// made the answer an invalid frame.
func TestSpeedWithoutRequestsIsUsual(t *testing.T) {
	var sp cost.Speed
	for range 20 {
		sp.Add(epoch, 40*time.Millisecond, 20*time.Millisecond)
	}
	for _, after := range []time.Duration{3, 5, 7, 8, 10, 60, 20 * 24 * 3600} {
		if factor, age := sp.Slowness(epoch.Add(after * time.Second)); factor < 0.99 || factor > 1.01 || age > 5*time.Second {
			t.Errorf("factor %v of age %v after %d s, want 1 of a short age", factor, age, after)
		}
	}
}

// Remaining must be the sum over the requests that run, in whatever order they begin and end.
func TestRemainingIsTheSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var wk cost.Work
		type request struct {
			began      time.Time
			mean, tail time.Duration
		}
		running := map[int]request{}
		now := epoch
		for range 50 {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "begin") {
				mean := time.Duration(rapid.IntRange(1, 50).Draw(t, "mean")) * time.Millisecond
				rq := request{now, mean, mean * time.Duration(rapid.IntRange(1, 7).Draw(t, "tail"))}
				handle := wk.Begin(now, cost.Estimate{Mean: rq.mean, Tail: rq.tail})
				if _, ok := running[handle]; ok {
					t.Fatal("the handle is in use")
				}
				running[handle] = rq
			} else {
				for handle := range running {
					wk.End(handle)
					delete(running, handle)
					break
				}
			}
			var want time.Duration
			for _, rq := range running {
				elapsed := now.Sub(rq.began)
				switch {
				case elapsed < rq.mean:
					want += rq.mean - elapsed
				case elapsed < rq.tail:
					want += rq.tail - elapsed
				default:
					want += rq.mean
				}
			}
			if got := wk.Remaining(now); got != want {
				t.Fatalf("remaining %v, want %v", got, want)
			}
		}
	})
}
