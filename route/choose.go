package route

import (
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// drawAttempts is the number of random draws for two candidates before
	// all upstreams are looked at.
	drawAttempts = 4
	// similarScore is the ratio of two scores down to which they count as
	// equal.
	similarScore = 0.9
	// probeShare is the number of choices for each probe of a VM that was
	// not chosen for long.
	probeShare = 32
	// forcedProbeFactor is the multiple of the probe interval after which
	// work of any importance serves as a probe.
	forcedProbeFactor = 4
)

// Choose returns the VM for an attempt at the time at. It returns
// ErrNoUpstream or ErrShed if there is none. The caller reports the attempt
// by Sent.
//
// An attempt is shed only if each reachable VM of the service returned a
// level above that of the attempt lately.
func (tb *Table) Choose(at time.Time, rq Request) (call.VM, error) {
	sv := tb.services[rq.Service]
	if sv == nil {
		return "", ErrNoUpstream
	}
	now := tb.instant(at)
	sl := selection{tb: tb, sv: sv, now: now, level: call.LevelOf(rq.Importance, rq.Cohort), exclude: rq.Exclude}
	sv.dm.note(now, rq.Importance)
	level, pressure := sv.lowest(now, tb.st.LevelTTL)
	if len(rq.Exclude) == 0 && level > sl.level {
		if sl.passed = sl.trickle(rq.Importance); !sl.passed {
			return "", ErrShed
		}
	}
	up := sl.probe(rq.Importance)
	if pressure < sl.level {
		up = sl.first(up, elsewhere, sl.undelayed)
	}
	up = sl.first(up, tierCount, sl.admitted)
	if up == nil {
		var err error
		if up, err = sl.fallback(rq.Importance); err != nil {
			return "", err
		}
	}
	up.lastChosen = now
	return up.vm, nil
}

// selection is the search for one attempt.
type selection struct {
	tb      *Table
	sv      *service
	now     instant
	level   call.Level
	exclude []call.VM
	// passed says that the attempt is let through although it should be
	// shed.
	passed bool
}

func (sl *selection) admits(up *upstream) bool {
	return up.currentLevel(sl.now, sl.tb.st.LevelTTL) <= sl.level
}

func (sl *selection) allowed(up *upstream) bool {
	return len(sl.exclude) == 0 || !slices.Contains(sl.exclude, up.vm)
}

// admitted reports whether the VM would take the attempt now.
func (sl *selection) admitted(up *upstream) bool {
	return up.usable(sl.now) && sl.admits(up) && sl.allowed(up)
}

// undelayed reports whether the VM would start the attempt at once.
func (sl *selection) undelayed(up *upstream) bool {
	return up.outstanding[sl.importance()] < up.slots &&
		up.currentPressure(sl.now, sl.tb.st.LevelTTL) < sl.level && sl.admitted(up)
}

// first returns up, or else an upstream of the first tier before end that has
// one that fits.
func (sl *selection) first(up *upstream, end tier, fits func(*upstream) bool) *upstream {
	for tr := ownDomain; up == nil && tr < end; tr++ {
		up = sl.pair(sl.sv.tiers[tr], fits)
	}
	return up
}

// better returns the upstream with the clearly lower score, or a. Callers
// that choose at random put a random one first, so that many entries do not
// all prefer the VM that is a little quicker.
func (sl *selection) better(a, b *upstream) *upstream {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	if sl.score(b) < similarScore*sl.score(a) {
		return b
	}
	return a
}

func (sl *selection) score(up *upstream) float64 {
	return up.score(sl.now, sl.importance(), sl.sv.latency)
}

func (sl *selection) importance() call.Importance {
	return min(sl.level.Importance(), call.MaxImportance)
}

// pair returns the better of two random upstreams of the list that fit, or
// nil if none does.
func (sl *selection) pair(list []*upstream, fits func(*upstream) bool) *upstream {
	if len(list) <= drawAttempts {
		return sl.scan(list, fits)
	}
	var first *upstream
	for range drawAttempts {
		up := list[sl.tb.rng.IntN(len(list))]
		if up == first || !fits(up) {
			continue
		}
		if first != nil {
			return sl.better(first, up)
		}
		first = up
	}
	return sl.scan(list, fits)
}

// scan returns the better of two random upstreams that fit, by a look at all.
func (sl *selection) scan(list []*upstream, fits func(*upstream) bool) *upstream {
	var pick [2]*upstream
	found := 0
	for _, up := range list {
		if !fits(up) {
			continue
		}
		found++
		if found <= len(pick) {
			pick[found-1] = up
		} else if at := sl.tb.rng.IntN(found); at < len(pick) {
			pick[at] = up
		}
	}
	if sl.tb.rng.IntN(2) == 0 {
		pick[0], pick[1] = pick[1], pick[0]
	}
	return sl.better(pick[0], pick[1])
}

// fallback decides when no VM that may be chosen would take the attempt.
func (sl *selection) fallback(imp call.Importance) (*upstream, error) {
	var reachable, unreachable *upstream
	shed := true
	for _, list := range sl.sv.tiers {
		for _, up := range list {
			switch {
			case up.draining:
			case up.usable(sl.now):
				shed = shed && !sl.admits(up)
				if sl.allowed(up) {
					reachable = sl.lower(reachable, up)
				}
			case sl.allowed(up):
				unreachable = sl.better(unreachable, up)
			}
		}
	}
	switch {
	case reachable != nil && (!shed || sl.passed || sl.trickle(imp)):
		return reachable, nil
	case reachable != nil:
		return nil, ErrShed
	case unreachable != nil:
		return unreachable, nil
	default:
		return nil, ErrNoUpstream
	}
}

func (sl *selection) trickle(imp call.Importance) bool {
	return sl.sv.tr.pass(sl.now, imp, sl.sv.dm.highest(), sl.tb.st.ShedProbeInterval)
}

// lower returns the upstream with the lower level.
func (sl *selection) lower(a, b *upstream) *upstream {
	life := sl.tb.st.LevelTTL
	if a == nil || b.currentLevel(sl.now, life) < a.currentLevel(sl.now, life) {
		return b
	}
	return a
}

// probe returns an upstream of the own failure domain that was not chosen for
// long, or nil.
func (sl *selection) probe(imp call.Importance) *upstream {
	sv, list := sl.sv, sl.sv.tiers[ownDomain]
	sv.choices++
	if sv.choices < probeShare || len(list) == 0 {
		return nil
	}
	sv.cursor = (sv.cursor + 1) % len(list)
	up := list[sv.cursor]
	idle := sl.now.since(up.lastChosen)
	interval := sl.tb.st.IdleProbeInterval
	if idle < interval || (idle < forcedProbeFactor*interval && imp > sv.dm.lowest()) || !sl.admitted(up) {
		return nil
	}
	sv.choices = 0
	return up
}
