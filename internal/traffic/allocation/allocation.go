// Package allocation divides the slots of an upstream among the requests that all
// entries want to send to it, directly or by the calls of others.
//
// The load pattern is a small service deep in many call trees that gets more than
// it carries, while VMs of it leave, start cold or slow down. An entry sees few of the
// answers and sees them a whole tree late, so entries that find their shares on their
// own find different ones, which swing. Instead each entry tells the guards of a busy
// service the calls that its arrivals would make in a second, by rank. A guard knows
// at once how long a call takes a slot at its VM and how many may run, and gives all
// entries the same shares: the ranks in their order, but to each kind a least part. What is admitted follows the arrivals and the VMs, without
// waiting for a queue to grow; the occupancy only corrects what is measured wrongly.
package allocation

import (
	"math"
	"slices"
	"time"

	"camphortrail/call"
)

const (
	// wantsLife is the time for which what an entry wants counts, several times
	// that between two reports.
	wantsLife = time.Second
	// divideInterval is the least time between two divisions.
	divideInterval = 20 * time.Millisecond
	// targetQueue is the mean number of waiting attempts at which some 95 % of the
	// slots are busy although calls come at random, whatever their number, and
	// maxTarget bounds the occupancy that it stands for where slots are few.
	targetQueue = 10
	maxTarget   = 2
	// proportional is the part of the room by which an occupancy of twice the
	// target lowers it, and integral the part of that which stays each second.
	// An excess admitted for a second adds several times its part to the
	// occupancy, and trees take up to some seconds: more than this swings.
	proportional = 0.2
	integral     = 0.3
	// strong is the same as proportional for the square of the error: with three
	// times the target nothing is admitted until that is worked off.
	strong = 0.15
	// chance is the relative error of the occupancy that arrivals at random make: it does
	// not change the room.
	chance = 0.3
	// maxError bounds the relative error of the occupancy that counts.
	maxError = 2
	// steadyError is the error from which the occupancy shows a change of the load
	// and not a wrong measure, unless it lasts for unsteadyTime: longer than trees
	// that were admitted before the change.
	steadyError  = 0.5
	unsteadyTime = 3 * time.Second
	// minTrim and maxTrim bound the correction of what is measured wrongly. Slots
	// also stay free as calls fail elsewhere: the room is not to grow much for it.
	minTrim = 0.5
	maxTrim = 1.25
	// leastServed is the part of the first sends of each kind that is to be served
	// however much more important ones want, and keptPart that of the room left by the
	// ranks before which may be kept for it.
	leastServed = 0.17
	keptPart    = 0.6
	// perSlot is the number of parts in which slots and rates are counted.
	perSlot = 1e6
	// trimReturn is the part of the correction that is lost in each second while
	// there is room for all.
	trimReturn = 0.2
)

// Rank orders requests that want the same room: by importance, and then those that take
// far less than others of it, those that can still be answered within their target, and
// the others.
type Rank uint8

// NumRanks is the number of ranks.
const NumRanks = 3 * (int(call.MaxImportance) + 1)

// RankOf returns the rank of requests that are late, or not.
func RankOf(imp call.Importance, late bool) Rank {
	rk := 3 * Rank(min(imp, call.MaxImportance))
	if !late {
		rk++
	}
	return rk
}

// RankAheadOf returns the rank of requests that go just before those of an importance, as
// they take far less room: refusing them makes hardly any.
func RankAheadOf(imp call.Importance) Rank { return RankOf(imp, false) + 1 }

// importance returns that of the requests whose work a rank competes with.
func (rk Rank) importance() call.Importance { return call.Importance(rk / 3) }

// RankDemand is what the requests of one rank at an entry need of a service.
type RankDemand struct {
	Rank Rank
	// Calls is the calls that all of them would make, by kind.
	Calls []CallRate
	// Successes is the number of them in a second that would come through if all were
	// admitted, and FirstSends that of those which were not sent before.
	Successes, FirstSends float64
}

// Scaled returns a part of what is wanted.
func (wt RankDemand) Scaled(part float64) RankDemand {
	list := make([]CallRate, len(wt.Calls))
	for at, cr := range wt.Calls {
		list[at] = CallRate{cr.Class, cr.PerSecond * part}
	}
	return RankDemand{Rank: wt.Rank, Calls: list, Successes: wt.Successes * part, FirstSends: wt.FirstSends * part}
}

// CallRate is a number of calls of a kind in a second.
type CallRate struct {
	Class     call.Class
	PerSecond float64
}

// Shares holds the part of the requests of each rank that there is room for.
type Shares [NumRanks]float64

// FullShares returns the shares where there is room for everything.
func FullShares() (sh Shares) {
	for rk := range sh {
		sh[rk] = 1
	}
	return sh
}

// Allocator divides the slots of one upstream. It is not safe for concurrent use.
type Allocator struct {
	wants map[call.VM]report
	// trim corrects the room by what the occupancy shows.
	trim float64
	// unsteady is the time for which the error was large.
	unsteady time.Duration
	divided  time.Time
	// total is the number of slots that were wanted, and part the room for them,
	// relative to the slots.
	total, part float64
	shares      Shares
}

// report is what an entry wants, and since when it is known.
type report struct {
	wants []RankDemand
	at    time.Time
}

// New returns a divider that nobody wants anything of.
func New() *Allocator {
	return &Allocator{wants: make(map[call.VM]report), trim: 1, shares: FullShares()}
}

// SetDemand takes in what the requests at an entry need.
func (dv *Allocator) SetDemand(now time.Time, entry call.VM, wants []RankDemand) {
	dv.wants[entry] = report{wants, now}
}

// Load is the state of an upstream.
type Load struct {
	// Slots is the number of attempts that may run at a time.
	Slots int
	// Occupancy is the attempts that run or wait, relative to the slots.
	Occupancy call.Occupancy
	// Waiting holds the attempts that wait, by importance.
	Waiting [call.MaxImportance + 1]int
	// SlotTimes is the time for which calls take a slot.
	SlotTimes *SlotTimeEstimator
}

// Grant is what a guard says to a demand.
type Grant struct {
	Shares Shares
	// Slots is the number of attempts that may run at a time.
	Slots int
	// SlotTimes is the time for which calls of the kinds that are wanted take one.
	SlotTimes []SlotTime
}

// slotTime returns the time for which a call of a kind takes a slot, in seconds, or zero
// if it was not told.
func (an *Grant) slotTime(class call.Class) float64 {
	for _, st := range an.SlotTimes {
		if st.Class == class {
			return st.Time.Seconds()
		}
	}
	return 0
}

// Capacity returns the calls that the VM can run in a second if they are mixed as those
// that are wanted, or zero if it is not known.
func (an *Grant) Capacity(wants []RankDemand) float64 {
	calls, taken := 0.0, 0.0
	for _, wt := range wants {
		for _, cr := range wt.Calls {
			calls += cr.PerSecond
			taken += cr.PerSecond * an.slotTime(cr.Class)
		}
	}
	if taken == 0 {
		return 0
	}
	return float64(an.Slots) * calls / taken
}

// AddWeighted adds a part of another answer, as to a mean.
func (an *Grant) AddWeighted(other Grant, part float64) {
	an.Slots += other.Slots
	for rk, share := range other.Shares {
		an.Shares[rk] += part * share
	}
	for _, st := range other.SlotTimes {
		took := time.Duration(part * float64(st.Time))
		at := slices.IndexFunc(an.SlotTimes, func(own SlotTime) bool { return own.Class == st.Class })
		if at < 0 {
			an.SlotTimes = append(an.SlotTimes, SlotTime{st.Class, took})
		} else {
			an.SlotTimes[at].Time += took
		}
	}
}

// occupancyOf returns the occupancy that attempts of an importance and of higher
// ones make up. What is less important does not delay them.
func (ld *Load) occupancyOf(imp call.Importance) float64 {
	all := float64(ld.Occupancy) / 100
	lower := 0
	for _, waiting := range ld.Waiting[:imp] {
		lower += waiting
	}
	return max(all-float64(lower)/max(float64(ld.Slots), 1), min(all, 1))
}

// Allocate returns the shares for an upstream with the given load.
func (dv *Allocator) Allocate(now time.Time, ld Load) Shares {
	passed := now.Sub(dv.divided)
	if passed < divideInterval {
		return dv.shares
	}
	dv.divided = now
	sm := dv.sum(now, ld.SlotTimes)
	var total int64
	for _, slots := range sm.slots {
		total += slots
	}
	dv.total = float64(total) / perSlot
	dv.correct(min(passed, wantsLife), &ld)
	var room [call.MaxImportance + 1]float64
	for imp := range room {
		room[imp] = float64(ld.Slots) * dv.trim * ld.admits(call.Importance(imp))
	}
	dv.part = room[0] / max(float64(ld.Slots), 1)
	dv.shares = sm.divide(&room)
	return dv.shares
}

// sums is what all entries want, by rank. Sums of whole numbers do not depend on the
// order of the reports.
type sums struct {
	// slots are those that the calls take, yield the requests in a second that would
	// come through, and first the first sends, in parts of perSlot.
	slots, yield, first [NumRanks]int64
}

// sum adds up what is wanted, and forgets what is old.
func (dv *Allocator) sum(now time.Time, pc *SlotTimeEstimator) *sums {
	sm := new(sums)
	for entry, rp := range dv.wants {
		if now.Sub(rp.at) >= wantsLife {
			delete(dv.wants, entry)
			continue
		}
		for _, wt := range rp.wants {
			slots := 0.0
			for _, cr := range wt.Calls {
				slots += cr.PerSecond * pc.Estimate(cr.Class).Seconds()
			}
			sm.slots[wt.Rank] += int64(slots * perSlot)
			sm.yield[wt.Rank] += int64(wt.Successes * perSlot)
			sm.first[wt.Rank] += int64(wt.FirstSends * perSlot)
		}
	}
	return sm
}

// LastAllocation returns the slots that were wanted at the last division, and the room that
// there was for the least important of them, relative to the slots.
func (dv *Allocator) LastAllocation() (wanted, part float64) { return dv.total, dv.part }

// off returns the relative error of an occupancy.
func (ld *Load) off(occupancy float64) float64 {
	target := min(1+targetQueue/max(float64(ld.Slots), 1), maxTarget)
	return min(max(occupancy/target-1, -maxError), maxError)
}

// admits returns the part of the slots that may be given away, as far as what waits
// for work of an importance tells.
func (ld *Load) admits(imp call.Importance) float64 {
	off := ld.off(ld.occupancyOf(imp))
	off = math.Copysign(max(math.Abs(off)-chance, 0), off)
	return max(1-proportional*off-strong*off*math.Abs(off), 0)
}

// correct changes the trim for the time that has passed.
func (dv *Allocator) correct(passed time.Duration, ld *Load) {
	off := ld.off(float64(ld.Occupancy) / 100)
	if math.Abs(off) < steadyError {
		dv.unsteady = 0
	} else {
		dv.unsteady += passed
	}
	switch {
	case off < 0 && dv.total <= float64(ld.Slots)*dv.trim:
		dv.trim += (1 - dv.trim) * trimReturn * passed.Seconds()
	case off < 0, dv.unsteady == 0, dv.unsteady >= unsteadyTime:
		// Slots that come free beside requests that are refused are no matter of a step.
		dv.trim *= math.Exp(-integral * off * passed.Seconds())
	}
	dv.trim = min(max(dv.trim, minTrim), maxTrim)
}

// divide gives the room to the ranks in their order, and keeps the least part of
// those that follow.
func (sm *sums) divide(room *[call.MaxImportance + 1]float64) Shares {
	var least [NumRanks]float64
	for rk, first := range sm.first {
		least[rk] = min(leastServed*float64(first)/max(float64(sm.yield[rk]), 1), 1)
	}
	return give(room, &sm.slots, &least)
}

// give gives the room to the ranks in their order. Of what is left for a rank and those
// after it, a part is kept for the least parts of what those want, but no more than an
// even division gives them. There is less room for less important ranks, but for their
// least parts.
func give(room *[call.MaxImportance + 1]float64, wanted *[NumRanks]int64, least *[NumRanks]float64) (sh Shares) {
	var kept [NumRanks]float64
	// lesser is what the ranks want of which a part is kept.
	sum, lesser, given := 0.0, 0.0, 0.0
	for rk, part := range least {
		if kept[rk] = part * float64(wanted[rk]); part > 0 {
			sum += kept[rk]
			lesser += float64(wanted[rk])
		}
	}
	most := room[call.MaxImportance] * perSlot
	for rk := NumRanks - 1; rk >= 0; rk-- {
		all := float64(wanted[rk])
		if least[rk] > 0 {
			sum -= kept[rk]
			lesser -= all
		}
		left := max(most-given, 0)
		reserve := min(sum, keptPart*left, left*lesser/max(all+lesser, 1))
		free := room[Rank(rk).importance()]*perSlot - given - reserve
		if all == 0 {
			sh[rk] = 1
			if free <= 0 {
				sh[rk] = 0
			}
			continue
		}
		slots := min(max(free, min(kept[rk], left-reserve), 0), all)
		given += slots
		sh[rk] = slots / all
	}
	return sh
}

// Grant returns what the guard of an upstream with the given load says to an entry
// that wants something.
func (dv *Allocator) Grant(now time.Time, ld Load, wants []RankDemand) Grant {
	an := Grant{Shares: dv.Allocate(now, ld), Slots: ld.Slots}
	for _, wt := range wants {
		for _, cr := range wt.Calls {
			if !slices.ContainsFunc(an.SlotTimes, func(st SlotTime) bool { return st.Class == cr.Class }) {
				an.SlotTimes = append(an.SlotTimes, SlotTime{cr.Class, ld.SlotTimes.Estimate(cr.Class)})
			}
		}
	}
	return an
}
