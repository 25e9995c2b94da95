package node

import (
	"cmp"
	"net/netip"
	"slices"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/internal/fleet/renewal"
	"camphortrail/schema/schemaconnect"
)

// maxRenewalBytes bounds the answer to a renewal: the allowances of all customers.
const maxRenewalBytes = 4 << 20

// newRenewal returns the renewal of the node's proofs.
func (nd *Node) newRenewal(seed uint64) *renewal.Renewal {
	return renewal.New(renewal.Options{
		Name: call.VM(nd.set.GetName()), Bound: nd.opt.RevocationBound, Seed: seed,
		Send: nd.pool.SendRenewal, Discard: nd.pool.DiscardUnused,
		Controls: nd.renewalControls,
		NewControlClient: func(address string) renewal.ControlClient {
			return schemaconnect.NewControlClient(nd.rpc, "http://"+address, connect.WithReadMaxBytes(maxRenewalBytes))
		},
		Hint: func(revision uint64, address string) {
			// Without an address the next proof brings another hint.
			if ap, err := netip.ParseAddrPort(address); err == nil {
				nd.rollout.Hint(revision, ap)
			}
		},
		NewAllowances: nd.opt.NewAllowances, Log: nd.log, Metrics: nd.metrics,
	})
}

// renewalControls returns the control replicas that are present, or those of the settings if none
// is. The nodes try them in different orders.
func (nd *Node) renewalControls() []string {
	addresses := nd.presentControls()
	if len(addresses) == 0 {
		addresses = controlAddresses(nd.set)
	}
	order := func(address string) uint64 { return xxhash.Sum64String(nd.set.GetName() + "\x00" + address) }
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(order(a), order(b)) })
	return addresses
}
