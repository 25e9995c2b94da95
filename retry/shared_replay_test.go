package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/virtualtime"
	"camphortrail/retry"
)

const (
	replayGuards   = 6
	replaySlots    = 89
	replayService  = 47 * time.Millisecond
	replayHop      = time.Millisecond
	replayRatio    = 0.2
	replaySlack    = 112.0
	replayRefusal  = 0.55
	replayDeadline = 1500 * time.Millisecond
	faultStart     = 25 * time.Second
	faultLength    = 8500 * time.Millisecond
	replayLength   = 45 * time.Second
	// replayBucket is the resolution at which the test counts sends.
	replayBucket = 10 * time.Millisecond
)

// treeKind is a kind of call tree: a number of calls in sequence.
type treeKind struct {
	importance call.Importance
	perSecond  float64
	calls      int
}

// replayKinds are 1,260 calls a second of trees of four calls, 400 single requests, and 1,000
// requests that make four calls.
var replayKinds = []treeKind{{7, 315, 4}, {6, 400, 1}, {5, 1000, 4}}

// replay runs call trees against guards whose upstreams refuse a part of what they get.
type replay struct {
	*virtualtime.Scheduler
	rng *rand.Rand
	// shared says whether guards send again. demand returns the factor of the demand.
	shared  bool
	demand  func(at time.Duration) float64
	guards  [replayGuards]*replayGuard
	entries [replayGuards]*replayEntry
	// begun and done count the trees that begin during the fault, and those that succeed.
	begun, done [call.MaxImportance + 1]int
	// first and further count the sends by bucket of time, and byGuards and byEntries the further
	// ones by who made them.
	first, further      []float64
	byGuards, byEntries int
	refusals            int
}

type replayEntry struct {
	ratio  *retry.Ratio
	window *retry.Window
}

type replayGuard struct {
	total   *retry.SharedTotal
	running int
	waiting []func()
}

// replayTree is a call tree in progress.
type replayTree struct {
	kind    treeKind
	entry   *replayEntry
	cohort  call.Cohort
	done    int
	retried bool
	counted bool
	end     time.Time
}

func newReplay(shared bool, demand func(time.Duration) float64) *replay {
	rp := &replay{
		Scheduler: virtualtime.New(epoch), rng: rand.New(rand.NewPCG(4, 4)), shared: shared, demand: demand,
		first: make([]float64, replayLength/replayBucket), further: make([]float64, replayLength/replayBucket),
	}
	for i := range rp.guards {
		rp.guards[i] = &replayGuard{total: retry.NewSharedTotal(replayRatio * 3 / 4)}
		rp.entries[i] = &replayEntry{retry.NewRatio(replayRatio / 4 * 100), retry.NewWindow(replayRatio / 4 * 100)}
		rp.entries[i].ratio.SetMinRetries(replaySlack / 2 / replayGuards)
		rp.entries[i].window.SetSlack(replaySlack / replayGuards)
	}
	for _, kd := range replayKinds {
		rp.arrive(kd)
	}
	rp.Advance(replayLength)
	return rp
}

func (rp *replay) at() time.Duration { return rp.Now().Sub(epoch) }

func (rp *replay) faulty() bool { return rp.at() >= faultStart && rp.at() < faultStart+faultLength }

// arrive begins a tree after a random time, and then the next one.
func (rp *replay) arrive(kd treeKind) {
	rate := kd.perSecond * rp.demand(rp.at())
	rp.After(time.Duration(rp.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		tr := &replayTree{
			kind: kd, entry: rp.entries[rp.rng.IntN(replayGuards)], cohort: call.Cohort(rp.rng.UintN(256)),
			counted: rp.faulty(), end: rp.Now().Add(replayDeadline),
		}
		if tr.counted {
			rp.begun[kd.importance]++
		}
		rp.next(tr)
		rp.arrive(kd)
	})
}

// next makes the next call of a tree, or ends it.
func (rp *replay) next(tr *replayTree) {
	if tr.done == tr.kind.calls {
		if tr.counted {
			rp.done[tr.kind.importance]++
		}
		return
	}
	rp.count(rp.first)
	tr.entry.window.FirstSend(rp.Now())
	at := rp.rng.IntN(replayGuards)
	rp.After(replayHop, func() { rp.attempt(tr, at, true) })
}

func (rp *replay) count(sends []float64) {
	if i := int(rp.at() / replayBucket); i < len(sends) {
		sends[i]++
	}
}

// attempt is the arrival of an attempt at a guard.
func (rp *replay) attempt(tr *replayTree, at int, isFirst bool) {
	gd := rp.guards[at]
	gd.total.Arrive(rp.Now(), tr.rank(), isFirst)
	run := func() {
		gd.running++
		rp.send(tr, at, 1)
	}
	if gd.running >= replaySlots {
		gd.waiting = append(gd.waiting, run)
		return
	}
	run()
}

func (tr *replayTree) rank() retry.Rank {
	return retry.Rank{Importance: tr.kind.importance, Progress: tr.done, Cohort: tr.cohort}
}

// send sends an attempt to the upstream, for the given number of times.
func (rp *replay) send(tr *replayTree, at, sends int) {
	gd := rp.guards[at]
	refused := rp.faulty() && rp.rng.Float64() < replayRefusal
	took := replayService
	if refused {
		took = replayHop
	}
	rp.After(took, func() {
		gd.total.Answered(rp.Now(), refused)
		delay := retry.FurtherDelay(sends)
		inTime := rp.Now().Add(delay + 2*replayService).Before(tr.end)
		hasSlots := len(gd.waiting) == 0
		if refused {
			rp.refusals++
		}
		if refused && rp.shared && inTime && hasSlots && gd.total.Allow(rp.Now(), tr.rank()) {
			rp.byGuards++
			rp.After(delay, func() {
				rp.count(rp.further)
				rp.send(tr, at, sends+1)
			})
			return
		}
		gd.running--
		if len(gd.waiting) > 0 {
			run := gd.waiting[0]
			gd.waiting = gd.waiting[1:]
			run()
		}
		rp.After(replayHop, func() { rp.answered(tr, at, refused) })
	})
}

// answered is the arrival of an answer at the entry, which sends a refused call to another
// upstream once in a tree if the ratio allows it.
func (rp *replay) answered(tr *replayTree, at int, refused bool) {
	if !refused {
		tr.entry.ratio.Success(rp.Now())
		tr.done++
		rp.next(tr)
		return
	}
	if tr.retried || !tr.entry.ratio.Allow(rp.Now()) || rp.shared && !tr.entry.window.Allow(rp.Now()) {
		return
	}
	tr.retried = true
	rp.byEntries++
	rp.count(rp.further)
	other := (at + 1 + rp.rng.IntN(replayGuards-1)) % replayGuards
	rp.After(replayHop, func() { rp.attempt(tr, other, false) })
}

func (rp *replay) share(imp call.Importance) float64 {
	return float64(rp.done[imp]) / float64(rp.begun[imp])
}

// excess returns by how much the further sends in any window exceed the bound, or a number below
// zero: the ratio of the first sends in the window, in the one before, or in the one half a window
// before, whichever has most, and the slack.
func (rp *replay) excess() float64 {
	const window = int(10 * time.Second / replayBucket)
	before := func(sends []float64) []float64 {
		sums := make([]float64, len(sends)+1)
		for i, n := range sends {
			sums[i+1] = sums[i] + n
		}
		return sums
	}
	first, further := before(rp.first), before(rp.further)
	sum := func(before []float64, end int) float64 { return before[max(end, 0)] - before[max(end-window, 0)] }
	worst := -1e9
	for end := window; end < len(first); end++ {
		most := max(sum(first, end), sum(first, end-window), sum(first, end-window/2))
		worst = max(worst, sum(further, end)-replayRatio*most-replaySlack)
	}
	return worst
}

func steady(time.Duration) float64 { return 1 }

// While upstreams with free slots refuse half of what they get, most of the important call trees
// must succeed. Without further sends by guards nearly all trees of four calls fail.
func TestSharedTotalCompletesTrees(t *testing.T) {
	before, after := newReplay(false, steady), newReplay(true, steady)
	for _, rp := range []*replay{before, after} {
		t.Logf("shared %t: trees done of importance 7 %.3f, 6 %.3f, 5 %.3f; %d refusals, further sends: guards %d, entries %d; excess %.0f",
			rp.shared, rp.share(7), rp.share(6), rp.share(5), rp.refusals, rp.byGuards, rp.byEntries, rp.excess())
		if ex := rp.excess(); ex > 0 {
			t.Errorf("shared %t: %.0f further sends beyond the bound", rp.shared, ex)
		}
	}
	if got := before.share(7); got < 0.04 || got > 0.10 {
		t.Errorf("%.3f of the trees of importance 7 succeed without further sends by guards, want 0.04 to 0.10", got)
	}
	if got := after.share(7); got < 0.6 {
		t.Errorf("%.3f of the trees of importance 7 succeed, want 0.6", got)
	}
	for _, imp := range []call.Importance{6, 5} {
		if was, got := before.share(imp), after.share(imp); got < was*0.95 {
			t.Errorf("%.3f of the trees of importance %d succeed, %.3f without further sends by guards", got, imp, was)
		}
	}
}

// The bound must hold while the number of requests falls during the fault: what was allowed by
// earlier requests must not be spent later.
func TestSharedTotalBoundWhileDemandFalls(t *testing.T) {
	for _, fall := range []time.Duration{faultStart, faultStart + 3*time.Second, faultStart - 5*time.Second} {
		rp := newReplay(true, func(at time.Duration) float64 {
			if at >= fall {
				return 0.1
			}
			return 1
		})
		t.Logf("fall at %v: trees done of importance 7 %.3f, excess %.0f", fall, rp.share(7), rp.excess())
		if ex := rp.excess(); ex > 0 {
			t.Errorf("demand falls at %v: %.0f further sends beyond the bound", fall, ex)
		}
	}
}
