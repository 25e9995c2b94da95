package tree

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/retry"
)

// needsLoad replays attempts of two kinds that make calls, and one that makes none,
// side by side on one upstream. A part of the calls is given to another attempt,
// or to none.
type needsLoad struct {
	tr    *Trees
	rng   *rand.Rand
	now   time.Time
	runs  []*needsRun
	seen  int
	wrong float64
}

type needsRun struct {
	in    *Inbound
	calls int
	next  time.Time
	fails bool
}

// needsCalls is the number of calls of each kind, of 10 ms each.
var needsCalls = map[call.Class]int{"look-up": 2, "release": 6, "upload": 0}

func (nl *needsLoad) begin(class call.Class, fails bool) {
	nl.seen++
	in := &Inbound{ID: call.AttemptID{byte(nl.seen), byte(nl.seen >> 8)}, Class: class, Started: nl.now}
	nl.tr.Enter(in)
	nl.runs = append(nl.runs, &needsRun{in: in, calls: needsCalls[class], next: nl.now.Add(12 * time.Millisecond), fails: fails})
}

// step ends the calls that are over, one after the other.
func (nl *needsLoad) step() {
	nl.now = nl.now.Add(time.Millisecond)
	var left []*needsRun
	for _, run := range nl.runs {
		if nl.now.Before(run.next) {
			left = append(left, run)
			continue
		}
		if run.calls > 0 && (!run.fails || run.calls > needsCalls[run.in.Class]/2) {
			run.calls--
			run.next = nl.now.Add(12 * time.Millisecond)
			nl.tr.Took(nl.now, nl.parent(run), []call.Need{{Service: "cassa", SlotTime: 10 * time.Millisecond}}, 1)
			left = append(left, run)
			continue
		}
		nl.tr.mu.Lock()
		delete(nl.tr.inbound, run.in.ID)
		nl.tr.mu.Unlock()
		nl.tr.Ended(nl.now, run.in, 20*time.Millisecond, !run.fails)
	}
	nl.runs = left
}

func (nl *needsLoad) parent(run *needsRun) *Inbound {
	switch draw := nl.rng.Float64(); {
	case draw < nl.wrong/2:
		return nil
	case draw < nl.wrong:
		return nl.runs[nl.rng.IntN(len(nl.runs))].in
	}
	return run.in
}

// What calls take is lost where they are given to the wrong attempt, or to one that
// has ended, so that entries want too little room. All of it is to be accounted for,
// and kinds that make no calls take nothing.
func TestCallsWithAWrongParentAreNotCounted(t *testing.T) {
	for _, tt := range []struct {
		wrong, fails float64
		// off bounds the error of what a kind takes.
		off float64
	}{{0, 0, 0.05}, {0.4, 0, 0.4}, {0, 0.5, 0.15}, {0.4, 0.5, 0.5}} {
		t.Run(fmt.Sprint(tt.wrong, tt.fails), func(t *testing.T) {
			nl := &needsLoad{
				tr: New(retry.DefaultLimits()), rng: rand.New(rand.NewPCG(1, 1)), now: time.Unix(0, 0), wrong: tt.wrong,
			}
			for n := range 6000 {
				if n%4 == 0 {
					nl.begin("look-up", nl.rng.Float64() < tt.fails)
					nl.begin("release", nl.rng.Float64() < tt.fails)
					nl.begin("upload", false)
				}
				nl.step()
			}
			sum := 0.0
			for class, calls := range needsCalls {
				got := 0.0
				for _, nd := range nl.tr.Needs(nl.now, class, "own", 0)[1:] {
					got += nd.SlotTime.Seconds()
				}
				sum += got
				want := float64(calls) * 0.01
				if math.Abs(got-want) > tt.off*max(want, 0.02) {
					t.Errorf("a %s takes %.4f s, want %.4f", class, got, want)
				}
			}
			if all := 0.08; math.Abs(sum-all) > 0.15*all {
				t.Errorf("all take %.4f s, want %.4f", sum, all)
			}
		})
	}
}
