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
	ct   *admission.Controller
	ends map[call.AttemptID]time.Time
}

type attempt struct {
	imp  call.Importance
	sent time.Time
	tb   *route.Table
	gd   *guard
}

// world sends random work from entries to guards and takes their answers, in
// virtual time.
type world struct {
	rng      *rand.Rand
	now      time.Time
	tables   []*route.Table
	guards   []*guard
	attempts map[call.AttemptID]attempt
	order    []call.AttemptID

	arrived, done, refused, shed [call.MaxImportance + 1]int
}

const (
	tick                    = 500 * time.Microsecond
	guards                  = 4
	slots                   = 35
	perSecond               = guards * slots * 20
	service    call.Service = "cassa"
	oneDomain               = 1
	allDomains              = guards
)

// newWorld spreads entries and guards over failure domains.
func newWorld(entries, domains int) *world {
	rng := rand.New(rand.NewPCG(1, 2))
	wo := &world{rng: rng, now: time.Unix(1000, 0), attempts: map[call.AttemptID]attempt{}}
	domain := func(i int) call.FailureDomain { return call.FailureDomain(rune('0' + i%domains)) }
	for i := range guards {
		gd := &guard{vm: call.VM(rune('a' + i)), ct: admission.New(admission.Settings{}, rng), ends: map[call.AttemptID]time.Time{}}
		gd.ct.Step(wo.now, admission.Announce{Slots: slots})
		wo.guards = append(wo.guards, gd)
	}
	for k := range entries {
		tb := route.New(route.Settings{Domain: domain(k)}, rng)
		for i, gd := range wo.guards {
			tb.Step(wo.now, route.Upsert{VM: gd.vm, Service: service, Domain: domain(i), Slots: slots})
		}
		wo.tables = append(wo.tables, tb)
	}
	return wo
}

func (wo *world) step(gd *guard, ev admission.Event) {
	for _, ac := range gd.ct.Step(wo.now, ev) {
		switch ac := ac.(type) {
		case *admission.Start:
			gd.ends[ac.ID] = wo.now.Add(25*time.Millisecond + time.Duration(wo.rng.Int64N(int64(50*time.Millisecond))))
			wo.order = append(wo.order, ac.ID)
		case *admission.Refuse:
			wo.answer(ac.ID, call.NotRun)
		}
	}
}

func (wo *world) answer(id call.AttemptID, oc call.Outcome) {
	at := wo.attempts[id]
	delete(wo.attempts, id)
	at.tb.Step(wo.now, route.Answered{
		Service: service, VM: at.gd.vm, Importance: at.imp, Latency: wo.now.Sub(at.sent), Outcome: oc, Level: at.gd.ct.Level(), DelayedLevel: at.gd.ct.DelayedLevel(),
		Overload: oc == call.NotRun,
	})
	if oc == call.Done {
		wo.done[at.imp]++
	} else {
		wo.refused[at.imp]++
	}
}

func (wo *world) arrive(tb *route.Table, imp call.Importance) {
	wo.arrived[imp]++
	cohort := call.Cohort(wo.rng.Uint32())
	vm, err := tb.Choose(wo.now, route.Request{Service: service, Importance: imp, Cohort: cohort})
	if err != nil {
		wo.shed[imp]++
		return
	}
	gd, id := wo.guards[vm[0]-'a'], call.NewAttemptID(wo.rng)
	wo.attempts[id] = attempt{imp: imp, sent: wo.now, tb: tb, gd: gd}
	tb.Step(wo.now, route.Sent{Service: service, VM: vm, Importance: imp})
	wo.step(gd, admission.Arrive{ID: id, Importance: imp, Cohort: cohort, Deadline: wo.now.Add(time.Second)})
}

// run offers a multiple of the capacity. Half of it or more comes through the
// first entry if skew is set.
func (wo *world) run(d time.Duration, load float64, skew bool, kinds []call.Importance) {
	perTick := load * perSecond * tick.Seconds()
	clear(wo.arrived[:])
	clear(wo.done[:])
	clear(wo.refused[:])
	clear(wo.shed[:])
	for end := wo.now.Add(d); wo.now.Before(end); wo.now = wo.now.Add(tick) {
		wo.finish()
		for n := perTick; n > 0; n-- {
			if wo.rng.Float64() < n {
				wo.arrive(wo.table(skew), kinds[wo.rng.IntN(len(kinds))])
			}
		}
		for _, gd := range wo.guards {
			wo.step(gd, admission.Tick{})
		}
	}
}

func (wo *world) table(skew bool) *route.Table {
	if skew && wo.rng.IntN(2) == 0 {
		return wo.tables[0]
	}
	return wo.tables[wo.rng.IntN(len(wo.tables))]
}

// finish ends the attempts that are due.
func (wo *world) finish() {
	due := func(id call.AttemptID) bool { return !wo.attempts[id].gd.ends[id].After(wo.now) }
	var ended []call.AttemptID
	wo.order = slices.DeleteFunc(wo.order, func(id call.AttemptID) bool {
		if due(id) {
			ended = append(ended, id)
		}
		return due(id)
	})
	for _, id := range ended {
		gd := wo.attempts[id].gd
		delete(gd.ends, id)
		wo.answer(id, call.Done)
		wo.step(gd, admission.Finish{ID: id, OK: true})
	}
}

// Levels and pressure that come back with answers must shed most of the
// excess at the entry, cost no capacity and no important work, share the load
// of one failure domain with the others, and fall after the surge.
func TestEntriesAndGuards(t *testing.T) {
	mixed := []call.Importance{7, 7, 4, 4, 4, 1, 1, 1, 1, 1}
	for _, tt := range []struct {
		name             string
		entries, domains int
		skew             bool
		kinds            []call.Importance
	}{
		{"one entry", 1, oneDomain, false, mixed},
		{"one entry, equal work", 1, oneDomain, false, []call.Importance{1}},
		{"4 domains", 4, allDomains, false, mixed},
		{"4 domains, uneven", 4, allDomains, true, mixed},
		{"40 entries, uneven", 40, allDomains, true, mixed},
	} {
		wo := newWorld(tt.entries, tt.domains)
		run := func(d time.Duration, load float64) {
			wo.run(d, load, tt.skew, tt.kinds)
			t.Logf("%s, load %v: arrived %v done %v refused %v shed %v", tt.name, load, wo.arrived, wo.done, wo.refused, wo.shed)
		}
		run(2*time.Second, 0.8)
		if lost, arrived := sum(wo.refused)+sum(wo.shed), sum(wo.arrived); lost*100 > arrived {
			t.Errorf("%s: %d of %d lost before the surge", tt.name, lost, arrived)
		}
		run(3*time.Second, 3)
		if got := sum(wo.done); got < 3*perSecond*95/100 {
			t.Errorf("%s: %d done in the surge, want 95%% of %d", tt.name, got, 3*perSecond)
		}
		if lost := wo.refused[7] + wo.shed[7]; lost*1000 > wo.arrived[7] {
			t.Errorf("%s: %d of %d of the highest importance lost", tt.name, lost, wo.arrived[7])
		}
		if shed, excess := sum(wo.shed), sum(wo.arrived)-3*perSecond; shed < excess/2 {
			t.Errorf("%s: %d shed at the entry of an excess of %d", tt.name, shed, excess)
		}
		run(500*time.Millisecond, 0.8)
		run(time.Second, 0.8)
		if got, arrived := sum(wo.done), sum(wo.arrived); got < arrived*95/100 {
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
