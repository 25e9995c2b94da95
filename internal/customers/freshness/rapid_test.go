package freshness

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/call"
	"camphortrail/internal/lab/fuzzing"
)

func init() { fuzzing.SetFlags(40, 40) }

// TestNoKeyAfterItsRevocation guards against a node that accepts a key later than the bound after
// the acknowledgement of the configuration that withdrew it. Each revision withdraws the keys of
// the one before. Messages are lost, delayed and duplicated, nodes are suspended, cut off and
// started anew with an old copy, and the leader loses its lease.
func TestNoKeyAfterItsRevocation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nt := newNetwork(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 2, 3, 5, 20}).Draw(t, "nodes"))
		cutOff := make(map[call.VM]bool)
		loss, maxDelay := 0.0, time.Millisecond
		nt.cut = func(from, to call.VM) bool { return cutOff[from] != cutOff[to] }
		nt.delay = func() (time.Duration, bool) {
			return time.Duration(nt.rng.Int64N(int64(maxDelay))), nt.rng.Float64() >= loss
		}
		nt.duplicate = func() bool { return nt.rng.Float64() < loss }
		nt.check = func(nd *node) {
			if nd.suspended || !nd.machine.Fresh(nd.clock(nt), nd.revision) || nd.revision == uint64(len(nt.acknowledged)) {
				return
			}
			// acknowledged[revision] is that of the next revision.
			if late := nt.now.Sub(nt.acknowledged[nd.revision]); late > testBound {
				t.Fatalf("%s accepts keys of revision %d, %v after their withdrawal", nd.name, nd.revision, late)
			}
		}
		draw := func(t *rapid.T) *node { return rapid.SampledFrom(nt.nodes).Draw(t, "node") }
		check := func(*rapid.T) {
			for _, nd := range nt.nodes {
				nt.check(nd)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": check,
			"run": func(t *rapid.T) {
				nt.run(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"accept": func(*rapid.T) { nt.accept() },
			// The keys of all nodes are withdrawn, and no node hears of it.
			"revoke": func(*rapid.T) {
				nt.accept()
				nt.run(testBound + time.Second)
			},
			// Answers to queries of an earlier run arrive after the start.
			"restart-and-revoke": func(t *rapid.T) {
				nt.restart(draw(t), uint64(len(nt.acknowledged)))
				nt.accept()
				nt.run(testBound + time.Second)
			},
			"apply": func(t *rapid.T) {
				nd := draw(t)
				nt.apply(nd, uint64(rapid.IntRange(1, len(nt.acknowledged)).Draw(t, "revision")))
			},
			"apply-all": func(*rapid.T) {
				for _, nd := range nt.nodes {
					nt.apply(nd, uint64(len(nt.acknowledged)))
				}
			},
			"suspend": func(t *rapid.T) { draw(t).suspended = true },
			"resume":  func(t *rapid.T) { draw(t).suspended = false },
			"serve":   func(t *rapid.T) { nd := draw(t); nd.serving = !nd.serving },
			"cut":     func(t *rapid.T) { nd := draw(t); cutOff[nd.name] = !cutOff[nd.name] },
			"restart": func(t *rapid.T) {
				nt.restart(draw(t), uint64(rapid.IntRange(1, len(nt.acknowledged)).Draw(t, "revision")))
			},
			"leave": func(t *rapid.T) {
				gone, at := draw(t), draw(t)
				at.machine.Remove(gone.name)
			},
			"join":  func(t *rapid.T) { joined, at := draw(t), draw(t); at.machine.Add(joined.name) },
			"lease": func(*rapid.T) { nt.leads = !nt.leads },
			"messages": func(t *rapid.T) {
				loss = rapid.SampledFrom([]float64{0, 0.01, 0.3}).Draw(t, "loss")
				maxDelay = time.Duration(rapid.SampledFrom([]int{1, 400, 1500, 4000}).Draw(t, "max-delay-ms")) * time.Millisecond
			},
		})
		// Without faults all nodes trust their keys again.
		clear(cutOff)
		loss, maxDelay, nt.leads = 0, time.Millisecond, true
		for _, nd := range nt.nodes {
			nd.suspended = false
			for _, other := range nt.nodes {
				nd.machine.Add(other.name)
			}
			nt.apply(nd, uint64(len(nt.acknowledged)))
		}
		nt.run(8 * time.Second)
		if fresh := nt.fresh(); fresh < len(nt.nodes) {
			t.Fatalf("%d of %d nodes trust their keys after the faults", fresh, len(nt.nodes))
		}
	})
}

// TestParents guards against a tree with a cycle, with more than FanOut children of a node, or with
// more than one root, whichever nodes are left out.
func TestParents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		prefix := rapid.StringMatching(`[a-z]{1,6}`).Draw(t, "prefix")
		var nodes []call.VM
		for i := range rapid.SampledFrom([]int{1, 2, 17, 18, 80, 300}).Draw(t, "nodes") {
			nodes = append(nodes, call.VM(fmt.Sprint(prefix, "-", i)))
		}
		skipped := rapid.SampledFrom(nodes).Draw(t, "skipped")
		Order(nodes)
		positions, children, roots := make(map[call.VM]int), make(map[call.VM]int), 0
		for i, vm := range nodes {
			parent, position := Parent(nodes, vm, func(call.VM) bool { return false })
			if position != i {
				t.Fatalf("position %d of node %d", position, i)
			}
			positions[vm] = i
			children[parent]++
			if parent == "" {
				roots++
			} else if positions[parent] != (i-1)/FanOut || children[parent] > FanOut {
				t.Fatalf("parent of node %d is at %d and has %d children", i, positions[parent], children[parent])
			}
			if parent, _ := Parent(nodes, vm, func(other call.VM) bool { return other == skipped }); parent != "" && positions[parent] >= i {
				t.Fatalf("node %d queries node %d, which is not nearer to the root", i, positions[parent])
			}
		}
		if roots != 1 {
			t.Fatalf("%d roots", roots)
		}
	})
}

// TestMissingRevision guards against a node that lacks a revision and does not ask for it until it
// trusts no key any more, and against one that asks while the rollout is on its way.
func TestMissingRevision(t *testing.T) {
	nt := newNetwork(1, 1)
	nd := nt.nodes[0]
	nt.run(2 * time.Second)
	if revision, ok := nd.machine.Missing(nd.clock(nt)); ok {
		t.Errorf("revision %d is missing, want none", revision)
	}
	nt.accept()
	nt.run(1500 * time.Millisecond)
	if revision, ok := nd.machine.Missing(nd.clock(nt)); ok {
		t.Errorf("revision %d is missing while the rollout may bring it", revision)
	}
	nt.run(time.Second)
	if revision, ok := nd.machine.Missing(nd.clock(nt)); !ok || revision != 2 {
		t.Errorf("revision %d is missing (%t), want 2", revision, ok)
	}
	if _, ok := nd.machine.Missing(nd.clock(nt)); ok {
		t.Error("the revision is asked for again at once")
	}
	nt.apply(nd, 2)
	nt.run(2 * time.Second)
	if revision, ok := nd.machine.Missing(nd.clock(nt)); ok {
		t.Errorf("revision %d is missing after it came into force", revision)
	}
}
