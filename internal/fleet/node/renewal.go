package node

import (
	"cmp"
	"net/netip"
	"slices"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/internal/fleet/allowances"
	"camphortrail/internal/fleet/renewal"
	"camphortrail/schema/schemaconnect"
)

// maxRenewalBytes bounds the answer to a renewal: the allowances of all customers.
const maxRenewalBytes = 4 << 20

// newRenewal returns the renewal of the node's proofs.
func (nd *Node) newRenewal(seed uint64) *renewal.Renewal {
	opt := renewal.Options{
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
		Log: nd.log, Metrics: nd.metrics,
	}
	if nd.opt.UsageBounds.Window > 0 {
		opt.NewAllowances = func(askNow func()) renewal.Allowances {
			nd.allowances = allowances.New(allowances.Options{
				Bounds: nd.opt.UsageBounds, AskNow: askNow, IsRoot: func() bool { return nd.renewal.IsRoot() },
				Metrics: nd.metrics, Log: nd.log, Seed: seed,
			})
			return nd.allowances
		}
	}
	return renewal.New(opt)
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
