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
	fuzzing.SetFlags(0, 0)
}

const (
	nodeCount   = 5
	controlName = "control"
	testTick    = 100 * time.Millisecond
)

// testNode is a node with a Follower. Its local copy survives a restart.
type testNode struct {
	*Follower
	partition int
	hasCopy   bool
	copied    uint64
	fetches   []Fetch
	// minRevision is the highest revision that the node could learn when it started. It
	// is 0 after any node has restarted or moved to the other partition.
	minRevision uint64
}

// simulation has a control replica and some nodes in two partitions of a network. The
// control replica is in partition 0.
type simulation struct {
	rt        *rapid.T
	now       time.Time
	committed uint64
	nodes     []*testNode
	starts    uint64
}

// start starts or restarts a node, with its local copy if it has one.
func (si *simulation) start(nd *testNode) {
	si.starts++
	nd.Follower = NewFollower([]string{controlName}, DefaultCheckInterval, rand.New(rand.NewPCG(si.starts, 0)))
	nd.fetches = nil
	nd.minRevision = si.reachableRevision(nd)
	if nd.hasCopy && nd.copied > 0 {
		si.step(nd, Loaded{Revision: nd.copied, Configuration: &schema.Configuration{}})
	}
}

// reachableRevision returns the highest revision that a node can learn from the others in
// its partition.
func (si *simulation) reachableRevision(nd *testNode) uint64 {
	highest := uint64(0)
	if nd.partition == 0 {
		highest = si.committed
	}
	for _, other := range si.nodes {
		if other != nd && other.partition == nd.partition {
			highest = max(highest, other.InForce())
		}
	}
	return highest
}

// resetMinRevisions clears the minimum revisions of all nodes after a restart or move.
func (si *simulation) resetMinRevisions() {
	for _, nd := range si.nodes {
		nd.minRevision = 0
	}
}

// step passes an event to a node and carries out the actions, except for fetches, which
// it collects.
func (si *simulation) step(nd *testNode, ev Event) {
	before := nd.InForce()
	for _, ac := range append([]Action(nil), nd.Step(si.now, ev)...) {
		switch ac := ac.(type) {
		case Fetch:
			nd.fetches = append(nd.fetches, ac)
		case Adopt:
			si.checkAdopt(nd, ac, before)
			nd.copied = ac.Revision
			si.step(nd, Adopted{Revision: ac.Revision})
		}
	}
}

// checkAdopt fails if a node adopts a lower revision than it must.
func (si *simulation) checkAdopt(nd *testNode, ac Adopt, before uint64) {
	switch {
	case ac.Revision <= before:
		si.rt.Fatalf("revision %d after %d", ac.Revision, before)
	case nd.hasCopy && ac.Revision < nd.copied:
		si.rt.Fatalf("revision %d after %d before a restart", ac.Revision, nd.copied)
	case ac.Revision < nd.minRevision:
		si.rt.Fatalf("revision %d in force, %d the node could have learned", ac.Revision, nd.minRevision)
	}
}

// answerFetches answers the fetches of a node from the processes that it can reach.
func (si *simulation) answerFetches(nd *testNode) {
	fetches := nd.fetches
	nd.fetches = nil
	for _, fe := range fetches {
		revision, ok := si.fetchFrom(nd, fe.Source)
		if !ok {
			si.step(nd, FetchFailed{Source: fe.Source})
			continue
		}
		ev := Fetched{Source: fe.Source, Revision: revision}
		if revision > fe.Have {
			ev.Configuration = &schema.Configuration{}
		}
		si.step(nd, ev)
	}
}

// fetchFrom returns the revision of a source, and whether the node can reach the source.
func (si *simulation) fetchFrom(nd *testNode, so Source) (revision uint64, ok bool) {
	if so.Kind == ControlSource {
		return si.committed, nd.partition == 0
	}
	for i, other := range si.nodes {
		if so.Address == fmt.Sprint(i) {
			return other.InForce(), other.partition == nd.partition
		}
	}
	return 0, false
}

// advance lets time pass in ticks. Nodes in the same partition send each other hints.
func (si *simulation) advance(d time.Duration) {
	for end := si.now.Add(d); si.now.Before(end); {
		si.now = si.now.Add(testTick)
		for _, nd := range si.nodes {
			var peers []string
			for i, other := range si.nodes {
				if other == nd || other.partition != nd.partition {
					continue
				}
				peers = append(peers, fmt.Sprint(i))
				if other.InForce() > nd.InForce() {
					si.step(nd, Hinted{Revision: other.InForce(), Source: Source{Kind: PeerSource, Address: fmt.Sprint(i)}})
				}
			}
			si.step(nd, Tick{Peers: peers})
			si.answerFetches(nd)
		}
	}
}

// TestRevisionNeverGoesBack drives nodes through new revisions, restarts and partitions.
// No node may adopt a lower revision than one that it had in force, or than one that it
// could have learned when it started.
func TestRevisionNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		si := &simulation{rt: rt, now: time.UnixMilli(0)}
		for i := range nodeCount {
			nd := &testNode{hasCopy: i%2 == 0, Follower: &Follower{}}
			si.nodes = append(si.nodes, nd)
			si.start(nd)
		}
		rt.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) {},
			"commit": func(rt *rapid.T) {
				si.committed += uint64(rapid.IntRange(1, 3).Draw(rt, "step"))
			},
			"pass": func(rt *rapid.T) {
				si.advance(time.Duration(rapid.IntRange(1, 60).Draw(rt, "ticks")) * testTick)
			},
			"restart": func(rt *rapid.T) {
				si.resetMinRevisions()
				si.start(rapid.SampledFrom(si.nodes).Draw(rt, "node"))
			},
			"move": func(rt *rapid.T) {
				rapid.SampledFrom(si.nodes).Draw(rt, "node").partition = rapid.IntRange(0, 1).Draw(rt, "side")
				si.resetMinRevisions()
			},
		})
		for _, nd := range si.nodes {
			nd.partition = 0
		}
		si.advance(4 * DefaultCheckInterval)
		for i, nd := range si.nodes {
			if nd.InForce() != si.committed {
				rt.Errorf("node %d has revision %d, committed is %d", i, nd.InForce(), si.committed)
			}
		}
	})
}

// TestFetchesAreBounded checks that a node asks no more than maxFetches processes at once
// after a burst of hints.
func TestFetchesAreBounded(t *testing.T) {
	fo := NewFollower(nil, DefaultCheckInterval, rand.New(rand.NewPCG(1, 1)))
	now := time.UnixMilli(0)
	fo.Step(now, Loaded{Revision: 1, Configuration: &schema.Configuration{}})
	now = now.Add(startupTimeout)
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

// TestPresentControlsAreAsked checks that a node whose settings list control replicas
// that no longer exist asks those that the membership knows.
func TestPresentControlsAreAsked(t *testing.T) {
	fo := NewFollower([]string{"gone"}, time.Minute, rand.New(rand.NewPCG(1, 1)))
	want := Fetch{Source: Source{Kind: ControlSource, Address: "present"}}
	if actions := fo.Step(time.Unix(0, 0), Tick{Controls: []string{"present"}}); !slices.Contains(actions, Action(want)) {
		t.Errorf("actions %v, want %v among them", actions, want)
	}
}

// TestStartingNodeAsksAllReplicas checks that a starting node asks all control replicas
// of a small deployment at once, because only the leader answers.
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

// TestPeersConfirmWhileNoControlReplicaAnswers guards against a node that refuses all requests for
// three seconds after a restart in a failure domain that is cut off. Peers that have no
// configuration in force confirm nothing.
func TestPeersConfirmWhileNoControlReplicaAnswers(t *testing.T) {
	for _, tt := range []struct {
		name      string
		revisions []uint64
		want      bool
	}{
		{"two peers have it", []uint64{7, 7}, true},
		{"one peer has it", []uint64{7}, false},
		{"peers start, too", []uint64{0, 0, 0}, false},
		{"peers are behind", []uint64{6, 6}, false},
	} {
		fo := NewFollower([]string{"control"}, time.Minute, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		fo.Step(now, Loaded{Revision: 7, Configuration: &schema.Configuration{Version: 7}})
		for i, revision := range tt.revisions {
			fo.Step(now, Fetched{Source: Source{Kind: PeerSource, Address: string(rune('a' + i))}, Revision: revision})
		}
		adopts := func(actions []Action) bool {
			return slices.ContainsFunc(actions, func(ac Action) bool { _, ok := ac.(Adopt); return ok })
		}
		if adopts(fo.Step(now.Add(peerTimeout-time.Millisecond), Tick{})) {
			t.Errorf("%s: adopted before a control replica had time to answer", tt.name)
		}
		if got := adopts(fo.Step(now.Add(peerTimeout), Tick{})); got != tt.want {
			t.Errorf("%s: adopted %t, want %t", tt.name, got, tt.want)
		}
	}
}

// TestStartingNodeAsksPeersOnceTheyAreKnown guards against a starting node that asks no peer for a
// second, as it knows none when it starts.
func TestStartingNodeAsksPeersOnceTheyAreKnown(t *testing.T) {
	fo := NewFollower([]string{"control"}, time.Minute, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	fo.Step(now, Loaded{})
	fo.Step(now, Tick{})
	want := Fetch{Source: Source{Kind: PeerSource, Address: "peer"}}
	if actions := fo.Step(now.Add(tickInterval), Tick{Peers: []string{"peer"}}); !slices.Contains(actions, Action(want)) {
		t.Errorf("actions %v, want %v among them", actions, want)
	}
}

// TestPeerInForceHurriesStart guards against a node that waits for up to a second after a start of all
// processes, although a leader was elected and a peer has the configuration in force. Many hints must
// not cause more rounds than one in startRetryInterval.
func TestPeerInForceHurriesStart(t *testing.T) {
	for _, tt := range []struct {
		name     string
		copied   uint64
		revision uint64
		kind     SourceKind
		want     bool
	}{
		{"own revision at a peer", 7, 7, PeerSource, true},
		{"higher revision at a peer", 7, 8, PeerSource, true},
		{"no local copy", 0, 7, PeerSource, true},
		{"lower revision at a peer", 7, 6, PeerSource, false},
		{"own revision at a control replica", 7, 7, ControlSource, false},
	} {
		control, peer := Source{Kind: ControlSource, Address: "control"}, Source{Kind: tt.kind, Address: "other"}
		fo := NewFollower([]string{control.Address}, time.Minute, rand.New(rand.NewPCG(1, 1)))
		now := time.Unix(1000, 0)
		if tt.copied > 0 {
			fo.Step(now, Loaded{Revision: tt.copied, Configuration: &schema.Configuration{}})
		}
		rounds := 0
		tick := func() {
			for _, ac := range slices.Clone(fo.Step(now, Tick{})) {
				if fe, ok := ac.(Fetch); ok {
					if fe.Source == control {
						rounds++
					}
					fo.Step(now, FetchFailed{Source: fe.Source})
				}
			}
		}
		tick()
		if rounds != 1 {
			t.Fatalf("%s: %d rounds at the start", tt.name, rounds)
		}
		const hinted = 2 * startRetryInterval
		for range hinted / tickInterval {
			now = now.Add(tickInterval)
			fo.Step(now, Hinted{Revision: tt.revision, Source: peer})
			tick()
		}
		if got := rounds > 1; got != tt.want {
			t.Errorf("%s: %d rounds in %v, want more than 1: %t", tt.name, rounds, hinted, tt.want)
		}
		if most := 1 + int(hinted/startRetryInterval); rounds > most {
			t.Errorf("%s: %d rounds in %v, want at most %d", tt.name, rounds, hinted, most)
		}
	}
}

// runningFollower returns a follower with revision 1 in force, and the time of its last step.
func runningFollower() (*Follower, time.Time) {
	fo := NewFollower([]string{controlName}, time.Minute, rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1000, 0)
	fo.Step(now, Loaded{Revision: 1, Configuration: &schema.Configuration{}})
	fo.Step(now, Fetched{Source: Source{Kind: ControlSource, Address: controlName}, Revision: 1})
	fo.Step(now, Adopted{Revision: 1})
	return fo, now
}

// fetchedFrom lets time pass until the follower fetches from a source, for fetchTimeout at most, and
// returns how long that took. Other fetches have no answer.
func fetchedFrom(fo *Follower, now time.Time, so Source) (time.Duration, bool) {
	for passed := time.Duration(0); passed < fetchTimeout; passed += tickInterval {
		for _, ac := range fo.Step(now.Add(passed), Tick{}) {
			if fe, ok := ac.(Fetch); ok && fe.Source == so {
				return passed, true
			}
		}
	}
	return 0, false
}

// TestHintDuringFetchIsKept guards against a node that forgets that a source has a newer revision when
// the answer to an earlier fetch from it arrives, as in a series of changes, and asks some other
// process up to a second later.
func TestHintDuringFetchIsKept(t *testing.T) {
	fo, now := runningFollower()
	so := Source{Kind: PeerSource, Address: "peer"}
	fo.Step(now, Hinted{Revision: 2, Source: so})
	if _, ok := fetchedFrom(fo, now, so); !ok {
		t.Fatal("no fetch after a hint")
	}
	fo.Step(now, Hinted{Revision: 3, Source: so})
	fo.Step(now, Fetched{Source: so, Revision: 2, Configuration: &schema.Configuration{}})
	fo.Step(now, Adopted{Revision: 2})
	if took, ok := fetchedFrom(fo, now, so); !ok || took > 100*time.Millisecond {
		t.Errorf("fetch of the revision that was hinted meanwhile: %t, after %v", ok, took)
	}
}

// TestSilentSourcesDoNotDelayRevision guards against a node that gets a configuration late as the first
// processes that said that they have it are frozen or cut off. A change has to apply within 2 s.
func TestSilentSourcesDoNotDelayRevision(t *testing.T) {
	for silent, limit := range map[int]time.Duration{2: time.Second, 3: 1500 * time.Millisecond} {
		for seed := range uint64(100) {
			fo, now := runningFollower()
			fo.rng = rand.New(rand.NewPCG(seed, 0))
			so := Source{Kind: PeerSource, Address: "sound"}
			fo.Step(now, Hinted{Revision: 2, Source: so})
			for i := range silent {
				fo.Step(now, Hinted{Revision: 2, Source: Source{Kind: PeerSource, Address: fmt.Sprint("silent-", i)}})
			}
			if took, ok := fetchedFrom(fo, now, so); !ok || took > limit+hintJitter+time.Duration(silent)*tickInterval {
				t.Errorf("%d silent sources, seed %d: fetch from the one that answers: %t, after %v", silent, seed, ok, took)
			}
		}
	}
}
