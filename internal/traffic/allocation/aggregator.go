package allocation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphortrail/call"
)

// Aggregator sums up the demands of several entries for one service, so that the guards get
// one demand for all of them. It is not safe for concurrent use.
//
// The load pattern is a large deployment under load, in which each of many entries sees only
// a few requests per second. If each entry asked the guards itself, the demands and grants
// would outnumber the requests.
type Aggregator struct {
	demands map[call.VM]entryDemand
}

// NewAggregator returns an aggregator without any demand.
func NewAggregator() *Aggregator { return &Aggregator{demands: make(map[call.VM]entryDemand)} }

// SetDemand replaces the demand of an entry.
func (ag *Aggregator) SetDemand(now time.Time, entry call.VM, demands []RankDemand) {
	ag.demands[entry] = entryDemand{demands, now}
}

// Others returns the number of entries other than own whose demands have not expired.
func (ag *Aggregator) Others(now time.Time, own call.VM) int {
	ag.removeExpired(now)
	others := len(ag.demands)
	if _, ok := ag.demands[own]; ok {
		others--
	}
	return others
}

func (ag *Aggregator) removeExpired(now time.Time) {
	maps.DeleteFunc(ag.demands, func(_ call.VM, ed entryDemand) bool { return now.Sub(ed.receivedAt) >= demandLifetime })
}

// Total returns the sum of the demands that have not expired, in the order of their ranks and
// classes.
func (ag *Aggregator) Total(now time.Time) []RankDemand {
	ag.removeExpired(now)
	var total []RankDemand
	// Sums of floating-point numbers depend on the order.
	for _, entry := range slices.Sorted(maps.Keys(ag.demands)) {
		for _, rd := range ag.demands[entry].demands {
			total = addDemand(total, rd)
		}
	}
	slices.SortFunc(total, func(a, b RankDemand) int { return cmp.Compare(a.Rank, b.Rank) })
	for _, rd := range total {
		slices.SortFunc(rd.Calls, func(a, b CallRate) int { return cmp.Compare(a.Class, b.Class) })
	}
	return total
}

// addDemand adds a demand to that of its rank.
func addDemand(total []RankDemand, rd RankDemand) []RankDemand {
	at := slices.IndexFunc(total, func(other RankDemand) bool { return other.Rank == rd.Rank })
	if at < 0 {
		return append(total, rd.Scaled(1))
	}
	sum := &total[at]
	sum.Successes += rd.Successes
	sum.FirstSends += rd.FirstSends
	sum.MeanFirstSends += rd.MeanFirstSends
	sum.MeanServed += rd.MeanServed
	for _, cr := range rd.Calls {
		if at := slices.IndexFunc(sum.Calls, func(other CallRate) bool { return other.Class == cr.Class }); at >= 0 {
			sum.Calls[at].PerSecond += cr.PerSecond
		} else {
			sum.Calls = append(sum.Calls, cr)
		}
	}
	return total
}
