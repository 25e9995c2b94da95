package limit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/internal/lab/fuzzing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

func init() {
	fuzzing.SetFlags(0, 0)
}

var epoch = time.Unix(1000, 0)

// upstream is a stand-in that always runs as many calls as the limit allows.
type upstream struct {
	lm      *Limit
	rng     *rand.Rand
	now     time.Time
	latency func(running int) time.Duration
	began   []time.Time
	ends    []time.Time
	done    int
	// failures is the share of calls that fail after a fifth of their time.
	failures float64
}

func newUpstream(slots int, latency func(int) time.Duration) *upstream {
	up := &upstream{lm: New(Settings{}), rng: rand.New(rand.NewPCG(1, 2)), now: epoch, latency: latency}
	up.lm.SetSlots(epoch, slots, 0)
	return up
}

// run advances the time by d and returns the lowest limit in that time.
func (up *upstream) run(d time.Duration) (lowest int) {
	lowest = up.lm.Current(up.now)
	for end := up.now.Add(d); up.now.Before(end); up.now = up.now.Add(time.Millisecond) {
		up.finish()
		for len(up.ends) < up.lm.Current(up.now) {
			mean := up.latency(len(up.ends) + 1)
			spread := time.Duration(up.rng.Int64N(int64(mean)))
			up.began = append(up.began, up.now)
			up.ends = append(up.ends, up.now.Add(mean/2+spread))
		}
		lowest = min(lowest, up.lm.Current(up.now))
	}
	return lowest
}

func (up *upstream) finish() {
	for i := 0; i < len(up.ends); i++ {
		if up.ends[i].After(up.now) {
			continue
		}
		if up.rng.Float64() < up.failures {
			up.lm.Observe(up.now, up.now.Sub(up.began[i])/5, len(up.ends), false)
		} else {
			up.lm.Observe(up.now, up.now.Sub(up.began[i]), len(up.ends), true)
		}
		last := len(up.ends) - 1
		up.ends[i], up.began[i] = up.ends[last], up.began[last]
		up.ends, up.began = up.ends[:last], up.began[:last]
		up.done++
		i--
	}
}

// A slow service that the upstream calls raises the latency whatever the limit is. The
// limit must not fall for long, and must be back at once afterwards.
func TestSlowDownstreamKeepsLimit(t *testing.T) {
	for _, slots := range []int{15, 35, 60, 300} {
		slow := time.Duration(1)
		up := newUpstream(slots, func(int) time.Duration { return slow * 20 * time.Millisecond })
		up.run(4 * time.Second)
		before := up.done
		slow = 10
		lowest := up.run(8 * time.Second)
		if want := slots * decreasePercent / 100; lowest < want {
			t.Errorf("%d slots: limit fell to %d, want at least %d", slots, lowest, want)
		}
		t.Logf("%d slots: lowest limit %d, %d calls done in 8s", slots, lowest, up.done-before)
		ideal := 8 * slots * 5
		if got := up.done - before; got < ideal*93/100 {
			t.Errorf("%d slots: %d calls done while slow, want 93%% of %d", slots, got, ideal)
		}
		slow = 1
		up.run(500 * time.Millisecond)
		if got := up.lm.Current(up.now); got != slots {
			t.Errorf("%d slots: limit %d half a second after the slowness", slots, got)
		}
	}
}

// An upstream that announces more slots than it can run gets slower with each further
// call. The limit must fall without loss of throughput, and rise again when the upstream
// can run all slots.
func TestContentionLowersLimit(t *testing.T) {
	for _, slots := range []int{35, 60, 300} {
		capacity := slots
		const base = 20 * time.Millisecond
		up := newUpstream(slots, func(running int) time.Duration {
			return max(base, base*time.Duration(running)/time.Duration(capacity))
		})
		up.run(4 * time.Second)
		capacity = slots / 5
		up.run(4 * time.Second)
		before, sum := up.done, 0
		for range 400 {
			up.run(10 * time.Millisecond)
			sum += up.lm.Current(up.now)
		}
		t.Logf("%d slots: mean limit %d, %d calls done in 4s", slots, sum/400, up.done-before)
		if low := sum / 400; low > slots*7/10 || low < slots/4 {
			t.Errorf("%d slots: mean limit %d under contention, want about half", slots, low)
		}
		if got, want := up.done-before, 4*capacity*50; got < want*95/100 {
			t.Errorf("%d slots: %d calls done, want 95%% of %d", slots, got, want)
		}
		capacity = slots
		up.run(500 * time.Millisecond)
		if got := up.lm.Current(up.now); got != slots {
			t.Errorf("%d slots: limit %d half a second after the contention", slots, got)
		}
	}
}

func TestFloor(t *testing.T) {
	capacity := 60
	up := newUpstream(60, func(running int) time.Duration {
		return 20 * time.Millisecond * time.Duration(max(running, capacity)) / time.Duration(capacity)
	})
	up.run(4 * time.Second)
	capacity = 3
	if got := up.run(30 * time.Second); got != 15 {
		t.Errorf("lowest limit %d, want a quarter of the slots", got)
	}
}

func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lm := New(Settings{})
		now, slots := epoch, 0
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)
			if rapid.IntRange(0, 30).Draw(t, "announce") == 0 {
				slots = rapid.IntRange(1, 300).Draw(t, "slots")
				lm.SetSlots(now, slots, 0)
			}
			before := lm.Current(now)
			latency := time.Duration(rapid.IntRange(0, 500).Draw(t, "latency")) * time.Millisecond
			running := rapid.IntRange(1, 300).Draw(t, "running")
			lm.Observe(now, latency, running, rapid.Bool().Draw(t, "ok"))
			after := lm.Current(now)
			if lowest := min(slots, max(1, slots/4)); after < lowest || after > slots {
				t.Fatalf("limit %d outside of %d to %d", after, lowest, slots)
			}
			if after < before && before-after > before/4+1 {
				t.Fatalf("limit fell from %d to %d at once", before, after)
			}
		}
	})
}

// High latency does not lower the limit of an upstream that does not use it up.
func TestUnusedLimitStays(t *testing.T) {
	lm := New(Settings{})
	lm.SetSlots(epoch, 40, 0)
	now := epoch
	for i := range 2000 {
		now = now.Add(time.Millisecond)
		latency := 10 * time.Millisecond
		if i > 1000 {
			latency = 300 * time.Millisecond
		}
		lm.Observe(now, latency, 20, true)
		if lm.Current(now) != 40 {
			t.Fatalf("limit %d after %d calls, want 40", lm.Current(now), i+1)
		}
	}
}

func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		lm, now := New(Settings{}), epoch
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var ms, slots, warmUp, calls, latency, running int
			scan := func(key string, dst *int) {
				if td.HasArg(key) {
					td.ScanArgs(t, key, dst)
				}
			}
			scan("after", &ms)
			now = now.Add(time.Duration(ms) * time.Millisecond)
			switch td.Cmd {
			case "announce":
				scan("slots", &slots)
				scan("warm-up", &warmUp)
				lm.SetSlots(now, slots, time.Duration(warmUp)*time.Millisecond)
			case "observe":
				scan("calls", &calls)
				scan("latency", &latency)
				scan("running", &running)
				for range calls {
					now = now.Add(time.Millisecond)
					lm.Observe(now, time.Duration(latency)*time.Millisecond, running, !td.HasArg("failed"))
				}
			case "restart":
				lm.Reset()
			case "show":
			default:
				t.Fatalf("unknown command %s", td.Cmd)
			}
			return fmt.Sprintf("limit=%d min=%v\n", lm.Current(now), lm.MinLatency())
		})
	})
}

func BenchmarkObserve(b *testing.B) {
	lm := New(Settings{})
	lm.SetSlots(epoch, 300, 0)
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(100 * time.Microsecond)
		lm.Observe(now, 20*time.Millisecond, 300, true)
	}
}

// Calls that fail early because what they call refuses must not make the usual latency look high
// afterwards. If they counted as successes, the limit would fall to 75 % of the slots.
func TestEarlyFailuresKeepLimit(t *testing.T) {
	const slots = 89
	up := newUpstream(slots, func(int) time.Duration { return 47 * time.Millisecond })
	up.run(4 * time.Second)
	up.failures = 0.95
	lowest := up.run(8500 * time.Millisecond)
	up.failures = 0
	if lowest = min(lowest, up.run(10*time.Second)); lowest < slots {
		t.Errorf("the limit fell to %d of %d", lowest, slots)
	}
}
