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
	inboxCapacity  = 512
	noticeCapacity = 1024
	hintCapacity   = 64
	// leaveTime is how long a process that leaves goes on spreading that.
	leaveTime = 600 * time.Millisecond
)

// Settings describe the process that takes part.
type Settings struct {
	Deployment    call.Tenant
	Name          call.VM
	FailureDomain call.FailureDomain
	Role          membership.Role
	// Address (IP:port) that other processes send to.
	Address string
	// Contacts are addresses (IP:port) of processes to join through.
	Contacts []string
	// Incarnation is the start of the process in Unix milliseconds. Zero
	// stands for the time of New.
	Incarnation membership.Incarnation
	// Metrics takes the metrics of the Gossip, if set.
	Metrics *metrics.Set
	// Log is told of records that are refused, if set.
	Log log.Interface
}

// Gossip is the membership of one process. Its methods are safe for
// concurrent use.
type Gossip struct {
	conn  net.PacketConn
	log   log.Interface
	inbox *queue.Queue[*schema.Datagram]
	hints *queue.Queue[membership.RevisionHint]
	out   sender

	// wake tells the goroutine of the machine that orders have changed.
	wake chan struct{}
	// left is closed once a departure has been spread.
	left     chan struct{}
	leftOnce sync.Once

	mu      sync.Mutex
	machine *membership.Machine
	orders  orders
	subs    []*subscription

	counts counts
}

// orders are what the other goroutines want of the machine.
type orders struct {
	upstreams *[]membership.Upstream
	revision  uint64
	leave     bool
}

// New returns a Gossip that will use conn, which it closes when Run ends.
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
	}
	if err := ms.Validate(); err != nil {
		return nil, errors.Wrap(err, "gossip: settings")
	}
	gs := &Gossip{
		conn:    conn,
		log:     set.Log,
		inbox:   queue.New[*schema.Datagram](inboxCapacity),
		hints:   queue.New[membership.RevisionHint](hintCapacity),
		out:     sender{conn: conn},
		wake:    make(chan struct{}, 1),
		left:    make(chan struct{}),
		machine: membership.New(ms, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
	}
	gs.register(set.Metrics)
	return gs, nil
}

// Run takes part in the membership until ctx ends.
func (gs *Gossip) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	stop := context.AfterFunc(ctx, func() { _ = gs.conn.Close() })
	defer stop()

	var wg sync.WaitGroup
	var err error
	wg.Go(func() {
		defer cancel()
		err = gs.read(ctx)
	})
	wg.Go(func() { gs.work(ctx) })
	wg.Wait()
	_ = gs.conn.Close()
	return err
}

// work drives the machine.
func (gs *Gossip) work(ctx context.Context) {
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
			if gs.obey() && leaving == nil {
				leaving = time.After(leaveTime)
			}
		case <-leaving:
			gs.leftOnce.Do(func() { close(gs.left) })
		}
	}
}

// obey hands the orders to the machine. It reports whether one is to leave.
func (gs *Gossip) obey() (leave bool) {
	gs.mu.Lock()
	od := gs.orders
	gs.orders = orders{}
	gs.mu.Unlock()
	if od.upstreams != nil {
		gs.step(membership.AnnounceUpstreams{Upstreams: *od.upstreams})
	}
	if od.revision > 0 {
		gs.step(membership.SetRevision{Revision: od.revision})
	}
	if od.leave {
		gs.step(membership.Leave{})
	}
	return od.leave
}

// step hands an event to the machine and carries out its actions.
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
		case membership.RevisionHint:
			if !gs.hints.Offer(ac) {
				gs.counts.hintsDropped.Inc()
			}
		}
	}
	for _, sub := range gs.subs {
		sub.resync()
	}
}

// order changes the orders and wakes the goroutine of the machine.
func (gs *Gossip) order(change func(od *orders)) {
	gs.mu.Lock()
	change(&gs.orders)
	gs.mu.Unlock()
	select {
	case gs.wake <- struct{}{}:
	default:
	}
}

// Announce replaces what this process announces.
func (gs *Gossip) Announce(ups []membership.Upstream) {
	gs.order(func(od *orders) { od.upstreams = &ups })
}

// SetRevision says which revision of the configuration is in force here.
func (gs *Gossip) SetRevision(revision uint64) {
	gs.order(func(od *orders) { od.revision = max(od.revision, revision) })
}

// Leave tells the other processes that this one stops, and waits until that
// has been sent or ctx ends. Run goes on.
func (gs *Gossip) Leave(ctx context.Context) error {
	gs.order(func(od *orders) { od.leave = true })
	select {
	case <-gs.left:
		return nil
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "gossip: leave")
	}
}

// Members returns the records of all processes known, this one included.
func (gs *Gossip) Members() []membership.Member {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	var mbs []membership.Member
	for mb := range gs.machine.Members {
		mbs = append(mbs, mb)
	}
	return mbs
}

// Hints returns a bounded queue of hints of higher revisions. Hints that it
// has no room for are dropped; they come again.
func (gs *Gossip) Hints() <-chan membership.RevisionHint { return gs.hints.Out() }
