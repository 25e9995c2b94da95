package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/route"
)

const (
	// demandInterval is the time between two demands to the guards of a service
	// that is busy: well under the time in which the load of a burst changes.
	demandInterval = 200 * time.Millisecond
	// grantTTL is the time for which the answer of a guard counts.
	grantTTL = 1500 * time.Millisecond
	// maxAskedGuards bounds the guards of one service that are asked by one entry, so
	// that the messages do not grow with the square of the deployment.
	maxAskedGuards = 16
)

// guardGrant is what a guard said of its room.
type guardGrant struct {
	grant allocation.Grant
	received     time.Time
	// weight is the part of the demand that the guard is asked for.
	weight float64
}

// demandTo is a demand to the guard of a VM.
type demandTo struct {
	vm      call.VM
	address string
	demand  *attempt.Demand
}

// RunDemandReports tells the guards of busy services what is wanted of them, until ctx
// ends.
func (en *Entry) RunDemandReports(ctx context.Context) error {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, qu := range en.dueDemands(time.Now()) {
			if qu.vm != en.opt.VM {
				en.opt.Pool.Tell(qu.vm, qu.address, qu.demand)
			} else if an, ok := en.opt.Guard.AnswerDemand(qu.demand); ok {
				en.SetGrant(qu.vm, qu.demand.Service, an)
			}
		}
	}
}

// dueDemands returns the demands that are due.
func (en *Entry) dueDemands(now time.Time) []demandTo {
	en.mu.Lock()
	defer en.mu.Unlock()
	var list []demandTo
	for svc, wants := range en.throttles.Demands(now) {
		list = append(list, en.splitDemand(now, svc, wants)...)
	}
	return list
}

// splitDemand spreads a demand over the VMs of a service by what they carry.
func (en *Entry) splitDemand(now time.Time, svc call.Service, wants []allocation.RankDemand) []demandTo {
	vms := en.askedUpstreams(now, svc)
	known := make(map[call.VM]guardGrant, len(vms))
	list := make([]demandTo, 0, len(vms))
	for at, weight := range demandWeights(now, vms, en.grants[svc], wants) {
		up := vms[at]
		de := &attempt.Demand{Entry: en.opt.VM, Service: svc, Wants: make([]allocation.RankDemand, len(wants))}
		for i, wt := range wants {
			de.Wants[i] = wt.Scaled(weight)
		}
		list = append(list, demandTo{up.VM, en.addresses[up.VM], de})
		tl := en.grants[svc][up.VM]
		tl.weight = weight
		known[up.VM] = tl
	}
	en.grants[svc] = known
	return list
}

// demandWeights returns the part of the calls that each VM carries: by those that it can
// run in a second, and by its slots where a guard has not told the time that they take.
func demandWeights(now time.Time, vms []route.UpstreamInfo, rooms map[call.VM]guardGrant, wants []allocation.RankDemand) []float64 {
	list := make([]float64, len(vms))
	carried, carrying := 0.0, 0.0
	for at, up := range vms {
		if tl := rooms[up.VM]; now.Sub(tl.received) < grantTTL {
			if list[at] = tl.grant.Capacity(wants); list[at] > 0 {
				carried += list[at]
				carrying += float64(up.Slots)
			}
		}
	}
	sum := 0.0
	for at, up := range vms {
		if list[at] == 0 {
			list[at] = float64(up.Slots)
			if carrying > 0 {
				list[at] *= carried / carrying
			}
		}
		sum += list[at]
	}
	for at := range list {
		list[at] /= sum
	}
	return list
}

// askedUpstreams returns the VMs of a service that are asked for their room: all that can
// be reached, or some by lot where there are many.
func (en *Entry) askedUpstreams(now time.Time, svc call.Service) []route.UpstreamInfo {
	vms := slices.DeleteFunc(en.routes.Upstreams(now, svc), func(up route.UpstreamInfo) bool {
		return up.Draining || up.Suspect || up.Slots == 0
	})
	if len(vms) <= maxAskedGuards {
		return vms
	}
	lot := func(up route.UpstreamInfo) uint64 {
		return xxhash.Sum64String(string(en.opt.VM) + "\x00" + string(up.VM))
	}
	slices.SortFunc(vms, func(a, b route.UpstreamInfo) int { return cmp.Compare(lot(a), lot(b)) })
	return vms[:maxAskedGuards]
}

// SetGrant states what the guard of a VM said of its room.
func (en *Entry) SetGrant(vm call.VM, svc call.Service, an allocation.Grant) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	tl, asked := en.grants[svc][vm]
	if !asked || an.Slots == 0 {
		// A guard that tells no slots is of a version that does not know the calls that
		// are wanted.
		return
	}
	tl.grant, tl.received = an, now
	en.grants[svc][vm] = tl
	if mean, ok := meanGrant(now, slices.Collect(maps.Values(en.grants[svc]))); ok {
		en.throttles.SetGrant(now, svc, mean)
	}
}

// meanGrant returns the mean of what the guards said lately, by the parts of the demand
// that they were asked for.
func meanGrant(now time.Time, all []guardGrant) (mean allocation.Grant, ok bool) {
	all = slices.DeleteFunc(all, func(tl guardGrant) bool { return now.Sub(tl.received) >= grantTTL })
	sum := 0.0
	for _, tl := range all {
		sum += tl.weight
	}
	for _, tl := range all {
		mean.AddWeighted(tl.grant, tl.weight/sum)
	}
	return mean, sum > 0
}
