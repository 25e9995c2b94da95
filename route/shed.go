package route

import (
	"math"
	"time"

	"camphortrail/call"
)

// importanceWindow is the time over which the importance of requests is
// collected.
const importanceWindow = time.Second

// demand holds the importance of the requests for one service that came
// lately.
type demand struct {
	this, last extent
	from       instant
}

type extent struct{ lowest, highest call.Importance }

func (ex *extent) add(imp call.Importance) {
	ex.lowest, ex.highest = min(ex.lowest, imp), max(ex.highest, imp)
}

// note records the importance of a request.
func (dm *demand) note(now instant, imp call.Importance) {
	if age := now.since(dm.from); age >= importanceWindow {
		dm.last = dm.this
		if age >= 2*importanceWindow {
			dm.last = extent{lowest: imp, highest: imp}
		}
		dm.this, dm.from = extent{lowest: imp, highest: imp}, now
	}
	dm.this.add(imp)
}

func (dm *demand) lowest() call.Importance { return min(dm.this.lowest, dm.last.lowest) }

func (dm *demand) highest() call.Importance { return max(dm.this.highest, dm.last.highest) }

// trickle holds what was let through last for one service although it should
// have been shed.
type trickle struct {
	at  instant
	imp call.Importance
}

// pass reports whether an attempt is let through, so that a fallen level is
// noticed. Only work of the highest importance seen lately is: the answers to
// more important work bring levels too, and it would be refused while less
// important work is let through.
func (tr *trickle) pass(now instant, imp, highest call.Importance, interval time.Duration) bool {
	if imp < highest || (now.since(tr.at) < interval && imp <= tr.imp) {
		return false
	}
	tr.at, tr.imp = now, imp
	return true
}

const (
	// lowestAge is the time for which the lowest level is not computed again.
	lowestAge = time.Millisecond
	maxLevel  = call.Level(math.MaxUint16)
)

// lowest keeps the lowest level and pressure of the reachable VMs of a
// service.
type lowest struct {
	level    call.Level
	pressure call.Level
	at       instant
	// inForceAt is the time of the last answer with a level or pressure.
	inForceAt instant
}

func (lo *lowest) answered(now instant, up *upstream) {
	if up.level > 0 || up.pressure > 0 {
		lo.inForceAt = now
	}
	if up.level < lo.level || up.pressure < lo.pressure {
		lo.forget()
	}
}

func (lo *lowest) forget() { lo.level, lo.pressure, lo.at = 0, 0, never }

// lowest returns the lowest level and pressure of the reachable VMs; both are
// zero if there is none.
func (sv *service) lowest(now instant, life time.Duration) (level, pressure call.Level) {
	lo := &sv.lv
	if now.since(lo.inForceAt) >= life {
		return 0, 0
	}
	if now.since(lo.at) < lowestAge {
		return lo.level, lo.pressure
	}
	lo.level, lo.pressure, lo.at = maxLevel, maxLevel, now
	for _, list := range sv.tiers {
		for _, up := range list {
			if up.usable(now) {
				lo.level = min(lo.level, up.currentLevel(now, life))
				lo.pressure = min(lo.pressure, up.currentPressure(now, life))
			}
		}
	}
	if lo.level == maxLevel {
		lo.level, lo.pressure = 0, 0
	}
	return lo.level, lo.pressure
}
