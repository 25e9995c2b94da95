// Package gossip runs the membership protocol over UDP.
package gossip

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/queue"
	"camphortrail/schema"
)

const (
	// inboxCapacity is the number of received datagrams that can wait for runMachine,
	// noticeCapacity the number of notices in a subscription, and hintCapacity the number
	// of hints that can wait for the reader of Hints.
	inboxCapacity  = 512
	noticeCapacity = 1024
	hintCapacity   = 64
	// recallCapacity is the number of Recalled that can wait for the reader of Recalls. A
	// process emits two at most.
	recallCapacity = 2
	// LeaveDuration is how long a process that leaves announces its departure.
	LeaveDuration = 600 * time.Millisecond
)

// Settings describe the process that joins the membership.
type Settings struct {
	Deployment    call.Deployment
	Name          call.VM
	FailureDomain call.FailureDomain
	Role          membership.Role
	// Address is the address (IP:port) to which other processes send.
	Address string
	// Contacts are addresses (IP:port) of processes to join through.
	Contacts []string
	// Incarnation is the start time of the process in Unix milliseconds. Zero stands for
	// the time of New.
	Incarnation membership.Incarnation
	// FirstStart is set at the first start of the deployment; see membership.Settings.
	FirstStart bool
	// Metrics is the set in which the metrics are created. It may be nil.
	Metrics *metrics.Set
	// Log receives a message for each refused record. It may be nil.
	Log log.Interface
}

// Gossip runs the membership state machine of one process. Its methods are safe for
// concurrent use.
type Gossip struct {
	conn    net.PacketConn
	log     log.Interface
	inbox   *queue.Queue[*schema.Datagram]
	hints   *queue.Queue[membership.RevisionHint]
	recalls *queue.Queue[membership.Recalled]
	encoder datagramEncoder

	// wake signals runMachine that pending has changed.
	wake chan struct{}
	// left is closed once the departure has been announced for LeaveDuration.
	left     chan struct{}
	leftOnce sync.Once

	mu      sync.Mutex
	machine *membership.Machine
	pending pendingRequests
	subs    []*subscription
	// confirming are closed once other processes hold the announced departures.
	confirming []chan struct{}

	counters counters
}

// pendingRequests are requests of other goroutines that runMachine has not yet applied.
type pendingRequests struct {
	upstreams *[]membership.Upstream
	// departures are those of all calls of AnnounceDepartures, and confirmed are closed once
	// other processes hold them.
	departures []membership.Departure
	confirmed  []chan struct{}
	revision   uint64
	leave      bool
}

// New returns a Gossip that uses conn. Run closes conn when it ends.
func New(set Settings, conn net.PacketConn) (*Gossip, error) {
	addr, err := netip.ParseAddrPort(set.Address)
	if err != nil {
		return nil, errors.Wrap(err, "gossip: address")
	}
	contacts := make([]netip.AddrPort, len(set.Contacts))
	for i, text := range set.Contacts {
		if contacts[i], err = netip.ParseAddrPort(text); err != nil {
			return nil, errors.Wrap(err, "gossip: contact")
		}
	}
	if set.Incarnation == 0 {
		set.Incarnation = membership.Incarnation(time.Now().UnixMilli())
	}
	ms := membership.Settings{
		Deployment:    set.Deployment,
		Name:          set.Name,
		Address:       addr,
		FailureDomain: set.FailureDomain,
		Role:          set.Role,
		Incarnation:   set.Incarnation,
		Contacts:      contacts,
		FirstStart:    set.FirstStart,
	}
	if err := ms.Validate(); err != nil {
		return nil, errors.Wrap(err, "gossip: settings")
	}
	gs := &Gossip{
		conn:    conn,
		log:     set.Log,
		inbox:   queue.New[*schema.Datagram](inboxCapacity),
		hints:   queue.New[membership.RevisionHint](hintCapacity),
		recalls: queue.New[membership.Recalled](recallCapacity),
		encoder: datagramEncoder{conn: conn},
		wake:    make(chan struct{}, 1),
		left:    make(chan struct{}),
		machine: membership.New(ms, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	gs.registerMetrics(set.Metrics)
	return gs, nil
}

// Run runs the membership until ctx ends. It returns an error if conn is closed before.
func (gs *Gossip) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = gs.conn.Close() })
	defer stop()

	var wg sync.WaitGroup
	var err error
	wg.Go(func() {
		defer cancel()
		err = gs.readDatagrams(ctx)
	})
	wg.Go(func() { gs.runMachine(ctx) })
	wg.Wait()
	_ = gs.conn.Close()
	return err
}

// runMachine passes datagrams, ticks and requests to the state machine until ctx ends.
func (gs *Gossip) runMachine(ctx context.Context) {
	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()
	var leaving <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case dg := <-gs.inbox.Out():
			gs.step(membership.Receive{Datagram: dg})
		case <-ticker.C:
			gs.step(membership.Tick{})
		case <-gs.wake:
			if gs.applyPending() && leaving == nil {
				leaving = time.After(LeaveDuration)
			}
		case <-leaving:
			gs.leftOnce.Do(func() { close(gs.left) })
		}
	}
}

// applyPending passes the pending requests to the state machine. It reports whether one
// of them is to leave.
func (gs *Gossip) applyPending() (leave bool) {
	gs.mu.Lock()
	pr := gs.pending
	gs.pending = pendingRequests{}
	gs.mu.Unlock()
	if pr.upstreams != nil {
		gs.step(membership.AnnounceUpstreams{Upstreams: *pr.upstreams})
	}
	if len(pr.confirmed) > 0 {
		gs.announceDepartures(pr.departures, pr.confirmed)
	}
	if pr.revision > 0 {
		gs.step(membership.SetRevision{Revision: pr.revision})
	}
	if pr.leave {
		gs.step(membership.Leave{})
	}
	return pr.leave
}

// step passes an event to the state machine and carries out its actions.
func (gs *Gossip) step(ev membership.Event) {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	for _, ac := range gs.machine.Step(time.Now(), ev) {
		switch ac := ac.(type) {
		case membership.SendDatagram:
			gs.send(ac)
		case membership.Changed:
			for _, sub := range gs.subs {
				sub.offer(ac)
			}
		case membership.RecordRefused:
			if gs.log != nil {
				gs.log.WithError(ac.Err).Warn("record of the membership refused")
			}
		case membership.Recalled:
			gs.recalls.Offer(ac)
		case membership.RevisionHint:
			if !gs.hints.Offer(ac) {
				gs.counters.hintsDropped.Inc()
			}
		}
	}
	for _, sub := range gs.subs {
		sub.offerResync()
	}
	if len(gs.confirming) > 0 && gs.machine.DeparturesConfirmed() {
		for _, confirmed := range gs.confirming {
			close(confirmed)
		}
		gs.confirming = nil
	}
}

// announceDepartures passes departures to the state machine, and closes confirmed once other
// processes hold them.
func (gs *Gossip) announceDepartures(dps []membership.Departure, confirmed []chan struct{}) {
	gs.step(membership.AnnounceDepartures{Departures: dps})
	gs.mu.Lock()
	defer gs.mu.Unlock()
	if !gs.machine.DeparturesConfirmed() {
		gs.confirming = append(gs.confirming, confirmed...)
		return
	}
	for _, ch := range confirmed {
		close(ch)
	}
}

// request changes the pending requests and wakes runMachine.
func (gs *Gossip) request(change func(pr *pendingRequests)) {
	gs.mu.Lock()
	change(&gs.pending)
	gs.mu.Unlock()
	select {
	case gs.wake <- struct{}{}:
	default:
	}
}

// Announce replaces the upstreams that this process announces.
func (gs *Gossip) Announce(ups []membership.Upstream) {
	gs.request(func(pr *pendingRequests) { pr.upstreams = &ups })
}

// AnnounceDepartures adds departures to those that this process announces, and waits until
// other processes hold all of them or ctx ends. A process that is alone does not wait.
func (gs *Gossip) AnnounceDepartures(ctx context.Context, dps []membership.Departure) error {
	confirmed := make(chan struct{})
	gs.request(func(pr *pendingRequests) {
		pr.departures = append(pr.departures, dps...)
		pr.confirmed = append(pr.confirmed, confirmed)
	})
	select {
	case <-confirmed:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gossip: departures not confirmed")
	}
}

// Recalls returns what earlier incarnations of this process have announced, as others know it.
// Unless Settings.FirstStart is set, there is a Recalled within seconds after the start.
func (gs *Gossip) Recalls() <-chan membership.Recalled { return gs.recalls.Out() }

// SetRevision announces the revision of the configuration that is in force on this
// process. A lower revision than before is ignored.
func (gs *Gossip) SetRevision(revision uint64) {
	gs.request(func(pr *pendingRequests) { pr.revision = max(pr.revision, revision) })
}

// Leave announces to the other processes that this one leaves. It waits until the
// announcement has been repeated for LeaveDuration or ctx ends. Run continues.
func (gs *Gossip) Leave(ctx context.Context) error {
	gs.request(func(pr *pendingRequests) { pr.leave = true })
	select {
	case <-gs.left:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gossip: leave")
	}
}

// Members returns the records of all known processes, including this one.
func (gs *Gossip) Members() []membership.Member {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	var mbs []membership.Member
	for mb := range gs.machine.Members {
		mbs = append(mbs, mb)
	}
	return mbs
}

// Hints returns a bounded queue of hints that other processes have a higher revision.
// Hints that exceed its capacity are dropped, since each is repeated.
func (gs *Gossip) Hints() <-chan membership.RevisionHint { return gs.hints.Out() }
