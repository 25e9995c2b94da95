package route

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/fuzzing"

	"pgregory.net/rapid"
)

func init() {
	fuzzing.Fix(0, 150)
}

var epoch = time.Unix(1000, 0)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

const testService call.Service = "cassa"

// known is what the oracle knows of a VM.
type known struct {
	Upsert
	suspect     bool
	level       call.Level
	pressure    call.Level
	levelAt     time.Time
	outstanding []call.Importance
}

// oracle checks choices over a plain list of VMs.
type oracle struct {
	t   *rapid.T
	tb  *Table
	now time.Time
	vms map[call.VM]*known
	// seen holds the time of the last request by importance.
	seen [call.MaxImportance + 1]time.Time
}

func (or *oracle) rank(kn *known) int {
	switch kn.Domain {
	case "d0":
		return 0
	case "d1":
		return 1
	default:
		return 2
	}
}

func (or *oracle) usable(kn *known) bool {
	at := slices.IndexFunc(or.tb.Upstreams(or.now, testService), func(en UpstreamInfo) bool { return en.VM == kn.VM })
	return !kn.Draining && !kn.suspect && !or.tb.Upstreams(or.now, testService)[at].Ejected
}

func (or *oracle) admits(kn *known, lv call.Level) bool {
	return kn.level <= lv || or.now.Sub(kn.levelAt) >= 250*time.Millisecond
}

// delayed reports whether an attempt would have to wait at the VM.
func (or *oracle) delayed(kn *known, rq Request) bool {
	fresh := or.now.Sub(kn.levelAt) < 250*time.Millisecond
	ahead := 0
	for _, imp := range kn.outstanding {
		if imp >= rq.Importance {
			ahead++
		}
	}
	return ahead >= kn.Slots || (fresh && kn.level > 0 && kn.level.Importance() >= rq.Importance) ||
		(fresh && kn.pressure >= call.LevelOf(rq.Importance, rq.Cohort))
}

// options sums up what Choose may do.
type options struct {
	allowed, reachable, admitting int
	anyAdmits                     bool
	bestRank                      int
	// bestUndelayed is the best rank of those that admit without delay.
	bestUndelayed int
}

func (or *oracle) options(rq Request) options {
	op := options{bestRank: 3, bestUndelayed: 3}
	lv := call.LevelOf(rq.Importance, rq.Cohort)
	for _, kn := range or.vms {
		usable, excluded := or.usable(kn), slices.Contains(rq.Exclude, kn.VM)
		op.anyAdmits = op.anyAdmits || (usable && or.admits(kn, lv))
		if kn.Draining || excluded {
			continue
		}
		op.allowed++
		if !usable {
			continue
		}
		op.reachable++
		if or.admits(kn, lv) {
			op.admitting++
			op.bestRank = min(op.bestRank, or.rank(kn))
			if rank := or.rank(kn); rank < 2 && !or.delayed(kn, rq) {
				op.bestUndelayed = min(op.bestUndelayed, rank)
			}
		}
	}
	return op
}

func (or *oracle) choose(rq Request) error {
	op := or.options(rq)
	if len(or.vms) > 0 {
		or.seen[rq.Importance] = or.now
	}
	vm, err := or.tb.Choose(or.now, rq)
	switch {
	case errors.Is(err, ErrNoUpstream):
		if op.allowed > 0 {
			or.t.Fatalf("%v with %+v", err, op)
		}
		return err
	case errors.Is(err, ErrShed):
		if op.anyAdmits || op.reachable == 0 {
			or.t.Fatalf("%v with %+v", err, op)
		}
		return err
	}
	kn := or.vms[vm]
	lv := call.LevelOf(rq.Importance, rq.Cohort)
	switch {
	case kn == nil || kn.Draining || slices.Contains(rq.Exclude, vm):
		or.t.Fatalf("chose %q of %+v", vm, op)
	case op.bestUndelayed < 3 && (!or.usable(kn) || !or.admits(kn, lv) || or.delayed(kn, rq) || or.rank(kn) != op.bestUndelayed):
		or.t.Fatalf("chose %+v with %+v", kn, op)
	case op.bestUndelayed == 3 && op.admitting > 0 && (!or.usable(kn) || !or.admits(kn, lv) || or.rank(kn) != op.bestRank):
		or.t.Fatalf("chose %+v with %+v", kn, op)
	case op.reachable > 0 && !or.usable(kn):
		or.t.Fatalf("chose unreachable %+v with %+v", kn, op)
	case op.reachable > 0 && op.admitting == 0 && !op.anyAdmits:
		or.checkTrickle(rq.Importance)
	}
	or.tb.Step(or.now, Sent{Service: testService, VM: vm, Importance: rq.Importance})
	kn.outstanding = append(kn.outstanding, rq.Importance)
	return nil
}

func (or *oracle) checkTrickle(imp call.Importance) {
	for higher := imp + 1; higher <= call.MaxImportance; higher++ {
		if at := or.seen[higher]; !at.IsZero() && or.now.Sub(at) < importanceWindow {
			or.t.Fatalf("importance %d let through %v after %d was requested", imp, or.now.Sub(at), higher)
		}
	}
}

func (or *oracle) request(t *rapid.T) {
	rq := Request{
		Service:    testService,
		Importance: call.Importance(rapid.IntRange(1, 7).Draw(t, "importance")),
		Cohort:     call.Cohort(rapid.IntRange(0, 255).Draw(t, "cohort")),
	}
	for range rapid.SampledFrom([]int{0, 0, 0, 1, 3}).Draw(t, "exclude") {
		rq.Exclude = append(rq.Exclude, testVM(t))
	}
	if !errors.Is(or.choose(rq), ErrShed) || rq.Importance == 1 {
		return
	}
	rq.Importance = call.Importance(rapid.IntRange(1, int(rq.Importance)-1).Draw(t, "lower"))
	if err := or.choose(rq); !errors.Is(err, ErrShed) {
		t.Fatalf("importance %d not shed (%v) after a higher one was", rq.Importance, err)
	}
}

func testVM(t *rapid.T) call.VM {
	return call.VM(fmt.Sprintf("vm-%d", rapid.IntRange(0, 5).Draw(t, "vm")))
}

func (or *oracle) upsert(t *rapid.T) {
	ev := Upsert{
		VM: testVM(t), Service: testService, Slots: rapid.SampledFrom([]int{1, 2, 300}).Draw(t, "slots"),
		Domain:   call.FailureDomain(rapid.SampledFrom([]string{"d0", "d1", "d2"}).Draw(t, "domain")),
		Draining: rapid.IntRange(0, 4).Draw(t, "draining") == 0, Incarnation: uint64(rapid.IntRange(0, 3).Draw(t, "incarnation")),
	}
	or.tb.Step(or.now, ev)
	kn := or.vms[ev.VM]
	if kn == nil || ev.Incarnation > kn.Incarnation {
		kn = &known{}
	}
	if ev.Incarnation >= kn.Incarnation {
		kn.Upsert = ev
		or.vms[ev.VM] = kn
	}
}

func (or *oracle) answer(t *rapid.T) {
	vm := testVM(t)
	kn := or.vms[vm]
	if kn == nil || len(kn.outstanding) == 0 {
		return
	}
	imp := kn.outstanding[0]
	kn.outstanding = kn.outstanding[1:]
	if rapid.IntRange(0, 2).Draw(t, "failed") == 0 {
		or.tb.Step(or.now, Failed{Service: testService, VM: vm, Importance: imp, Latency: time.Second})
		return
	}
	level := call.Level(rapid.SampledFrom([]int{0, 0x180, 0x480, 0x780, 0x7ff, 0x7ff}).Draw(t, "level"))
	pressure := call.Level(rapid.SampledFrom([]int{0, 0, 0x280, 0x680}).Draw(t, "pressure"))
	kn.level, kn.pressure, kn.levelAt = level, pressure, or.now
	or.tb.Step(or.now, Answered{
		Service: testService, VM: vm, Importance: imp, Level: level, DelayedLevel: pressure, Outcome: call.Done,
		Latency: time.Duration(rapid.IntRange(0, 100).Draw(t, "latency")) * time.Millisecond,
	})
}

func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		or := &oracle{t: t, tb: New(Settings{Domain: "d0"}, testRand()), now: epoch, vms: map[call.VM]*known{}}
		or.tb.Step(or.now, SameRegion{Domains: []call.FailureDomain{"d1"}})
		request := func(t *rapid.T) { or.request(t) }
		answer := func(t *rapid.T) { or.answer(t) }
		t.Repeat(map[string]func(*rapid.T){
			"request": request, "request2": request, "request3": request,
			"answer": answer, "answer2": answer, "answer3": answer,
			"upsert": or.upsert,
			"remove": func(t *rapid.T) {
				vm := testVM(t)
				or.tb.Step(or.now, Remove{VM: vm, Service: testService})
				delete(or.vms, vm)
				if len(or.vms) == 0 {
					clear(or.seen[:])
				}
			},
			"suspect": func(t *rapid.T) {
				vm, suspect := testVM(t), rapid.IntRange(0, 3).Draw(t, "suspect") == 0
				var ev Event = Alive{VM: vm}
				if suspect {
					ev = Suspect{VM: vm}
				}
				or.tb.Step(or.now, ev)
				if kn := or.vms[vm]; kn != nil {
					kn.suspect = suspect
				}
			},
			"pass": func(t *rapid.T) {
				or.now = or.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(t, "ms")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				for _, en := range or.tb.Upstreams(or.now, testService) {
					kn := or.vms[en.VM]
					if kn == nil || len(kn.outstanding) != en.Outstanding || kn.Slots != en.Slots {
						t.Fatalf("table holds %+v, want %+v", en, kn)
					}
				}
			},
		})
	})
}

// The occupancy of a service is the mean of the VMs that answered lately, by
// their slots.
func TestOccupancy(t *testing.T) {
	tb := New(Settings{Domain: "d1"}, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	for _, up := range []struct {
		vm    call.VM
		slots int
	}{{"a", 10}, {"b", 30}, {"c", 30}} {
		tb.Step(now, Upsert{VM: up.vm, Service: "cassa", Domain: "d1", Slots: up.slots})
	}
	answer := func(vm call.VM, oc call.Occupancy) {
		tb.Step(now, Sent{Service: "cassa", VM: vm, Importance: 5})
		tb.Step(now, Answered{Service: "cassa", VM: vm, Importance: 5, Latency: time.Millisecond, Occupancy: oc})
	}
	if oc := tb.Occupancy(now, "cassa"); oc != 0 {
		t.Errorf("occupancy %d before any answer, want 0", oc)
	}
	answer("c", 400)
	now = now.Add(occupancyLife)
	answer("a", 200)
	answer("b", 40)
	if oc := tb.Occupancy(now, "cassa"); oc != 80 {
		t.Errorf("occupancy %d, want 80", oc)
	}
}
