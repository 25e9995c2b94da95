package route

import (
	"time"

	"camphortrail/call"
)

const (
	// costCandidates is the number of random VMs of the own failure domain, and of the rest of the
	// region, among which the one of the least expected time is chosen. With more of them all
	// entries would choose the same VM between two reports.
	costCandidates = 3
	// otherDomainDelay is the time that an answer of another failure domain of the region takes
	// longer: twice the delay in one direction, 0.5 to 1.4 ms.
	otherDomainDelay = 2 * time.Millisecond
	// slownessHalfLife is the time in which half of the present slowness of a VM is over, if no
	// newer report comes. Upstreams are slow for half a second at a time.
	slownessHalfLife = 200 * time.Millisecond
	// lastingDivisor is the reciprocal of the weight of a new sample in the lasting slowness.
	lastingDivisor = 32
	// maxLastingSample and minLasting bound a sample of the lasting slowness: a request that costs
	// seven times the mean does not show a slow VM.
	maxLastingSample, minLasting = 3.0, 0.2
	// loadTTL is the time for which the work ahead of an importance is that of its last report.
	loadTTL = 250 * time.Millisecond
)

// Placement says by which rule VMs are chosen: by the least expected time to completion, or, by
// default, by outstanding attempts and latency.
type Placement struct{ ByCost bool }

func (Placement) event() {}

// Load is what a guard reports of its upstream with an answer.
type Load struct {
	// Reported says that there is a report.
	Reported bool
	// Ahead is the expected time of the work that an attempt of the importance finds ahead of it,
	// divided by the slots.
	Ahead time.Duration
	// Slowness is the present factor on the usual times of this upstream, and Age the time since it
	// was learned.
	Slowness float64
	Age      time.Duration
	// Own is the time that the upstream itself took for the attempt, and Cost the one that was
	// expected when it was sent, at an upstream of usual speed.
	Own, Cost time.Duration
}

// placement is what is known of an upstream for the expected time to completion. Times are in
// nanoseconds.
type placement struct {
	// lasting is the slowness of the upstream over many answers, or 0 if it is not known. present is
	// the factor on it at presentAt.
	lasting, present float64
	presentAt        instant
	// ahead and aheadAt hold the work ahead by importance, and when it was reported.
	ahead   [call.MaxImportance + 1]float64
	aheadAt [call.MaxImportance + 1]instant
	// latest is the importance of the last report.
	latest call.Importance
	// sent is the cost of the attempts that were sent since the last report.
	sent float64
}

// report records the load that came with an answer.
func (pl *placement) report(now instant, imp call.Importance, ld Load) {
	imp = min(imp, call.MaxImportance)
	pl.ahead[imp], pl.aheadAt[imp], pl.latest = float64(ld.Ahead), now, imp
	pl.present, pl.presentAt = max(ld.Slowness, minLasting), instant(int64(now)-int64(ld.Age))
	pl.sent = 0
	if ld.Own <= 0 || ld.Cost <= 0 {
		return
	}
	sample := min(float64(ld.Own)/float64(ld.Cost)/pl.present, maxLastingSample)
	if pl.lasting == 0 {
		pl.lasting = 1
	}
	pl.lasting = max(pl.lasting+(sample-pl.lasting)/lastingDivisor, minLasting)
}

// slowness returns the expected factor on the cost of an attempt that is sent now.
func (pl *placement) slowness(now instant) float64 {
	lasting := pl.lasting
	if lasting == 0 {
		lasting = 1
	}
	if pl.presentAt == never {
		return lasting
	}
	// The time of a choice may have been taken before that of a report which was applied first.
	age := max(now.since(pl.presentAt), 0)
	// The weight halves with each half-life; in between it falls in a line, which is quicker than an
	// exponential.
	halvings := min(age/slownessHalfLife, maxHalvings)
	weight := (1 - float64(age%slownessHalfLife)/float64(2*slownessHalfLife)) / float64(int64(1)<<halvings)
	return lasting * (1 + (pl.present-1)*weight)
}

// maxHalvings bounds how often the weight of a slowness is halved.
const maxHalvings = 20

// expected returns the expected time to completion of an attempt in nanoseconds.
func (up *upstream) expected(now instant, imp call.Importance, cost float64) float64 {
	pl := &up.placement
	slowness := pl.slowness(now)
	if now.since(pl.aheadAt[imp]) >= loadTTL {
		imp = pl.latest
	}
	ahead := 0.0
	if pl.aheadAt[imp] != never {
		ahead = max(pl.ahead[imp]-float64(now.since(pl.aheadAt[imp])), 0)
	}
	slots := float64(up.slots)
	if since := max(now.since(up.warmUpFrom), 0); since < up.warmUp {
		slots *= warmUpStartShare + (1-warmUpStartShare)*float64(since)/float64(up.warmUp)
	}
	ahead += pl.sent * slowness / slots
	// With free slots an attempt does not wait for the work ahead, but others may take these slots.
	busy := min(float64(up.occupancy)/100, 1)
	return cost*slowness*float64(up.slots)/slots + ahead*busy
}

// leastTime returns the upstream of the least expected time among a few random ones that fit: one of
// the own failure domain, unless the caller gets its answer sooner from another
// one of the region. It returns nil if there is none.
func (sl *selection) leastTime(cost time.Duration, fits func(*upstream) bool) *upstream {
	own, ownTime := sl.leastTimeOf(sl.sv.tiers[ownDomain], float64(cost), fits)
	other, otherTime := sl.leastTimeOf(sl.sv.tiers[ownRegion], float64(cost), fits)
	if own == nil || other != nil && otherTime+float64(otherDomainDelay) < ownTime {
		return other
	}
	return own
}

// leastTimeOf returns the upstream of the least expected time among costCandidates random ones of a
// list, and that time.
func (sl *selection) leastTimeOf(list []*upstream, cost float64, fits func(*upstream) bool) (best *upstream, least float64) {
	if len(list) == 0 {
		return nil, 0
	}
	// Times that hardly differ count as equal, so that entries do not all choose the same VM.
	consider := func(up *upstream) bool {
		if !fits(up) {
			return false
		}
		if time := up.expected(sl.now, sl.importance(), cost); best == nil || time < similarScoreRatio*least {
			best, least = up, time
		}
		return true
	}
	found := 0
	if len(list) > costCandidates {
		for range 2 * costCandidates {
			if consider(list[sl.tb.rng.IntN(len(list))]) {
				if found++; found == costCandidates {
					return best, least
				}
			}
		}
	}
	if found == 0 {
		// Few fit, or the list is short.
		first := sl.tb.rng.IntN(len(list))
		for i := range list {
			consider(list[(first+i)%len(list)])
		}
	}
	return best, least
}
