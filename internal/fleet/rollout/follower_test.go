package rollout

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/internal/lab/fuzzing"
	"camphortrail/schema"
)

func init() {
	fuzzing.Fix(0, 0)
}

const (
	nodeCount   = 5
	controlName = "control"
	testTick    = 100 * time.Millisecond
)

// testNode is a node with a Follower. Its copy outlives a restart.
type testNode struct {
	*Follower
	side    int
	hasCopy bool
	copied  uint64
	asked   []Fetch
	// floor is the highest revision that the node could learn when it started,
	// as long as no other node restarts or moves.
	floor uint64
}

// world is a control replica and some nodes on two sides of a network. The
// control replica is on side 0.
type world struct {
	rt        *rapid.T
	now       time.Time
	committed uint64
	nodes     []*testNode
	starts    uint64
}

func (wo *world) start(nd *testNode) {
	wo.starts++
	nd.Follower = NewFollower([]string{controlName}, DefaultCheckInterval, rand.New(rand.NewPCG(wo.starts, 0)))
	nd.asked = nil
	nd.floor = wo.reachable(nd)
	if nd.hasCopy && nd.copied > 0 {
		wo.step(nd, Loaded{Revision: nd.copied, Configuration: &schema.Configuration{}})
	}
}

// reachable is the highest revision that a node can learn.
func (wo *world) reachable(nd *testNode) uint64 {
	highest := uint64(0)
	if nd.side == 0 {
		highest = wo.committed
	}
	for _, other := range wo.nodes {
		if other != nd && other.side == nd.side {
			highest = max(highest, other.InForce())
		}
	}
	return highest
}

func (wo *world) resetFloors() {
	for _, nd := range wo.nodes {
		nd.floor = 0
	}
}

func (wo *world) step(nd *testNode, ev Event) {
	before := nd.InForce()
	for _, ac := range append([]Action(nil), nd.Step(wo.now, ev)...) {
		switch ac := ac.(type) {
		case Fetch:
			nd.asked = append(nd.asked, ac)
		case Adopt:
			wo.checkAdopt(nd, ac, before)
			nd.copied = ac.Revision
			wo.step(nd, Adopted{Revision: ac.Revision})
		}
	}
}

func (wo *world) checkAdopt(nd *testNode, ac Adopt, before uint64) {
	switch {
	case ac.Revision <= before:
		wo.rt.Fatalf("revision %d after %d", ac.Revision, before)
	case nd.hasCopy && ac.Revision < nd.copied:
		wo.rt.Fatalf("revision %d after %d before a restart", ac.Revision, nd.copied)
	case ac.Revision < nd.floor:
		wo.rt.Fatalf("revision %d in force, %d could be had", ac.Revision, nd.floor)
	}
}

// answer answers the fetches of a node from those that it reaches.
func (wo *world) answer(nd *testNode) {
	asked := nd.asked
	nd.asked = nil
	for _, fe := range asked {
		revision, ok := wo.serve(nd, fe.Source)
		if !ok {
			wo.step(nd, FetchFailed{Source: fe.Source})
			continue
		}
		ev := Fetched{Source: fe.Source, Revision: revision}
		if revision > fe.Have {
			ev.Configuration = &schema.Configuration{}
		}
		wo.step(nd, ev)
	}
}

func (wo *world) serve(nd *testNode, so Source) (revision uint64, ok bool) {
	if so.Kind == ControlSource {
		return wo.committed, nd.side == 0
	}
	for i, other := range wo.nodes {
		if so.Address == fmt.Sprint(i) {
			return other.InForce(), other.side == nd.side
		}
	}
	return 0, false
}

// pass lets time pass with hints between those that reach each other.
func (wo *world) pass(d time.Duration) {
	for end := wo.now.Add(d); wo.now.Before(end); {
		wo.now = wo.now.Add(testTick)
		for _, nd := range wo.nodes {
			var peers []string
			for i, other := range wo.nodes {
				if other == nd || other.side != nd.side {
					continue
				}
				peers = append(peers, fmt.Sprint(i))
				if other.InForce() > nd.InForce() {
					wo.step(nd, Hinted{Revision: other.InForce(), Source: Source{Kind: PeerSource, Address: fmt.Sprint(i)}})
				}
			}
			wo.step(nd, Tick{Peers: peers})
			wo.answer(nd)
		}
	}
}

// TestRevisionNeverGoesBack drives nodes through changes, restarts and
// partitions. No node puts an older revision in force than before, nor than
// one that it could have had when it started.
func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		wo := &world{rt: rt, now: time.UnixMilli(0)}
		for i := range nodeCount {
			nd := &testNode{hasCopy: i%2 == 0, Follower: &Follower{}}
			wo.nodes = append(wo.nodes, nd)
			wo.start(nd)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"commit": func(rt *rapid.T) {
				wo.committed += uint64(rapid.IntRange(1, 3).Draw(rt, "step"))
			},
			"pass": func(rt *rapid.T) {
				wo.pass(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * testTick)
			},
			"restart": func(rt *rapid.T) {
				wo.resetFloors()
				wo.start(rapid.SampledFrom(wo.nodes).Draw(rt, "node"))
			},
			"move": func(rt *rapid.T) {
				rapid.SampledFrom(wo.nodes).Draw(rt, "node").side = rapid.IntRange(0, 1).Draw(rt, "side")
				wo.resetFloors()
			},
		})
		for _, nd := range wo.nodes {
			nd.side = 0
		}
		wo.pass(4 * DefaultCheckInterval)
		for i, nd := range wo.nodes {
			if nd.InForce() != wo.committed {
				rt.Errorf("node %d has revision %d, committed is %d", i, nd.InForce(), wo.committed)
			}
		}
	})
}

// A burst of hints makes a node ask two processes at most.
func TestFetchesAreBounded(t *testing.T) {
	fo := NewFollower(nil, DefaultCheckInterval, rand.New(rand.NewPCG(1, 1)))
	now := time.UnixMilli(0)
	fo.Step(now, Loaded{Revision: 1, Configuration: &schema.Configuration{}})
	now = now.Add(startTime)
	fo.Step(now, Tick{})
	fo.Step(now, Adopted{Revision: 1})
	asked := 0
	for i := range 100 {
		fo.Step(now, Hinted{Revision: 2, Source: Source{Kind: PeerSource, Address: fmt.Sprint(i)}})
	}
	for range 100 {
		now = now.Add(testTick)
		for _, ac := range fo.Step(now, Tick{}) {
			if _, ok := ac.(Fetch); ok {
				asked++
			}
		}
	}
	if asked != maxFetches {
		t.Errorf("%d fetches, want %d", asked, maxFetches)
	}
}

// A node whose settings list control replicas that are gone asks those that
// the membership knows.
func TestPresentControlsAreAsked(t *testing.T) {
	fo := NewFollower([]string{"gone"}, time.Minute, rand.New(rand.NewPCG(1, 1)))
	want := Fetch{Source: Source{Kind: ControlSource, Address: "present"}}
	if actions := fo.Step(time.Unix(0, 0), Tick{Controls: []string{"present"}}); !slices.Contains(actions, Action(want)) {
		t.Errorf("actions %v, want %v among them", actions, want)
	}
}

// Only the leader of control answers, so that a starting node asks all replicas
// of a small deployment at once.
func TestStartingNodeAsksAllReplicas(t *testing.T) {
	controls := []string{"a", "b", "c", "d"}
	fo := NewFollower(controls, time.Minute, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	fo.Step(now, Loaded{})
	var asked []string
	for _, ac := range fo.Step(now, Tick{Controls: controls}) {
		if fe, ok := ac.(Fetch); ok && fe.Source.Kind == ControlSource {
			asked = append(asked, fe.Source.Address)
		}
	}
	slices.Sort(asked)
	if !slices.Equal(asked, controls) {
		t.Errorf("asked %v, want %v", asked, controls)
	}
}
