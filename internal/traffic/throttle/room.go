package throttle

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/room"
)

const (
	// cheap is the part of the slot time of a more important request, 1 in so many, up
	// to which a request ranks with it: refusing it makes hardly any room.
	cheap = 4
	// busyOccupancy is the occupancy from which the guards of a service are asked
	// for the room that they have, and busyLife the time for which it counts.
	busyOccupancy = 70
	busyLife      = 2 * time.Second
	// roomLife is the time for which an answer of the guards counts, several times
	// that between two.
	roomLife = time.Second
)

// service is what an entry knows of a service of call trees.
type service struct {
	busyAt time.Time
	shares room.Shares
	// toldAt is when the guards told the shares.
	toldAt time.Time
}

func (gp *Group) service(svc call.Service) *service {
	sv := gp.services[svc]
	if sv == nil {
		sv = &service{}
		gp.services[svc] = sv
	}
	return sv
}

// needed reports whether requests of a kind take slots of the service.
func (gp *Group) needed(svc call.Service) bool {
	for _, kd := range gp.kinds {
		if kd.needs(svc) {
			return true
		}
	}
	return false
}

// rank returns the rank of requests of a kind at a service.
func (gp *Group) rank(kd *kind, svc call.Service, late bool) room.Rank {
	imp := kd.importance
	for _, other := range gp.kinds {
		if other.importance > imp && other.slotTime[svc] >= cheap*kd.slotTime[svc] && other.needs(svc) {
			imp = other.importance
		}
	}
	return room.RankOf(imp, late)
}

// roomFor returns the share of the requests of a kind for which the guards of all
// services of its tree have room, if any told it.
func (gp *Group) roomFor(now time.Time, kd *kind, late bool) (share float64, ok bool) {
	share = 1
	for svc := range kd.slotTime {
		sv := gp.services[svc]
		if sv == nil || now.Sub(sv.toldAt) >= roomLife || !kd.needs(svc) {
			continue
		}
		share, ok = min(share, sv.shares[gp.rank(kd, svc, late)]), true
	}
	return share, ok
}

// SetShares states the shares of the requests for which a service has room.
func (gp *Group) SetShares(now time.Time, svc call.Service, sh room.Shares) {
	sv := gp.service(svc)
	sv.shares, sv.toldAt = sh, now
	if slices.Min(sh[:]) < 1 {
		sv.busyAt = now
	}
}

// letThrough returns the part of the requests of a kind that the other services of its
// tree let through to a service. Those that have as little room as this one do not
// count: each of them would else wait for the other.
func (gp *Group) letThrough(now time.Time, kd *kind, svc call.Service, late bool) float64 {
	part, own := 1.0, 1.0
	if sv := gp.services[svc]; sv != nil && now.Sub(sv.toldAt) < roomLife {
		own = sv.shares[gp.rank(kd, svc, late)]
	}
	for other := range kd.slotTime {
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

// Wants returns what the requests that come take of each service that is busy.
func (gp *Group) Wants(now time.Time) map[call.Service][]room.Want {
	var all map[call.Service][]room.Want
	gp.countServed(now)
	for svc, sv := range gp.services {
		if now.Sub(sv.busyAt) >= busyLife {
			continue
		}
		if wants := gp.wantsOf(now, svc); len(wants) > 0 {
			if all == nil {
				all = make(map[call.Service][]room.Want)
			}
			all[svc] = wants
		}
	}
	return all
}

func (gp *Group) wantsOf(now time.Time, svc call.Service) []room.Want {
	var wants []room.Want
	for _, kd := range gp.kinds {
		if !kd.needs(svc) {
			continue
		}
		slotTime := kd.slotTime[svc]
		timely, overdue := gp.letThrough(now, kd, svc, false), gp.letThrough(now, kd, svc, true)
		wants = append(wants,
			room.Want{
				Rank: gp.rank(kd, svc, false), Slots: timely * kd.timely.perSecond(now) * slotTime,
				Least: min(gp.least(kd)/max(timely, leastShare), 1),
			},
			room.Want{Rank: gp.rank(kd, svc, true), Slots: overdue * kd.overdue.perSecond(now) * slotTime},
		)
	}
	slices.SortFunc(wants, func(a, b room.Want) int { return cmp.Compare(a.Rank, b.Rank) })
	return wants
}
