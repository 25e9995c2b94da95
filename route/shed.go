package route

import (
	"math"
	"time"

	"camphortrail/call"
)

// importanceWindow is the time over which the importance of requests is collected.
const importanceWindow = time.Second

// recentImportance holds the range of importance of the recent requests for a service.
type recentImportance struct {
	current, previous importanceRange
	windowStart       instant
}

// importanceRange is the lowest and the highest importance of some requests.
type importanceRange struct{ lowest, highest call.Importance }

func (ir *importanceRange) add(imp call.Importance) {
	ir.lowest, ir.highest = min(ir.lowest, imp), max(ir.highest, imp)
}

// record records the importance of a request.
func (ri *recentImportance) record(now instant, imp call.Importance) {
	if age := now.since(ri.windowStart); age >= importanceWindow {
		ri.previous = ri.current
		if age >= 2*importanceWindow {
			ri.previous = importanceRange{lowest: imp, highest: imp}
		}
		ri.current, ri.windowStart = importanceRange{lowest: imp, highest: imp}, now
	}
	ri.current.add(imp)
}

func (ri *recentImportance) lowest() call.Importance {
	return min(ri.current.lowest, ri.previous.lowest)
}

func (ri *recentImportance) highest() call.Importance {
	return max(ri.current.highest, ri.previous.highest)
}

// shedProbe holds the last attempt for a service that was sent although it should have
// been shed.
type shedProbe struct {
	// The attempt was sent at the time at and had the importance imp.
	at  instant
	imp call.Importance
}

// allow reports whether an attempt is sent although it should be shed, so that its answer
// shows when the level falls. This applies only to work of the highest recent importance:
// the answers to more important work return levels too, and such work must not be refused
// while less important work is sent.
func (sp *shedProbe) allow(now instant, imp, highest call.Importance, interval time.Duration) bool {
	if imp < highest || (now.since(sp.at) < interval && imp <= sp.imp) {
		return false
	}
	sp.at, sp.imp = now, imp
	return true
}

const (
	// lowestLevelsTTL is the time for which the cached lowest levels are reused.
	lowestLevelsTTL = time.Millisecond
	maxLevel        = call.Level(math.MaxUint16)
)

// lowestLevels caches the lowest level and delayed level of the reachable VMs of a
// service.
type lowestLevels struct {
	level        call.Level
	delayedLevel call.Level
	computedAt   instant
	// nonZeroAt is the time of the last answer with a level or delayed level above zero.
	nonZeroAt instant
}

// update records the time of an answer of the VM up if one of its levels is above zero. It
// drops the cached levels if those of the VM are lower.
func (ll *lowestLevels) update(now instant, up *upstream) {
	if up.level > 0 || up.delayedLevel > 0 {
		ll.nonZeroAt = now
	}
	if up.level < ll.level || up.delayedLevel < ll.delayedLevel {
		ll.invalidate()
	}
}

func (ll *lowestLevels) invalidate() { ll.level, ll.delayedLevel, ll.computedAt = 0, 0, never }

// lowestLevels returns the lowest level and delayed level of the reachable VMs. Both are
// zero if there is none.
func (sv *service) lowestLevels(now instant, ttl time.Duration) (level, delayed call.Level) {
	ll := &sv.cachedLevels
	if now.since(ll.nonZeroAt) >= ttl {
		return 0, 0
	}
	if now.since(ll.computedAt) < lowestLevelsTTL {
		return ll.level, ll.delayedLevel
	}
	ll.level, ll.delayedLevel, ll.computedAt = maxLevel, maxLevel, now
	for _, list := range sv.tiers {
		for _, up := range list {
			if up.usable(now) {
				ll.level = min(ll.level, up.currentLevel(now, ttl))
				ll.delayedLevel = min(ll.delayedLevel, up.currentDelayedLevel(now, ttl))
			}
		}
	}
	if ll.level == maxLevel {
		ll.level, ll.delayedLevel = 0, 0
	}
	return ll.level, ll.delayedLevel
}
