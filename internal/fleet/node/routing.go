package node

import (
	"context"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/membership"
	"camphortrail/route"
)

// resyncInterval is the time between two comparisons of the routing table with
// the members.
const resyncInterval = 5 * time.Second

// routing keeps the routing table in step with the members until ctx ends.
func (nd *Node) routing(ctx context.Context) error {
	notices := nd.notices
	ticker := time.NewTicker(resyncInterval)
	defer ticker.Stop()
	known := make(map[call.VM][]membership.Upstream)
	for {
		select {
		case <-ctx.Done():
			return nil
		case nt := <-notices:
			if nt.Resync {
				nd.resync(known)
			} else {
				nd.route(known, nt.Change.Member)
			}
		case <-ticker.C:
			nd.resync(known)
		}
	}
}

func (nd *Node) resync(known map[call.VM][]membership.Upstream) {
	present := make(map[call.VM]bool)
	nodes := 0
	for _, me := range nd.gossip.Members() {
		present[me.Name] = me.State.Present()
		if me.Role == membership.NodeRole && me.State.Present() {
			nodes++
		}
		nd.route(known, me)
	}
	nd.entry.SetNodeCount(nodes)
	for vm := range known {
		if !present[vm] {
			nd.unroute(known, vm)
		}
	}
}

// route brings the record of one member to the routing table.
func (nd *Node) route(known map[call.VM][]membership.Upstream, me membership.Member) {
	if me.Role != membership.NodeRole {
		return
	}
	if !me.State.Present() {
		nd.unroute(known, me.Name)
		return
	}
	nd.entry.SetAddress(me.Name, me.Address.String())
	for _, up := range known[me.Name] {
		if !announces(me.Upstreams, up.Service) {
			nd.entry.ApplyRouteEvent(route.Remove{VM: me.Name, Service: up.Service})
		}
	}
	for _, up := range me.Upstreams {
		nd.entry.ApplyRouteEvent(route.Upsert{
			VM: me.Name, Service: up.Service, Domain: me.FailureDomain, Slots: int(up.Slots),
			WarmUp: up.WarmUp, Draining: up.Draining, Incarnation: uint64(me.Incarnation),
		})
	}
	known[me.Name] = me.Upstreams
}

func (nd *Node) unroute(known map[call.VM][]membership.Upstream, vm call.VM) {
	for _, up := range known[vm] {
		nd.entry.ApplyRouteEvent(route.Remove{VM: vm, Service: up.Service})
	}
	delete(known, vm)
	nd.pool.Forget(vm)
}

func announces(ups []membership.Upstream, svc call.Service) bool {
	for _, up := range ups {
		if up.Service == svc {
			return true
		}
	}
	return false
}

// connState takes news of the connection to a VM.
func (nd *Node) connState(vm call.VM, suspect bool) {
	if suspect {
		nd.entry.ApplyRouteEvent(route.Suspect{VM: vm})
	} else {
		nd.entry.ApplyRouteEvent(route.Alive{VM: vm})
	}
}

// setRoom takes what the guard of a VM said of its room.
func (nd *Node) setRoom(vm call.VM, svc call.Service, an allocation.Grant) {
	nd.entry.SetGrant(vm, svc, an)
}

// nodeAddresses returns the peer addresses of present nodes, own failure
// domain first.
func (nd *Node) nodeAddresses() []string {
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
	return append(own, other...)
}

// controlReplicas returns the peer addresses of the control replicas that are
// present.
func (nd *Node) controlReplicas() []string {
	var addresses []string
	for _, me := range nd.gossip.Members() {
		if me.Role == membership.ControlRole && me.State.Present() {
			addresses = append(addresses, me.Address.String())
		}
	}
	return addresses
}
