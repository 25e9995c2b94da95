package entry

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
)

const (
	// maxDirectNodes is the number of nodes up to which each entry sends its demands to the
	// guards itself. A guard then gets at most that many demands per interval. With more
	// nodes, the demands are aggregated.
	maxDirectNodes = 32
	// maxGroupNodes is the number of nodes of a failure domain that have a common aggregator
	// for a service. Larger failure domains are divided into groups, so that the work of an
	// aggregator does not grow with the number of nodes.
	maxGroupNodes = 32
	// maxAggregatedEntries bounds the entries whose demands one node adds up: several groups,
	// while nodes disagree about the membership.
	maxAggregatedEntries = 8 * maxGroupNodes
	// maxAggregatorGuards bounds the guards of one service to which an aggregator sends
	// demands.
	maxAggregatorGuards = 128
	// idleDemandIntervals is the number of intervals between two demands of an aggregator on a
	// service whose guards grant all that is demanded. It is well under the lifetimes of demands and
	// grants.
	idleDemandIntervals = 3
	// aggregatorTimeout is the time without a grant after which an entry uses another
	// aggregator, and aggregatorAvoidTime the time for which it then avoids the first one.
	aggregatorTimeout   = 3 * demandInterval
	aggregatorAvoidTime = 5 * time.Second
	// neighborsTTL is the time for which the list of the nodes is reused.
	neighborsTTL = time.Second
)

// aggregation is the state of the aggregation of the demands for one service at a node. Each
// entry sends its demands to one node of its failure domain, the aggregator. That node sends
// the sum to the guards, and answers with the mean of their grants. If no aggregator answers,
// the entry asks the guards itself.
type aggregation struct {
	// sum holds the demands that this node adds up.
	sum *allocation.Aggregator
	// aggregator is the node to which this entry sends its demands. sentAt is the time of the
	// last demand, and silentSince that of the first one without a grant since.
	aggregator          call.VM
	sentAt, silentSince time.Time
	// intervals counts the intervals since the last demand to the guards.
	intervals int
	// avoided holds aggregators that did not answer, and until when they are avoided.
	avoided map[call.VM]time.Time
}

// neighbors lists the nodes of the own failure domain, and counts those of all.
type neighbors struct {
	vms  []call.VM
	all  int
	asOf time.Time
}

// aggregation returns the state of the aggregation for a service, and creates it if needed.
// The caller holds mu.
func (en *Entry) aggregation(svc call.Service) *aggregation {
	ag := en.aggregations[svc]
	if ag == nil {
		ag = &aggregation{sum: allocation.NewAggregator(), avoided: make(map[call.VM]time.Time)}
		en.aggregations[svc] = ag
	}
	return ag
}

// refreshNeighbors lists the nodes anew if the list is old. The caller holds mu.
func (en *Entry) refreshNeighbors(now time.Time) {
	if now.Sub(en.neighbors.asOf) < neighborsTTL {
		return
	}
	nb := neighbors{vms: en.neighbors.vms[:0], asOf: now}
	for _, svc := range en.routes.Services() {
		for _, up := range en.routes.Upstreams(now, svc) {
			nb.all++
			if up.Domain == en.opt.Domain && !up.Draining && !up.Suspect {
				nb.vms = append(nb.vms, up.VM)
			}
		}
	}
	en.neighbors = nb
}

// aggregatorOf returns the node to which this entry sends its demands for a service, or an
// empty name if it asks the guards itself. The nodes of a group agree on the one with the highest
// hash, without messages. The caller holds mu.
func (en *Entry) aggregatorOf(now time.Time, svc call.Service) call.VM {
	en.refreshNeighbors(now)
	if en.neighbors.all <= maxDirectNodes {
		return ""
	}
	ag := en.aggregation(svc)
	if now.Sub(ag.sentAt) > aggregatorTimeout || en.grants[svc][ag.aggregator].received.After(ag.silentSince) {
		ag.silentSince = now
	}
	if ag.aggregator != "" && ag.aggregator != en.opt.VM && now.Sub(ag.silentSince) > aggregatorTimeout {
		ag.avoided[ag.aggregator] = now.Add(aggregatorAvoidTime)
	}
	groups := 1 + (len(en.neighbors.vms)-1)/maxGroupNodes
	group := xxhash.Sum64String(string(en.opt.VM)) % uint64(max(groups, 1))
	key := string(svc) + "\x00" + strconv.FormatUint(group, 10) + "\x00"
	var chosen call.VM
	var highest uint64
	for _, vm := range en.neighbors.vms {
		hash := xxhash.Sum64String(key + string(vm))
		if !now.Before(ag.avoided[vm]) && (chosen == "" || hash > highest) {
			chosen, highest = vm, hash
		}
	}
	if chosen != ag.aggregator {
		ag.aggregator, ag.silentSince = chosen, now
	}
	ag.sentAt = now
	return chosen
}

// routeDemand returns the demands to send now for the demand of this entry on a service: one
// to the aggregator, or one to each guard. If this node is the aggregator, it adds the demand
// to the sum. The caller holds mu.
func (en *Entry) routeDemand(now time.Time, svc call.Service, demands []allocation.RankDemand) []addressedDemand {
	vm := en.opt.VM
	if !en.aggregates(now, svc) {
		vm = en.aggregatorOf(now, svc)
	}
	switch vm {
	case "":
		return en.splitDemand(now, svc, demands, maxAskedGuards)
	case en.opt.VM:
		en.aggregation(svc).sum.SetDemand(now, en.opt.VM, demands)
		return nil
	}
	gg := en.grants[svc][vm]
	gg.weight = 1
	en.grants[svc] = map[call.VM]guardGrant{vm: gg}
	de := &attempt.Demand{Entry: en.opt.VM, Service: svc, Wants: demands, Aggregate: true}
	return []addressedDemand{{vm, en.addresses[vm], de}}
}

// aggregates reports whether other entries have sent demands for a service to this node. The
// caller holds mu.
func (en *Entry) aggregates(now time.Time, svc call.Service) bool {
	ag := en.aggregations[svc]
	return ag != nil && ag.sum.Others(now, en.opt.VM) > 0
}

// aggregatedDemands returns the demands to send to the guards for the sums of all services, or
// only of those without a recent grant. The caller holds mu.
func (en *Entry) aggregatedDemands(now time.Time, withoutGrant bool) []addressedDemand {
	var list []addressedDemand
	for svc, ag := range en.aggregations {
		mean, ok := meanGrant(now, en.grants[svc])
		if ok && withoutGrant {
			continue
		}
		if ag.intervals++; ok && mean.Full() && ag.intervals < idleDemandIntervals {
			continue
		}
		ag.intervals = 0
		if total := ag.sum.Total(now); len(total) > 0 {
			list = append(list, en.splitDemand(now, svc, total, maxAggregatorGuards)...)
		}
	}
	slices.SortFunc(list, func(a, b addressedDemand) int { return cmp.Compare(a.vm, b.vm) })
	return list
}

// AggregateDemand adds the demand of another entry to the sum of its service, and returns the
// mean of the latest grants. It returns false if there is no recent grant, if the
// configuration does not name the service, or if too many entries send demands.
func (en *Entry) AggregateDemand(de *attempt.Demand) (allocation.Grant, bool) {
	cd := en.config.Load()
	if cd == nil || !namesService(cd, de.Service) {
		return allocation.Grant{}, false
	}
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	ag := en.aggregation(de.Service)
	if ag.sum.Others(now, de.Entry) >= maxAggregatedEntries {
		return allocation.Grant{}, false
	}
	ag.sum.SetDemand(now, de.Entry, de.Wants)
	mean, ok := meanGrant(now, en.grants[de.Service])
	if !ok {
		// The demands of a new load are sent to the guards without delay.
		select {
		case en.sendNow <- struct{}{}:
		default:
		}
	}
	return mean, ok
}
