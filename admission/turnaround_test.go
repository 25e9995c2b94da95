package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/agenda"
)

// turnaround replays, in virtual time, a guard that is never without waiting calls,
// and whose process takes a time of its one processor for each call that it sends and
// for each answer that it reads.
type turnaround struct {
	*agenda.Agenda
	mc  *Controller
	rng *rand.Rand
	// free is when the processor has done all that it has been given.
	free time.Time
	busy int
	// used is the time of all slots in which the upstream was at work.
	used    time.Duration
	changed time.Time
	ended   int
}

const (
	turnaroundSlots = 41
	// turnaroundCall is the mean time of a call, and turnaroundCost that of the
	// processor for one that is sent or answered.
	turnaroundCall = 7500 * time.Microsecond
	turnaroundCost = 60 * time.Microsecond
	// turnaroundQueue is the number of calls that wait at any time.
	turnaroundQueue = 20
)

// process does something once the processor has got to it.
func (tu *turnaround) process(do func()) {
	if tu.free.Before(tu.Now()) {
		tu.free = tu.Now()
	}
	tu.free = tu.free.Add(turnaroundCost)
	tu.After(tu.free.Sub(tu.Now()), do)
}

// change counts the slots of the upstream that are at work.
func (tu *turnaround) change(by int) {
	tu.used += time.Duration(tu.busy) * tu.Now().Sub(tu.changed)
	tu.busy, tu.changed = tu.busy+by, tu.Now()
}

func (tu *turnaround) step(ev Event) {
	var begun []call.AttemptID
	for _, ac := range tu.mc.Step(tu.Now(), ev) {
		if st, ok := ac.(*Start); ok {
			begun = append(begun, st.ID)
		}
	}
	for _, id := range begun {
		tu.process(func() { tu.send(id) })
	}
}

// send is the moment at which a call reaches the upstream.
func (tu *turnaround) send(id call.AttemptID) {
	tu.change(1)
	took := turnaroundCall/2 + time.Duration(tu.rng.Int64N(int64(turnaroundCall)))
	tu.After(took, func() {
		tu.change(-1)
		tu.process(func() {
			tu.ended++
			tu.step(Finish{ID: id, OK: true})
			tu.fill()
		})
	})
}

// fill lets calls come until enough of them wait.
func (tu *turnaround) fill() {
	for tu.mc.Waiting() < turnaroundQueue {
		imp := call.Importance(5)
		if tu.rng.IntN(10) < 7 {
			imp = 7
		}
		before := tu.mc.Waiting() + tu.mc.Running()
		tu.step(Arrive{
			ID: call.NewAttemptID(tu.rng), Importance: imp, Cohort: call.Cohort(tu.rng.Uint32()), Depth: 3,
			Deadline: tu.Now().Add(700 * time.Millisecond),
		})
		if tu.mc.Waiting()+tu.mc.Running() <= before {
			return
		}
	}
}

// Slots of the smallest service stand free beside waiting calls, and the least
// important kind, which gets what is left, is hardly served.
func TestSlotsStandFreeBesideWaitingCalls(t *testing.T) {
	const length = 5 * time.Second
	// The part of the slots that package room aims at.
	const least = 0.95
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, seed))
		tu := &turnaround{mc: New(Settings{FreeSlotDivisor: 16}, rng), rng: rng, Agenda: agenda.New(time.Unix(0, 0))}
		tu.changed = tu.Now()
		tu.step(Announce{Slots: turnaroundSlots})
		tu.fill()
		tu.Run(length)
		tu.change(0)
		limit := tu.mc.Limit(tu.Now())
		part := tu.used.Seconds() / length.Seconds() / float64(limit)
		t.Logf("seed %d: %.1f of %d slots at work, %d calls ended", seed, part*float64(limit), limit, tu.ended)
		if part < least {
			t.Errorf("seed %d: %.1f %% of the slots at work, want %.0f", seed, 100*part, 100*least)
		}
	}
}
