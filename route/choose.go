package route

import (
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// maxDraws is the number of random draws for two candidates before all upstreams of a
	// list are examined.
	maxDraws = 4
	// similarScoreRatio is the ratio of two scores from which they count as equal.
	similarScoreRatio = 0.9
	// choicesPerProbe is the number of choices for each probe of an idle VM.
	choicesPerProbe = 32
	// forcedProbeFactor multiplies IdleProbeInterval: after that time, work of any
	// importance serves as a probe.
	forcedProbeFactor = 4
	// otherDomainRatio is the ratio of the scores from which a VM of another failure domain
	// of the region is preferred to one of the own domain while all of them delay an attempt.
	otherDomainRatio = 0.5
)

// Choose returns the VM for an attempt at the time at, or ErrNoUpstream or ErrShed. The
// caller reports the attempt with Sent.
//
// An attempt is shed only if each reachable VM of the service recently returned a level
// above that of the attempt.
func (tb *Table) Choose(at time.Time, rq Request) (call.VM, error) {
	sv := tb.services[rq.Service]
	if sv == nil {
		return "", ErrNoUpstream
	}
	now := tb.instant(at)
	sl := selection{tb: tb, sv: sv, now: now, level: call.LevelOf(rq.Importance, rq.Cohort), exclude: rq.Exclude}
	sv.importance.record(now, rq.Importance)
	level, delayed := sv.lowestLevels(now, tb.settings.LevelTTL)
	if len(rq.Exclude) == 0 && level > sl.level {
		if sl.isShedProbe = sl.allowShedProbe(rq.Importance); !sl.isShedProbe {
			return "", ErrShed
		}
	}
	up := sl.probe(rq.Importance)
	if delayed < sl.level && up == nil {
		if tb.byCost {
			up = sl.leastTime(rq.Cost, sl.startsAtOnce)
		} else {
			up = sl.fromFirstTier(nil, otherRegion, sl.startsAtOnce)
		}
	}
	if up == nil {
		if tb.byCost {
			up = sl.leastTime(rq.Cost, sl.wouldAdmit)
		} else {
			up = sl.shortestWait()
		}
	}
	up = sl.fromFirstTier(up, tierCount, sl.wouldAdmit)
	if up == nil {
		var err error
		if up, err = sl.fallback(rq.Importance); err != nil {
			return "", err
		}
	}
	up.lastChosen = now
	return up.vm, nil
}

// selection is the choice of a VM for one attempt.
type selection struct {
	tb      *Table
	sv      *service
	now     instant
	level   call.Level
	exclude []call.VM
	// isShedProbe says that the attempt is sent although it should be shed.
	isShedProbe bool
}

// levelAdmits reports whether the last level of the VM admits the attempt.
func (sl *selection) levelAdmits(up *upstream) bool {
	return up.currentLevel(sl.now, sl.tb.settings.LevelTTL) <= sl.level
}

// notExcluded reports whether the request allows the VM.
func (sl *selection) notExcluded(up *upstream) bool {
	return len(sl.exclude) == 0 || !slices.Contains(sl.exclude, up.vm)
}

// wouldAdmit reports whether the VM may be chosen and would admit the attempt now.
func (sl *selection) wouldAdmit(up *upstream) bool {
	return up.usable(sl.now) && sl.levelAdmits(up) && sl.notExcluded(up)
}

// startsAtOnce reports whether the VM would admit the attempt and start it without delay.
func (sl *selection) startsAtOnce(up *upstream) bool {
	return up.outstanding[sl.importance()] < up.slots &&
		up.currentDelayedLevel(sl.now, sl.tb.settings.LevelTTL) < sl.level && sl.wouldAdmit(up)
}

// fromFirstTier returns up if it is not nil. Otherwise it returns an upstream for which
// fits is true, from the first tier before end with such an upstream, or nil.
func (sl *selection) fromFirstTier(up *upstream, end tier, fits func(*upstream) bool) *upstream {
	for tr := ownDomain; up == nil && tr < end; tr++ {
		up = sl.betterOfTwo(sl.sv.tiers[tr], fits)
	}
	return up
}

// shortestWait returns an upstream of the region that would admit the attempt, or nil. It is one
// of the own failure domain unless one of another domain would answer much sooner. Otherwise
// work would wait for a slow VM of its own domain while a quick one elsewhere has hardly a queue.
func (sl *selection) shortestWait() *upstream {
	own := sl.betterOfTwo(sl.sv.tiers[ownDomain], sl.wouldAdmit)
	other := sl.betterOfTwo(sl.sv.tiers[ownRegion], sl.wouldAdmit)
	if own == nil || other != nil && sl.score(other) < otherDomainRatio*sl.score(own) {
		return other
	}
	return own
}

// better returns b if its score is clearly lower, and a otherwise. Callers that choose at
// random pass a random upstream as a, so that the entries do not all prefer a VM that is
// only slightly quicker.
func (sl *selection) better(a, b *upstream) *upstream {
	switch {
	case a == nil:
		return b
	case b == nil:
		return a
	}
	if sl.score(b) < similarScoreRatio*sl.score(a) {
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

// betterOfTwo returns the better of two random upstreams of the list that fit, or nil if
// none fits.
func (sl *selection) betterOfTwo(list []*upstream, fits func(*upstream) bool) *upstream {
	if len(list) <= maxDraws {
		return sl.betterOfTwoByScan(list, fits)
	}
	var first *upstream
	for range maxDraws {
		up := list[sl.tb.rng.IntN(len(list))]
		if up == first || !fits(up) {
			continue
		}
		if first != nil {
			return sl.better(first, up)
		}
		first = up
	}
	return sl.betterOfTwoByScan(list, fits)
}

// betterOfTwoByScan does the same as betterOfTwo, but examines the whole list.
func (sl *selection) betterOfTwoByScan(list []*upstream, fits func(*upstream) bool) *upstream {
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

// fallback chooses when no VM that may be chosen would admit the attempt. It prefers the
// reachable VM of the lowest level, if the attempt need not be shed, and then an
// unreachable VM.
func (sl *selection) fallback(imp call.Importance) (*upstream, error) {
	var reachable, unreachable *upstream
	shed := true
	for _, list := range sl.sv.tiers {
		for _, up := range list {
			switch {
			case up.draining:
			case up.usable(sl.now):
				shed = shed && !sl.levelAdmits(up)
				if sl.notExcluded(up) {
					reachable = sl.lowerLevel(reachable, up)
				}
			case sl.notExcluded(up):
				unreachable = sl.better(unreachable, up)
			}
		}
	}
	switch {
	case reachable != nil && (!shed || sl.isShedProbe || sl.allowShedProbe(imp)):
		return reachable, nil
	case reachable != nil:
		return nil, ErrShed
	case unreachable != nil:
		return unreachable, nil
	default:
		return nil, ErrNoUpstream
	}
}

// allowShedProbe reports whether the attempt is sent although it should be shed.
func (sl *selection) allowShedProbe(imp call.Importance) bool {
	return sl.sv.shedProbe.allow(sl.now, imp, sl.sv.importance.highest(), sl.tb.settings.ShedProbeInterval)
}

// lowerLevel returns the upstream with the lower level.
func (sl *selection) lowerLevel(a, b *upstream) *upstream {
	ttl := sl.tb.settings.LevelTTL
	if a == nil || b.currentLevel(sl.now, ttl) < a.currentLevel(sl.now, ttl) {
		return b
	}
	return a
}

// probe returns a VM of the own failure domain that was not chosen for at least
// IdleProbeInterval, or nil if no probe is due.
func (sl *selection) probe(imp call.Importance) *upstream {
	sv, list := sl.sv, sl.sv.tiers[ownDomain]
	sv.choicesSinceProbe++
	if sv.choicesSinceProbe < choicesPerProbe || len(list) == 0 {
		return nil
	}
	sv.probeCursor = (sv.probeCursor + 1) % len(list)
	up := list[sv.probeCursor]
	idle := sl.now.since(up.lastChosen)
	interval := sl.tb.settings.IdleProbeInterval
	if idle < interval || (idle < forcedProbeFactor*interval && imp > sv.importance.lowest()) || !sl.wouldAdmit(up) {
		return nil
	}
	sv.choicesSinceProbe = 0
	return up
}
