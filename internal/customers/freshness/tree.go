package freshness

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
)

// FanOut is the number of nodes that query the same node of their failure domain.
const FanOut = 16

// compareNodes orders nodes by the hashes of their names. Nodes whose views of the membership
// differ still order the nodes that both know alike, so that no two nodes query each other.
func compareNodes(a, b call.VM) int {
	return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
}

// Order sorts the nodes of a failure domain by their positions in the renewal tree.
func Order(nodes []call.VM) { slices.SortFunc(nodes, compareNodes) }

// Parent returns the node that the node own queries, and the position of own. nodes holds the
// nodes of the failure domain as sorted by Order, and skip tells which of them are left out. If own
// is the root or not one of the nodes, the parent is empty.
func Parent(nodes []call.VM, own call.VM, skip func(call.VM) bool) (parent call.VM, position int) {
	for _, vm := range nodes {
		if vm == own {
			break
		}
		if !skip(vm) {
			position++
		}
	}
	if position == 0 || !slices.Contains(nodes, own) {
		return "", 0
	}
	left := (position - 1) / FanOut
	for _, vm := range nodes {
		if skip(vm) {
			continue
		}
		if left == 0 {
			return vm, position
		}
		left--
	}
	return "", 0
}
