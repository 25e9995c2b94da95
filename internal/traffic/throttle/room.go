package throttle

import (
	"cmp"
	"math"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/decay"
	"camphortrail/internal/traffic/room"
)

const (
	// rateHalfLife is the time in which the weight of a past arrival halves.
	rateHalfLife = 400 * time.Millisecond
	// needWeight is the divisor of a new sample of what a request takes.
	needWeight = 4
	// minSlotTime is the slot time under which a need does not matter, in seconds, and
	// minorNeed the part of the largest need of a kind, 1 in so many: what is less may
	// come from calls that were given to the wrong kind.
	minSlotTime = 1e-4
	minorNeed   = 6
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
	// leastRoom is the part of the requests of a kind that is to be served, relative
	// to that of all: no kind is to be served less than a quarter as often as all.
	leastRoom = 0.25
	// servedHalfLife is the time over which that is to hold: longer than a burst, in
	// which the important kinds go first.
	servedHalfLife = 20 * time.Second
	// nearLeast is the multiple of its least part under which a kind begins to be
	// given room ahead of more important ones.
	nearLeast = 1.5
	// usualWeight is the divisor of a new sample of the time that requests take.
	usualWeight = 16
	// minReturn is the least time left, after that which a request usually takes,
	// for which it is worth while to come back within the target.
	minReturn = 100 * time.Millisecond
)

// service is what an entry knows of a service of call trees.
type service struct {
	busyAt time.Time
	shares room.Shares
	// toldAt is when the guards told the shares.
	toldAt time.Time
}

// flow is the requests of a kind that are on time, or those that are not.
type flow struct {
	// recent counts the arrivals.
	recent float64
	clock  decay.Clock
	// credit is what is left of the shares of the requests so far, at least 1 to
	// admit one.
	credit float64
}

// grant reports whether a request that came is within the share.
func (fl *flow) grant(now time.Time, share float64) bool {
	fl.recent = fl.recent*fl.clock.Keep(now, rateHalfLife) + 1
	fl.credit += share
	if fl.credit < 1 {
		return false
	}
	fl.credit--
	return true
}

// perSecond returns the rate of the arrivals.
func (fl *flow) perSecond(now time.Time) float64 {
	fl.recent *= fl.clock.Keep(now, rateHalfLife)
	return fl.recent * math.Ln2 / rateHalfLife.Seconds()
}

func (kd *kind) flow(late bool) *flow {
	if late {
		return &kd.overdue
	}
	return &kd.timely
}

// late reports whether a request can hardly be answered within its target. Where
// requests usually take most of the target, those that came at once are not late.
func (kd *kind) late(rq Request) bool {
	return rq.Target > 0 && rq.Waited+min(kd.usual, rq.Target-rq.Target/4) > rq.Target
}

// returnTime returns the mean time after which a refused request may come back:
// while it can still be answered within its target, or else the later the more are
// refused.
func (kd *kind) returnTime(rq Request, refused float64) time.Duration {
	if left := rq.Target - rq.Waited - kd.usual; rq.Target > 0 && left >= minReturn {
		// The mean is varied by a half.
		return left / 2
	}
	return returnTime(refused)
}

// Learn takes in what a request of a kind takes of the services of its tree.
func (gp *Group) Learn(now time.Time, class call.Class, needs []call.Need) {
	if len(needs) == 0 {
		return
	}
	kd := gp.kind(class)
	known := len(kd.slotTime) > 0
	for _, nd := range needs {
		sample := nd.SlotTime.Seconds()
		if old, ok := kd.slotTime[nd.Service]; ok {
			kd.slotTime[nd.Service] = old + (sample-old)/needWeight
		} else if !known {
			kd.slotTime[nd.Service] = sample
		} else {
			kd.slotTime[nd.Service] = sample / needWeight
		}
		if nd.Occupancy >= busyOccupancy {
			gp.service(nd.Service).busyAt = now
		}
	}
	// Requests that are shared out to several services need each a part of the time.
	for svc, old := range kd.slotTime {
		if !slices.ContainsFunc(needs, func(nd call.Need) bool { return nd.Service == svc }) {
			kd.slotTime[svc] = old - old/needWeight
		}
	}
}

// SlotTimes returns what a request of a kind takes of each service.
func (gp *Group) SlotTimes(class call.Class) map[call.Service]time.Duration {
	times := make(map[call.Service]time.Duration)
	if kd := gp.kinds[class]; kd != nil {
		for svc, took := range kd.slotTime {
			times[svc] = time.Duration(took * float64(time.Second))
		}
	}
	return times
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

// needs reports whether requests of the kind take slots of the service.
func (kd *kind) needs(svc call.Service) bool {
	most := minSlotTime
	for _, slotTime := range kd.slotTime {
		most = max(most, slotTime/minorNeed)
	}
	return kd.slotTime[svc] >= most
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

// firstSends estimates the recent requests of the kind: those that are refused come
// back, and count as tries again.
func (kd *kind) firstSends() float64 {
	refused := kd.share.arrived - kd.share.admitted
	return kd.share.arrived / (1 + refused/max(kd.share.arrived, 1))
}

// longRun is the part of the requests that was admitted, over a long time.
type longRun struct {
	part  float64
	clock decay.Clock
	begun bool
}

// add takes in the part that was admitted lately. All count as admitted before the
// first time.
func (lr *longRun) add(now time.Time, recent float64) {
	keep := lr.clock.Keep(now, servedHalfLife)
	if !lr.begun {
		lr.part, lr.begun = 1, true
		return
	}
	lr.part = lr.part*keep + recent*(1-keep)
}

// countServed brings what is served of each kind and of all up to date.
func (gp *Group) countServed(now time.Time) {
	requests, admitted := 0.0, 0.0
	for _, kd := range gp.kinds {
		kd.share.decay(now)
		first := kd.firstSends()
		requests += first
		admitted += kd.share.admitted
		if first >= 1 {
			kd.served.add(now, min(kd.share.admitted/first, 1))
		}
	}
	gp.recent = min(admitted/max(requests, 1), 1)
	gp.served.add(now, gp.recent)
}

// least returns the part of the tries in time that is to be admitted whatever the
// load is: none, unless the kind was served little for long.
func (gp *Group) least(kd *kind) float64 {
	need := leastRoom * gp.served.part
	short := (nearLeast*need - kd.served.part) / ((nearLeast - 1) * max(need, leastShare))
	part := leastRoom * gp.recent * min(max(short, 0), 1)
	return min(max(part*kd.firstSends()/max(kd.share.timely, 1), leastShare), 1)
}

// comes returns the part of the requests of a kind that the other services of its
// tree let through to a service. Those that have as little room as this one do not
// count: each of them would else wait for the other.
func (gp *Group) comes(now time.Time, kd *kind, svc call.Service, late bool) float64 {
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
		timely, overdue := gp.comes(now, kd, svc, false), gp.comes(now, kd, svc, true)
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
