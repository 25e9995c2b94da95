package route

import (
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

// lowestAge is the time for which the lowest level is not computed again.
const lowestAge = time.Millisecond

// lowest keeps the lowest level of the reachable VMs of a service.
type lowest struct {
	level call.Level
	at    instant
	// levelAt is the time of the last answer with a level.
	levelAt instant
}

func (lo *lowest) answered(now instant, lv call.Level) {
	if lv > 0 {
		lo.levelAt = now
	}
	if lv < lo.level {
		lo.forget()
	}
}

func (lo *lowest) forget() { lo.level, lo.at = 0, never }

// lowestLevel returns the lowest level of the reachable VMs, or zero if there
// is none.
func (sv *service) lowestLevel(now instant, life time.Duration) call.Level {
	lo := &sv.lv
	if now.since(lo.levelAt) >= life {
		return 0
	}
	if now.since(lo.at) < lowestAge {
		return lo.level
	}
	found := false
	lo.level, lo.at = 0, now
	for _, list := range sv.tiers {
		for _, up := range list {
			if !up.usable(now) {
				continue
			}
			lv := up.currentLevel(now, life)
			if !found || lv < lo.level {
				lo.level, found = lv, true
			}
			if lv == 0 {
				return 0
			}
		}
	}
	return lo.level
}
