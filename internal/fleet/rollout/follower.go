package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphortrail/schema"
)

const (
	// startupTimeout is how long a starting node looks for a configuration newer than the
	// best one it has, if no control replica answers.
	startupTimeout = 3 * time.Second
	// peerTimeout is how long a starting node waits for a control replica before it takes the
	// word of confirmingPeers peers that have its best configuration in force. Control replicas
	// that can be reached answer well within it.
	peerTimeout     = 500 * time.Millisecond
	confirmingPeers = 2
	// hintLifetime is how long the node acts on a hint that no further hint repeats.
	hintLifetime = 10 * time.Second
	// retryInterval is the minimum time between two rounds of fetches. A random part up
	// to the same length is added.
	retryInterval = 500 * time.Millisecond
	// startRetryInterval is the minimum time between two rounds of fetches of a starting node if a
	// peer reports that it has a configuration in force. Then a control replica probably answers,
	// which may have had no leader in the round before.
	startRetryInterval = 100 * time.Millisecond
	// hintJitter is the maximum random delay of the first fetch after a hint. It spreads
	// the fetches of all nodes that receive the hint at the same time.
	hintJitter = 50 * time.Millisecond
	// hedgeInterval is the minimum time after which a node asks another source that has hinted at a
	// revision, if the one before has not answered.
	hedgeInterval = 250 * time.Millisecond

	// maxControlsAtStart is the number of control replicas that a starting node asks at
	// once. It covers the usual three or four replicas, because only the leader answers,
	// and because there is no other source after all processes have stopped.
	maxControlsAtStart = 4
	// maxPeersAtStart is the number of peers that a starting node asks at once.
	maxPeersAtStart = 3
	// maxFetches is the number of sources that a node asks at once after its start.
	maxFetches = 4
	// maxHints is the number of sources whose last hint is retained.
	maxHints = 8
)

// SourceKind says whether a source is a control replica or a peer.
type SourceKind uint8

// The kinds of sources.
const (
	ControlSource SourceKind = iota + 1
	PeerSource
)

// Source is a process that configurations can be fetched from.
type Source struct {
	Kind    SourceKind
	Address string
}

// Event is an input of a Follower: Loaded, Hinted, Fetched, FetchFailed, Adopted,
// Rejected or Tick.
type Event interface{ event() }

// Loaded passes the local copy from before the start, which may be out of date.
type Loaded struct {
	Revision      uint64
	Configuration *schema.Configuration
}

// Hinted says that a source has a revision in force.
type Hinted struct {
	Revision uint64
	Source   Source
}

// Fetched is the answer of a source. Configuration is nil if Revision is not higher than
// Fetch.Have.
type Fetched struct {
	Source        Source
	Revision      uint64
	Configuration *schema.Configuration
}

// FetchFailed says that a source did not answer, or that its answer cannot be used.
type FetchFailed struct{ Source Source }

// Adopted says that the configuration of an Adopt is in force.
type Adopted struct{ Revision uint64 }

// Rejected says that the configuration of an Adopt was refused.
type Rejected struct{ Revision uint64 }

// Tick reports that time has passed. Peers are the addresses of some present peers, those
// in the failure domain of this node first. Controls are those of the present control replicas;
// while it is empty, the follower uses the last ones it received.
type Tick struct{ Peers, Controls []string }

func (Loaded) event()      {}
func (Hinted) event()      {}
func (Fetched) event()     {}
func (FetchFailed) event() {}
func (Adopted) event()     {}
func (Rejected) event()    {}
func (Tick) event()        {}

// Action is an output of a Follower: Fetch or Adopt.
type Action interface{ action() }

// Fetch asks a source for a revision higher than Have.
type Fetch struct {
	Source Source
	Have   uint64
}

// Adopt puts a configuration into force. The caller must pass Adopted or Rejected to the
// next Step.
type Adopt struct {
	Revision      uint64
	Configuration *schema.Configuration
}

func (Fetch) action() {}
func (Adopt) action() {}

// pendingFetch is a fetch in progress. hinted is the revision that its source had hinted at when it
// began, or 0.
type pendingFetch struct {
	source Source
	hinted uint64
}

// Follower decides from which source a node fetches the configuration, and when it puts
// one into force. The revision in force never decreases. A starting node waits for the
// highest revision among control replicas and peers. It uses its local copy only if a
// control replica confirms that there is no higher revision, if no control replica answers and
// peers have the same revision in force, or if startupTimeout has passed without an answer or
// hint that has a higher one.
type Follower struct {
	controls      []string
	checkInterval time.Duration
	rng           *rand.Rand
	now           time.Time
	actions       []Action

	// started is the time of the first event. starting is set until the node may put a
	// configuration into force. confirmed is set once a control replica has had no higher
	// revision than the node.
	started   time.Time
	starting  bool
	confirmed bool
	// agreeing holds the peers that have the best revision in force. peersAsked is set once
	// any peer was asked.
	agreeing   []Source
	peersAsked bool

	// inForce and rejected are the highest revisions of an Adopted and a Rejected.
	inForce  uint64
	rejected uint64
	// best is the highest revision whose content the node has.
	best Adopt
	// hintedRevision is the highest revision of a hint, and lastHint the time of the last
	// hint with a revision that the node does not have.
	hintedRevision uint64
	lastHint       time.Time
	hints          []Hinted

	// fetching lists the fetches in progress. nextRound is the
	// earliest time of the next fetches during the start or after a hint, lastRound the time of the
	// last ones during the start, and nextCheck that of the next fetch without a hint.
	fetching  []pendingFetch
	nextRound time.Time
	lastRound time.Time
	nextCheck time.Time
	// turn counts the calls of nextSource, which alternates between the kinds of sources.
	turn int
}

// NewFollower returns a Follower without a configuration in force. It makes one fetch per
// check interval, on average, even without a hint.
func NewFollower(controls []string, check time.Duration, rng *rand.Rand) *Follower {
	return &Follower{controls: controls, checkInterval: check, rng: rng, starting: true}
}

// Step handles an event and returns the actions to carry out. The slice is valid until
// the next Step.
func (fo *Follower) Step(now time.Time, ev Event) []Action {
	fo.now = now
	clear(fo.actions)
	fo.actions = fo.actions[:0]
	if fo.started.IsZero() {
		fo.started = now
		fo.nextCheck = now.Add(fo.jitter(fo.checkInterval))
	}
	switch ev := ev.(type) {
	case Loaded:
		fo.recordConfiguration(ev.Revision, ev.Configuration)
	case Hinted:
		fo.handleHint(ev)
	case Fetched:
		fo.handleFetched(ev)
	case FetchFailed:
		fo.endFetch(ev.Source)
		fo.dropHint(ev.Source)
		fo.hurry()
	case Adopted:
		fo.inForce = max(fo.inForce, ev.Revision)
	case Rejected:
		fo.rejected = max(fo.rejected, ev.Revision)
	case Tick:
		if len(ev.Controls) > 0 {
			fo.controls = ev.Controls
		}
		fo.handleTick(ev.Peers)
	}
	fo.adoptBest()
	return fo.actions
}

// InForce returns the revision in force, or 0 if there is none.
func (fo *Follower) InForce() uint64 { return fo.inForce }

// jitter returns a random duration from 0 to d.
func (fo *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(fo.rng.Int64N(int64(d) + 1))
}

// recordConfiguration stores a configuration as the best one if it has the highest
// revision so far and was not rejected.
func (fo *Follower) recordConfiguration(revision uint64, cfg *schema.Configuration) {
	if cfg != nil && revision > fo.best.Revision && revision > fo.rejected {
		fo.best = Adopt{Revision: revision, Configuration: cfg}
		fo.agreeing = nil
	}
}

// haveRevision returns the highest revision that need not be fetched any more, because
// the node has it or has rejected it.
func (fo *Follower) haveRevision() uint64 { return max(fo.best.Revision, fo.rejected) }

// isBehind reports whether a hint has named a higher revision than the node has.
func (fo *Follower) isBehind() bool { return fo.hintedRevision > fo.haveRevision() }

// handleHint records a hint of a higher revision. It retains the last hint of each
// source, and maxHints in all. While the node starts, a peer that has the best revision or a higher
// one in force brings the next round forward.
func (fo *Follower) handleHint(hi Hinted) {
	if fo.starting && hi.Source.Kind == PeerSource && hi.Revision >= fo.haveRevision() {
		if at := fo.lastRound.Add(startRetryInterval + fo.jitter(hintJitter)); at.Before(fo.nextRound) {
			fo.nextRound = at
		}
	}
	if hi.Revision <= fo.haveRevision() {
		return
	}
	if !fo.isBehind() {
		fo.nextRound = fo.now.Add(fo.jitter(hintJitter))
	}
	fo.hintedRevision = max(fo.hintedRevision, hi.Revision)
	fo.lastHint = fo.now
	fo.hints = slices.DeleteFunc(fo.hints, func(old Hinted) bool { return old.Source == hi.Source })
	fo.hints = append(fo.hints, hi)
	if len(fo.hints) > maxHints {
		fo.hints = slices.Delete(fo.hints, 0, 1)
	}
}

// handleFetched records the answer of a source. A control replica without a higher
// revision confirms the best configuration.
func (fo *Follower) handleFetched(fe Fetched) {
	hinted := fo.endFetch(fe.Source)
	fo.recordConfiguration(fe.Revision, fe.Configuration)
	if fe.Source.Kind == ControlSource && fe.Revision <= fo.haveRevision() {
		fo.confirmed = true
	}
	if fe.Source.Kind == PeerSource && fe.Revision == fo.best.Revision && fe.Revision > 0 && !slices.Contains(fo.agreeing, fe.Source) {
		fo.agreeing = append(fo.agreeing, fe.Source)
	}
	if fe.Revision < fo.hintedRevision {
		if fo.hintOf(fe.Source) <= max(hinted, fe.Revision) {
			fo.dropHint(fe.Source)
		}
		fo.hurry()
	}
}

// endFetch records that no fetch from a source is in progress any more. It returns the revision that
// the source had hinted at before the fetch.
func (fo *Follower) endFetch(so Source) (hinted uint64) {
	fo.fetching = slices.DeleteFunc(fo.fetching, func(pf pendingFetch) bool {
		if pf.source == so {
			hinted = pf.hinted
		}
		return pf.source == so
	})
	return hinted
}

// isFetching reports whether a fetch from a source is in progress.
func (fo *Follower) isFetching(so Source) bool {
	return slices.ContainsFunc(fo.fetching, func(pf pendingFetch) bool { return pf.source == so })
}

// hintOf returns the revision that a source has hinted at last, or 0.
func (fo *Follower) hintOf(so Source) uint64 {
	at := slices.IndexFunc(fo.hints, func(hi Hinted) bool { return hi.Source == so })
	if at < 0 {
		return 0
	}
	return fo.hints[at].Revision
}

// dropHint drops the hint of a source that did not deliver the revision of its hint.
func (fo *Follower) dropHint(so Source) {
	fo.hints = slices.DeleteFunc(fo.hints, func(hi Hinted) bool { return hi.Source == so })
}

// hurry makes the next tick fetch if a source has hinted at a higher revision.
func (fo *Follower) hurry() {
	if fo.isBehind() && len(fo.hints) > 0 {
		fo.nextRound = fo.now
	}
}

// fetch starts a fetch from a source, unless one from it or limit fetches in all are in
// progress.
func (fo *Follower) fetch(so Source, limit int) {
	if so.Address == "" || len(fo.fetching) >= limit || fo.isFetching(so) {
		return
	}
	fo.fetching = append(fo.fetching, pendingFetch{so, fo.hintOf(so)})
	fo.actions = append(fo.actions, Fetch{Source: so, Have: fo.haveRevision()})
}

// handleTick drops expired hints and starts the fetches that are due.
func (fo *Follower) handleTick(peers []string) {
	if fo.isBehind() && fo.now.Sub(fo.lastHint) > hintLifetime {
		fo.hintedRevision = 0
		fo.hints = nil
	}
	due := !fo.now.Before(fo.nextRound) || fo.starting && !fo.peersAsked && len(peers) > 0
	switch {
	case fo.starting && fo.startupTimedOut():
	case fo.starting && due:
		fo.fetchAtStart(peers)
	case fo.isBehind() && due:
		fo.fetchHigher(peers)
	case !fo.starting && !fo.now.Before(fo.nextCheck):
		fo.nextCheck = fo.now.Add(fo.checkInterval/2 + fo.jitter(fo.checkInterval))
		fo.fetch(fo.nextSource(peers), maxFetches)
	}
}

// Starting reports whether the node has not put a configuration into force yet.
func (fo *Follower) Starting() bool { return fo.starting }

// fetchAtStart fetches from the source of the last hint, from some control replicas and from the
// first peers, which are those of the own failure domain.
func (fo *Follower) fetchAtStart(peers []string) {
	fo.lastRound, fo.nextRound = fo.now, fo.now.Add(retryInterval+fo.jitter(retryInterval))
	limit := maxControlsAtStart + maxPeersAtStart
	fo.fetchFromHint(limit)
	for _, idx := range fo.sample(len(fo.controls), maxControlsAtStart) {
		fo.fetch(Source{Kind: ControlSource, Address: fo.controls[idx]}, limit)
	}
	for _, address := range peers[:min(len(peers), maxPeersAtStart)] {
		fo.peersAsked = true
		fo.fetch(Source{Kind: PeerSource, Address: address}, limit)
	}
}

// fetchHigher fetches from the source of the last hint, or from any source if no hint is
// left.
func (fo *Follower) fetchHigher(peers []string) {
	interval := retryInterval
	if fo.fetchFromHint(maxFetches) {
		interval = hedgeInterval
	} else {
		fo.fetch(fo.nextSource(peers), maxFetches)
	}
	fo.nextRound = fo.now.Add(interval + fo.jitter(interval))
}

// fetchFromHint fetches from the source of the last hint from which no fetch is in progress.
// It reports whether there is one.
func (fo *Follower) fetchFromHint(limit int) bool {
	for _, hi := range slices.Backward(fo.hints) {
		if !fo.isFetching(hi.Source) {
			fo.fetch(hi.Source, limit)
			return true
		}
	}
	return false
}

// nextSource returns a random control replica and a random peer alternately, or always the
// one kind if there is none of the other. The source is empty if there is neither.
func (fo *Follower) nextSource(peers []string) Source {
	fo.turn++
	if len(peers) > 0 && (len(fo.controls) == 0 || fo.turn%2 == 0) {
		return Source{Kind: PeerSource, Address: peers[fo.rng.IntN(len(peers))]}
	}
	if len(fo.controls) > 0 {
		return Source{Kind: ControlSource, Address: fo.controls[fo.rng.IntN(len(fo.controls))]}
	}
	return Source{}
}

// sample returns up to limit different random indices below n.
func (fo *Follower) sample(n, limit int) []int {
	indices := fo.rng.Perm(n)
	return indices[:min(n, limit)]
}

// adoptBest adopts the best configuration once the startup is over and if it is higher
// than the one in force.
func (fo *Follower) adoptBest() {
	if fo.starting {
		fo.starting = !fo.startupDone()
	}
	if fo.starting || fo.best.Configuration == nil || fo.best.Revision <= max(fo.inForce, fo.rejected) {
		return
	}
	fo.actions = append(fo.actions, fo.best)
}

// startupDone reports whether the node may put the best configuration into force: no hint
// has named a higher revision, and either a control replica has confirmed it, or peers have after
// peerTimeout, or the startup has timed out and no fetch is in progress.
func (fo *Follower) startupDone() bool {
	if fo.isBehind() {
		return false
	}
	if fo.confirmed || len(fo.agreeing) >= confirmingPeers && fo.now.Sub(fo.started) >= peerTimeout {
		return true
	}
	return fo.startupTimedOut() && len(fo.fetching) == 0
}

// startupTimedOut reports whether startupTimeout has passed and the node has a
// configuration to use. It is false while a hint names a higher revision.
func (fo *Follower) startupTimedOut() bool {
	return fo.now.Sub(fo.started) >= startupTimeout && fo.best.Configuration != nil && !fo.isBehind()
}
