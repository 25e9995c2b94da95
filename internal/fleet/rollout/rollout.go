// Package rollout keeps the configuration in force on a node current.
package rollout

import (
	"context"
	"math/rand/v2"
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
	// DefaultCheckInterval is the usual time between two unprompted fetches.
	DefaultCheckInterval = 10 * time.Second

	tickInterval   = 25 * time.Millisecond
	peersInterval  = time.Second
	fetchTimeout   = 2 * time.Second
	resultCapacity = 16
)

// ErrOtherDeployment is returned for a configuration that is meant for another
// deployment.
var ErrOtherDeployment = errors.New("rollout: configuration of another deployment")

// ErrRevisionOutOfRange is returned for a revision that no configuration can have. Those
// that come next would be lower.
var ErrRevisionOutOfRange = errors.New("rollout: revision out of range")

// Fetcher is the part of the clients of peers and control replicas that
// Rollout needs.
type Fetcher interface {
	Fetch(context.Context, *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error)
}

// Settings describe where configurations come from.
type Settings struct {
	// Deployment refuses the configurations of other deployments.
	Deployment call.Tenant
	// DataFolder holds the local copy. It may be empty.
	DataFolder string
	// Controls are the addresses of the control replicas.
	Controls []string
	// ControlClient and Peer return a client for an address.
	ControlClient func(address string) Fetcher
	PeerClient    func(address string) Fetcher
	// Hints are hints of higher revisions.
	Hints <-chan membership.RevisionHint
	// PresentPeers returns the addresses of some present nodes.
	PresentPeers func() []string
	// PresentControls returns the addresses of the control replicas that are present,
	// which may be others than Controls. It may be nil.
	PresentControls func() []string
	// OnChange is called with each revision that comes into force, in
	// ascending order, by one goroutine. An error refuses the configuration:
	// the one before stays in force.
	OnChange func(revision uint64, cfg *schema.Configuration) error
	// CheckInterval is the time between two unprompted fetches. Zero stands for
	// CheckInterval.
	CheckInterval time.Duration
	// Log and Metrics are optional.
	Log     log.Interface
	Metrics *metrics.Set
}

// inForce is a configuration and when it came into force.
type inForce struct {
	revision uint64
	cfg      *schema.Configuration
	since    time.Time
}

// Rollout follows the configuration for one node. Its methods are safe for
// concurrent use.
type Rollout struct {
	set      Settings
	follower *Follower
	copy     *localCopy
	current  atomic.Pointer[inForce]
	ready    chan struct{}
	results  *queue.Queue[Event]
	// present belongs to the goroutine of Run.
	present []string
	fetches sync.WaitGroup

	refused    *metrics.Counter
	failed     *metrics.Counter
	copyErrors *metrics.Counter
}

// New returns a Rollout with nothing in force. It fails if the data folder
// cannot be opened.
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
		set:        set,
		follower:   NewFollower(set.Controls, set.CheckInterval, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		ready:      make(chan struct{}),
		results:    queue.New[Event](resultCapacity),
		refused:    set.Metrics.NewCounter("camphortrail_configurations_refused_total"),
		failed:     set.Metrics.NewCounter("camphortrail_configuration_fetches_failed_total"),
		copyErrors: set.Metrics.NewCounter("camphortrail_configuration_copy_errors_total"),
	}
	if set.DataFolder == "" {
		return ro, nil
	}
	var err error
	ro.copy, err = openCopy(set.DataFolder)
	return ro, err
}

// Run follows the configuration until ctx ends. It is to be called once.
func (ro *Rollout) Run(ctx context.Context) error {
	defer ro.close()
	ro.load(ctx)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	var peers []string
	var peersAt time.Time
	if ro.set.PresentControls == nil {
		ro.set.PresentControls = func() []string { return nil }
	}
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if now := time.Now(); now.Sub(peersAt) >= peersInterval {
				peersAt = now
				peers, ro.present = ro.set.PresentPeers(), ro.set.PresentControls()
			}
			ro.step(ctx, Tick{Peers: peers, Controls: ro.present})
		case hi := <-ro.set.Hints:
			ro.present = ro.set.PresentControls()
			ro.step(ctx, Hinted{Revision: hi.Revision, Source: ro.source(hi.Address.String())})
		case ev := <-ro.results.Out():
			ro.step(ctx, ev)
		}
	}
}

func (ro *Rollout) close() {
	ro.fetches.Wait()
	if ro.copy != nil {
		_ = ro.copy.close()
	}
}

// source tells control replicas from peers by their address.
func (ro *Rollout) source(address string) Source {
	if slices.Contains(ro.set.Controls, address) || slices.Contains(ro.present, address) {
		return Source{Kind: ControlSource, Address: address}
	}
	return Source{Kind: PeerSource, Address: address}
}

// load hands the local copy to the follower. One that is damaged or of another
// deployment counts as none.
func (ro *Rollout) load(ctx context.Context) {
	if ro.copy == nil {
		return
	}
	revision, cfg, err := ro.copy.read()
	if err == nil && cfg != nil {
		err = ro.check(revision, cfg)
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

func (ro *Rollout) check(revision uint64, cfg *schema.Configuration) error {
	switch {
	case revision > membership.MaxRevision:
		return errors.Wrapf(ErrRevisionOutOfRange, "revision %d", revision)
	case cfg != nil && cfg.GetDeployment() != string(ro.set.Deployment):
		return errors.Wrapf(ErrOtherDeployment, "deployment %.*q", membership.MaxNameBytes, cfg.GetDeployment())
	}
	return nil
}

// step hands an event to the follower and carries out its actions.
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

// fetch asks a source and reports the result to the follower.
func (ro *Rollout) fetch(ctx context.Context, ac Fetch) {
	fetchCtx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	ev, err := ro.ask(fetchCtx, ac)
	if err != nil {
		ro.failed.Inc()
		ev = FetchFailed{Source: ac.Source}
	}
	_ = ro.results.Put(ctx, ev)
}

func (ro *Rollout) ask(ctx context.Context, ac Fetch) (Event, error) {
	client := ro.set.PeerClient
	if ac.Source.Kind == ControlSource {
		client = ro.set.ControlClient
	}
	res, err := client(ac.Source.Address).Fetch(ctx, connect.NewRequest(&schema.FetchRequest{HaveRevision: ac.Have}))
	if err != nil {
		return nil, err
	}
	ev := Fetched{Source: ac.Source, Revision: res.Msg.GetRevision(), Configuration: res.Msg.GetConfiguration()}
	if err := ro.check(ev.Revision, ev.Configuration); err != nil {
		ro.refused.Inc()
		ro.set.Log.WithError(err).WithField("source", ac.Source.Address).Warn("configuration refused")
		return nil, err
	}
	return ev, nil
}

// adopt puts a configuration in force. It is saved before, so that a restart
// does not go back behind it.
func (ro *Rollout) adopt(ac Adopt) Event {
	ro.save(ac.Revision, ac.Configuration)
	if err := ro.set.OnChange(ac.Revision, ac.Configuration); err != nil {
		ro.refused.Inc()
		ro.set.Log.WithError(err).WithField("revision", ac.Revision).Error("configuration refused")
		if cur := ro.current.Load(); cur != nil {
			ro.save(cur.revision, cur.cfg)
		}
		return Rejected{Revision: ac.Revision}
	}
	first := ro.current.Swap(&inForce{revision: ac.Revision, cfg: ac.Configuration, since: time.Now()}) == nil
	if first {
		close(ro.ready)
	}
	return Adopted{Revision: ac.Revision}
}

func (ro *Rollout) save(revision uint64, cfg *schema.Configuration) {
	if ro.copy == nil {
		return
	}
	if err := ro.copy.write(revision, cfg); err != nil {
		ro.copyErrors.Inc()
		ro.set.Log.WithError(err).Error("local copy of the configuration is not written")
	}
}

// Current returns the configuration in force, or revision 0 and nil before
// there is one. The configuration must not be changed.
func (ro *Rollout) Current() (revision uint64, cfg *schema.Configuration) {
	cur := ro.current.Load()
	if cur == nil {
		return 0, nil
	}
	return cur.revision, cur.cfg
}

// Ready is closed when the first revision is in force.
func (ro *Rollout) Ready() <-chan struct{} { return ro.ready }

// InForceSince returns the time at which the current revision came into force.
func (ro *Rollout) InForceSince() time.Time {
	cur := ro.current.Load()
	if cur == nil {
		return time.Time{}
	}
	return cur.since
}
