package throttle

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
)

const (
	// cheap is the part of the slot time of a more important request, 1 in so many, up
	// to which a request goes before it: refusing it makes hardly any room.
	cheap = 4
	// busyOccupancy is the occupancy from which the guards of a service are asked
	// for the room that they have, and busyLife the time for which it counts.
	busyOccupancy = 70
	busyLife      = 2 * time.Second
	// minYield bounds the part of the admitted requests that is taken to come through,
	// so that a kind that fails does not get all room as its least part.
	minYield = 0.5
	// roomLife is the time for which an answer of the guards counts, several times
	// that between two.
	roomLife = time.Second
)

// service is what an entry knows of a service of call trees.
type service struct {
	busyAt time.Time
	shares allocation.Shares
	// slotTimes is the time for which calls take a slot, by kind.
	slotTimes map[call.Class]time.Duration
	// toldAt is when the guards told the shares.
	toldAt time.Time
}

func (gp *Controller) service(svc call.Service) *service {
	sv := gp.services[svc]
	if sv == nil {
		sv = &service{}
		gp.services[svc] = sv
	}
	return sv
}

// needed reports whether requests of a kind take slots of the service.
func (gp *Controller) needed(svc call.Service) bool {
	for _, kd := range gp.kinds {
		if kd.needs(svc) {
			return true
		}
	}
	return false
}

// rank returns the rank of requests of a kind at a service.
func (gp *Controller) rank(kd *kind, svc call.Service, late bool) allocation.Rank {
	imp, own := kd.importance, gp.slotTime(kd, svc)
	for _, other := range gp.kinds {
		if other.importance > imp && own > 0 && gp.slotTime(other, svc) >= cheap*own {
			imp = other.importance
		}
	}
	if imp > kd.importance && !late {
		return allocation.RankAheadOf(imp)
	}
	return allocation.RankOf(imp, late)
}

// roomFor returns the share of the requests of a kind for which the guards of all
// services of its tree have room, if any told it.
func (gp *Controller) roomFor(now time.Time, kd *kind, late bool) (share float64, ok bool) {
	share = 1
	for svc := range kd.calls {
		sv := gp.services[svc]
		if sv == nil || now.Sub(sv.toldAt) >= roomLife || !kd.needs(svc) {
			continue
		}
		share, ok = min(share, sv.shares[gp.rank(kd, svc, late)]), true
	}
	return share, ok
}

// SetGrant states what the guards of a service said of its room.
func (gp *Controller) SetGrant(now time.Time, svc call.Service, an allocation.Grant) {
	sv := gp.service(svc)
	sv.shares, sv.toldAt = an.Shares, now
	sv.slotTimes = make(map[call.Class]time.Duration, len(an.SlotTimes))
	for _, st := range an.SlotTimes {
		sv.slotTimes[st.Class] = st.Time
	}
	if slices.Min(an.Shares[:]) < 1 {
		sv.busyAt = now
	}
}

// letThrough returns the part of the requests of a kind that the other services of its
// tree let through to a service. Those that have as little room as this one do not
// count: each of them would else wait for the other.
func (gp *Controller) letThrough(now time.Time, kd *kind, svc call.Service, late bool) float64 {
	part, own := 1.0, 1.0
	if sv := gp.services[svc]; sv != nil && now.Sub(sv.toldAt) < roomLife {
		own = sv.shares[gp.rank(kd, svc, late)]
	}
	for other := range kd.calls {
		sv := gp.services[other]
		if other == svc || sv == nil || now.Sub(sv.toldAt) >= roomLife || !kd.needs(other) {
			continue
		}
		if share := sv.shares[gp.rank(kd, other, late)]; share < own {
			part = min(part, share)
		}
	}
	return part
}

// Demands returns the calls that the requests that come make of each service that is
// busy.
func (gp *Controller) Demands(now time.Time) map[call.Service][]allocation.RankDemand {
	var all map[call.Service][]allocation.RankDemand
	for svc, sv := range gp.services {
		if now.Sub(sv.busyAt) >= busyLife {
			continue
		}
		if wants := gp.wantsOf(now, svc); len(wants) > 0 {
			if all == nil {
				all = make(map[call.Service][]allocation.RankDemand)
			}
			all[svc] = wants
		}
	}
	return all
}

func (gp *Controller) wantsOf(now time.Time, svc call.Service) []allocation.RankDemand {
	var wants []allocation.RankDemand
	for _, kd := range gp.kinds {
		if !kd.needs(svc) {
			continue
		}
		kd.share.decay(now)
		timely, overdue := kd.timely.perSecond(now), kd.overdue.perSecond(now)
		wants = append(wants,
			allocation.RankDemand{
				Rank: gp.rank(kd, svc, false), Calls: kd.calls[svc].rates(timely * gp.letThrough(now, kd, svc, false)),
				Successes: timely * kd.yield(), FirstSends: kd.firstSends(timely + overdue),
			},
			allocation.RankDemand{
				Rank: gp.rank(kd, svc, true), Calls: kd.calls[svc].rates(overdue * gp.letThrough(now, kd, svc, true)),
				Successes: overdue * kd.yield(),
			},
		)
	}
	slices.SortFunc(wants, func(a, b allocation.RankDemand) int { return cmp.Compare(a.Rank, b.Rank) })
	return wants
}

// firstSends estimates the requests of the kind that were not sent before, of a number
// of tries: those that are refused come back once.
func (kd *kind) firstSends(tries float64) float64 {
	refused := kd.share.arrived - kd.share.admitted
	return tries / (1 + refused/max(kd.share.arrived, 1))
}

// Stats is how a kind is served.
type Stats struct {
	// ServedRatio is the part of the first sends that came through lately, as estimated from
	// tries.
	ServedRatio float64
	// SuccessRatio is the part of the admitted requests that came through.
	SuccessRatio float64
}

// Stats returns how requests of a kind are served at a time.
func (gp *Controller) Stats(now time.Time, class call.Class) Stats {
	kd := gp.kinds[class]
	if kd == nil {
		return Stats{}
	}
	kd.share.decay(now)
	first := kd.firstSends(kd.share.arrived)
	return Stats{ServedRatio: min(kd.share.through/max(first, 1), 1), SuccessRatio: kd.yield()}
}

// yield returns the part of the admitted requests of the kind that comes through.
func (kd *kind) yield() float64 {
	if kd.share.ended < 1 {
		return 1
	}
	return max(kd.share.through/kd.share.ended, minYield)
}
