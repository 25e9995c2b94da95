package throttle

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
)

const (
	// cheapRatio says how much cheaper than a more important request a request must be to
	// precede it: it takes at most 1/cheapRatio of the slot time, so that refusing it
	// would free hardly any capacity.
	cheapRatio = 4
	// busyOccupancy is the occupancy, in percent, from which the guards of a service are
	// asked for a grant, and busyTime the time for which it counts.
	busyOccupancy = 70
	busyTime      = 2 * time.Second
	// minSuccessRatio bounds the estimated success ratio of admitted requests from below,
	// so that a class that fails does not get all capacity as its minimum share.
	minSuccessRatio = 0.5
	// grantLifetime is the time for which a grant counts, several times the interval
	// between two grants.
	grantLifetime = time.Second
)

// service is what an entry knows of a service in the call trees of its requests.
type service struct {
	// busyAt is when the service was last known to be busy. short says that its guards have
	// refused a part of the requests in their last grant.
	busyAt time.Time
	short  bool
	// shares holds the shares that the guards granted last, by rank.
	shares allocation.Shares
	// slotTimes is how long calls occupy a slot, by class.
	slotTimes map[call.Class]time.Duration
	// grantedAt is when the guards granted the shares.
	grantedAt time.Time
}

// service returns the state of a service, and creates it if needed.
func (ctl *Controller) service(svc call.Service) *service {
	sv := ctl.services[svc]
	if sv == nil {
		sv = &service{}
		ctl.services[svc] = sv
	}
	return sv
}

// isCalled reports whether requests of any class call the service.
func (ctl *Controller) isCalled(svc call.Service) bool {
	for _, cs := range ctl.classes {
		if cs.callsService(svc) {
			return true
		}
	}
	return false
}

// rank returns the rank of requests of a class at a service.
func (ctl *Controller) rank(cs *classState, svc call.Service, late bool) allocation.Rank {
	imp, own := cs.importance, ctl.slotSeconds(cs, svc)
	for _, other := range ctl.classes {
		if other.importance > imp && own > 0 && ctl.slotSeconds(other, svc) >= cheapRatio*own {
			imp = other.importance
		}
	}
	if imp > cs.importance && !late {
		return allocation.RankAheadOf(imp)
	}
	return allocation.RankOf(imp, late)
}

// grantedShare returns the smallest share that the guards of the services of the tree
// granted to a class, and whether there is such a grant.
func (ctl *Controller) grantedShare(now time.Time, cs *classState, late bool) (share float64, ok bool) {
	share = 1
	for svc := range cs.fanOut {
		sv := ctl.services[svc]
		if sv == nil || now.Sub(sv.grantedAt) >= grantLifetime || !cs.callsService(svc) {
			continue
		}
		share, ok = min(share, sv.shares[ctl.rank(cs, svc, late)]), true
	}
	return share, ok
}

// SetGrant replaces the grant of the guards of a service.
func (ctl *Controller) SetGrant(now time.Time, svc call.Service, gr allocation.Grant) {
	sv := ctl.service(svc)
	sv.shares, sv.grantedAt = gr.Shares, now
	sv.slotTimes = make(map[call.Class]time.Duration, len(gr.SlotTimes))
	for _, st := range gr.SlotTimes {
		sv.slotTimes[st.Class] = st.Time
	}
	if sv.short = !gr.Full(); sv.short {
		sv.busyAt = now
	}
}

// passThroughRatio returns the fraction of the requests of a class that the other
// services of its tree admit, and which therefore reach a service. Only services with
// smaller shares than its own count. Otherwise two services with equal shares would each
// lower the demand on the other.
func (ctl *Controller) passThroughRatio(now time.Time, cs *classState, svc call.Service, late bool) float64 {
	part, own := 1.0, 1.0
	if sv := ctl.services[svc]; sv != nil && now.Sub(sv.grantedAt) < grantLifetime {
		own = sv.shares[ctl.rank(cs, svc, late)]
	}
	for other := range cs.fanOut {
		sv := ctl.services[other]
		if other == svc || sv == nil || now.Sub(sv.grantedAt) >= grantLifetime || !cs.callsService(other) {
			continue
		}
		if share := sv.shares[ctl.rank(cs, other, late)]; share < own {
			part = min(part, share)
		}
	}
	return part
}

// Demands returns the demand of the arriving requests on each busy service. A service that was
// short of capacity when its guards were last heard of is busy until they are heard of again.
func (ctl *Controller) Demands(now time.Time) map[call.Service][]allocation.RankDemand {
	var all map[call.Service][]allocation.RankDemand
	for svc, sv := range ctl.services {
		if now.Sub(sv.busyAt) >= busyTime && !sv.short {
			continue
		}
		if demands := ctl.demandsOn(now, svc); len(demands) > 0 {
			if all == nil {
				all = make(map[call.Service][]allocation.RankDemand)
			}
			all[svc] = demands
		}
	}
	return all
}

// demandsOn returns the demand of all classes on a service, in the order of their ranks.
func (ctl *Controller) demandsOn(now time.Time, svc call.Service) []allocation.RankDemand {
	var demands []allocation.RankDemand
	for _, cs := range ctl.classes {
		if !cs.callsService(svc) {
			continue
		}
		cs.recent.decay(now, shareHalfLife)
		cs.account.decay(now, allocation.AccountHalfLife)
		cs.results.decay(now)
		owed, served := cs.account.rates(allocation.AccountHalfLife)
		timely, overdue := cs.timely.report(now), cs.overdue.report(now)
		demands = append(demands,
			allocation.RankDemand{
				Rank: ctl.rank(cs, svc, false), Calls: cs.fanOut[svc].rates(timely * ctl.passThroughRatio(now, cs, svc, false)),
				Successes: timely * cs.successRatio(), FirstSends: cs.recent.firstSends(timely + overdue),
				MeanFirstSends: owed, MeanServed: served,
			},
			allocation.RankDemand{
				Rank: ctl.rank(cs, svc, true), Calls: cs.fanOut[svc].rates(overdue * ctl.passThroughRatio(now, cs, svc, true)),
				Successes: overdue * cs.successRatio(),
			},
		)
	}
	slices.SortFunc(demands, func(a, b allocation.RankDemand) int { return cmp.Compare(a.Rank, b.Rank) })
	return demands
}

// Stats says how a class is served.
type Stats struct {
	// ServedRatio is the estimated fraction of recent first sends that succeeded.
	ServedRatio float64
	// AccountRatio is the same over the time of the account of the class.
	AccountRatio float64
	// SuccessRatio is the fraction of the admitted requests that succeeded.
	SuccessRatio float64
	// MinimumWanted is the number of requests per second that are to succeed whatever more
	// important classes demand, and Granted the number per second that the guards let the
	// entry admit. Both are zero while no guard has granted a share.
	MinimumWanted, Granted float64
	// GrantedShare and GrantedLateShare are the fractions of the requests that the guards let
	// the entry admit: of those that can be answered within their target, and of the others.
	GrantedShare, GrantedLateShare float64
	// OwnShare is the share that the entry applies while there is no grant.
	OwnShare float64
	// MeanDuration is the mean duration of the requests that succeeded.
	MeanDuration time.Duration
}

// Stats returns the statistics of a class, or zero if it is not known. Requests whose customers have
// an importance of their own are left out if there are others.
func (ctl *Controller) Stats(now time.Time, class call.Class) Stats {
	cs := ctl.anyState(class)
	if cs == nil {
		return Stats{}
	}
	cs.recent.decay(now, shareHalfLife)
	cs.account.decay(now, allocation.AccountHalfLife)
	cs.results.decay(now)
	first, firstOfAccount := cs.recent.firstSends(cs.recent.arrived), cs.account.firstSends(cs.account.arrived)
	st := Stats{
		ServedRatio: min(cs.recent.served/max(first, 1), 1), AccountRatio: min(cs.account.served/max(firstOfAccount, 1), 1), SuccessRatio: cs.successRatio(),
		MeanDuration: cs.meanDuration, OwnShare: cs.share.value,
	}
	if share, ok := ctl.grantedShare(now, cs, false); ok {
		overdueShare, _ := ctl.grantedShare(now, cs, true)
		timely, overdue := cs.timely.arrivalRate(now), cs.overdue.arrivalRate(now)
		st.MinimumWanted = allocation.MinServedRatio * cs.recent.firstSends(timely+overdue)
		st.Granted = share*timely + overdueShare*overdue
		st.GrantedShare, st.GrantedLateShare = share, overdueShare
	}
	return st
}

// successRatio returns the fraction of the admitted requests of the class that succeed, at least
// minSuccessRatio.
func (cs *classState) successRatio() float64 { return max(cs.results.ratio(), minSuccessRatio) }
