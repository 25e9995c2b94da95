package calltree

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

// needsCalls is the number of calls of each kind.
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
			nl.tr.CallEnded(nl.now, nl.parent(run), EndedCall{Service: "cassa", Class: "tariff", Ran: true})
			left = append(left, run)
			continue
		}
		nl.tr.mu.Lock()
		delete(nl.tr.inbound, run.in.ID)
		nl.tr.mu.Unlock()
		nl.tr.AttemptEnded(nl.now, run.in, !run.fails)
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
				for _, nd := range nl.tr.FanOut(nl.now, class, "own", 0)[1:] {
					got += nd.Calls
				}
				sum += got
				want := float64(calls)
				if math.Abs(got-want) > tt.off*max(want, 2) {
					t.Errorf("a %s makes %.2f calls, want %.2f", class, got, want)
				}
			}
			if all := 8.0; math.Abs(sum-all) > 0.15*all {
				t.Errorf("all make %.2f calls, want %.2f", sum, all)
			}
		})
	}
}

// A call that is given to a long attempt, as its own is not known yet, counts for the
// long one although the short one ends just after the answer.
func TestCallOfAShortAttemptCountsForALongOne(t *testing.T) {
	tr, now := New(retry.DefaultLimits()), time.Unix(0, 0)
	for n := range 200 {
		long := &Inbound{ID: call.AttemptID{byte(n), 1}, Class: "release", Started: now}
		short := &Inbound{ID: call.AttemptID{byte(n), 2}, Class: "history", Started: now}
		tr.Enter(long)
		tr.Enter(short)
		for _, run := range []struct {
			in         *Inbound
			connection string
			after      time.Duration
		}{{short, "a", 20 * time.Millisecond}, {long, "b", 60 * time.Millisecond}} {
			og := OutgoingCall{Class: "index", Connection: run.connection, Deadline: now.Add(time.Second)}
			tr.mu.Lock()
			ch := tr.follow(now, og)
			// Both calls are taken for those of the long one.
			ch.parent = long
			tr.mu.Unlock()
			now = now.Add(run.after)
			tr.CallEnded(now, long, EndedCall{Service: "perdidos", Class: "index", Ran: true, Connection: run.connection})
			tr.Answered(now, run.connection)
			now = now.Add(200 * time.Microsecond)
			tr.Exit(now, run.in.ID)
			tr.AttemptEnded(now, run.in, true)
		}
		now = now.Add(100 * time.Millisecond)
	}
	for _, class := range []call.Class{"release", "history"} {
		list := tr.FanOut(now, class, "entrega", 0)
		if len(list) != 2 || list[1].Calls != 1 {
			t.Errorf("%s: %+v, want one call of index", class, list)
		}
	}
}

// The attempts of a third of the calls are not found: none of these is lost.
func TestCallsWithoutAnAttemptAreNotCounted(t *testing.T) {
	tr, now := New(retry.DefaultLimits()), time.Unix(0, 0)
	for n := range 400 {
		in := &Inbound{ID: call.AttemptID{byte(n), byte(n >> 8)}, Class: "look-up", Started: now}
		tr.Enter(in)
		for m := range 3 {
			parent := in
			if m == 0 {
				parent = nil
			}
			now = now.Add(5 * time.Millisecond)
			tr.CallEnded(now, parent, EndedCall{Service: "cassa", Class: "tariff", Ran: true})
		}
		now = now.Add(5 * time.Millisecond)
		tr.Exit(now, in.ID)
		tr.AttemptEnded(now, in, true)
	}
	if list := tr.FanOut(now, "look-up", "consulta", 0); len(list) != 2 || list[1].Calls != 3 {
		t.Errorf("%+v, want 3 calls of tariff", list)
	}
}

// Half of the attempts are given up while a call runs, as where their callers leave: the
// others do not make more calls for it.
func TestCallsOfAttemptsGivenUpCountForOthers(t *testing.T) {
	tr, now := New(retry.DefaultLimits()), time.Unix(0, 0)
	for n := range 400 {
		in := &Inbound{ID: call.AttemptID{byte(n), byte(n >> 8)}, Class: "look-up", Started: now}
		tr.Enter(in)
		left := n%2 == 0
		for m := range 2 {
			now = now.Add(5 * time.Millisecond)
			if left && m == 1 {
				tr.Exit(now, in.ID)
				tr.AttemptEnded(now, in, false)
			}
			tr.CallEnded(now, in, EndedCall{Service: "cassa", Class: "tariff", Ran: true})
		}
		if !left {
			tr.Exit(now, in.ID)
			tr.AttemptEnded(now, in, true)
		}
	}
	if list := tr.FanOut(now, "look-up", "consulta", 0); len(list) != 2 || list[1].Calls != 2 {
		t.Errorf("%+v, want 2 calls of tariff", list)
	}
}

// What is told of a kind that calls itself grows with each answer.
func TestKindThatCallsItselfGrowsWithoutBound(t *testing.T) {
	tr, now := New(retry.DefaultLimits()), time.Unix(0, 0)
	var list []call.FanOut
	for n := range 400 {
		in := &Inbound{ID: call.AttemptID{byte(n), byte(n >> 8)}, Class: "menu", Started: now}
		tr.Enter(in)
		now = now.Add(60 * time.Millisecond)
		tr.CallEnded(now, in, EndedCall{Service: "own", Class: "menu", FanOut: list, Ran: true})
		tr.Exit(now, in.ID)
		tr.AttemptEnded(now, in, true)
		list = tr.FanOut(now, "menu", "own", 0)
	}
	sum := 0.0
	for _, nd := range list {
		sum += nd.Calls
	}
	if sum > 2 {
		t.Errorf("%+v after 400 answers", list)
	}
}
