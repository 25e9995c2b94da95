// Package allocation divides the slots of an upstream among the requests of all entries
// that need it, whether they are sent to it directly or reach it through calls of other
// services.
//
// The load pattern is a small service deep in many call trees that receives more than it
// can carry, while VMs of it leave, start cold or slow down. An entry sees few of the
// answers, and sees them only after a whole tree has ended, so entries that derive their
// shares on their own arrive at different shares, which oscillate. Instead, each entry
// reports to the guards of a busy service how many calls per second its arrivals would
// make, by rank. A guard knows without delay how long a call occupies a slot of its VM
// and how many calls may run. It grants the same shares to all entries: the ranks are
// served in priority order, with a minimum for each class. The admitted load thus follows
// the arrivals and the VMs without waiting for a queue to grow; the occupancy only
// corrects errors of measurement.
package allocation

import (
	"math"
	"slices"
	"strconv"
	"time"

	"camphortrail/call"
)

const (
	// demandLifetime is the time for which the demand of an entry counts, several times
	// the interval between two reports.
	demandLifetime = time.Second
	// allocationInterval is the minimum time between two allocations.
	allocationInterval = 20 * time.Millisecond
	// targetQueue is the target for the mean number of waiting attempts. With ten, some
	// 95 % of the slots are busy although calls arrive at random, whatever the number of
	// slots. maxTargetOccupancy bounds the resulting target occupancy where slots are
	// few.
	targetQueue        = 10
	maxTargetOccupancy = 2
	// proportionalGain is the fraction of the capacity that is withheld for a relative
	// error of 1 (an occupancy of twice the target), and integralGain the fraction by
	// which the correction changes per second for such an error. An excess that is
	// admitted for a second raises the occupancy by several times that excess, and trees
	// take up to some seconds to end: higher gains oscillate.
	proportionalGain = 0.2
	integralGain     = 0.3
	// quadraticGain is the gain for the square of the error, so that a large backlog is
	// mostly served before more is admitted. Together with proportionalGain it withholds
	// the whole capacity at an error of 2 (three times the target occupancy), apart from
	// the deadband.
	quadraticGain = 0.15
	// deadband is the relative error of the occupancy that random arrivals cause. It does
	// not change the capacity.
	deadband = 0.3
	// maxError bounds the relative error that is acted on.
	maxError = 2
	// transientError is the relative error from which the occupancy indicates a change of
	// the load and not an error of measurement. If the error lasts for maxTransientTime,
	// which is longer than the trees that were admitted before a change take to end, it
	// counts as an error of measurement after all.
	transientError   = 0.5
	maxTransientTime = 3 * time.Second
	// minCorrection and maxCorrection bound the correction for errors of measurement.
	// Slots also stay free because calls fail elsewhere, and the capacity must not grow
	// much for that.
	minCorrection = 0.5
	maxCorrection = 1.25
	// MinServedRatio is the fraction of the first sends of each class that is served
	// whatever more important classes demand. maxReservedRatio bounds the reservation for
	// it, as a fraction of the capacity that the preceding ranks leave.
	MinServedRatio   = 0.17
	maxReservedRatio = 0.6
	// maxServedMultiple is how many times as often as another class one is served at most
	// while it is refused in part itself. minimumSteps is the number of bisections by which
	// the minimum that follows is found: to a hundredth of the first sends.
	maxServedMultiple = 1.5
	minimumSteps      = 6
	// AccountHalfLife is the time in which the weight of a past send halves in the account of a
	// class: longer than a start, a cut or a step of the capacity takes effect.
	AccountHalfLife = 10 * time.Second
	// estimateError is the error of the estimated first sends. A class that is served all but
	// that part counts as not refused.
	estimateError = 0.05
	// fixedPointScale is the number of units per slot, or per request per second, in
	// sums.
	fixedPointScale = 1e6
	// correctionDecay is the fraction of its distance from 1 by which the correction
	// returns to 1 per second while the capacity suffices for all demand.
	correctionDecay = 0.2
)

// Rank is a position in the priority order of requests that compete for the same slots.
// Ranks are ordered by importance. Within an importance, the highest rank is that of less
// important requests that take far fewer slots than those of this importance. It is
// followed by the requests that can still be answered within their target, and then by
// those that cannot.
type Rank uint8

// NumRanks is the number of ranks: three for each importance.
const NumRanks = 3 * (int(call.MaxImportance) + 1)

// RankOf returns the rank of requests of an importance. Late requests are those that can
// hardly be answered within their target.
func RankOf(imp call.Importance, late bool) Rank {
	rk := 3 * Rank(min(imp, call.MaxImportance))
	if !late {
		rk++
	}
	return rk
}

// RankAheadOf returns the rank of requests that precede those of an importance because
// they take far fewer slots: refusing them would free hardly any.
func RankAheadOf(imp call.Importance) Rank { return RankOf(imp, false) + 1 }

// String returns the importance, and the position within it if it is not that of timely
// requests.
func (rk Rank) String() string {
	name := strconv.Itoa(int(rk / 3))
	switch rk % 3 {
	case 0:
		return name + "-late"
	case 2:
		return name + "-ahead"
	}
	return name
}

// importance returns the importance of the requests with which the rank competes.
func (rk Rank) importance() call.Importance { return call.Importance(rk / 3) }

// RankDemand is what the requests of one rank at an entry need of a service.
type RankDemand struct {
	Rank Rank
	// Calls is the rate of the calls that all of these requests would make, by class.
	Calls []CallRate
	// Successes is the number of requests per second that would succeed if all were
	// admitted, and FirstSends the number of requests per second that were not sent
	// before.
	Successes, FirstSends float64
	// MeanFirstSends and MeanServed are the first sends and the requests that succeeded, per
	// second, over the time of the account of the class at the entry. Both are zero without
	// an account.
	MeanFirstSends, MeanServed float64
}

// Scaled returns the demand with its rates multiplied by a factor.
func (rd RankDemand) Scaled(factor float64) RankDemand {
	list := make([]CallRate, len(rd.Calls))
	for at, cr := range rd.Calls {
		list[at] = CallRate{cr.Class, cr.PerSecond * factor}
	}
	return RankDemand{
		Rank: rd.Rank, Calls: list, Successes: rd.Successes * factor, FirstSends: rd.FirstSends * factor,
		MeanFirstSends: rd.MeanFirstSends * factor, MeanServed: rd.MeanServed * factor,
	}
}

// CallRate is the number of calls of a class per second.
type CallRate struct {
	Class     call.Class
	PerSecond float64
}

// Shares holds the fraction of the requests of each rank that may be admitted.
type Shares [NumRanks]float64

// FullShares returns the shares that admit everything.
func FullShares() (sh Shares) {
	for rk := range sh {
		sh[rk] = 1
	}
	return sh
}

// Allocator divides the slots of one upstream. It is not safe for concurrent use.
type Allocator struct {
	demands map[call.VM]entryDemand
	// correction is the factor on the number of slots that compensates for errors of
	// measurement. The occupancy adjusts it.
	correction float64
	// transientFor is the time for which the error has been at least transientError.
	transientFor time.Duration
	allocatedAt  time.Time
	// demandSlots is the number of slots demanded at the last allocation, and
	// capacityRatio the capacity that was available to the least important rank, as a
	// fraction of the slots.
	demandSlots, capacityRatio float64
	// servedAtMinimum is the fraction of the first sends of the classes that are refused in part
	// that is served where the least important class gets its minimum alone.
	servedAtMinimum meanRatio
	// demanded is the demand at the last allocation.
	demanded totals
	shares   Shares
}

// entryDemand is the demand of an entry and when it was received.
type entryDemand struct {
	demands    []RankDemand
	receivedAt time.Time
}

// New returns an allocator without any demand.
func New() *Allocator {
	return &Allocator{demands: make(map[call.VM]entryDemand), correction: 1, shares: FullShares()}
}

// SetDemand replaces the demand of an entry.
func (al *Allocator) SetDemand(now time.Time, entry call.VM, demands []RankDemand) {
	al.demands[entry] = entryDemand{demands, now}
}

// Load is the state of an upstream.
type Load struct {
	// Slots is the number of attempts that may run at a time.
	Slots int
	// Occupancy is the number of attempts that run or wait, in percent of Slots.
	Occupancy call.Occupancy
	// Waiting is the number of waiting attempts, by importance.
	Waiting [call.MaxImportance + 1]int
	// SlotTimes estimates how long calls occupy a slot.
	SlotTimes *SlotTimeEstimator
}

// fullShareTolerance is the rounding error of a weighted mean of full shares.
const fullShareTolerance = 1e-6

// Grant is the reply of a guard to the demand of an entry.
type Grant struct {
	Shares Shares
	// Slots is the number of attempts that may run at a time.
	Slots int
	// SlotTimes holds how long calls of the demanded classes occupy a slot.
	SlotTimes []SlotTime
}

// slotTime returns how long a call of a class occupies a slot, in seconds, or zero if the
// grant does not list the class.
func (gr *Grant) slotTime(class call.Class) float64 {
	for _, st := range gr.SlotTimes {
		if st.Class == class {
			return st.Time.Seconds()
		}
	}
	return 0
}

// Capacity returns the number of calls per second that the VM can run if their mix is
// that of the demand, or zero if it is not known.
func (gr *Grant) Capacity(demands []RankDemand) float64 {
	calls, taken := 0.0, 0.0
	for _, rd := range demands {
		for _, cr := range rd.Calls {
			calls += cr.PerSecond
			taken += cr.PerSecond * gr.slotTime(cr.Class)
		}
	}
	if taken == 0 {
		return 0
	}
	return float64(gr.Slots) * calls / taken
}

// Full reports whether the grant admits everything.
func (gr *Grant) Full() bool { return slices.Min(gr.Shares[:]) >= 1-fullShareTolerance }

// AddWeighted adds another grant to a weighted mean. Slots are summed without the weight.
func (gr *Grant) AddWeighted(other Grant, weight float64) {
	gr.Slots += other.Slots
	for rk, share := range other.Shares {
		gr.Shares[rk] += weight * share
	}
	for _, st := range other.SlotTimes {
		took := time.Duration(weight * float64(st.Time))
		at := slices.IndexFunc(gr.SlotTimes, func(own SlotTime) bool { return own.Class == st.Class })
		if at < 0 {
			gr.SlotTimes = append(gr.SlotTimes, SlotTime{st.Class, took})
		} else {
			gr.SlotTimes[at].Time += took
		}
	}
}

// occupancyAtOrAbove returns the occupancy due to attempts of at least an importance, as a
// multiple of the slots. Less important attempts do not delay them.
func (ld *Load) occupancyAtOrAbove(imp call.Importance) float64 {
	total := float64(ld.Occupancy) / 100
	lower := 0
	for _, waiting := range ld.Waiting[:imp] {
		lower += waiting
	}
	return max(total-float64(lower)/max(float64(ld.Slots), 1), min(total, 1))
}

// Allocate returns the shares for an upstream with the given load.
func (al *Allocator) Allocate(now time.Time, ld Load) Shares {
	elapsed := now.Sub(al.allocatedAt)
	if elapsed < allocationInterval {
		return al.shares
	}
	al.allocatedAt = now
	tot := al.totalDemand(now, ld.SlotTimes)
	var total int64
	for _, slots := range tot.slots {
		total += slots
	}
	al.demandSlots = float64(total) / fixedPointScale
	al.updateCorrection(min(elapsed, demandLifetime), &ld)
	var capacity [call.MaxImportance + 1]float64
	for imp := range capacity {
		capacity[imp] = float64(ld.Slots) * al.correction * ld.allocatableRatio(call.Importance(imp))
	}
	al.capacityRatio = capacity[0] / max(float64(ld.Slots), 1)
	al.demanded = *tot
	al.shares = al.divide(elapsed, tot, &capacity)
	return al.shares
}

// totals is the demand of all entries by rank. Sums of integers do not depend on the
// order in which the reports are added.
type totals struct {
	// slots is the number of slots that the calls occupy, successes the number of
	// requests per second that would succeed, and firstSends the number of first sends
	// per second, all in units of 1/fixedPointScale. meanFirstSends and meanServed are those
	// of the accounts, in the same unit.
	slots, successes, firstSends, meanFirstSends, meanServed [NumRanks]int64
}

// totalDemand sums up the demand of all entries and removes reports that have expired.
func (al *Allocator) totalDemand(now time.Time, est *SlotTimeEstimator) *totals {
	tot := new(totals)
	for entry, ed := range al.demands {
		if now.Sub(ed.receivedAt) >= demandLifetime {
			delete(al.demands, entry)
			continue
		}
		for _, rd := range ed.demands {
			slots := 0.0
			for _, cr := range rd.Calls {
				slots += cr.PerSecond * est.Estimate(cr.Class).Seconds()
			}
			tot.slots[rd.Rank] += int64(slots * fixedPointScale)
			tot.successes[rd.Rank] += int64(rd.Successes * fixedPointScale)
			tot.firstSends[rd.Rank] += int64(rd.FirstSends * fixedPointScale)
			tot.meanFirstSends[rd.Rank] += int64(rd.MeanFirstSends * fixedPointScale)
			tot.meanServed[rd.Rank] += int64(rd.MeanServed * fixedPointScale)
		}
	}
	return tot
}

// LastAllocation returns the number of slots demanded at the last allocation, and the
// capacity that was available to the least important rank, as a fraction of the slots.
func (al *Allocator) LastAllocation() (demand, capacityRatio float64) {
	return al.demandSlots, al.capacityRatio
}

// meanRatio is a mean over time, weighted by AccountHalfLife.
type meanRatio struct{ sum, weight float64 }

// add adds a ratio that applied for the time since the last one, but at most demandLifetime.
func (mr *meanRatio) add(elapsed time.Duration, ratio float64) {
	factor, weight := math.Exp2(-elapsed.Seconds()/AccountHalfLife.Seconds()), min(elapsed, demandLifetime).Seconds()
	mr.sum = mr.sum*factor + ratio*weight
	mr.weight = mr.weight*factor + weight
}

// mean returns the mean, or 1 if nothing was added.
func (mr *meanRatio) mean() float64 {
	if mr.weight == 0 {
		return 1
	}
	return mr.sum / mr.weight
}

// RankAllocation is the demand of the requests of one rank and the share that was granted.
type RankAllocation struct {
	Rank Rank
	// Slots is the number of slots that all requests would take, and Successes and FirstSends
	// are those of RankDemand.
	Slots, Successes, FirstSends float64
	Share                        float64
}

// LastRanks returns the last allocation of the ranks with any demand, most important first.
func (al *Allocator) LastRanks() (list []RankAllocation) {
	for rk := NumRanks - 1; rk >= 0; rk-- {
		if slots := al.demanded.slots[rk]; slots > 0 {
			list = append(list, RankAllocation{
				Rank: Rank(rk), Slots: float64(slots) / fixedPointScale, Share: al.shares[rk],
				Successes: float64(al.demanded.successes[rk]) / fixedPointScale, FirstSends: float64(al.demanded.firstSends[rk]) / fixedPointScale,
			})
		}
	}
	return list
}

// relativeError returns how far an occupancy is above its target, relative to the target.
func (ld *Load) relativeError(occupancy float64) float64 {
	target := min(1+targetQueue/max(float64(ld.Slots), 1), maxTargetOccupancy)
	return min(max(occupancy/target-1, -maxError), maxError)
}

// allocatableRatio returns the fraction of the slots that may be allocated to an
// importance, given the attempts that wait ahead of it or beside it.
func (ld *Load) allocatableRatio(imp call.Importance) float64 {
	relErr := ld.relativeError(ld.occupancyAtOrAbove(imp))
	relErr = math.Copysign(max(math.Abs(relErr)-deadband, 0), relErr)
	return max(1-proportionalGain*relErr-quadraticGain*relErr*math.Abs(relErr), 0)
}

// updateCorrection adjusts the correction for the time that has elapsed.
func (al *Allocator) updateCorrection(elapsed time.Duration, ld *Load) {
	relErr := ld.relativeError(float64(ld.Occupancy) / 100)
	if math.Abs(relErr) < transientError {
		al.transientFor = 0
	} else {
		al.transientFor += elapsed
	}
	switch {
	case relErr < 0 && al.demandSlots <= float64(ld.Slots)*al.correction:
		al.correction += (1 - al.correction) * correctionDecay * elapsed.Seconds()
	case relErr < 0, al.transientFor == 0, al.transientFor >= maxTransientTime:
		// Slots that are free while requests are refused call for a correction at once,
		// even during a transient.
		al.correction *= math.Exp(-integralGain * relErr * elapsed.Seconds())
	case al.correction > 1:
		// They may have been free only until the demand of a change was known.
		al.correction = max(al.correction*math.Exp(-integralGain*relErr*elapsed.Seconds()), 1)
	}
	al.correction = min(max(al.correction, minCorrection), maxCorrection)
}

// divide distributes the capacity in priority order, with a minimum for each class: the
// fraction MinServedRatio of its first sends. Where more important classes are refused in part
// beside that, they are served at most maxServedMultiple times as often as the others. The
// minimum is not raised above the fraction of them that would be refused beside MinServedRatio,
// so that it is not raised where they just about fit. Both are judged over the time of the
// accounts, so that a division that changes from moment to moment, or was not kept, is made up
// for.
func (al *Allocator) divide(elapsed time.Duration, tot *totals, capacity *[call.MaxImportance + 1]float64) Shares {
	sh := tot.allocateMinimum(capacity, MinServedRatio)
	last := slices.IndexFunc(tot.firstSends[:], func(firstSends int64) bool { return firstSends > 0 })
	if last < 0 {
		return sh
	}
	al.servedAtMinimum.add(elapsed, tot.servedNow(&sh, last))
	most := 1 - al.servedAtMinimum.mean()
	low, high := MinServedRatio, 1.0
	for step := 0; step < minimumSteps && tot.servedRatio(last, low) < most; step++ {
		middle := (low + high) / 2
		beside := tot.allocateMinimum(capacity, middle)
		if tot.servedRatio(last, middle) <= min(tot.servedInPart(&beside, last)/maxServedMultiple, most) {
			low, sh = middle, beside
		} else {
			high = middle
		}
	}
	return sh
}

// allocateMinimum distributes the capacity with a minimum of a fraction of the first sends of
// each class.
func (tot *totals) allocateMinimum(capacity *[call.MaxImportance + 1]float64, minimum float64) Shares {
	var minShares [NumRanks]float64
	for rk, firstSends := range tot.firstSends {
		minShares[rk] = min(minimum*float64(firstSends)/max(float64(tot.successes[rk]), 1), 1)
	}
	return distribute(capacity, &tot.slots, &minShares)
}

// grantedRatio returns the fraction of the first sends of a rank that the shares serve.
func (tot *totals) grantedRatio(sh *Shares, rk int) float64 {
	return min(sh[rk]*float64(tot.successes[rk])/max(float64(tot.firstSends[rk]), 1), 1)
}

// servedRatio returns the fraction of the first sends of a rank that is served, over the time of
// the accounts and as much time to come, if the given fraction is served from now on.
func (tot *totals) servedRatio(rk int, fraction float64) float64 {
	firstSends, past := float64(tot.firstSends[rk]), float64(tot.meanFirstSends[rk])
	return min((float64(tot.meanServed[rk])+fraction*firstSends)/max(past+firstSends, 1), 1)
}

// servedNow returns the fraction of first sends that the shares serve of the classes that they
// refuse in part, apart from the least important class, weighted by the slots that they demand.
// It is 1 if none is refused.
func (tot *totals) servedNow(sh *Shares, last int) float64 {
	served, demanded := 0.0, 0.0
	for rk := last + 1; rk < NumRanks; rk++ {
		if slots := float64(tot.slots[rk]); sh[rk] < 1 && tot.firstSends[rk] > 0 {
			served += slots * tot.grantedRatio(sh, rk)
			demanded += slots
		}
	}
	if demanded == 0 {
		return 1
	}
	return served / demanded
}

// servedInPart returns the fraction of first sends that is served, over the time of the accounts
// and as much time to come, of the classes that are refused in part in that time. Otherwise it is
// like servedNow.
func (tot *totals) servedInPart(sh *Shares, last int) float64 {
	served, demanded := 0.0, 0.0
	for rk := last + 1; rk < NumRanks; rk++ {
		if tot.firstSends[rk] == 0 {
			continue
		}
		if ratio := tot.servedRatio(rk, tot.grantedRatio(sh, rk)); sh[rk] < 1 || ratio < 1-estimateError {
			served += float64(tot.slots[rk]) * ratio
			demanded += float64(tot.slots[rk])
		}
	}
	if demanded == 0 {
		return 1
	}
	return served / demanded
}

// distribute gives the capacity of each importance, in slots, to the ranks in priority
// order. Of the capacity that is left for a rank and those after it, a part is reserved
// for the minimums of the later ranks, but no more than a division in proportion to
// demand would give them. Less important ranks have less capacity, except for their
// minimums.
func distribute(capacity *[call.MaxImportance + 1]float64, demands *[NumRanks]int64, minShares *[NumRanks]float64) (sh Shares) {
	var minimums [NumRanks]float64
	// minimumsLeft is the sum of the minimums of the later ranks, and demandLeft their
	// demand.
	minimumsLeft, demandLeft, allocated := 0.0, 0.0, 0.0
	for rk, minShare := range minShares {
		if minimums[rk] = minShare * float64(demands[rk]); minShare > 0 {
			minimumsLeft += minimums[rk]
			demandLeft += float64(demands[rk])
		}
	}
	total := capacity[call.MaxImportance] * fixedPointScale
	for rk := NumRanks - 1; rk >= 0; rk-- {
		demand := float64(demands[rk])
		if minShares[rk] > 0 {
			minimumsLeft -= minimums[rk]
			demandLeft -= demand
		}
		capacityLeft := max(total-allocated, 0)
		reserved := min(minimumsLeft, maxReservedRatio*capacityLeft, capacityLeft*demandLeft/max(demand+demandLeft, 1))
		free := capacity[Rank(rk).importance()]*fixedPointScale - allocated - reserved
		if demand == 0 {
			sh[rk] = 1
			if free <= 0 {
				sh[rk] = 0
			}
			continue
		}
		slots := min(max(free, min(minimums[rk], capacityLeft-reserved), 0), demand)
		allocated += slots
		sh[rk] = slots / demand
	}
	return sh
}

// Grant returns the reply of the guard of an upstream with the given load to the demand
// of an entry.
func (al *Allocator) Grant(now time.Time, ld Load, demands []RankDemand) Grant {
	gr := Grant{Shares: al.Allocate(now, ld), Slots: ld.Slots}
	for _, rd := range demands {
		for _, cr := range rd.Calls {
			if !slices.ContainsFunc(gr.SlotTimes, func(st SlotTime) bool { return st.Class == cr.Class }) {
				gr.SlotTimes = append(gr.SlotTimes, SlotTime{cr.Class, ld.SlotTimes.Estimate(cr.Class)})
			}
		}
	}
	return gr
}
