package soak

import (
	"fmt"
	"testing"
	"time"
)

// TestSeedGivesPlan compares what the actors of two fleets with the same seed choose, and those of
// another seed.
func TestSeedGivesPlan(t *testing.T) {
	plan := func(seed Seed) string {
		fl, err := New(Options{Seed: seed, Folder: t.TempDir()})
		if err != nil {
			t.Fatal(err)
		}
		sp := StopPlan{Hangups: true, Controls: true, Repeated: true, Young: true}
		st := newStopper(sp, fl, fl.Nodes)
		mx := Mix{Long: 0.2, Ahead: 0.5, Calls: 0.5, SlowBodies: 0.5}
		ca := newCaller(fl.Nodes[3], 2, mx)
		text := fmt.Sprint(ca.ahead)
		for range 20 {
			text += fmt.Sprintf(" %+v", *mx.chooseRequest(ca.rnd, false))
			for _, ps := range st.chooseRound() {
				text += fmt.Sprintf(" %s %s %s %s %s %s %t", ps.ma.Name, ps.after, ps.hangup, ps.again, ps.restart, ps.young, ps.hangupOnly)
			}
			clear(st.busy)
		}
		return text
	}
	if one, other := plan(7), plan(7); one != other {
		t.Errorf("a seed gives two plans:\n%s\n%s", one, other)
	}
	if plan(7) == plan(8) {
		t.Error("two seeds give the same plan")
	}
}

// TestStoppingNodeCutsNoLateRequests stops five nodes at once, 3.4 s after the first request, while
// callers go on sending to them, one request in five with long work.
func TestStoppingNodeCutsNoLateRequests(t *testing.T) {
	re := playScenario(t, "lost-late", 30*time.Second, Options{Seed: 1})
	t.Logf("%d requests, %d answered, %d cut, %d given up, %d stops", re.Requests, re.Answered, re.Cut, re.GaveUp, re.Stops)
	if re.Stops != 5 || re.Answered == 0 {
		t.Errorf("%d stops, %d answers", re.Stops, re.Answered)
	}
}
