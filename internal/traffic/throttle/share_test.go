package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
)

// deepLoad replays the arrivals at several entries of requests whose calls, one after the
// other, all go to one service with a queue. The service refuses nothing.
type deepLoad struct {
	now     time.Time
	rng     *rand.Rand
	entries []*Controller
	// withoutOccupancy hides the occupancy from the entries.
	withoutOccupancy bool

	waiting, running []*deepTree
	occupancy        float64
	kinds
}

// deepTree is one admitted request.
type deepTree struct {
	entry    int
	class    call.Class
	imp      call.Importance
	calls    int
	ends     time.Time
	deadline time.Time
}

const (
	deepEntries  = 8
	deepSlots    = 20
	deepCalls    = 8
	deepService  = 20 * time.Millisecond
	deepDeadline = time.Second
	// deepCapacity is the number of requests that the service can carry per second.
	deepCapacity = float64(deepSlots) * float64(time.Second) / float64(deepCalls*deepService)
)

func newDeepLoad(seed uint64) *deepLoad {
	dl := &deepLoad{now: time.Unix(0, 0), rng: rand.New(rand.NewPCG(seed, seed))}
	for range deepEntries {
		dl.entries = append(dl.entries, New())
	}
	return dl
}

// run replays arrivals of each importance at rates relative to the capacity.
func (dl *deepLoad) run(length time.Duration, arrivals map[call.Importance]float64) kinds {
	const step = time.Millisecond
	dl.kinds = kinds{}
	for end := dl.now.Add(length); dl.now.Before(end); {
		dl.now = dl.now.Add(step)
		for imp := call.MinImportance; imp <= call.MaxImportance; imp++ {
			if dl.rng.Float64() < arrivals[imp]*deepCapacity*step.Seconds() {
				dl.arrive(imp)
			}
		}
		dl.serve()
	}
	return dl.kinds
}

func (dl *deepLoad) arrive(imp call.Importance) {
	tr := &deepTree{
		entry: dl.rng.IntN(deepEntries), class: call.Class(rune('0' + imp)), imp: imp,
		calls: deepCalls, deadline: dl.now.Add(deepDeadline),
	}
	if !dl.entries[tr.entry].Admit(dl.now, Request{Class: tr.class, Importance: imp}, dl.rng.Float64()).Admitted {
		dl.kinds[imp].refused++
		return
	}
	dl.waiting = append(dl.waiting, tr)
}

// serve ends and starts calls, those of more important requests first.
func (dl *deepLoad) serve() {
	var left []*deepTree
	for _, tr := range dl.running {
		if tr.ends.After(dl.now) {
			left = append(left, tr)
		} else if tr.calls--; tr.calls > 0 {
			dl.waiting = append(dl.waiting, tr)
		} else {
			dl.finish(tr, true)
		}
	}
	dl.running = left
	for imp := call.MaxImportance; imp >= call.MinImportance; imp-- {
		left = nil
		for _, tr := range dl.waiting {
			switch {
			case !tr.deadline.After(dl.now):
				dl.finish(tr, false)
			case tr.imp == imp && len(dl.running) < deepSlots:
				tr.ends = dl.now.Add(deepService/2 + time.Duration(dl.rng.Int64N(int64(deepService))))
				dl.running = append(dl.running, tr)
			default:
				left = append(left, tr)
			}
		}
		dl.waiting = left
	}
	const smooth = 0.02
	dl.occupancy += smooth * (100*float64(len(dl.running)+len(dl.waiting))/deepSlots - dl.occupancy)
}

func (dl *deepLoad) finish(tr *deepTree, succeeded bool) {
	rs := Result{Succeeded: succeeded, Occupancy: call.Occupancy(dl.occupancy)}
	if dl.withoutOccupancy {
		rs.Occupancy = 0
	}
	dl.entries[tr.entry].Finish(dl.now, tr.class, rs)
	if succeeded {
		dl.kinds[tr.imp].succeeded++
	} else {
		dl.kinds[tr.imp].wasted++
	}
}

// TestDeepServiceAtItsLimit sends a deep service two and a half times its capacity. It
// guards against capacity that goes unused, against requests that are lost after work
// because the queue of the service is long, against refusing important requests first,
// and against refusals long after the load has fallen. Without the occupancy, at least
// ten times as many requests are lost and fewer succeed.
func TestDeepServiceAtItsLimit(t *testing.T) {
	const length = 5 * time.Second
	capacity := deepCapacity * length.Seconds()
	overload := map[call.Importance]float64{7: 0.5, 5: 2}
	var served, lost, servedHidden, lostHidden int
	for seed := range uint64(3) {
		dl := newDeepLoad(seed)
		dl.run(3*time.Second, overload)
		got := dl.run(length, overload)
		succeeded := float64(got[5].succeeded + got[7].succeeded)
		t.Logf("seed %d: capacity %.0f, important %+v, others %+v, occupancy %.0f", seed, capacity, got[7], got[5], dl.occupancy)
		if succeeded < 0.9*capacity {
			t.Errorf("seed %d: %.0f of %.0f requests that the service can carry succeeded", seed, succeeded, capacity)
		}
		if wasted := got[5].wasted + got[7].wasted; float64(wasted) > 0.02*succeeded {
			t.Errorf("seed %d: %d requests were abandoned after work", seed, wasted)
		}
		if all := got[7].succeeded + got[7].wasted + got[7].refused; float64(got[7].succeeded) < 0.95*float64(all) {
			t.Errorf("seed %d: %d of %d important requests succeeded", seed, got[7].succeeded, all)
		}
		calm := map[call.Importance]float64{7: 0.25, 5: 0.25}
		dl.run(time.Second, calm)
		if got := dl.run(length, calm); float64(got[5].refused+got[7].refused) > 0.02*capacity {
			t.Errorf("seed %d: %d requests refused more than a second after the overload", seed, got[5].refused+got[7].refused)
		}

		dl = newDeepLoad(seed)
		dl.withoutOccupancy = true
		dl.run(3*time.Second, overload)
		hidden := dl.run(length, overload)
		t.Logf("seed %d, without occupancy: important %+v, others %+v", seed, hidden[7], hidden[5])
		served += got[5].succeeded + got[7].succeeded
		lost += got[5].wasted + got[7].wasted
		servedHidden += hidden[5].succeeded + hidden[7].succeeded
		lostHidden += hidden[5].wasted + hidden[7].wasted
	}
	if lostHidden <= 10*lost || servedHidden >= served {
		t.Errorf("%d requests lost and %d succeeded without the occupancy, %d and %d with it", lostHidden, servedHidden, lost, served)
	}
}

// TestImportantClassYieldsLast guards against refusing an important class while a less
// important one that calls the same service is clearly above its minimum share. Until
// then an important request that exceeds its share is admitted, and counts as admitted.
func TestImportantClassYieldsLast(t *testing.T) {
	ctl, now := New(), time.Unix(0, 0)
	refused := 0
	for range 400 {
		now = now.Add(10 * time.Millisecond)
		for imp, class := range map[call.Importance]call.Class{5: "look-up", 7: "issue"} {
			minShare := max(ctl.minShare(now), probeShare)
			if ctl.Admit(now, Request{Class: class, Importance: imp}, 1).Admitted {
				ctl.Finish(now, class, Result{Succeeded: true, Occupancy: 400})
				continue
			}
			if class != "issue" {
				continue
			}
			refused++
			if got := ctl.classes[classKey{class: "look-up"}].share.value; got > yieldMargin*minShare {
				t.Fatalf("an issue is refused while %.2f of the look-ups are admitted, minimum %.2f", got, minShare)
			}
		}
	}
	if refused == 0 {
		t.Error("no issue is refused at an occupancy far above all targets; the test checks nothing")
	}
}
