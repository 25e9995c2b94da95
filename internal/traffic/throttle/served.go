package throttle

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
)

const (
	// leastRoom is the part of the requests of a kind that is to be served, relative
	// to that of all: no kind is to be served less than a quarter as often as all, and
	// some of what is admitted fails.
	leastRoom = 0.28
	// servedHalfLife is the time over which that is to hold, so that calm times make
	// up for a burst, in which the important kinds go first.
	servedHalfLife = 20 * time.Second
	// nearLeast is the multiple of its least part under which a kind begins to be
	// given room ahead of more important ones.
	nearLeast = 1.5
)

// firstSends estimates the recent requests of the kind: those that are refused come
// back, and count as tries again.
func (kd *kind) firstSends() float64 {
	refused := kd.share.arrived - kd.share.admitted
	return kd.share.arrived / (1 + refused/max(kd.share.arrived, 1))
}

// lately returns the part of the recent first sends that came through.
func (kd *kind) lately() float64 {
	first := kd.firstSends()
	if first == 0 {
		return 0
	}
	return min(kd.share.through/first, 1)
}

// longRun is the part of the requests that came through, over a long time.
type longRun struct {
	part  float64
	clock decay.Clock
	begun bool
}

// add takes in the part that came through lately. The first time counts as before.
func (lr *longRun) add(now time.Time, recent, before float64) {
	keep := lr.clock.Keep(now, servedHalfLife)
	if !lr.begun {
		lr.part, lr.begun = before, true
		return
	}
	lr.part = lr.part*keep + recent*(1-keep)
}

// countServed brings what is served of each kind and of all up to date. At first a
// kind counts as one that was served as little as may be: there was no calm time.
func (gp *Group) countServed(now time.Time) {
	requests, through := 0.0, 0.0
	for _, kd := range gp.kinds {
		kd.share.decay(now)
		first := kd.firstSends()
		requests += first
		through += kd.share.through
		if first >= 1 {
			kd.served.add(now, kd.lately(), leastRoom)
		}
	}
	gp.recent = min(through/max(requests, 1), 1)
	gp.served.add(now, gp.recent, 1)
}

// least returns the part of the tries in time that is to be admitted whatever the
// load is: none, unless the kind was served little.
func (gp *Group) least(kd *kind) float64 {
	need := leastRoom * gp.served.part
	short := (nearLeast*need - kd.served.part) / ((nearLeast - 1) * max(need, leastShare))
	part := leastRoom * gp.recent * min(max(short, 0), 1)
	return min(max(part*kd.firstSends()/max(kd.share.timely, 1), leastShare), 1)
}

// Standing is how a kind is served, as parts of its requests.
type Standing struct {
	// Recent is the part of the first sends that came through lately, and Long that
	// over the time for which the least part is to hold.
	Recent, Long float64
	// Least is the part of the tries in time that is to be admitted whatever the load
	// is, or zero if the kind is served enough.
	Least float64
}

// Standing returns how requests of a kind are served, as of the last call of Wants.
func (gp *Group) Standing(class call.Class) Standing {
	kd := gp.kinds[class]
	if kd == nil {
		return Standing{}
	}
	st := Standing{Recent: kd.lately(), Long: kd.served.part}
	if least := gp.least(kd); least > leastShare {
		st.Least = least
	}
	return st
}
