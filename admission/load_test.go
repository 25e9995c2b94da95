package admission

import (
	"testing"
	"time"

	"camphortrail/call"
)

type counts [call.MaxImportance + 1]int

func (co counts) sum() (n int) {
	for _, count := range co {
		n += count
	}
	return n
}

// tally counts attempts by importance.
type tally struct{ arrived, done, refused counts }

type runningCall struct {
	id  call.AttemptID
	imp call.Importance
	end time.Time
}

// load drives a controller with random arrivals and a stand-in upstream, in virtual time.
type load struct {
	ct      *Controller
	now     time.Time
	slots   int
	normal  time.Duration
	service time.Duration
	// shares holds the part of the arrivals by importance.
	shares  [call.MaxImportance + 1]float64
	running []runningCall
	waiting map[call.AttemptID]call.Importance
	tally
}

func newLoad(slots int, service time.Duration, shares [call.MaxImportance + 1]float64) *load {
	ld := &load{
		ct: New(Settings{}, testRand()), now: epoch, slots: slots, normal: service, service: service,
		shares: shares, waiting: map[call.AttemptID]call.Importance{},
	}
	ld.step(Announce{Slots: slots})
	return ld
}

func (ld *load) step(ev Event) {
	for _, ac := range ld.ct.Step(ld.now, ev) {
		switch ac := ac.(type) {
		case *Start:
			spread := time.Duration(ld.ct.rng.Int64N(int64(ld.service)))
			end := ld.now.Add(ld.service/2 + spread)
			ld.running = append(ld.running, runningCall{id: ac.ID, imp: ld.waiting[ac.ID], end: end})
			delete(ld.waiting, ac.ID)
		case *Refuse:
			ld.refused[ld.waiting[ac.ID]]++
			delete(ld.waiting, ac.ID)
		}
	}
}

// run offers a multiple of the upstream's capacity at its normal service time, and
// returns the counts.
func (ld *load) run(d time.Duration, offered float64) tally {
	const tick = 250 * time.Microsecond
	ld.tally = tally{}
	rate := offered * float64(ld.slots) / ld.normal.Seconds() * tick.Seconds()
	for end := ld.now.Add(d); ld.now.Before(end); ld.now = ld.now.Add(tick) {
		ld.finish()
		for imp, share := range ld.shares {
			for n := rate * share; n > 0; n-- {
				if ld.ct.rng.Float64() < n {
					ld.arrive(call.Importance(imp))
				}
			}
		}
		ld.step(Tick{})
	}
	return ld.tally
}

func (ld *load) finish() {
	for i := 0; i < len(ld.running); i++ {
		rc := ld.running[i]
		if rc.end.After(ld.now) {
			continue
		}
		last := len(ld.running) - 1
		ld.running[i], ld.running = ld.running[last], ld.running[:last]
		i--
		ld.done[rc.imp]++
		ld.step(Finish{ID: rc.id, OK: true})
	}
}

func (ld *load) arrive(imp call.Importance) {
	id := call.NewAttemptID(ld.ct.rng)
	ld.waiting[id] = imp
	ld.arrived[imp]++
	ld.step(Arrive{
		ID: id, Importance: imp, Cohort: call.Cohort(ld.ct.rng.Uint32()),
		Deadline: ld.now.Add(time.Second),
	})
}

// A surge of three times the capacity, with or without slower calls, must cost little
// goodput. The most important work must not be refused while it fits the capacity, and
// the overload must end after the surge.
func TestSurge(t *testing.T) {
	mixed := [call.MaxImportance + 1]float64{7: 0.2, 4: 0.3, 1: 0.5}
	lowest := [call.MaxImportance + 1]float64{1: 1}
	highest := [call.MaxImportance + 1]float64{7: 1}
	const service = 50 * time.Millisecond
	for _, tt := range []struct {
		name        string
		slots       int
		slow        int
		shares      [call.MaxImportance + 1]float64
		wantPercent int
	}{
		{"mixed", 15, 1, mixed, 95},
		{"mixed", 35, 1, mixed, 95},
		{"mixed", 300, 1, mixed, 95},
		{"lowest", 15, 1, lowest, 98},
		{"lowest", 60, 1, lowest, 98},
		{"highest", 35, 1, highest, 98},
		{"mixed, 8 times slower", 15, 8, mixed, 90},
		{"mixed, 8 times slower", 35, 8, mixed, 90},
		{"mixed, 8 times slower", 300, 8, mixed, 90},
	} {
		ld := newLoad(tt.slots, service, tt.shares)
		calm := ld.run(2*time.Second, 0.8)
		ld.service = time.Duration(tt.slow) * service
		surge := ld.run(6*time.Second, 3)
		ld.service = service
		first := ld.run(500*time.Millisecond, 0.8)
		after := ld.run(time.Second, 0.8)

		capacity := 6 * tt.slots * int(time.Second/service) / tt.slow
		t.Logf("%s, %d slots: calm %d of %d; surge %d of %d, done %v refused %v; first 500ms %d of %d; then %d of %d",
			tt.name, tt.slots, calm.done.sum(), calm.arrived.sum(), surge.done.sum(), capacity, surge.done, surge.refused,
			first.done.sum(), first.arrived.sum(), after.done.sum(), after.arrived.sum())
		if refused := calm.refused.sum(); refused*100 > calm.arrived.sum() {
			t.Errorf("%s, %d slots: %d refused before the surge", tt.name, tt.slots, refused)
		}
		if got := surge.done.sum(); got*100 < capacity*tt.wantPercent {
			t.Errorf("%s, %d slots: %d done in the surge, want %d%% of %d", tt.name, tt.slots, got, tt.wantPercent, capacity)
		}
		if got := surge.refused[7]; got > 0 && surge.arrived[7] < capacity {
			t.Errorf("%s, %d slots: %d of the highest importance refused", tt.name, tt.slots, got)
		}
		if got := after.done.sum(); got*100 < after.arrived.sum()*95 {
			t.Errorf("%s, %d slots: %d of %d done after the surge", tt.name, tt.slots, got, after.arrived.sum())
		}
		if ld.ct.Level() != 0 {
			t.Errorf("%s, %d slots: level %x after the surge", tt.name, tt.slots, ld.ct.Level())
		}
	}
}

// The share of slots given by FreeSlotDivisor stays free, but a single slot is used.
func TestFreeSlotDivisor(t *testing.T) {
	for _, tt := range []struct{ slots, want int }{{1, 1}, {8, 7}, {17, 16}, {41, 38}, {353, 331}} {
		ct := New(Settings{FreeSlotDivisor: 16}, testRand())
		ct.Step(epoch, Announce{Slots: tt.slots})
		for range tt.slots {
			ct.Step(epoch, Arrive{ID: call.NewAttemptID(ct.rng), Importance: 5, Deadline: epoch.Add(time.Minute)})
		}
		if ct.Running() != tt.want {
			t.Errorf("%d of %d slots used, want %d", ct.Running(), tt.slots, tt.want)
		}
	}
}

// The occupancy counts running and waiting attempts, and follows their number within
// about 100 ms.
func TestOccupancy(t *testing.T) {
	ct := New(Settings{TargetWait: time.Minute}, testRand())
	ct.Step(epoch, Announce{Slots: 4})
	ids := make([]call.AttemptID, 6)
	for at := range ids {
		ids[at] = call.NewAttemptID(ct.rng)
		ct.Step(epoch, Arrive{ID: ids[at], Importance: 5, Deadline: epoch.Add(time.Minute)})
	}
	ct.Step(epoch.Add(400*time.Millisecond), Tick{})
	if oc := ct.Occupancy(); oc < 148 || oc > 150 {
		t.Errorf("occupancy %d with 6 attempts in 4 slots, want 150", oc)
	}
	for _, id := range ids {
		ct.Step(epoch.Add(400*time.Millisecond), Finish{ID: id, OK: true})
	}
	for _, id := range ids {
		ct.Step(epoch.Add(400*time.Millisecond), Finish{ID: id, OK: true})
	}
	ct.Step(epoch.Add(600*time.Millisecond), Tick{})
	if oc := ct.Occupancy(); oc > 10 {
		t.Errorf("occupancy %d some 200 ms after the last attempt, want nearly 0", oc)
	}
}
