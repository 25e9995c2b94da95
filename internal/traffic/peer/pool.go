// Package peer sends attempts to the guards of other VMs. It notices
// connections that went silent, and asks the guard what became of attempts
// whose answers do not come.
package peer

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/link"
	"camphortrail/queue"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

const (
	signalRingSize = 16384
	queryTimeout   = 500 * time.Millisecond
	// stampLife is the age from which a guard's stamp is renewed before it
	// is used.
	stampLife = 20 * time.Second
	idleWake  = time.Hour
)

// ErrNoStamp is returned when a guard can't be asked for its stamp.
var ErrNoStamp = errors.New("peer: no stamp of the guard")

// Result is what is known of an attempt that was sent. Answer is nil when none
// came; State says then whether the attempt may have run.
type Result struct {
	Answer *attempt.Answer
	State  withdrawal.State
	// Sent is false when no byte of the attempt was sent.
	Sent bool
	// own says that the answer came on the attempt's own connection.
	own bool
}

// Pool holds the connections to other guards. It is safe for concurrent use.
type Pool struct {
	signals *queue.Queue[withdrawal.Signal]
	dropped atomic.Uint64
	dial    DialFunc

	mu       sync.Mutex
	nextConn withdrawal.ConnID
	conns    map[call.VM]*conn
	all      map[withdrawal.ConnID]*conn
	probes   map[call.VM]*probe
	stamps   map[call.VM]stamp
	pending  map[call.AttemptID]*pending
	onState  func(vm call.VM, suspect bool)
	onRoom   func(vm call.VM, svc call.Service, an allocation.Grant)
	// transits sums up the times of attempts and answers between the nodes, by VM.
	transits map[call.VM]waits
}

// waits sums up times.
type waits struct {
	count int
	sum   time.Duration
}

// mean returns the mean of the times.
func (wa waits) mean() time.Duration { return wa.sum / time.Duration(max(wa.count, 1)) }

// stamp is the latest reading of a guard's clock, and when it arrived.
type stamp struct {
	value    withdrawal.Stamp
	received time.Time
}

// pending is an attempt that waits for its answer.
type pending struct {
	conn       *conn
	sent       time.Time
	maxAnswer  int64
	address    string
	stamp      withdrawal.Stamp
	idempotent bool
	found      chan Result
	// doubtful takes word that the guard does not say what became of an
	// attempt that may be repeated.
	doubtful chan struct{}
}

// Options describe a pool.
type Options struct {
	// OnSuspicion is told when a VM cannot be reached, and when it answers again.
	OnSuspicion func(vm call.VM, suspect bool)
	// OnGrant is told what the guard of a VM said of its room.
	// It may be nil.
	OnGrant func(vm call.VM, svc call.Service, an allocation.Grant)
	// Dial opens the connections to guards. The default is that of net.
	Dial DialFunc
}

// New returns a pool without connections.
func New(opt Options) *Pool {
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{
		dial:     opt.Dial,
		signals:  queue.New[withdrawal.Signal](signalRingSize),
		conns:    make(map[call.VM]*conn),
		all:      make(map[withdrawal.ConnID]*conn),
		probes:   make(map[call.VM]*probe),
		stamps:   make(map[call.VM]stamp),
		pending:  make(map[call.AttemptID]*pending),
		onState:  opt.OnSuspicion,
		transits: make(map[call.VM]waits),
		onRoom:   opt.OnGrant,
	}
}

// Run watches the attempts until ctx ends.
func (pl *Pool) Run(ctx context.Context) error {
	defer pl.closeAll()
	su := withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits())
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		var sg withdrawal.Signal = withdrawal.TimePassed{}
		select {
		case <-ctx.Done():
			return nil
		case sg = <-pl.signals.Out():
		case <-timer.C:
		}
		for _, ac := range su.Step(time.Now(), sg) {
			pl.perform(ctx, ac)
		}
		wake := idleWake
		if at, ok := su.NextWake(); ok {
			wake = max(0, time.Until(at))
		}
		timer.Reset(wake)
	}
}

func (pl *Pool) perform(ctx context.Context, ac withdrawal.Action) {
	switch ac := ac.(type) {
	case withdrawal.MarkSuspect:
		pl.markSuspect(ac.Conn)
	case withdrawal.CloseConn:
		pl.closeConn(ac.Conn)
	case withdrawal.Query:
		go pl.query(ctx, ac)
	}
}

func (pl *Pool) signal(sg withdrawal.Signal) {
	if !pl.signals.Offer(sg) {
		pl.dropped.Add(1)
	}
}

// DroppedSignals returns the number of attempts' events that were not watched for
// want of room.
func (pl *Pool) DroppedSignals() uint64 { return pl.dropped.Load() }

// Send sends the attempt to the guard of a VM and waits for its answer, for
// news of its state from the guard, or for the end of ctx. While the guard does
// not say what became of an idempotent attempt, resend is asked whether another
// one may be sent in its place, and if so the result is unknown. Otherwise the
// answer is waited for: the guard may only be slow.
func (pl *Pool) Send(ctx context.Context, vm call.VM, address string, at *attempt.Attempt, resend func() bool) Result {
	sp, err := pl.freshStamp(ctx, vm, address)
	if err != nil {
		return Result{State: withdrawal.Dequeued}
	}
	at.Stamp = sp
	pe := &pending{
		sent: time.Now(), address: address, stamp: sp, idempotent: at.Idempotent, maxAnswer: at.MaxAnswerBytes,
		found: make(chan Result, 2), doubtful: make(chan struct{}, 1),
	}
	cn := pl.enroll(vm, address, at.ID, pe)
	defer pl.remove(at.ID)
	pl.signal(withdrawal.Sent{Conn: cn.id, Attempt: at.ID, VM: vm, At: pe.sent, Deadline: at.Deadline})
	settled := withdrawal.Settled{Attempt: at.ID}
	defer func() { pl.signal(settled) }()
	if err := cn.link.Send(at.Frame(pe.sent, cn.link.SupportsHeaderBlocks())); err != nil {
		return Result{State: withdrawal.Dequeued}
	}
	unknown := Result{State: withdrawal.Unknown, Sent: true}
	for {
		select {
		case rs := <-pe.found:
			settled.Answered = rs.own
			return rs
		case <-pe.doubtful:
			if resend() {
				cn.cancel(at.ID)
				return unknown
			}
		case <-ctx.Done():
			cn.cancel(at.ID)
			return unknown
		}
	}
}

// SendDemand sends a demand to the guard of a VM, whose answer goes to OnRoom. It is lost
// if the guard can't be reached.
func (pl *Pool) SendDemand(vm call.VM, address string, de *attempt.Demand) {
	// The next demand is sent on a new link if this one is closed.
	_ = pl.linkTo(vm, address).Send(de.Frame())
}

func (pl *Pool) remove(id call.AttemptID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pe := pl.pending[id]; pe != nil {
		pe.conn.holds--
		delete(pl.pending, id)
	}
}

func (pl *Pool) lookup(id call.AttemptID) *pending {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.pending[id]
}

// deliver hands a result to the waiting Send; later ones are dropped.
func (pe *pending) deliver(rs Result) {
	select {
	case pe.found <- rs:
	default:
	}
}

// doubt says that the guard does not tell the state of the attempt.
func (pe *pending) doubt() {
	if !pe.idempotent {
		return
	}
	select {
	case pe.doubtful <- struct{}{}:
	default:
	}
}

// cancel tells the guard that nobody waits for an attempt any more.
func (cn *conn) cancel(id call.AttemptID) {
	// The guard of a link that is closed has noticed that.
	_ = cn.link.Send(&schema.Frame{Kind: &schema.Frame_CancelledAttempt{CancelledAttempt: id[:]}})
}

// receive takes what a guard sends until the connection ends.
func (pl *Pool) receive(cn *conn) {
	for {
		fr, err := cn.link.Receive(idleExpiry)
		switch {
		case errors.Is(err, link.ErrIdle):
			if pl.retire(cn) {
				return
			}
		case err != nil:
			pl.broken(cn)
			return
		default:
			pl.take(cn, fr)
		}
	}
}

// take takes in a frame of a guard.
func (pl *Pool) take(cn *conn, fr *schema.Frame) {
	switch kd := fr.GetKind().(type) {
	case *schema.Frame_Acknowledgement:
		if id, ok := attemptID(kd.Acknowledgement.GetAttemptId()); ok {
			pl.keepStamp(cn.vm, kd.Acknowledgement.GetStamp())
			pl.signal(withdrawal.Acked{Attempt: id})
		}
	case *schema.Frame_Answer:
		pl.keepStamp(cn.vm, kd.Answer.GetStamp())
		pl.onState(cn.vm, false)
		if id, ok := attemptID(kd.Answer.GetAttemptId()); ok {
			pl.takeAnswer(cn, id, kd.Answer)
		}
	case *schema.Frame_Room:
		// What cannot be read is told again soon.
		if svc, an, err := attempt.FromGrantFrame(kd.Room); err == nil && pl.onRoom != nil {
			pl.onRoom(cn.vm, svc, an)
		}
	}
}

// countTransit counts the time that an attempt and its answer took between the nodes.
func (pl *Pool) countTransit(vm call.VM, took time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	wa := pl.transits[vm]
	wa.count++
	wa.sum += took
	pl.transits[vm] = wa
}

// TakeTransitTimes returns the mean time that attempts and their answers took between the
// nodes since the last call, the VM with the longest mean, and that.
func (pl *Pool) TakeTransitTimes() (mean time.Duration, slowest call.VM, longest time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var all waits
	for vm, wa := range pl.transits {
		all.count += wa.count
		all.sum += wa.sum
		if wa.mean() > longest {
			slowest, longest = vm, wa.mean()
		}
	}
	clear(pl.transits)
	return all.mean(), slowest, longest
}

// takeAnswer hands an answer to the sender of the attempt, if it still waits.
func (pl *Pool) takeAnswer(cn *conn, id call.AttemptID, msg *schema.AttemptAnswer) {
	pe := pl.lookup(id)
	if pe == nil {
		return
	}
	an, err := attempt.FromAnswerFrame(msg)
	if err != nil || int64(len(an.Body)) > pe.maxAnswer {
		// An answer that can't be used is as good as lost.
		pl.signal(withdrawal.Failed{Attempt: id})
		return
	}
	rs := answered(an)
	rs.own = true
	pe.deliver(rs)
	pl.countTransit(cn.vm, time.Since(pe.sent)-an.GuardTime)
}

func attemptID(text []byte) (id call.AttemptID, ok bool) {
	return id, copy(id[:], text) == len(id) && len(text) == len(id)
}

// broken settles the attempts of a connection that has ended. If it never came
// about, nothing was sent; otherwise the guard is asked.
func (pl *Pool) broken(cn *conn) {
	cn.link.Close()
	began := cn.link.MayHaveSent()
	if !began {
		pl.discard(cn)
		pl.onState(cn.vm, true)
	}
	for id, pe := range pl.held(cn) {
		if began {
			pl.signal(withdrawal.Failed{Attempt: id})
		} else {
			pe.deliver(Result{State: withdrawal.Dequeued})
		}
	}
	pl.markSuspect(cn.id)
}

// held returns the attempts on a connection.
func (pl *Pool) held(cn *conn) map[call.AttemptID]*pending {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	all := make(map[call.AttemptID]*pending, cn.holds)
	for id, pe := range pl.pending {
		if pe.conn == cn {
			all[id] = pe
		}
	}
	return all
}

// answered returns the result for a whole answer of a guard.
func answered(an *attempt.Answer) Result {
	rs := Result{Answer: an, Sent: true}
	switch an.Outcome {
	case call.Done:
		rs.State = withdrawal.Finished
	case call.NotRun:
		rs.State = withdrawal.Dequeued
	default:
		rs.State = withdrawal.Unknown
	}
	return rs
}
