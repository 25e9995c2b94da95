package rollout

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphortrail/schema"
)

const (
	// startTime is how long a starting node looks for a newer configuration
	// than the best that it knows, when no control replica answers.
	startTime = 3 * time.Second
	// hintTime is how long a hint counts that nobody confirms.
	hintTime = 10 * time.Second
	// retryInterval is the time between rounds of fetches while a
	// configuration is wanted.
	retryInterval = 500 * time.Millisecond
	// hintJitter spreads the fetches after a hint.
	hintJitter = 50 * time.Millisecond

	// controlsAtStart is the number of control replicas that a starting node asks
	// at a time: all of the usual three or four, as only the leader answers, and
	// there is no other source after all processes have stopped.
	controlsAtStart = 4
	peersAtStart    = 3
	maxFetches      = 2
	maxHints        = 8
)

// SourceKind says what a configuration is fetched from.
type SourceKind uint8

// The kinds of source.
const (
	ControlSource SourceKind = iota + 1
	PeerSource
)

// Source is a process to fetch from.
type Source struct {
	Kind    SourceKind
	Address string
}

// Event is something that a Follower reacts to: Loaded, Hinted, Fetched,
// Failed, Adopted, Rejected or Tick.
type Event interface{ event() }

// Loaded is the local copy from before the start. It may be out of date.
type Loaded struct {
	Revision      uint64
	Configuration *schema.Configuration
}

// Hinted says that a source has a revision in force.
type Hinted struct {
	Revision uint64
	Source   Source
}

// Fetched is the answer of a source. Configuration is nil if the revision is
// not higher than the one of the request.
type Fetched struct {
	Source        Source
	Revision      uint64
	Configuration *schema.Configuration
}

// FetchFailed says that a source did not answer, or not with something usable.
type FetchFailed struct{ Source Source }

// Adopted says that the configuration of an Adopt is in force.
type Adopted struct{ Revision uint64 }

// Rejected says that the configuration of an Adopt cannot be put in force.
type Rejected struct{ Revision uint64 }

// Tick is the passing of time, with the addresses of some present peers, own
// failure domain first, and of the control replicas that are present. Those
// that the follower began with count until some are.
type Tick struct{ Peers, Controls []string }

func (Loaded) event()   {}
func (Hinted) event()   {}
func (Fetched) event()  {}
func (FetchFailed) event()   {}
func (Adopted) event()  {}
func (Rejected) event() {}
func (Tick) event()     {}

// Action is something that a Follower wants done: Fetch or Adopt.
type Action interface{ action() }

// Fetch asks a source for a revision higher than Have.
type Fetch struct {
	Source Source
	Have   uint64
}

// Adopt puts a configuration in force. Adopted or Rejected is to follow at
// once.
type Adopt struct {
	Revision      uint64
	Configuration *schema.Configuration
}

func (Fetch) action() {}
func (Adopt) action() {}

// Follower decides from whom a node fetches the configuration, and when it
// puts one in force. The revision in force never goes back.
//
// A starting node takes the highest revision of control and peers. Its local
// copy is in force only if a control replica confirms it, or if nobody has
// answered with a higher one, or hinted at it, within the time of a start.
type Follower struct {
	controls []string
	check    time.Duration
	rng      *rand.Rand
	now      time.Time
	actions  []Action

	started  time.Time
	starting bool
	proved   bool

	inForce  uint64
	rejected uint64
	// best is the highest revision known with its content.
	best Adopt
	// wanted is the highest revision hinted at, and hinted when that was last
	// said.
	wanted uint64
	hinted time.Time
	hints  []Hinted

	fetching  []Source
	nextRound time.Time
	nextCheck time.Time
	turn      int
}

// NewFollower returns a Follower with nothing in force. It fetches unprompted
// once in each check interval.
func NewFollower(controls []string, check time.Duration, rng *rand.Rand) *Follower {
	return &Follower{controls: controls, check: check, rng: rng, starting: true}
}

// Step handles an event and returns what is to be done. The actions are valid
// until the next Step.
func (fo *Follower) Step(now time.Time, ev Event) []Action {
	fo.now = now
	clear(fo.actions)
	fo.actions = fo.actions[:0]
	if fo.started.IsZero() {
		fo.started = now
		fo.nextCheck = now.Add(fo.jitter(fo.check))
	}
	switch ev := ev.(type) {
	case Loaded:
		fo.learn(ev.Revision, ev.Configuration)
	case Hinted:
		fo.hint(ev)
	case Fetched:
		fo.fetched(ev)
	case FetchFailed:
		fo.done(ev.Source)
		fo.forget(ev.Source)
	case Adopted:
		fo.inForce = max(fo.inForce, ev.Revision)
	case Rejected:
		fo.rejected = max(fo.rejected, ev.Revision)
	case Tick:
		if len(ev.Controls) > 0 {
			fo.controls = ev.Controls
		}
		fo.tick(ev.Peers)
	}
	fo.decide()
	return fo.actions
}

// InForce returns the revision in force, or 0.
func (fo *Follower) InForce() uint64 { return fo.inForce }

func (fo *Follower) jitter(d time.Duration) time.Duration {
	return time.Duration(fo.rng.Int64N(int64(d) + 1))
}

// learn keeps a configuration if it is the highest known.
func (fo *Follower) learn(revision uint64, cfg *schema.Configuration) {
	if cfg != nil && revision > fo.best.Revision && revision > fo.rejected {
		fo.best = Adopt{Revision: revision, Configuration: cfg}
	}
}

// have is the highest revision that need not be fetched.
func (fo *Follower) have() uint64 { return max(fo.best.Revision, fo.rejected) }

// lacks reports whether a higher revision than the best is known to exist.
func (fo *Follower) lacks() bool { return fo.wanted > fo.have() }

func (fo *Follower) hint(hi Hinted) {
	if hi.Revision <= fo.have() {
		return
	}
	if !fo.lacks() {
		fo.nextRound = fo.now.Add(fo.jitter(hintJitter))
	}
	fo.wanted = max(fo.wanted, hi.Revision)
	fo.hinted = fo.now
	fo.hints = slices.DeleteFunc(fo.hints, func(old Hinted) bool { return old.Source == hi.Source })
	fo.hints = append(fo.hints, hi)
	if len(fo.hints) > maxHints {
		fo.hints = slices.Delete(fo.hints, 0, 1)
	}
}

func (fo *Follower) fetched(fe Fetched) {
	fo.done(fe.Source)
	fo.learn(fe.Revision, fe.Configuration)
	if fe.Source.Kind == ControlSource && fe.Revision <= fo.have() {
		fo.proved = true
	}
	if fe.Revision < fo.wanted {
		fo.forget(fe.Source)
	}
}

func (fo *Follower) done(so Source) {
	fo.fetching = slices.DeleteFunc(fo.fetching, func(other Source) bool { return other == so })
}

// forget drops the hint of a source that does not live up to it. Another one
// is asked at once.
func (fo *Follower) forget(so Source) {
	fo.hints = slices.DeleteFunc(fo.hints, func(hi Hinted) bool { return hi.Source == so })
	if fo.lacks() && len(fo.hints) > 0 {
		fo.nextRound = fo.now
	}
}

func (fo *Follower) fetch(so Source, limit int) {
	if so.Address == "" || len(fo.fetching) >= limit || slices.Contains(fo.fetching, so) {
		return
	}
	fo.fetching = append(fo.fetching, so)
	fo.actions = append(fo.actions, Fetch{Source: so, Have: fo.have()})
}

func (fo *Follower) tick(peers []string) {
	if fo.lacks() && fo.now.Sub(fo.hinted) > hintTime {
		fo.wanted = 0
		fo.hints = nil
	}
	due := !fo.now.Before(fo.nextRound)
	switch {
	case fo.starting && fo.waited():
	case fo.starting && due:
		fo.startRound(peers)
	case fo.lacks() && due:
		fo.followRound(peers)
	case !fo.starting && !fo.now.Before(fo.nextCheck):
		fo.nextCheck = fo.now.Add(fo.check/2 + fo.jitter(fo.check))
		fo.fetch(fo.anySource(peers), maxFetches)
	}
}

// startRound asks a few control replicas and peers.
func (fo *Follower) startRound(peers []string) {
	fo.nextRound = fo.now.Add(retryInterval + fo.jitter(retryInterval))
	limit := controlsAtStart + peersAtStart
	fo.fetchHinted(limit)
	for _, place := range fo.some(len(fo.controls), controlsAtStart) {
		fo.fetch(Source{Kind: ControlSource, Address: fo.controls[place]}, limit)
	}
	for _, place := range fo.some(len(peers), peersAtStart) {
		fo.fetch(Source{Kind: PeerSource, Address: peers[place]}, limit)
	}
}

// followRound asks the peer that hinted last, or any source when no hint is
// left.
func (fo *Follower) followRound(peers []string) {
	fo.nextRound = fo.now.Add(retryInterval + fo.jitter(retryInterval))
	if !fo.fetchHinted(maxFetches) {
		fo.fetch(fo.anySource(peers), maxFetches)
	}
}

// fetchHinted asks the peer that hinted last and is not being asked.
func (fo *Follower) fetchHinted(limit int) bool {
	for _, hi := range slices.Backward(fo.hints) {
		if !slices.Contains(fo.fetching, hi.Source) {
			fo.fetch(hi.Source, limit)
			return true
		}
	}
	return false
}

// anySource returns control replicas and peers in turns.
func (fo *Follower) anySource(peers []string) Source {
	fo.turn++
	if len(peers) > 0 && (len(fo.controls) == 0 || fo.turn%2 == 0) {
		return Source{Kind: PeerSource, Address: peers[fo.rng.IntN(len(peers))]}
	}
	if len(fo.controls) > 0 {
		return Source{Kind: ControlSource, Address: fo.controls[fo.rng.IntN(len(fo.controls))]}
	}
	return Source{}
}

func (fo *Follower) some(n, limit int) []int {
	places := fo.rng.Perm(n)
	return places[:min(n, limit)]
}

// decide adopts the best configuration when the node may serve from it.
func (fo *Follower) decide() {
	if fo.starting {
		fo.starting = !fo.startEnds()
	}
	if fo.starting || fo.best.Configuration == nil || fo.best.Revision <= max(fo.inForce, fo.rejected) {
		return
	}
	fo.actions = append(fo.actions, fo.best)
}

// startEnds reports whether the best configuration known is good enough to
// begin with.
func (fo *Follower) startEnds() bool {
	if fo.lacks() {
		return false
	}
	if fo.proved {
		return true
	}
	return fo.waited() && len(fo.fetching) == 0
}

// waited reports whether the time of a start is over, and the best
// configuration known will do if the pending fetches bring no better.
func (fo *Follower) waited() bool {
	return fo.now.Sub(fo.started) >= startTime && fo.best.Configuration != nil && !fo.lacks()
}
