package route_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/route"
)

// guard is an admission machine with a stand-in upstream.
type guard struct {
	vm   call.VM
	mc   *admission.Machine
	ends map[call.AttemptID]time.Time
}

type attempt struct {
	imp  call.Importance
	sent time.Time
	gd   *guard
}

// entry sends random work to guards and takes their answers, in virtual time.
type entry struct {
	tb       *route.Table
	rng      *rand.Rand
	now      time.Time
	guards   []*guard
	attempts map[call.AttemptID]attempt
	order    []call.AttemptID

	arrived, done, refused, shed [call.MaxImportance + 1]int
}

const tick = 250 * time.Microsecond

const service call.Service = "cassa"

func newEntry(guards, slots int) *entry {
	rng := rand.New(rand.NewPCG(1, 2))
	en := &entry{
		tb: route.New(route.Settings{Domain: "monza"}, rng), rng: rng, now: time.Unix(1000, 0),
		attempts: map[call.AttemptID]attempt{},
	}
	for i := range guards {
		gd := &guard{vm: call.VM(rune('a' + i)), mc: admission.New(admission.Settings{}, rng), ends: map[call.AttemptID]time.Time{}}
		gd.mc.Step(en.now, admission.Announce{Slots: slots})
		en.tb.Step(en.now, route.Upsert{VM: gd.vm, Service: service, Domain: "monza", Slots: slots})
		en.guards = append(en.guards, gd)
	}
	return en
}

func (en *entry) step(gd *guard, ev admission.Event) {
	for _, ac := range gd.mc.Step(en.now, ev) {
		switch ac := ac.(type) {
		case *admission.Start:
			gd.ends[ac.ID] = en.now.Add(25*time.Millisecond + time.Duration(en.rng.Int64N(int64(50*time.Millisecond))))
			en.order = append(en.order, ac.ID)
		case *admission.Refuse:
			en.answer(ac.ID, call.NotRun)
		}
	}
}

func (en *entry) answer(id call.AttemptID, oc call.Outcome) {
	at := en.attempts[id]
	delete(en.attempts, id)
	en.tb.Step(en.now, route.Answered{
		Service: service, VM: at.gd.vm, Importance: at.imp, Latency: en.now.Sub(at.sent), Outcome: oc, Level: at.gd.mc.Level(),
		Overload: oc == call.NotRun,
	})
	if oc == call.Done {
		en.done[at.imp]++
	} else {
		en.refused[at.imp]++
	}
}

func (en *entry) arrive(imp call.Importance) {
	en.arrived[imp]++
	cohort := call.Cohort(en.rng.Uint32())
	vm, err := en.tb.Choose(en.now, route.Request{Service: service, Importance: imp, Cohort: cohort})
	if err != nil {
		en.shed[imp]++
		return
	}
	gd, id := en.guards[vm[0]-'a'], call.NewAttemptID(en.rng)
	en.attempts[id] = attempt{imp: imp, sent: en.now, gd: gd}
	en.tb.Step(en.now, route.Sent{Service: service, VM: vm, Importance: imp})
	en.step(gd, admission.Arrive{ID: id, Importance: imp, Cohort: cohort, Deadline: en.now.Add(time.Second)})
}

func (en *entry) run(d time.Duration, perTick float64, kinds []call.Importance) {
	clear(en.arrived[:])
	clear(en.done[:])
	clear(en.refused[:])
	clear(en.shed[:])
	for end := en.now.Add(d); en.now.Before(end); en.now = en.now.Add(tick) {
		en.finish()
		for n := perTick; n > 0; n-- {
			if en.rng.Float64() < n {
				en.arrive(kinds[en.rng.IntN(len(kinds))])
			}
		}
		for _, gd := range en.guards {
			en.step(gd, admission.Tick{})
		}
	}
}

// finish ends the attempts that are due.
func (en *entry) finish() {
	due := func(id call.AttemptID) bool { return !en.attempts[id].gd.ends[id].After(en.now) }
	var ended []call.AttemptID
	en.order = slices.DeleteFunc(en.order, func(id call.AttemptID) bool {
		if due(id) {
			ended = append(ended, id)
		}
		return due(id)
	})
	for _, id := range ended {
		gd := en.attempts[id].gd
		delete(gd.ends, id)
		en.answer(id, call.Done)
		en.step(gd, admission.Finish{ID: id, OK: true})
	}
}

// Levels that come back with answers must shed most of the excess at the
// entry, cost no capacity and no important work, and fall after the surge.
func TestEntryAndGuards(t *testing.T) {
	const guards, slots = 4, 35
	const perSecond = guards * slots * 20
	for _, tt := range []struct {
		name  string
		kinds []call.Importance
	}{
		{"mixed", []call.Importance{7, 7, 4, 4, 4, 1, 1, 1, 1, 1}},
		{"equal", []call.Importance{1}},
	} {
		en := newEntry(guards, slots)
		run := func(load float64) {
			en.run(3*time.Second, load*perSecond*tick.Seconds(), tt.kinds)
			t.Logf("%s, load %v: arrived %v done %v refused %v shed %v", tt.name, load, en.arrived, en.done, en.refused, en.shed)
		}
		run(0.8)
		run(3)
		if got := sum(en.done); got < 3*perSecond*95/100 {
			t.Errorf("%s: %d done in the surge, want 95%% of %d", tt.name, got, 3*perSecond)
		}
		if lost := en.refused[7] + en.shed[7]; lost > 0 {
			t.Errorf("%s: %d of the highest importance lost", tt.name, lost)
		}
		if shed, excess := sum(en.shed), sum(en.arrived)-3*perSecond; shed < excess/2 {
			t.Errorf("%s: %d shed at the entry of an excess of %d", tt.name, shed, excess)
		}
		run(0.8)
		if got, arrived := sum(en.done), sum(en.arrived); got < arrived*95/100 {
			t.Errorf("%s: %d of %d done after the surge", tt.name, got, arrived)
		}
	}
}

func sum(counts [call.MaxImportance + 1]int) (n int) {
	for _, count := range counts {
		n += count
	}
	return n
}
