package node

import (
	"context"
	"math/rand/v2"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/membership"
	"camphortrail/route"
)

// resyncInterval is the time between two comparisons of the routing table with all
// members.
const resyncInterval = 5 * time.Second

// followMembers applies membership changes to the routing table until ctx ends. It also
// compares the table with all members every resyncInterval, and when a notice says that
// changes were lost.
func (nd *Node) followMembers(ctx context.Context) error {
	notices := nd.memberNotices
	ticker := time.NewTicker(resyncInterval)
	defer ticker.Stop()
	routed := make(map[call.VM][]membership.Upstream)
	for {
		select {
		case <-ctx.Done():
			return nil
		case nt := <-notices:
			if nt.Resync {
				nd.resyncRoutes(routed)
			} else {
				nd.updateRoutes(routed, nt.Change.Member)
			}
		case <-ticker.C:
			nd.resyncRoutes(routed)
		}
	}
}

// resyncRoutes applies the records of all members to the routing table, and removes the
// VMs that are not members any more. routed holds the upstreams in the table by VM.
func (nd *Node) resyncRoutes(routed map[call.VM][]membership.Upstream) {
	present := make(map[call.VM]bool)
	nodes := 0
	for _, me := range nd.gossip.Members() {
		present[me.Name] = me.State.Present()
		if me.Role == membership.NodeRole && me.State.Present() {
			nodes++
		}
		nd.updateRoutes(routed, me)
	}
	nd.entry.SetNodeCount(nodes)
	for vm := range routed {
		if !present[vm] {
			nd.removeRoutes(routed, vm)
		}
	}
}

// updateRoutes applies the record of one member to the routing table: it adds or updates
// the upstreams that the member announces, and removes the others. A member that is not
// present loses all of them.
func (nd *Node) updateRoutes(routed map[call.VM][]membership.Upstream, me membership.Member) {
	if me.Role != membership.NodeRole {
		return
	}
	if !me.State.Present() {
		nd.removeRoutes(routed, me.Name)
		return
	}
	nd.entry.SetAddress(me.Name, me.Address.String())
	if string(me.FailureDomain) == nd.set.GetFailureDomain() {
		nd.renewal.SetNode(me.Name, me.Address.String())
	}
	for _, up := range routed[me.Name] {
		if !hasService(me.Upstreams, up.Service) {
			nd.entry.ApplyRouteEvent(route.Remove{VM: me.Name, Service: up.Service})
		}
	}
	for _, up := range me.Upstreams {
		nd.entry.ApplyRouteEvent(route.Upsert{
			VM: me.Name, Service: up.Service, Domain: me.FailureDomain, Slots: int(up.Slots),
			WarmUp: up.WarmUp, Draining: up.Draining, Incarnation: uint64(me.Incarnation),
		})
	}
	routed[me.Name] = me.Upstreams
}

// removeRoutes removes all upstreams of a VM from the routing table, and makes the renewal and
// the pool forget the VM.
func (nd *Node) removeRoutes(routed map[call.VM][]membership.Upstream, vm call.VM) {
	for _, up := range routed[vm] {
		nd.entry.ApplyRouteEvent(route.Remove{VM: vm, Service: up.Service})
	}
	delete(routed, vm)
	nd.renewal.RemoveNode(vm)
	nd.pool.Forget(vm)
}

// hasService reports whether one of the upstreams belongs to the service.
func hasService(ups []membership.Upstream, svc call.Service) bool {
	for _, up := range ups {
		if up.Service == svc {
			return true
		}
	}
	return false
}

// setSuspect marks a VM in the routing table as suspect or alive. The pool calls it; see
// peer.Options.OnSuspicion.
func (nd *Node) setSuspect(vm call.VM, suspect bool) {
	if suspect {
		nd.entry.ApplyRouteEvent(route.Suspect{VM: vm})
	} else {
		nd.entry.ApplyRouteEvent(route.Alive{VM: vm})
	}
}

// setGrant passes the quota that the guard of a VM grants this node for a service to the
// entry.
func (nd *Node) setGrant(vm call.VM, svc call.Service, gr allocation.Grant) {
	nd.entry.SetGrant(vm, svc, gr)
}

// presentPeers returns the peer addresses of the other nodes that are present, those in
// the failure domain of this node first, in random order otherwise.
func (nd *Node) presentPeers() []string {
	var own, other []string
	for _, me := range nd.gossip.Members() {
		switch {
		case me.Role != membership.NodeRole || !me.State.Present() || string(me.Name) == nd.set.GetName():
		case string(me.FailureDomain) == nd.set.GetFailureDomain():
			own = append(own, me.Address.String())
		default:
			other = append(other, me.Address.String())
		}
	}
	for _, list := range [][]string{own, other} {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}
	return append(own, other...)
}

// presentControls returns the peer addresses of the control replicas that are present.
func (nd *Node) presentControls() []string {
	var addresses []string
	for _, me := range nd.gossip.Members() {
		if me.Role == membership.ControlRole && me.State.Present() {
			addresses = append(addresses, me.Address.String())
		}
	}
	return addresses
}
