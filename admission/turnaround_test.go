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
	ct  *Controller
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
func (gs *turnaround) process(do func()) {
	if gs.free.Before(gs.Now()) {
		gs.free = gs.Now()
	}
	gs.free = gs.free.Add(turnaroundCost)
	gs.After(gs.free.Sub(gs.Now()), do)
}

// change counts the slots of the upstream that are at work.
func (gs *turnaround) change(by int) {
	gs.used += time.Duration(gs.busy) * gs.Now().Sub(gs.changed)
	gs.busy, gs.changed = gs.busy+by, gs.Now()
}

func (gs *turnaround) step(ev Event) {
	var begun []call.AttemptID
	for _, ac := range gs.ct.Step(gs.Now(), ev) {
		if st, ok := ac.(*Start); ok {
			begun = append(begun, st.ID)
		}
	}
	for _, id := range begun {
		gs.process(func() { gs.send(id) })
	}
}

// send is the moment at which a call reaches the upstream.
func (gs *turnaround) send(id call.AttemptID) {
	gs.change(1)
	took := turnaroundCall/2 + time.Duration(gs.rng.Int64N(int64(turnaroundCall)))
	gs.After(took, func() {
		gs.change(-1)
		gs.process(func() {
			gs.ended++
			gs.step(Finish{ID: id, OK: true})
			gs.fill()
		})
	})
}

// fill lets calls come until enough of them wait.
func (gs *turnaround) fill() {
	for gs.ct.Waiting() < turnaroundQueue {
		imp := call.Importance(5)
		if gs.rng.IntN(10) < 7 {
			imp = 7
		}
		before := gs.ct.Waiting() + gs.ct.Running()
		gs.step(Arrive{
			ID: call.NewAttemptID(gs.rng), Importance: imp, Cohort: call.Cohort(gs.rng.Uint32()), Depth: 3,
			Deadline: gs.Now().Add(700 * time.Millisecond),
		})
		if gs.ct.Waiting()+gs.ct.Running() <= before {
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
		gs := &turnaround{ct: New(Settings{FreeSlotDivisor: 16}, rng), rng: rng, Agenda: agenda.New(time.Unix(0, 0))}
		gs.changed = gs.Now()
		gs.step(Announce{Slots: turnaroundSlots})
		gs.fill()
		gs.Run(length)
		gs.change(0)
		limit := gs.ct.Limit(gs.Now())
		part := gs.used.Seconds() / length.Seconds() / float64(limit)
		t.Logf("seed %d: %.1f of %d slots at work, %d calls ended", seed, part*float64(limit), limit, gs.ended)
		if part < least {
			t.Errorf("seed %d: %.1f %% of the slots at work, want %.0f", seed, 100*part, 100*least)
		}
	}
}
