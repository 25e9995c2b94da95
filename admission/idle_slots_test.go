package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/virtualtime"
)

// guardSimulation replays, in virtual time, a guard at which calls always wait. Its
// process has one processor, which takes some time for each call that it sends and for
// each answer that it reads.
type guardSimulation struct {
	*virtualtime.Scheduler
	ct  *Controller
	rng *rand.Rand
	// processorFreeAt is the time at which the processor has done all its queued work.
	processorFreeAt time.Time
	busy            int
	// usedSlotTime is the total time for which the slots of the upstream were at work.
	usedSlotTime time.Duration
	changed      time.Time
	ended        int
}

const (
	simulationSlots = 41
	// meanCallTime is the mean service time of a call. processorCost is the processor
	// time for a call sent or an answer read.
	meanCallTime  = 7500 * time.Microsecond
	processorCost = 60 * time.Microsecond
	// queueLength is the number of calls that wait at any time.
	queueLength = 20
)

// runOnProcessor runs do when the processor has finished its earlier work.
func (gs *guardSimulation) runOnProcessor(do func()) {
	if gs.processorFreeAt.Before(gs.Now()) {
		gs.processorFreeAt = gs.Now()
	}
	gs.processorFreeAt = gs.processorFreeAt.Add(processorCost)
	gs.After(gs.processorFreeAt.Sub(gs.Now()), do)
}

// changeBusy changes the number of slots at work, and adds up their time.
func (gs *guardSimulation) changeBusy(by int) {
	gs.usedSlotTime += time.Duration(gs.busy) * gs.Now().Sub(gs.changed)
	gs.busy, gs.changed = gs.busy+by, gs.Now()
}

func (gs *guardSimulation) step(ev Event) {
	var begun []call.AttemptID
	for _, ac := range gs.ct.Step(gs.Now(), ev) {
		if st, ok := ac.(*Start); ok {
			begun = append(begun, st.ID)
		}
	}
	for _, id := range begun {
		gs.runOnProcessor(func() { gs.send(id) })
	}
}

// send runs when a call reaches the upstream.
func (gs *guardSimulation) send(id call.AttemptID) {
	gs.changeBusy(1)
	took := meanCallTime/2 + time.Duration(gs.rng.Int64N(int64(meanCallTime)))
	gs.After(took, func() {
		gs.changeBusy(-1)
		gs.runOnProcessor(func() {
			gs.ended++
			gs.step(Finish{ID: id, OK: true})
			gs.fillQueue()
		})
	})
}

// fillQueue lets calls arrive until queueLength of them wait.
func (gs *guardSimulation) fillQueue() {
	for gs.ct.Waiting() < queueLength {
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

// Guards against idle slots in the smallest service while calls wait. The least important
// kind, which gets the remaining capacity, was then hardly served. A slot is also held
// while the guard sends its call and reads its answer.
func TestSlotsIdleWhileCallsWait(t *testing.T) {
	const length = 5 * time.Second
	// least is the share of the slots that entries plan to use when they divide capacity.
	const least = 0.95
	for seed := range uint64(3) {
		rng := rand.New(rand.NewPCG(seed, seed))
		gs := &guardSimulation{ct: New(Settings{FreeSlotDivisor: 16}, rng), rng: rng, Scheduler: virtualtime.New(time.Unix(0, 0))}
		gs.changed = gs.Now()
		gs.step(Announce{Slots: simulationSlots})
		gs.fillQueue()
		gs.Advance(length)
		gs.changeBusy(0)
		limit := gs.ct.Limit(gs.Now())
		part := gs.usedSlotTime.Seconds() / length.Seconds() / float64(limit)
		t.Logf("seed %d: %.1f of %d slots at work, %d calls ended", seed, part*float64(limit), limit, gs.ended)
		if part < least {
			t.Errorf("seed %d: %.1f %% of the slots at work, want %.0f", seed, 100*part, 100*least)
		}
	}
}
