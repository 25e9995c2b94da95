package route

import (
	"slices"
	"time"

	"camphortrail/call"
)

// tier orders failure domains by preference.
type tier uint8

const (
	ownDomain tier = iota
	ownRegion
	otherRegion
	tierCount
)

// service holds the upstreams of one service.
type service struct {
	byVM  map[call.VM]*upstream
	tiers [tierCount][]*upstream
	// latency is an exponentially weighted moving average over all answers, in
	// nanoseconds.
	latency      float64
	importance   recentImportance
	shedProbe    shedProbe
	cachedLevels lowestLevels
	// choicesSinceProbe counts the choices since the last probe. probeCursor is the index
	// of the upstream that was last considered for a probe.
	choicesSinceProbe, probeCursor int
}

func (tb *Table) find(name call.Service, vm call.VM) (*service, *upstream) {
	sv := tb.services[name]
	if sv == nil {
		return nil, nil
	}
	return sv, sv.byVM[vm]
}

// tierOf returns the tier of a failure domain. Until the own region is known, all domains
// count as part of it.
func (tb *Table) tierOf(domain call.FailureDomain) tier {
	switch {
	case domain == tb.settings.Domain:
		return ownDomain
	case tb.sameRegion == nil || tb.sameRegion[domain]:
		return ownRegion
	default:
		return otherRegion
	}
}

// upsert adds or changes an upstream. It ignores older incarnations, and new upstreams
// when the table is full.
func (tb *Table) upsert(now instant, ev Upsert) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up != nil && ev.Incarnation < up.incarnation {
		return
	}
	if up == nil {
		if tb.upstreamCount >= tb.settings.MaxUpstreams {
			return
		}
		sv, up = tb.add(ev)
	} else {
		sv.removeFromTier(up)
	}
	if up.warmUpFrom == never || ev.Incarnation > up.incarnation {
		*up = upstream{vm: ev.VM, incarnation: ev.Incarnation, warmUpFrom: now, lastChosen: now}
	}
	if (up.draining && !ev.Draining) || up.warmUp != ev.WarmUp {
		up.warmUpFrom = now
	}
	up.domain, up.tier = ev.Domain, tb.tierOf(ev.Domain)
	up.slots, up.warmUp, up.draining = max(ev.Slots, 1), ev.WarmUp, ev.Draining
	sv.addToTier(up)
}

// add inserts a new upstream without data.
func (tb *Table) add(ev Upsert) (*service, *upstream) {
	sv := tb.services[ev.Service]
	if sv == nil {
		sv = &service{byVM: make(map[call.VM]*upstream)}
		tb.services[ev.Service] = sv
	}
	up := &upstream{}
	sv.byVM[ev.VM] = up
	tb.upstreamCount++
	return sv, up
}

func (sv *service) addToTier(up *upstream) {
	sv.cachedLevels.invalidate()
	sv.tiers[up.tier] = append(sv.tiers[up.tier], up)
}

func (sv *service) removeFromTier(up *upstream) {
	sv.cachedLevels.invalidate()
	list := sv.tiers[up.tier]
	at := slices.Index(list, up)
	sv.tiers[up.tier] = slices.Delete(list, at, at+1)
}

func (tb *Table) remove(ev Remove) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	sv.removeFromTier(up)
	delete(sv.byVM, ev.VM)
	tb.upstreamCount--
	if len(sv.byVM) == 0 {
		delete(tb.services, ev.Service)
	}
}

// setSuspect marks a VM as suspect or alive in all its services.
func (tb *Table) setSuspect(vm call.VM, suspect bool) {
	for _, sv := range tb.services {
		if up := sv.byVM[vm]; up != nil && up.suspect != suspect {
			up.suspect = suspect
			sv.cachedLevels.invalidate()
		}
	}
}

func (tb *Table) setSameRegion(domains []call.FailureDomain) {
	tb.sameRegion = make(map[call.FailureDomain]bool, len(domains))
	for _, domain := range domains {
		tb.sameRegion[domain] = true
	}
	for _, sv := range tb.services {
		sv.reassignTiers(tb.tierOf)
	}
}

// reassignTiers puts every upstream into the tier of its failure domain.
func (sv *service) reassignTiers(tierOf func(call.FailureDomain) tier) {
	all := slices.Concat(sv.tiers[:]...)
	sv.tiers = [tierCount][]*upstream{}
	for _, up := range all {
		up.tier = tierOf(up.domain)
		sv.addToTier(up)
	}
}

func (tb *Table) sent(ev Sent) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	up.addOutstanding(ev.Importance, 1)
	up.placement.sent += float64(ev.Cost)
	if up.failures >= ejectFailures {
		sv.cachedLevels.invalidate()
	}
}

// answered records an answer, which ends an ejection.
func (tb *Table) answered(now instant, ev Answered) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	up.addOutstanding(ev.Importance, -1)
	up.level, up.delayedLevel, up.answeredAt = ev.Level, ev.DelayedLevel, now
	up.occupancy = ev.Occupancy
	sv.cachedLevels.update(now, up)
	if ev.Leaving {
		up.draining = true
		sv.cachedLevels.invalidate()
	}
	up.failures, up.ejectedUntil = 0, never
	if ev.Load.Reported {
		up.placement.report(now, ev.Importance, ev.Load)
	} else {
		// Nodes of an earlier version report no load. What was sent to them is not all outstanding.
		up.placement.sent = 0
	}
	// A refusal is quick whatever the load of the upstream is.
	if ev.Overload || ev.Outcome == call.NotRun {
		return
	}
	sample := float64(max(ev.Latency, 1))
	up.addLatency(now, sample, sv.latency)
	sv.addLatency(sample)
}

// failed records a failure, and ejects the VM after enough of them in a row.
func (tb *Table) failed(now instant, ev Failed) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	up.addOutstanding(ev.Importance, -1)
	if ev.Cancelled {
		return
	}
	sv.cachedLevels.invalidate()
	up.failures++
	up.addLatency(now, max(float64(ev.Latency), failurePenalty*up.currentLatency(now, sv.latency)), sv.latency)
	// A VM that still answers other attempts is slow, not gone.
	silent := now.since(up.answeredAt) >= ejectSilence
	if up.failures < ejectFailures || !silent || !sv.mayEject(now) {
		return
	}
	backoff := min(minEjection<<min(up.failures-ejectFailures, maxDoublings), maxEjection)
	up.ejectedUntil = now.add(backoff/2 + time.Duration(tb.rng.Int64N(int64(backoff))))
}

// mayEject reports whether one more upstream can be ejected without leaving less than
// half of them.
func (sv *service) mayEject(now instant) bool {
	ejected := 0
	for _, list := range sv.tiers {
		for _, up := range list {
			if up.ejected(now) {
				ejected++
			}
		}
	}
	return 2*(ejected+1) <= len(sv.byVM)
}

// addLatency adds a sample to the latency of the service.
func (sv *service) addLatency(sample float64) {
	if sv.latency == 0 {
		sv.latency = sample
	}
	sv.latency += (sample - sv.latency) / serviceLatencyDivisor
}
