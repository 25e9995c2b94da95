package entry

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/route"
)

const (
	// demandInterval is the time between two demands to the guards of a busy service. It
	// is well under the time in which a burst changes the load.
	demandInterval = 200 * time.Millisecond
	// grantTTL is the time after which the grant of a guard is ignored, for example that
	// of a guard that is cut off.
	grantTTL = 1500 * time.Millisecond
	// maxUnanswered is the number of demands in a row without an answer after which a guard counts
	// as carrying nothing. Guards answer within milliseconds.
	maxUnanswered = 2
	// maxAskedGuards bounds the guards of one service to which one entry sends demands,
	// so that the number of messages does not grow with the square of the number of
	// nodes.
	maxAskedGuards = 16
)

// guardGrant is the latest grant of a guard, with the time at which it was received.
type guardGrant struct {
	grant    allocation.Grant
	received time.Time
	// weight is the fraction of the demand for the service, from 0 to 1, that the entry
	// sends to this guard.
	weight float64
	// unanswered is the number of demands since the last answer.
	unanswered int
}

// addressedDemand is a demand to the guard of a VM.
type addressedDemand struct {
	vm      call.VM
	address string
	demand  *attempt.Demand
}

// RunDemandReports sends the demand for each busy service to its guards, once per
// demandInterval, until ctx ends. It returns nil.
func (en *Entry) RunDemandReports(ctx context.Context) error {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			en.sendDemands(en.dueDemands(time.Now()))
		case <-en.sendNow:
			en.sendDemands(en.newDemands(time.Now()))
		}
	}
}

// sendDemands sends demands to the guards or aggregators that they are addressed to.
func (en *Entry) sendDemands(list []addressedDemand) {
	for _, ad := range list {
		if ad.vm != en.opt.VM {
			en.opt.Pool.SendDemand(ad.vm, ad.address, ad.demand)
		} else if an, ok := en.opt.Guard.AnswerDemand(ad.demand); ok {
			en.SetGrant(ad.vm, ad.demand.Service, an)
		}
	}
}

// dueDemands returns the demands to send now: for each busy service one for each guard, or one
// for the aggregator.
func (en *Entry) dueDemands(now time.Time) []addressedDemand {
	en.mu.Lock()
	defer en.mu.Unlock()
	var list []addressedDemand
	for svc, demands := range en.throttles.Demands(now) {
		list = append(list, en.routeDemand(now, svc, demands)...)
	}
	return append(list, en.aggregatedDemands(now, false)...)
}

// newDemands returns the demands to send for the sums of services without a recent grant.
func (en *Entry) newDemands(now time.Time) []addressedDemand {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.aggregatedDemands(now, true)
}

// splitDemand divides the demand for a service among its VMs in proportion to their
// weights (demandWeights) and returns one demand for each VM. Demands are rates: calls,
// successes and first sends per second, by rank. It also records the weights in en.grants
// for meanGrant, and drops the grants of VMs that get no demand. At most maxVMs VMs get one.
// The caller holds mu.
func (en *Entry) splitDemand(now time.Time, svc call.Service, demands []allocation.RankDemand, maxVMs int) []addressedDemand {
	vms := en.askedUpstreams(now, svc, maxVMs)
	known := make(map[call.VM]guardGrant, len(vms))
	list := make([]addressedDemand, 0, len(vms))
	for at, weight := range demandWeights(now, vms, en.grants[svc], demands) {
		up := vms[at]
		de := &attempt.Demand{Entry: en.opt.VM, Service: svc, Wants: make([]allocation.RankDemand, len(demands))}
		for i, rd := range demands {
			de.Wants[i] = rd.Scaled(weight)
		}
		list = append(list, addressedDemand{up.VM, en.addresses[up.VM], de})
		gg := en.grants[svc][up.VM]
		gg.weight = weight
		gg.unanswered++
		known[up.VM] = gg
	}
	en.grants[svc] = known
	return list
}

// demandWeights returns the fraction of the demand that each VM gets, in the order of vms.
// The fractions add up to 1 and are proportional to the calls per second that the VMs can
// run. The capacity of a VM whose guard knows no slot times of the calls yet is
// estimated from its slots and the mean capacity per slot of the others.
//
// Guards that do not answer get nothing while others do. The load patterns are a VM that is lost
// without notice, and one that is about to start: as long as a part of the demand is directed to them, the
// others are told of the rest only, and grant several times what fits.
func demandWeights(now time.Time, vms []route.UpstreamInfo, grants map[call.VM]guardGrant, demands []allocation.RankDemand) []float64 {
	list := make([]float64, len(vms))
	knownCapacity, knownSlots := 0.0, 0.0
	answers := slices.ContainsFunc(vms, func(up route.UpstreamInfo) bool { return grants[up.VM].answers() })
	for at, up := range vms {
		if gg := grants[up.VM]; gg.recent(now) && (gg.answers() || !answers) {
			if list[at] = gg.grant.Capacity(demands); list[at] > 0 {
				knownCapacity += list[at]
				knownSlots += float64(gg.grant.Slots)
			}
		}
	}
	sum := 0.0
	for at, up := range vms {
		if gg := grants[up.VM]; list[at] == 0 && (gg.answers() || !answers) {
			list[at] = float64(cmp.Or(gg.grant.Slots, up.Slots))
			if knownSlots > 0 {
				list[at] *= knownCapacity / knownSlots
			}
		}
		sum += list[at]
	}
	for at := range list {
		list[at] /= sum
	}
	return list
}

// askedUpstreams returns the VMs of a service to which the entry sends demands: all that
// are reachable and not draining, or maxVMs of them by a hash that differs between entries.
func (en *Entry) askedUpstreams(now time.Time, svc call.Service, maxVMs int) []route.UpstreamInfo {
	vms := slices.DeleteFunc(en.routes.Upstreams(now, svc), func(up route.UpstreamInfo) bool {
		return up.Draining || up.Suspect || up.Slots == 0
	})
	if len(vms) <= maxVMs {
		return vms
	}
	hash := func(up route.UpstreamInfo) uint64 {
		return xxhash.Sum64String(string(en.opt.VM) + "\x00" + string(up.VM))
	}
	slices.SortFunc(vms, func(a, b route.UpstreamInfo) int { return cmp.Compare(hash(a), hash(b)) })
	return vms[:maxVMs]
}

// SetGrant applies the grant of the guard of a VM. It ignores VMs that were sent no demand.
func (en *Entry) SetGrant(vm call.VM, svc call.Service, an allocation.Grant) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	gg, asked := en.grants[svc][vm]
	if !asked || an.Slots == 0 {
		// A guard that grants no slots runs an older version, which does not read the
		// demanded calls.
		return
	}
	gg.grant, gg.received, gg.unanswered = an, now, 0
	en.grants[svc][vm] = gg
	if mean, ok := meanGrant(now, en.grants[svc]); ok {
		en.throttles.SetGrant(now, svc, mean)
	}
}

// meanGrant returns the mean of the recent grants, weighted by the parts of the demand
// that were sent to the guards. It returns false if there is none.
func meanGrant(now time.Time, all map[call.VM]guardGrant) (mean allocation.Grant, ok bool) {
	sum := 0.0
	for _, gg := range all {
		if gg.recent(now) {
			sum += gg.weight
		}
	}
	for _, gg := range all {
		if gg.recent(now) {
			mean.AddWeighted(gg.grant, gg.weight/sum)
		}
	}
	return mean, sum > 0
}

// answers reports whether the guard has answered one of the last demands.
func (gg guardGrant) answers() bool { return !gg.received.IsZero() && gg.unanswered < maxUnanswered }

// recent reports whether the grant still counts.
func (gg guardGrant) recent(now time.Time) bool { return now.Sub(gg.received) < grantTTL }
