// Package room divides the slots of an upstream among the requests that all
// entries want to send to it, directly or by the calls of others.
//
// The load pattern is a small service deep in many call trees that gets more than
// it carries. An entry sees few of the answers and sees them a whole tree late, so
// entries that find their shares on their own find different ones, which swing.
// Instead each entry tells the guards of a busy service the slots that its
// arrivals would take, by rank, and a guard gives all of them the same shares: the
// least that each rank is to get, and then the ranks in their order. What is
// admitted follows the arrivals, without waiting for a queue to grow; the
// occupancy only corrects what is measured wrongly.
package room

import (
	"math"
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
	maxTrim = 1.5
	// perSlot is the number of parts in which slots are counted.
	perSlot = 1e6
	// trimReturn is the part of the correction that is lost in each second while
	// there is room for all.
	trimReturn = 0.2
)

// Rank orders requests that want the same room: by importance, and then those
// that can still be answered within their target before the others.
type Rank uint8

// Ranks is the number of ranks.
const Ranks = 2 * (int(call.MaxImportance) + 1)

// RankOf returns the rank of requests that are late, or not.
func RankOf(imp call.Importance, late bool) Rank {
	rk := 2 * Rank(min(imp, call.MaxImportance))
	if !late {
		rk++
	}
	return rk
}

// Want is what the requests of one rank at an entry need of a service.
type Want struct {
	Rank Rank
	// Slots is the number of slots that all of them would take.
	Slots float64
	// Least is the part of them that is to be admitted whatever the load is.
	Least float64
}

// Shares holds the part of the requests of each rank that there is room for.
type Shares [Ranks]float64

// All returns the shares where there is room for everything.
func All() (sh Shares) {
	for rk := range sh {
		sh[rk] = 1
	}
	return sh
}

// Divider divides the slots of one upstream. It is not safe for concurrent use.
type Divider struct {
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
	wants []Want
	at    time.Time
}

// New returns a divider that nobody wants anything of.
func New() *Divider {
	return &Divider{wants: make(map[call.VM]report), trim: 1, shares: All()}
}

// Want takes in what the requests at an entry need.
func (dv *Divider) Want(now time.Time, entry call.VM, wants []Want) {
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

// Divide returns the shares for an upstream with the given load.
func (dv *Divider) Divide(now time.Time, ld Load) Shares {
	passed := now.Sub(dv.divided)
	if passed < divideInterval {
		return dv.shares
	}
	dv.divided = now
	// Sums of whole numbers do not depend on the order of the reports.
	var wanted, least [Ranks]int64
	for entry, rp := range dv.wants {
		if now.Sub(rp.at) >= wantsLife {
			delete(dv.wants, entry)
			continue
		}
		for _, wt := range rp.wants {
			wanted[wt.Rank] += int64(wt.Slots * perSlot)
			least[wt.Rank] += int64(wt.Slots * wt.Least * perSlot)
		}
	}
	var total int64
	for _, slots := range wanted {
		total += slots
	}
	dv.total = float64(total) / perSlot
	dv.correct(min(passed, wantsLife), &ld)
	var room [call.MaxImportance + 1]float64
	for imp := range room {
		room[imp] = float64(ld.Slots) * dv.trim * ld.admits(call.Importance(imp))
	}
	dv.part = room[0] / max(float64(ld.Slots), 1)
	dv.shares = divide(&room, &wanted, &least)
	return dv.shares
}

// Last returns the slots that were wanted at the last division, and the room that
// there was for the least important of them, relative to the slots.
func (dv *Divider) Last() (wanted, part float64) { return dv.total, dv.part }

// off returns the relative error of an occupancy.
func (ld *Load) off(occupancy float64) float64 {
	target := min(1+targetQueue/max(float64(ld.Slots), 1), maxTarget)
	return min(max(occupancy/target-1, -maxError), maxError)
}

// admits returns the part of the slots that may be given away, as far as what waits
// for work of an importance tells.
func (ld *Load) admits(imp call.Importance) float64 {
	off := ld.off(ld.occupancyOf(imp))
	return max(1-proportional*off-strong*off*math.Abs(off), 0)
}

// correct changes the trim for the time that has passed.
func (dv *Divider) correct(passed time.Duration, ld *Load) {
	off := ld.off(float64(ld.Occupancy) / 100)
	if math.Abs(off) < steadyError {
		dv.unsteady = 0
	} else {
		dv.unsteady += passed
	}
	switch {
	case off < 0 && dv.total <= float64(ld.Slots)*dv.trim:
		dv.trim += (1 - dv.trim) * trimReturn * passed.Seconds()
	case dv.unsteady == 0 || dv.unsteady >= unsteadyTime:
		dv.trim *= math.Exp(-integral * off * passed.Seconds())
	}
	dv.trim = min(max(dv.trim, minTrim), maxTrim)
}

// divide gives the room to the ranks in their order, and keeps the least part of
// those that follow. There is less room for less important ranks.
func divide(room *[call.MaxImportance + 1]float64, wanted, least *[Ranks]int64) (sh Shares) {
	most, sum := room[call.MaxImportance]*perSlot, 0.0
	var kept [Ranks]float64
	for rk, slots := range least {
		kept[rk] = float64(slots) * room[rk/2] * perSlot / max(most, 1)
		sum += kept[rk]
	}
	scale := min(1, most/max(sum, 1))
	sum *= scale
	given := 0.0
	for rk := Ranks - 1; rk >= 0; rk-- {
		all, least := float64(wanted[rk]), kept[rk]*scale
		sum -= least
		free := room[rk/2]*perSlot - given - sum
		if all == 0 {
			sh[rk] = 1
			if free <= 0 {
				sh[rk] = 0
			}
			continue
		}
		slots := min(max(free, least), all)
		given += slots
		sh[rk] = slots / all
	}
	return sh
}
