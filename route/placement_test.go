package route_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/cost"
	"camphortrail/internal/lab/virtualtime"
	"camphortrail/route"
)

// placementCase is a load on guards of uneven speed.
type placementCase struct {
	name string
	// load is the demand as a fraction of the capacity, and swing its relative amplitude over 17 s.
	load, swing float64
	// slowness holds the lasting factors of the guards. phases says whether guards are slow 15 % of
	// the time, for half a second, by a factor of 2.5.
	slowness []float64
	phases   bool
	// tail is the share of the requests of importance 4 that cost seven times as much.
	tail float64
	// lateRatio is the most that placement by cost may leave of the late share of importance 7.
	lateRatio float64
}

// placementRun replays a case. Requests of importance 7 are short and urgent.
type placementRun struct {
	*virtualtime.Scheduler
	placementCase
	byCost  bool
	rng     *rand.Rand
	guards  []*costGuard
	entries []*costEntry

	asked, inTime [call.MaxImportance + 1]int
	// lost counts the requests that were shed or refused.
	lost [call.MaxImportance + 1]int
	took [call.MaxImportance + 1]time.Duration
}

type costGuard struct {
	vm       call.VM
	ct       *admission.Controller
	lasting  float64
	slowness float64
	model    *cost.Model
	speed    cost.Speed
	work     cost.Work
	running  map[call.AttemptID]*costAttempt
	waiting  map[call.AttemptID]*costAttempt
}

type costEntry struct {
	tb    *route.Table
	model *cost.Model
}

type costAttempt struct {
	id     call.AttemptID
	imp    call.Importance
	key    cost.Key
	en     *costEntry
	gd     *costGuard
	cohort call.Cohort
	// sent is when the request came, and begun when the last attempt was sent, which is not sent to
	// the excluded VMs again.
	sent, begun time.Time
	exclude     []call.VM
	began       time.Time
	own         time.Duration
	expected    time.Duration
	length      time.Duration
	handle      int
}

const (
	costSlots   = 30
	costEntries = 24
	costDomains = 3
	costLength  = 22 * time.Second
	costWarmUp  = 5 * time.Second
	urgentCost  = 12 * time.Millisecond
	commonCost  = 50 * time.Millisecond
	urgentPart  = 0.4
)

// targets holds the times within which the answers are of use.
var targets = [call.MaxImportance + 1]time.Duration{4: 400 * time.Millisecond, 7: 40 * time.Millisecond}

func newPlacementRun(tc placementCase, byCost bool, seed uint64) *placementRun {
	rng := rand.New(rand.NewPCG(seed, 9))
	pr := &placementRun{Scheduler: virtualtime.New(time.Unix(1000, 0)), placementCase: tc, byCost: byCost, rng: rng}
	domain := func(i int) call.FailureDomain { return call.FailureDomain(rune('0' + i%costDomains)) }
	for i, slow := range tc.slowness {
		gd := &costGuard{
			vm: call.VM(rune('a' + i)), ct: admission.New(admission.Settings{}, rng), lasting: slow, slowness: slow, model: cost.NewModel(),
			running: map[call.AttemptID]*costAttempt{}, waiting: map[call.AttemptID]*costAttempt{},
		}
		gd.ct.Step(pr.Now(), admission.Announce{Slots: costSlots})
		pr.guards = append(pr.guards, gd)
		if tc.phases {
			pr.slowPhase(gd)
		}
		pr.tick(gd)
	}
	for k := range costEntries {
		en := &costEntry{tb: route.New(route.Settings{Domain: domain(k)}, rng), model: cost.NewModel()}
		en.tb.Step(pr.Now(), route.Placement{ByCost: byCost})
		for i, gd := range pr.guards {
			en.tb.Step(pr.Now(), route.Upsert{VM: gd.vm, Service: service, Domain: domain(i), Slots: costSlots})
		}
		pr.entries = append(pr.entries, en)
	}
	pr.arrive()
	pr.Advance(costLength)
	return pr
}

// slowPhase makes a guard slow for half a second after a random time.
func (pr *placementRun) slowPhase(gd *costGuard) {
	const length, part, factor = 500 * time.Millisecond, 0.15, 2.5
	pause := time.Duration(pr.rng.ExpFloat64() * float64(length) * (1 - part) / part)
	pr.After(pause, func() {
		gd.slowness = gd.lasting * factor
		pr.After(length, func() {
			gd.slowness = gd.lasting
			pr.slowPhase(gd)
		})
	})
}

func (pr *placementRun) tick(gd *costGuard) {
	pr.After(5*time.Millisecond, func() {
		pr.step(gd, admission.Tick{})
		pr.tick(gd)
	})
}

// arrive sends a request through a random entry after a random time, and then the next one.
func (pr *placementRun) arrive() {
	capacity := 0.0
	for _, gd := range pr.guards {
		capacity += costSlots / gd.lasting
	}
	if pr.phases {
		capacity /= 1 + 0.15*1.5
	}
	tailFactor := 1 + 6*pr.tail
	mean := urgentPart*urgentCost.Seconds() + (1-urgentPart)*commonCost.Seconds()*tailFactor
	phase := 2 * math.Pi * pr.Now().Sub(time.Unix(1000, 0)).Seconds() / 17
	rate := pr.load * capacity / mean * (1 + pr.swing*math.Sin(phase))
	pr.After(time.Duration(pr.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		pr.request(pr.entries[pr.rng.IntN(len(pr.entries))])
		pr.arrive()
	})
}

func (pr *placementRun) request(en *costEntry) {
	at := &costAttempt{id: call.NewAttemptID(pr.rng), imp: 4, key: cost.KeyOf("common", 0), en: en, sent: pr.Now()}
	at.length = time.Duration(float64(commonCost) * (0.5 + pr.rng.Float64()))
	switch {
	case pr.rng.Float64() < urgentPart:
		at.imp, at.key = 7, cost.KeyOf("urgent", 0)
		at.length = time.Duration(float64(urgentCost) * (0.5 + pr.rng.Float64()))
	case pr.rng.Float64() < pr.tail:
		at.length *= 7
	}
	if pr.counts(at) {
		pr.asked[at.imp]++
	}
	if pr.byCost {
		at.expected = en.model.Estimate(at.key).Mean
	}
	at.cohort = call.Cohort(pr.rng.Uint32())
	pr.send(at, nil)
}

// send sends an attempt to a VM that is not excluded.
func (pr *placementRun) send(at *costAttempt, exclude []call.VM) {
	en := at.en
	rq := route.Request{Service: service, Importance: at.imp, Cohort: at.cohort, Cost: at.expected, Exclude: exclude}
	vm, err := en.tb.Choose(pr.Now(), rq)
	if err != nil {
		pr.lost[at.imp]++
		return
	}
	at.exclude = append(exclude, vm)
	at.begun = pr.Now()
	at.gd = pr.guards[vm[0]-'a']
	en.tb.Step(pr.Now(), route.Sent{Service: service, VM: vm, Importance: at.imp, Cost: at.expected})
	pr.After(time.Millisecond, func() {
		at.gd.waiting[at.id] = at
		pr.step(at.gd, admission.Arrive{ID: at.id, Importance: at.imp, Cohort: at.cohort, Deadline: at.sent.Add(time.Second)})
	})
}

func (pr *placementRun) counts(at *costAttempt) bool {
	return at.sent.Sub(time.Unix(1000, 0)) >= costWarmUp
}

func (pr *placementRun) step(gd *costGuard, ev admission.Event) {
	for _, ac := range gd.ct.Step(pr.Now(), ev) {
		switch ac := ac.(type) {
		case *admission.Start:
			at := gd.waiting[ac.ID]
			delete(gd.waiting, ac.ID)
			gd.running[ac.ID] = at
			at.began, at.own = pr.Now(), time.Duration(float64(at.length)*gd.slowness)
			at.handle = gd.work.Begin(pr.Now(), gd.model.Estimate(at.key))
			pr.After(at.own, func() { pr.finish(at) })
		case *admission.Refuse:
			at := gd.waiting[ac.ID]
			delete(gd.waiting, ac.ID)
			pr.answer(at, call.NotRun)
		}
	}
}

func (pr *placementRun) finish(at *costAttempt) {
	gd := at.gd
	delete(gd.running, at.id)
	gd.work.End(at.handle)
	gd.speed.Add(pr.Now(), at.own, gd.model.Estimate(at.key).Mean)
	gd.model.Add(pr.Now(), at.key, at.own)
	pr.answer(at, call.Done)
	pr.step(gd, admission.Finish{ID: at.id, OK: true})
}

// answer sends the answer of the guard to the entry.
func (pr *placementRun) answer(at *costAttempt, oc call.Outcome) {
	gd := at.gd
	factor, age := gd.speed.Slowness(pr.Now())
	ahead := gd.work.Remaining(pr.Now())
	for _, other := range gd.waiting {
		if other.imp >= at.imp {
			ahead += gd.model.Estimate(other.key).Mean
		}
	}
	ev := route.Answered{
		Service: service, VM: gd.vm, Importance: at.imp, Outcome: oc, Level: gd.ct.Level(),
		DelayedLevel: gd.ct.DelayedLevel(), Occupancy: gd.ct.Occupancy(), Overload: oc == call.NotRun,
	}
	if pr.byCost {
		ev.Load = route.Load{
			Reported: true, Ahead: time.Duration(float64(ahead) * factor / costSlots), Slowness: factor, Age: age, Own: at.own, Cost: at.expected,
		}
	}
	pr.After(time.Millisecond, func() {
		took := pr.Now().Sub(at.sent)
		ev.Latency = pr.Now().Sub(at.begun)
		at.en.tb.Step(pr.Now(), ev)
		if oc != call.Done {
			// Refusals by guards are sent on, as entries do.
			if len(at.exclude) <= 3 && took < targets[at.imp] {
				at.id = call.NewAttemptID(pr.rng)
				pr.send(at, at.exclude)
			} else {
				pr.lost[at.imp]++
			}
			return
		}
		at.en.model.Add(pr.Now(), at.key, at.own)
		if pr.counts(at) {
			pr.took[at.imp] += took
			if took <= targets[at.imp] {
				pr.inTime[at.imp]++
			}
		}
	})
}

// Placement by cost must bring more answers in time than the rule by outstanding attempts where
// upstreams are uneven, and as many where only the requests differ in cost. The late share of the
// urgent requests must fall to two thirds at least.
func TestPlacementByCost(t *testing.T) {
	uneven := []float64{0.59, 0.8, 1, 1, 1.3, 2}
	for _, tc := range []placementCase{
		{name: "uneven speeds", load: 0.7, slowness: uneven, lateRatio: 2.0 / 3},
		{name: "uneven speeds and slow phases", load: 0.7, slowness: uneven, phases: true, lateRatio: 2.0 / 3},
		{name: "heavy tail", load: 0.75, slowness: []float64{1, 1, 1, 1, 1, 1}, tail: 0.03, lateRatio: 1},
		{name: "swing by half", load: 0.62, swing: 0.5, slowness: uneven, phases: true, tail: 0.03, lateRatio: 2.0 / 3},
	} {
		before, after := newPlacementRun(tc, false, 1), newPlacementRun(tc, true, 1)
		for _, pr := range []*placementRun{before, after} {
			for _, imp := range []call.Importance{7, 4} {
				t.Logf("%s, by cost %t, importance %d: %.4f of %d in time, %d lost, mean %v", tc.name, pr.byCost, imp, pr.share(imp), pr.asked[imp],
					pr.lost[imp], (pr.took[imp] / time.Duration(pr.asked[imp])).Round(100*time.Microsecond))
			}
		}
		// Shares differ by about 0.001 from seed to seed.
		const noise = 0.001
		if late, was := 1-after.share(7), 1-before.share(7); late > was*tc.lateRatio+noise {
			t.Errorf("%s: %.4f of importance 7 late, %.4f by outstanding attempts", tc.name, late, was)
		}
		if got, was := after.share(4), before.share(4); got < was-noise || got < 0.98 {
			t.Errorf("%s: %.4f of importance 4 in time, %.4f by outstanding attempts", tc.name, got, was)
		}
	}
}

// A VM whose node is of an earlier version and reports no load must get as many attempts as another
// one, not ever fewer because all that was ever sent to it counts as work ahead.
func TestVMWithoutReportsIsChosen(t *testing.T) {
	tb := route.New(route.Settings{Domain: "d"}, rand.New(rand.NewPCG(1, 3)))
	now := time.Unix(1000, 0)
	tb.Step(now, route.Placement{ByCost: true})
	for _, vm := range []call.VM{"old", "new"} {
		tb.Step(now, route.Upsert{VM: vm, Service: service, Domain: "d", Slots: 10})
	}
	chosen := map[call.VM]int{}
	const choices = 2000
	for range choices {
		now = now.Add(time.Millisecond)
		vm, err := tb.Choose(now, route.Request{Service: service, Importance: 5, Cost: 20 * time.Millisecond})
		if err != nil {
			t.Fatal(err)
		}
		chosen[vm]++
		tb.Step(now, route.Sent{Service: service, VM: vm, Importance: 5, Cost: 20 * time.Millisecond})
		ev := route.Answered{Service: service, VM: vm, Importance: 5, Outcome: call.Done, Latency: 20 * time.Millisecond, Occupancy: 60}
		if vm == "new" {
			ev.Load = route.Load{Reported: true, Slowness: 1, Own: 20 * time.Millisecond, Cost: 20 * time.Millisecond}
		}
		tb.Step(now, ev)
	}
	if old := chosen["old"]; old < choices/3 || old > choices*2/3 {
		t.Errorf("the VM without reports was chosen %d times of %d, want about half", old, choices)
	}
}

// Entries take the time of a choice before they get the lock of the table. If a busy VM delays that by
// more than the half-life of a slowness, and a report is applied meanwhile, the choice must not panic.
func TestChoiceBeforeTheTimeOfAReport(t *testing.T) {
	tb := route.New(route.Settings{Domain: "d"}, rand.New(rand.NewPCG(1, 3)))
	now := time.Unix(1000, 0)
	tb.Step(now, route.Placement{ByCost: true})
	tb.Step(now, route.Upsert{VM: "vm", Service: service, Domain: "d", Slots: 10, WarmUp: time.Second})
	now = now.Add(time.Second)
	ev := route.Answered{Service: service, VM: "vm", Importance: 5, Outcome: call.Done, Latency: 20 * time.Millisecond}
	ev.Load = route.Load{Reported: true, Slowness: 2}
	tb.Step(now, ev)
	for _, before := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 2 * time.Second} {
		rq := route.Request{Service: service, Importance: 5, Cost: 20 * time.Millisecond}
		if vm, err := tb.Choose(now.Add(-before), rq); vm != "vm" || err != nil {
			t.Errorf("%v before the report: %q, %v", before, vm, err)
		}
	}
}

func (pr *placementRun) share(imp call.Importance) float64 {
	return float64(pr.inTime[imp]) / float64(pr.asked[imp])
}
