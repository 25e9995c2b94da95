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
	elsewhere
	tierCount
)

// service holds the upstreams of one service.
type service struct {
	byVM  map[call.VM]*upstream
	tiers [tierCount][]*upstream
	// latency is the moving mean of all answers, in nanoseconds.
	latency float64
	dm      demand
	tr      trickle
	lv      lowest
	// choices counts those since the last probe, and cursor is the upstream
	// looked at last for a probe.
	choices, cursor int
}

func (tb *Table) find(name call.Service, vm call.VM) (*service, *upstream) {
	sv := tb.services[name]
	if sv == nil {
		return nil, nil
	}
	return sv, sv.byVM[vm]
}

func (tb *Table) tierOf(domain call.FailureDomain) tier {
	switch {
	case domain == tb.st.Domain:
		return ownDomain
	case tb.near == nil || tb.near[domain]:
		return ownRegion
	default:
		return elsewhere
	}
}

func (tb *Table) upsert(now instant, ev Upsert) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up != nil && ev.Incarnation < up.incarnation {
		return
	}
	if up == nil {
		if tb.count >= tb.st.MaxUpstreams {
			return
		}
		sv, up = tb.add(ev)
	} else {
		sv.leave(up)
	}
	if up.since == never || ev.Incarnation > up.incarnation {
		*up = upstream{vm: ev.VM, incarnation: ev.Incarnation, since: now, lastChosen: now}
	}
	if (up.draining && !ev.Draining) || up.warmUp != ev.WarmUp {
		up.since = now
	}
	up.domain, up.tier = ev.Domain, tb.tierOf(ev.Domain)
	up.slots, up.warmUp, up.draining = max(ev.Slots, 1), ev.WarmUp, ev.Draining
	sv.join(up)
}

// add makes room for a new upstream.
func (tb *Table) add(ev Upsert) (*service, *upstream) {
	sv := tb.services[ev.Service]
	if sv == nil {
		sv = &service{byVM: make(map[call.VM]*upstream)}
		tb.services[ev.Service] = sv
	}
	up := &upstream{}
	sv.byVM[ev.VM] = up
	tb.count++
	return sv, up
}

func (sv *service) join(up *upstream) {
	sv.lv.forget()
	sv.tiers[up.tier] = append(sv.tiers[up.tier], up)
}

func (sv *service) leave(up *upstream) {
	sv.lv.forget()
	list := sv.tiers[up.tier]
	at := slices.Index(list, up)
	sv.tiers[up.tier] = slices.Delete(list, at, at+1)
}

func (tb *Table) remove(ev Remove) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	sv.leave(up)
	delete(sv.byVM, ev.VM)
	tb.count--
	if len(sv.byVM) == 0 {
		delete(tb.services, ev.Service)
	}
}

func (tb *Table) suspect(vm call.VM, suspect bool) {
	for _, sv := range tb.services {
		if up := sv.byVM[vm]; up != nil && up.suspect != suspect {
			up.suspect = suspect
			sv.lv.forget()
		}
	}
}

func (tb *Table) setNear(domains []call.FailureDomain) {
	tb.near = make(map[call.FailureDomain]bool, len(domains))
	for _, domain := range domains {
		tb.near[domain] = true
	}
	for _, sv := range tb.services {
		sv.retier(tb.tierOf)
	}
}

func (sv *service) retier(tierOf func(call.FailureDomain) tier) {
	all := slices.Concat(sv.tiers[:]...)
	sv.tiers = [tierCount][]*upstream{}
	for _, up := range all {
		up.tier = tierOf(up.domain)
		sv.join(up)
	}
}

func (tb *Table) sent(ev Sent) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	up.count(ev.Importance, 1)
	if up.failures >= ejectFailures {
		sv.lv.forget()
	}
}

func (tb *Table) answered(now instant, ev Answered) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	up.count(ev.Importance, -1)
	up.level, up.pressure, up.levelAt = ev.Level, ev.DelayedLevel, now
	up.occupancy = ev.Occupancy
	sv.lv.answered(now, up)
	if ev.Leaving {
		up.draining = true
		sv.lv.forget()
	}
	up.failures, up.ejectedUntil = 0, never
	// A refusal is quick whatever the upstream's load is.
	if ev.Overload || ev.Outcome == call.NotRun {
		return
	}
	sample := float64(max(ev.Latency, 1))
	up.addLatency(now, sample, sv.latency)
	sv.addLatency(sample)
}

func (tb *Table) failed(now instant, ev Failed) {
	sv, up := tb.find(ev.Service, ev.VM)
	if up == nil {
		return
	}
	up.count(ev.Importance, -1)
	if ev.Cancelled {
		return
	}
	sv.lv.forget()
	up.failures++
	up.addLatency(now, max(float64(ev.Latency), failurePenalty*up.currentLatency(now, sv.latency)), sv.latency)
	silent := now.since(up.levelAt) >= ejectSilence
	if up.failures < ejectFailures || !silent || !sv.mayEject(now) {
		return
	}
	backoff := min(minEjection<<min(up.failures-ejectFailures, maxDoublings), maxEjection)
	up.ejectedUntil = now.add(backoff/2 + time.Duration(tb.rng.Int64N(int64(backoff))))
}

// mayEject reports whether fewer than half of the upstreams are ejected.
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

func (sv *service) addLatency(sample float64) {
	if sv.latency == 0 {
		sv.latency = sample
	}
	sv.latency += (sample - sv.latency) / serviceLatencyWeight
}
