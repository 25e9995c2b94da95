// Package rollout fetches new configurations from control replicas and other nodes, and
// puts them into force on a node.
package rollout

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/queue"
	"camphortrail/schema"
)

const (
	// DefaultCheckInterval is the default time between two fetches that no hint has
	// caused.
	DefaultCheckInterval = 10 * time.Second

	// tickInterval is the time between two ticks of the follower, peersInterval the time
	// between two reads of the present peers and control replicas, and startPeersInterval the
	// same until a configuration is in force. fetchTimeout bounds one fetch, and
	// resultCapacity the results of fetches that wait for Run.
	tickInterval       = 25 * time.Millisecond
	peersInterval      = time.Second
	startPeersInterval = 200 * time.Millisecond
	fetchTimeout       = 2 * time.Second
	resultCapacity     = 16
	// hintCapacity is the number of hints of Hint that wait for Run. Each is repeated.
	hintCapacity = 4
)

// ErrOtherDeployment is returned for a configuration of another deployment.
var ErrOtherDeployment = errors.New("rollout: configuration of another deployment")

// ErrRevisionOutOfRange is returned for a revision above membership.MaxRevision. If it
// were accepted, every later valid revision would be lower and be ignored.
var ErrRevisionOutOfRange = errors.New("rollout: revision out of range")

// Fetcher is the method of the clients of peers and control replicas that Rollout calls.
type Fetcher interface {
	Fetch(context.Context, *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error)
}

// Settings describe the sources of configurations and their use.
type Settings struct {
	// Deployment is the name of this node's deployment. Configurations of others are
	// refused.
	Deployment call.Deployment
	// DataFolder is the folder of the local copy. If it is empty, there is no copy.
	DataFolder string
	// Controls are the addresses of the control replicas that the node starts with.
	Controls []string
	// ControlClient and PeerClient return a client for an address.
	ControlClient func(address string) Fetcher
	PeerClient    func(address string) Fetcher
	// Hints delivers hints that another process has a higher revision in force.
	Hints <-chan membership.RevisionHint
	// PresentPeers returns the addresses of some present nodes, those in the failure
	// domain of this node first.
	PresentPeers func() []string
	// PresentControls returns the addresses of the control replicas that are present.
	// They may differ from Controls. It may be nil.
	PresentControls func() []string
	// OnChange is called with each revision to put into force, in ascending order and by
	// one goroutine. If it returns an error, the configuration is refused, and the one
	// before stays in force.
	OnChange func(revision uint64, cfg *schema.Configuration) error
	// CheckInterval is the time between two fetches that no hint has caused. Zero stands
	// for DefaultCheckInterval.
	CheckInterval time.Duration
	// Log and Metrics are optional.
	Log     log.Interface
	Metrics *metrics.Set
}

// activeConfiguration is a configuration and the time at which it came into force.
type activeConfiguration struct {
	revision uint64
	cfg      *schema.Configuration
	since    time.Time
}

// Rollout keeps the configuration of one node current. Its methods are safe for
// concurrent use.
type Rollout struct {
	set      Settings
	follower *Follower
	copy     *localCopy
	current  atomic.Pointer[activeConfiguration]
	ready    chan struct{}
	results  *queue.Queue[Event]
	// hints holds the calls of Hint.
	hints *queue.Queue[membership.RevisionHint]
	// presentControls is used only by the goroutine of Run.
	presentControls []string
	fetches         sync.WaitGroup

	refused       *metrics.Counter
	failedFetches *metrics.Counter
	copyErrors    *metrics.Counter
}

// New returns a Rollout without a configuration in force. It returns an error if the data
// folder cannot be opened.
func New(set Settings) (*Rollout, error) {
	if set.CheckInterval == 0 {
		set.CheckInterval = DefaultCheckInterval
	}
	if set.Log == nil {
		set.Log = log.Log
	}
	if set.Metrics == nil {
		set.Metrics = metrics.NewSet()
	}
	ro := &Rollout{
		set:           set,
		follower:      NewFollower(set.Controls, set.CheckInterval, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ready:         make(chan struct{}),
		results:       queue.New[Event](resultCapacity),
		hints:         queue.New[membership.RevisionHint](hintCapacity),
		refused:       set.Metrics.NewCounter("camphortrail_configurations_refused_total"),
		failedFetches: set.Metrics.NewCounter("camphortrail_configuration_fetches_failed_total"),
		copyErrors:    set.Metrics.NewCounter("camphortrail_configuration_copy_errors_total"),
	}
	if set.DataFolder == "" {
		return ro, nil
	}
	var err error
	ro.copy, err = openCopy(set.DataFolder)
	return ro, err
}

// Run keeps the configuration current until ctx ends. It must be called only once.
func (ro *Rollout) Run(ctx context.Context) error {
	defer ro.close()
	ro.loadCopy(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var peers []string
	var peersUpdated time.Time
	if ro.set.PresentControls == nil {
		ro.set.PresentControls = func() []string { return nil }
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if now := time.Now(); now.Sub(peersUpdated) >= ro.peersInterval() {
				peersUpdated = now
				peers, ro.presentControls = ro.set.PresentPeers(), ro.set.PresentControls()
			}
			ro.step(ctx, Tick{Peers: peers, Controls: ro.presentControls})
		case hi := <-ro.set.Hints:
			ro.handleHint(ctx, hi)
		case hi := <-ro.hints.Out():
			ro.handleHint(ctx, hi)
		case ev := <-ro.results.Out():
			ro.step(ctx, ev)
		}
	}
}

// handleHint passes a hint to the follower.
func (ro *Rollout) handleHint(ctx context.Context, hi membership.RevisionHint) {
	ro.presentControls = ro.set.PresentControls()
	ro.step(ctx, Hinted{Revision: hi.Revision, Source: ro.sourceOf(hi.Address.String())})
}

// Hint reports that the process at an address probably has a revision in force. Hints that exceed
// the capacity of the queue are dropped.
func (ro *Rollout) Hint(revision uint64, address netip.AddrPort) {
	ro.hints.Offer(membership.RevisionHint{Revision: revision, Address: address})
}

// peersInterval returns the time between two reads of the present peers.
func (ro *Rollout) peersInterval() time.Duration {
	if ro.follower.Starting() {
		return startPeersInterval
	}
	return peersInterval
}

// close waits for the fetches in progress and closes the data folder.
func (ro *Rollout) close() {
	ro.fetches.Wait()
	if ro.copy != nil {
		_ = ro.copy.close()
	}
}

// sourceOf returns the source at an address, which is a control replica if it is listed
// in the settings or known to the membership as one, and otherwise a peer.
func (ro *Rollout) sourceOf(address string) Source {
	if slices.Contains(ro.set.Controls, address) || slices.Contains(ro.presentControls, address) {
		return Source{Kind: ControlSource, Address: address}
	}
	return Source{Kind: PeerSource, Address: address}
}

// loadCopy passes the local copy to the follower. A copy that cannot be read, is damaged
// or belongs to another deployment is ignored.
func (ro *Rollout) loadCopy(ctx context.Context) {
	if ro.copy == nil {
		return
	}
	revision, cfg, err := ro.copy.read()
	if err == nil && cfg != nil {
		err = ro.validate(revision, cfg)
	}
	if err != nil {
		ro.copyErrors.Inc()
		ro.set.Log.WithError(err).Warn("local copy of the configuration is not used")
		return
	}
	if cfg != nil {
		ro.step(ctx, Loaded{Revision: revision, Configuration: cfg})
	}
}

// validate checks the revision and the deployment of a configuration. cfg may be nil.
func (ro *Rollout) validate(revision uint64, cfg *schema.Configuration) error {
	switch {
	case revision > membership.MaxRevision:
		return errors.Wrapf(ErrRevisionOutOfRange, "revision %d", revision)
	case cfg != nil && cfg.GetDeployment() != string(ro.set.Deployment):
		return errors.Wrapf(ErrOtherDeployment, "deployment %.*q", membership.MaxNameBytes, cfg.GetDeployment())
	}
	return nil
}

// step passes an event to the follower and carries out the actions that it returns.
func (ro *Rollout) step(ctx context.Context, ev Event) {
	for _, ac := range slices.Clone(ro.follower.Step(time.Now(), ev)) {
		switch ac := ac.(type) {
		case Fetch:
			ro.fetches.Go(func() { ro.fetch(ctx, ac) })
		case Adopt:
			ro.step(ctx, ro.adopt(ac))
		}
	}
}

// fetch fetches from a source and queues the result for the follower.
func (ro *Rollout) fetch(ctx context.Context, ac Fetch) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	ev, err := ro.requestFrom(fetchCtx, ac)
	if err != nil {
		ro.failedFetches.Inc()
		ev = FetchFailed{Source: ac.Source}
	}
	_ = ro.results.Put(ctx, ev)
}

// requestFrom sends the request of a Fetch and returns the answer as an event.
func (ro *Rollout) requestFrom(ctx context.Context, ac Fetch) (Event, error) {
	client := ro.set.PeerClient
	if ac.Source.Kind == ControlSource {
		client = ro.set.ControlClient
	}
	res, err := client(ac.Source.Address).Fetch(ctx, connect.NewRequest(&schema.FetchRequest{HaveRevision: ac.Have}))
	if err != nil {
		return nil, err
	}
	ev := Fetched{Source: ac.Source, Revision: res.Msg.GetRevision(), Configuration: res.Msg.GetConfiguration()}
	if err := ro.validate(ev.Revision, ev.Configuration); err != nil {
		ro.refused.Inc()
		ro.set.Log.WithError(err).WithField("source", ac.Source.Address).Warn("configuration refused")
		return nil, err
	}
	return ev, nil
}

// adopt saves a configuration and puts it into force. It is saved first, so that a
// restart in between does not return to an older revision. If OnChange refuses it, the
// copy of the configuration in force is restored.
func (ro *Rollout) adopt(ac Adopt) Event {
	ro.saveCopy(ac.Revision, ac.Configuration)
	if err := ro.set.OnChange(ac.Revision, ac.Configuration); err != nil {
		ro.refused.Inc()
		ro.set.Log.WithError(err).WithField("revision", ac.Revision).Error("configuration refused")
		if cur := ro.current.Load(); cur != nil {
			ro.saveCopy(cur.revision, cur.cfg)
		}
		return Rejected{Revision: ac.Revision}
	}
	first := ro.current.Swap(&activeConfiguration{revision: ac.Revision, cfg: ac.Configuration, since: time.Now()}) == nil
	if first {
		close(ro.ready)
	}
	return Adopted{Revision: ac.Revision}
}

// saveCopy writes the local copy. An error is only logged and counted, since the node can
// run without a copy.
func (ro *Rollout) saveCopy(revision uint64, cfg *schema.Configuration) {
	if ro.copy == nil {
		return
	}
	if err := ro.copy.write(revision, cfg); err != nil {
		ro.copyErrors.Inc()
		ro.set.Log.WithError(err).Error("local copy of the configuration is not written")
	}
}

// Current returns the configuration in force, or revision 0 and nil if there is none yet.
// The caller must not change the configuration.
func (ro *Rollout) Current() (revision uint64, cfg *schema.Configuration) {
	cur := ro.current.Load()
	if cur == nil {
		return 0, nil
	}
	return cur.revision, cur.cfg
}

// Ready returns a channel that is closed when the first revision is in force.
func (ro *Rollout) Ready() <-chan struct{} { return ro.ready }

// InForceSince returns the time at which the current revision came into force, or the
// zero time if there is none.
func (ro *Rollout) InForceSince() time.Time {
	cur := ro.current.Load()
	if cur == nil {
		return time.Time{}
	}
	return cur.since
}
