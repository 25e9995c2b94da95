// Package peer sends attempts to the guards of other VMs. It notices
// connections that went silent, and asks the guard what became of attempts
// whose answers do not come.
package peer

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/attempt"
	"camphortrail/internal/header"
	"camphortrail/ring"
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
}

// Pool holds the connections to other guards. It is safe for concurrent use.
type Pool struct {
	signals *ring.Ring[withdrawal.Signal]
	dropped atomic.Uint64
	dial    Dial

	mu       sync.Mutex
	nextConn withdrawal.ConnID
	conns    map[call.VM]*conn
	all      map[withdrawal.ConnID]*conn
	probes   map[call.VM]*conn
	stamps   map[call.VM]stamp
	pending  map[call.AttemptID]*pending
	onState  func(vm call.VM, suspect bool)
}

// stamp is the latest reading of a guard's clock, and when it arrived.
type stamp struct {
	value    withdrawal.Stamp
	received time.Time
}

// pending is an attempt that waits for its answer.
type pending struct {
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
	// OnState is told when a VM cannot be reached, and when it answers again.
	OnState func(vm call.VM, suspect bool)
	// Dial opens the connections to guards. The default is that of net.
	Dial Dial
}

// New returns a pool without connections.
func New(opt Options) *Pool {
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{
		dial:    opt.Dial,
		signals: ring.New[withdrawal.Signal](signalRingSize),
		conns:   make(map[call.VM]*conn),
		all:     make(map[withdrawal.ConnID]*conn),
		probes:  make(map[call.VM]*conn),
		stamps:  make(map[call.VM]stamp),
		pending: make(map[call.AttemptID]*pending),
		onState: opt.OnState,
	}
}

// Run watches the attempts until ctx ends.
func (pl *Pool) Run(ctx context.Context) error {
	defer pl.closeAll()
	su := withdrawal.NewSuspicion(withdrawal.DefaultSuspicionLimits())
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		var sg withdrawal.Signal = withdrawal.Passed{}
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

// Dropped returns the number of attempts' events that were not watched for
// want of room.
func (pl *Pool) Dropped() uint64 { return pl.dropped.Load() }

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
	cn := pl.current(vm, address)
	pe := &pending{
		address: address, stamp: sp, idempotent: at.Idempotent,
		found: make(chan Result, 2), doubtful: make(chan struct{}, 1),
	}
	pl.add(at.ID, pe)
	defer pl.remove(at.ID)
	pl.signal(withdrawal.Sent{Conn: cn.id, Attempt: at.ID, VM: vm, At: time.Now(), Deadline: at.Deadline})
	defer pl.signal(withdrawal.Settled{Attempt: at.ID})
	exchange, stop := context.WithCancel(ctx)
	defer stop()
	go pl.exchange(exchange, cn, at, pe)
	unknown := Result{State: withdrawal.Unknown, Sent: true}
	for {
		select {
		case rs := <-pe.found:
			return rs
		case <-pe.doubtful:
			if resend() {
				return unknown
			}
		case <-ctx.Done():
			return unknown
		}
	}
}

func (pl *Pool) add(id call.AttemptID, pe *pending) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.pending[id] = pe
}

func (pl *Pool) remove(id call.AttemptID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	delete(pl.pending, id)
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

// exchange sends the attempt on a connection and delivers the answer.
func (pl *Pool) exchange(ctx context.Context, cn *conn, at *attempt.Attempt, pe *pending) {
	tr := &trace{pool: pl, vm: cn.vm, id: at.ID}
	req, err := at.NewRequest(tr.attach(ctx), time.Now(), cn.address)
	if err != nil {
		pe.deliver(Result{State: withdrawal.Dequeued})
		return
	}
	res, err := cn.transport.RoundTrip(req)
	if err == nil {
		pl.noteStamp(cn.vm, res.Header)
		var an *attempt.Answer
		an, err = attempt.FromResponse(res, at)
		res.Body.Close()
		if err == nil {
			pl.onState(cn.vm, false)
			pe.deliver(answered(an))
			return
		}
	}
	if ctx.Err() != nil {
		return
	}
	if !tr.begun() {
		pl.discard(cn)
		pl.onState(cn.vm, true)
		pe.deliver(Result{State: withdrawal.Dequeued})
		return
	}
	pl.markSuspect(cn.id)
	pl.signal(withdrawal.Failed{Attempt: at.ID})
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

func (pl *Pool) noteStamp(vm call.VM, hd http.Header) {
	pl.keepStamp(vm, hd.Get(header.Stamp))
}
