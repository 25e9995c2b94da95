package throttle

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"camphortrail/call"
)

const (
	lookUp  call.Class = "look-up"
	release call.Class = "release"
	issue   call.Class = "issue"
)

// smallMesh has 12 entries; its trees take 0.3 s.
func smallMesh(guards int, load float64) meshShape {
	return meshShape{entries: 12, guards: guards, slots: 41, kinds: []meshKind{
		{
			class: lookUp, importance: 5, perSecond: 584 * load, work: 90 * time.Millisecond, call: 15 * time.Millisecond,
			series: 1, length: 10, target: 1500 * time.Millisecond, deadline: 6 * time.Second, limit: 6 * time.Second,
		},
		{
			class: release, importance: 7, perSecond: 321 * load, work: 93 * time.Millisecond, call: 15 * time.Millisecond,
			series: 2, length: 5, target: 1500 * time.Millisecond, deadline: 6 * time.Second, limit: 6 * time.Second,
		},
		{
			class: issue, importance: 6, perSecond: 234 * load, call: 24 * time.Millisecond,
			series: 1, length: 1, target: 100 * time.Millisecond, deadline: 400 * time.Millisecond, limit: 400 * time.Millisecond,
		},
	}}
}

// largeMesh has 75 entries; its trees take 1 s, and are given up after two.
func largeMesh(load float64) meshShape {
	return meshShape{entries: 75, guards: 5, slots: 186, kinds: []meshKind{
		{
			class: lookUp, importance: 5, perSecond: 993 * load, work: 320 * time.Millisecond, call: 72 * time.Millisecond,
			series: 1, length: 10, target: 2 * time.Second, deadline: 6 * time.Second, limit: 2 * time.Second,
		},
		{
			class: release, importance: 7, perSecond: 546 * load, work: 395 * time.Millisecond, call: 72 * time.Millisecond,
			series: 2, length: 5, target: 2500 * time.Millisecond, deadline: 6 * time.Second, limit: 2500 * time.Millisecond,
		},
		{
			class: issue, importance: 6, perSecond: 397 * load, call: 120 * time.Millisecond,
			series: 1, length: 1, target: 500 * time.Millisecond, deadline: 2 * time.Second, limit: time.Second,
		},
	}}
}

// slotTime is the time that a request of the kind takes of the small service.
func (kd *meshKind) slotTime() time.Duration { return time.Duration(kd.series*kd.length) * kd.call }

// fits returns the requests of a kind in a second for which there is room beside
// the more important ones.
func (sp meshShape) fits(class call.Class) float64 {
	kinds := slices.Clone(sp.kinds)
	slices.SortFunc(kinds, func(a, b meshKind) int { return cmp.Compare(b.importance, a.importance) })
	remaining := sp.capacity() / meshLength.Seconds()
	for _, kd := range kinds {
		most := remaining / kd.slotTime().Seconds()
		if kd.class == class {
			return min(most, kd.perSecond)
		}
		remaining -= min(most, kd.perSecond) * kd.slotTime().Seconds()
	}
	return 0
}

const (
	// served is the part of the capacity that is to be used for requests served in
	// time, and important that of the more important kinds that is to be served.
	minServedRatio    = 0.9
	minImportantRatio = 0.95
	// spoilt bounds the part of the admitted that may break off.
	maxAbortedRatio = 0.02
	// meshWarmUp is the time from the start that is not counted, and meshLength
	// that which is.
	meshWarmUp = 6 * time.Second
	meshLength = 10 * time.Second
)

// replayed is a mesh that was replayed.
type replayed struct {
	name string
	seed uint64
}

// replays keeps what was replayed for the tests that look at the same.
var replays = make(map[replayed]*mesh)

// replay runs a mesh past its start, and counts.
func replay(name string, shape meshShape, seed uint64) *mesh {
	key := replayed{name, seed}
	ms := replays[key]
	if ms == nil {
		ms = newMesh(shape, seed)
		ms.Run(meshWarmUp)
		ms.reset()
		ms.Run(meshLength)
		replays[key] = ms
	}
	return ms
}

// capacity is the slot time that the service has in the time that is counted.
func (sp meshShape) capacity() float64 {
	// The machine leaves one slot in 16 free.
	return float64(sp.guards*(sp.slots-(sp.slots+8)/16)) * meshLength.Seconds()
}

// used returns the slot time of the requests that were served in time, and the
// requests that were admitted and those of them that broke off.
func (ms *mesh) used() (used float64, admitted, aborted int) {
	for _, kd := range ms.shape.kinds {
		ct := ms.counts[kd.class]
		used += float64(ct.inTarget) * kd.slotTime().Seconds()
		admitted += ct.inTarget + ct.late + ct.aborted
		aborted += ct.aborted
	}
	return used, admitted, aborted
}

var meshes = []struct {
	name  string
	shape meshShape
}{
	{"12 entries in a burst", smallMesh(3, 1.6)},
	{"12 entries", smallMesh(3, 1)},
	{"75 entries in a burst", largeMesh(1.5)},
	{"75 entries", largeMesh(1)},
}

// The most important kinds fit and are refused, and slots are free or spent on what
// is late or broken off, while look-ups are refused.
func TestSmallServiceCapacityIsUsed(t *testing.T) {
	for _, tt := range meshes {
		for seed := range uint64(2) {
			ms := replay(tt.name, tt.shape, seed)
			for _, kd := range tt.shape.kinds {
				ct := *ms.counts[kd.class]
				t.Logf("%s, seed %d: %s %+v", tt.name, seed, kd.class, ct)
				if kd.class != lookUp && float64(ct.inTarget) < minImportantRatio*float64(ct.asked) {
					t.Errorf("%s, seed %d: %d of %d %s requests served in time", tt.name, seed, ct.inTarget, ct.asked, kd.class)
				}
			}
			used, admitted, aborted := ms.used()
			if capacity := tt.shape.capacity(); used < minServedRatio*capacity {
				t.Errorf("%s, seed %d: %.0f of %.0f slot seconds went to requests served in time", tt.name, seed, used, capacity)
			}
			if float64(aborted) > maxAbortedRatio*float64(admitted) {
				t.Errorf("%s, seed %d: %d of %d admitted requests broke off", tt.name, seed, aborted, admitted)
			}
		}
	}
}

// Look-ups get less than nine tenths of the room that the more important kinds leave
// them, or are broken off.
func TestRemainingCapacityIsUsed(t *testing.T) {
	for _, tt := range meshes {
		for seed := range uint64(2) {
			ct := replay(tt.name, tt.shape, seed).counts[lookUp]
			fits := tt.shape.fits(lookUp) * meshLength.Seconds()
			t.Logf("%s, seed %d: %+v, %.0f fit", tt.name, seed, *ct, fits)
			if float64(ct.inTarget) < minServedRatio*fits {
				t.Errorf("%s, seed %d: %d look-ups served in time, want %.0f", tt.name, seed, ct.inTarget, minServedRatio*fits)
			}
			if most := maxAbortedRatio * float64(ct.inTarget+ct.late+ct.aborted); float64(ct.aborted) > most {
				t.Errorf("%s, seed %d: %d look-ups broken off, want at most %.0f", tt.name, seed, ct.aborted, most)
			}
		}
	}
}

// What is left of a service carries less than the most important kind needs: that
// is refused at the entries then, and not after work.
func TestImportantRequestsAreNotAborted(t *testing.T) {
	for seed := range uint64(2) {
		shape := smallMesh(1, 1)
		ms := replay("one VM", shape, seed)
		ct := ms.counts[release]
		t.Logf("seed %d: %+v", seed, *ct)
		if most := maxAbortedRatio * float64(ct.inTarget+ct.late+ct.aborted); float64(ct.aborted) > most {
			t.Errorf("seed %d: %d releases broken off, want at most %.0f", seed, ct.aborted, most)
		}
		if used, _, _ := ms.used(); used < minServedRatio*shape.capacity() {
			t.Errorf("seed %d: %.0f of %.0f slot seconds went to requests served in time", seed, used, shape.capacity())
		}
	}
}

// The few requests of lesser kinds that are admitted all the same are broken off, as
// their calls wait behind those of the most important kind for too long.
func TestMinimumShareIsNotAborted(t *testing.T) {
	for seed := range uint64(2) {
		ms := replay("one VM", smallMesh(1, 1), seed)
		for _, class := range []call.Class{lookUp, issue} {
			ct := ms.counts[class]
			t.Logf("seed %d: %s %+v", seed, class, *ct)
			if most := maxAbortedRatio * float64(ct.inTarget+ct.late+ct.aborted); float64(ct.aborted) > most {
				t.Errorf("seed %d: %d %s requests broken off, want at most %.0f", seed, ct.aborted, class, most)
			}
		}
	}
}

// Issues, which take a sixth of the slot time of a release, are refused for releases
// until nearly none is served.
func TestCheapClassIsNotStarved(t *testing.T) {
	const quarter = 0.25
	for seed := range uint64(2) {
		ms := replay("one VM", smallMesh(1, 1), seed)
		asked, served := 0, 0
		for _, ct := range ms.counts {
			asked += ct.asked
			served += ct.inTarget + ct.late
		}
		all := float64(served) / float64(asked)
		ct := ms.counts[issue]
		got := float64(ct.inTarget+ct.late) / float64(ct.asked)
		t.Logf("seed %d: %.3f of the issues are served, %.3f of all", seed, got, all)
		if got < quarter*all {
			t.Errorf("seed %d: %.3f of the issues are served, want a quarter of %.3f", seed, got, all)
		}
	}
}

// Issues, which take a sixth of the slot time of a release, are refused in the same part
// as releases, although they hardly take room.
func TestCheapClassIsAdmittedFirst(t *testing.T) {
	for seed := range uint64(2) {
		ct := replay("one VM", smallMesh(1, 1), seed).counts[issue]
		t.Logf("seed %d: %+v", seed, *ct)
		if float64(ct.inTarget) < minImportantRatio*float64(ct.asked) {
			t.Errorf("seed %d: %d of %d issues served in time, want %.0f", seed, ct.inTarget, ct.asked, minImportantRatio*float64(ct.asked))
		}
	}
}

// What came through of first sends and of admitted requests is told by kind.
func TestStats(t *testing.T) {
	ctl := New()
	now := time.Unix(0, 0)
	for range 60 {
		for range 20 {
			ctl.Admit(now, Request{Class: release, Importance: 7}, 1)
			ctl.Finish(now, release, Result{Succeeded: true})
			ctl.Admit(now, Request{Class: lookUp, Importance: 5}, 1)
			ctl.Finish(now, lookUp, Result{})
		}
		now = now.Add(time.Second)
		ctl.Demands(now)
	}
	for class, want := range map[call.Class]Stats{
		release: {ServedRatio: 1, SuccessRatio: 1}, lookUp: {ServedRatio: 0, SuccessRatio: minSuccessRatio}, issue: {},
	} {
		if st := ctl.Stats(now, class); st != want {
			t.Errorf("%s: %+v, want %+v", class, st, want)
		}
	}
}
