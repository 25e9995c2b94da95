// Package peer sends attempts to the guards of other VMs over shared connections. It
// detects connections that stopped delivering data without closing, and queries the guard
// for the state of attempts whose answers are missing.
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
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/link"
	"camphortrail/queue"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

const (
	// signalQueueSize is the number of signals that can wait for the failure detector.
	signalQueueSize = 16384
	// lastAnswerTime is the time after the deadline of an attempt in which the guard, which has ended it
	// then, says so, and what it knows of the load.
	lastAnswerTime = 5 * time.Millisecond
	// queryTimeout bounds one query to a guard.
	queryTimeout = 500 * time.Millisecond
	// unreachableTime is the age from which a link that is not established counts as failed when an
	// attempt on it is given up. Links between VMs of a region are established within milliseconds.
	unreachableTime = 100 * time.Millisecond
	// greetingTimeout bounds the wait for the stamp with which a guard begins a link. Guards of an
	// earlier version send none.
	greetingTimeout = 250 * time.Millisecond
	// stampRefreshAge is the age at which a guard's stamp is replaced by a new one before
	// an attempt uses it.
	stampRefreshAge = time.Minute
	// lastFramesTime bounds the time in which the last frames of a link are written that is closed since
	// its attempts have ended.
	lastFramesTime = 500 * time.Millisecond
	// idleWakeInterval is the time until the next step of the failure detector when it
	// has nothing to watch and no signal arrives.
	idleWakeInterval = time.Hour
)

// ErrNoStamp is returned when the query for a guard's stamp fails.
var ErrNoStamp = errors.New("peer: no stamp of the guard")

// Step is a step that ends an attempt without an answer, as logs name it.
type Step string

// The steps that end an attempt without an answer.
const (
	// StepNoStamp means that the guard's stamp could not be obtained.
	StepNoStamp Step = "no-stamp"
	// StepNotSent means that the link took no frame or was not established.
	StepNotSent Step = "not-sent"
	// StepQueryUnanswered means that the guard did not answer a query. The attempt goes on beside another one.
	StepQueryUnanswered Step = "query-unanswered"
	// StepEnded means that the request ended first.
	StepEnded Step = "request-ended"
	// StepWithdrawn means that a query withdrew the attempt before it began.
	StepWithdrawn Step = "withdrawn"
	// StepNoAnswer means that by a query the attempt has ended, and that its guard has no answer.
	StepNoAnswer Step = "ended-without-answer"
	// StepStateUnknown means that the guard does not know the attempt: it has started anew since, or
	// forgotten it.
	StepStateUnknown Step = "state-unknown"
)

// Result is the result of sending an attempt.
type Result struct {
	// Answer is nil when no answer arrived. State then says whether the attempt may
	// have run.
	Answer *attempt.Answer
	State  withdrawal.State
	// Sent is false when no byte of the attempt was sent.
	Sent bool
	// Step is the step that ended an attempt without an answer.
	Step Step
	// onOwnConn is true when the answer arrived on the connection that carried the
	// attempt, and false when it came from a query.
	onOwnConn bool
	// queryFailed says that this is no result, but that a query for the state of the attempt
	// failed.
	queryFailed bool
	// Pending is set when this is no result, but the attempt goes on without its sender; see Send.
	Pending *Pending
}

// Pool holds the connections to other guards. It is safe for concurrent use.
type Pool struct {
	signals *queue.Queue[withdrawal.Signal]
	dropped atomic.Uint64
	dial    DialFunc
	quota   *link.Quota

	mu         sync.Mutex
	lastConnID withdrawal.ConnID
	// connsByVM holds the connection that takes new attempts to a VM, and connsByID every
	// open connection, suspect ones too.
	connsByVM   map[call.VM]*conn
	connsByID   map[withdrawal.ConnID]*conn
	queryConns  map[call.VM]*queryConn
	stamps      map[call.VM]receivedStamp
	pending     map[call.AttemptID]*pendingAttempt
	onSuspicion func(vm call.VM, suspect bool)
	onGrant     func(vm call.VM, svc call.Service, gr allocation.Grant)
	onRenewal   func(vm call.VM, msg *schema.RenewalAnswer)
	// transits holds, by VM, the time that attempts and their answers spent between the
	// nodes.
	transits map[call.VM]transitTotal
}

// transitTotal is a count of transit times and their sum.
type transitTotal struct {
	count int
	sum   time.Duration
}

// mean returns the mean transit time, or 0 without any.
func (tt transitTotal) mean() time.Duration { return tt.sum / time.Duration(max(tt.count, 1)) }

// receivedStamp is the latest stamp of a guard and the time of its arrival.
type receivedStamp struct {
	value    withdrawal.Stamp
	received time.Time
}

// pendingAttempt is an attempt whose answer has not arrived yet.
type pendingAttempt struct {
	conn           *conn
	sent           time.Time
	maxAnswerBytes int64
	address        string
	stamp          withdrawal.Stamp
	idempotent     bool
	// results receives the result, and before that failed queries. Its capacity allows for one
	// unread failed query beside two results, of which Send takes the first.
	results chan Result
	// queryFailed is set while results holds a failed query.
	queryFailed atomic.Bool
}

// Options configures a Pool.
type Options struct {
	// OnSuspicion is called with suspect true when the guard of a VM can't be reached, and
	// with suspect false for each of its answers to attempts and queries.
	OnSuspicion func(vm call.VM, suspect bool)
	// OnGrant is called with each grant that the guard of a VM sends in reply to a
	// demand. It may be nil.
	OnGrant func(vm call.VM, svc call.Service, gr allocation.Grant)
	// OnRenewal is called with each answer of a VM to a renewal. It may be nil.
	OnRenewal func(vm call.VM, msg *schema.RenewalAnswer)
	// Dial opens the connections to guards. If it is nil, a net.Dialer with a timeout of
	// dialTimeout is used.
	Dial DialFunc
	// LinkQuota, if it is set, bounds the send queues of the connections together.
	LinkQuota *link.Quota
}

// New returns a pool without connections. Its Run method must run while Send is used.
func New(opt Options) *Pool {
	if opt.Dial == nil {
		opt.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return &Pool{
		dial:        opt.Dial,
		quota:       opt.LinkQuota,
		signals:     queue.New[withdrawal.Signal](signalQueueSize),
		connsByVM:   make(map[call.VM]*conn),
		connsByID:   make(map[withdrawal.ConnID]*conn),
		queryConns:  make(map[call.VM]*queryConn),
		stamps:      make(map[call.VM]receivedStamp),
		pending:     make(map[call.AttemptID]*pendingAttempt),
		onSuspicion: opt.OnSuspicion,
		transits:    make(map[call.VM]transitTotal),
		onGrant:     opt.OnGrant,
		onRenewal:   opt.OnRenewal,
	}
}

// Run runs the failure detector over all attempts until ctx ends, and then closes all
// connections. It always returns nil.
func (pl *Pool) Run(ctx context.Context) error {
	defer pl.closeAll()
	fd := withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits())
	timer := time.NewTimer(idleWakeInterval)
	defer timer.Stop()
	for {
		var sg withdrawal.Signal = withdrawal.TimePassed{}
		select {
		case <-ctx.Done():
			return nil
		case sg = <-pl.signals.Out():
		case <-timer.C:
		}
		for _, ac := range fd.Step(time.Now(), sg) {
			pl.perform(ctx, ac)
		}
		wake := idleWakeInterval
		if at, ok := fd.NextWake(); ok {
			wake = max(0, time.Until(at))
		}
		timer.Reset(wake)
	}
}

// perform carries out an action of the failure detector.
func (pl *Pool) perform(ctx context.Context, ac withdrawal.Action) {
	switch ac := ac.(type) {
	case withdrawal.MarkSuspect:
		pl.markSuspect(ac.Conn)
	case withdrawal.CloseConn:
		pl.shutDownConn(ctx, ac.Conn)
	case withdrawal.Query:
		go pl.query(ctx, ac)
	}
}

// signal queues an input of the failure detector. When the queue is full it drops the
// signal, so that senders never block on the detector.
func (pl *Pool) signal(sg withdrawal.Signal) {
	if !pl.signals.Offer(sg) {
		pl.dropped.Add(1)
	}
}

// DroppedSignals returns the number of signals to the failure detector that were dropped
// because its queue was full.
func (pl *Pool) DroppedSignals() uint64 { return pl.dropped.Load() }

// Send sends the attempt to the guard of a VM, and returns when its answer arrives, when a
// query to the guard yields its final state, just after its deadline, or when ctx ends.
//
// Each time a query for the state of an idempotent attempt fails, Send calls maySendBeside. If
// it returns true, Send returns State Running with the Pending attempt, which goes on: the guard
// may only be slow, and what is sent beside it may be refused. Otherwise Send continues to wait. An
// attempt whose link is not established is withdrawn in place of that.
//
// If the guard's stamp can't be obtained, the connection accepts no frame, or it is not established
// when the attempt ends, Send returns State Dequeued and Sent false: the attempt has not run.
func (pl *Pool) Send(ctx context.Context, vm call.VM, address string, at *attempt.Attempt, maySendBeside func() bool) Result {
	sp, err := pl.freshStamp(ctx, vm, address)
	if err != nil {
		return Result{State: withdrawal.Dequeued, Step: StepNoStamp}
	}
	at.Stamp = sp
	pa := &pendingAttempt{
		sent: time.Now(), address: address, stamp: sp, idempotent: at.Idempotent, maxAnswerBytes: at.MaxAnswerBytes,
		results: make(chan Result, 3),
	}
	cn := pl.register(vm, address, at.ID, pa)
	pd := &Pending{pool: pl, conn: cn, id: at.ID, deadline: at.Deadline, pendingAttempt: pa}
	pl.signal(withdrawal.Sent{Conn: cn.id, Attempt: at.ID, VM: vm, At: pa.sent, Deadline: at.Deadline})
	if err := cn.link.Send(at.Frame(pa.sent, cn.link.SupportsHeaderBlocks())); err != nil {
		return pd.settle(Result{State: withdrawal.Dequeued, Step: StepNotSent})
	}
	return pd.wait(ctx, maySendBeside)
}

// Pending is an attempt whose answer has not arrived yet.
type Pending struct {
	pool     *Pool
	conn     *conn
	id       call.AttemptID
	deadline time.Time
	*pendingAttempt
}

// Wait returns the result of an attempt that goes on after Send has returned. It must be called once,
// and cancels the attempt when ctx ends.
func (pd *Pending) Wait(ctx context.Context) Result {
	return pd.wait(ctx, func() bool { return false })
}

// wait is Send for an attempt that was sent.
func (pd *Pending) wait(ctx context.Context, maySendBeside func() bool) Result {
	timer := deadlineTimers.Get().(*time.Timer)
	timer.Reset(time.Until(pd.deadline) + lastAnswerTime)
	defer func() {
		timer.Stop()
		deadlineTimers.Put(timer)
	}()
	for {
		select {
		case rs := <-pd.results:
			if !rs.queryFailed {
				return pd.settle(rs)
			}
			pd.queryFailed.Store(false)
			if !maySendBeside() {
				continue
			}
			if pd.pool.closeUnsent(pd.conn) {
				return pd.settle(Result{State: withdrawal.Dequeued, Step: StepNotSent})
			}
			return Result{State: withdrawal.Running, Sent: true, Step: StepQueryUnanswered, Pending: pd}
		case <-timer.C:
			return pd.settle(pd.pool.abandon(pd.conn, pd.id))
		case <-ctx.Done():
			return pd.settle(pd.pool.abandon(pd.conn, pd.id))
		}
	}
}

// settle ends the watch over the attempt, and returns its result.
func (pd *Pending) settle(rs Result) Result {
	pd.pool.remove(pd.id)
	pd.pool.signal(withdrawal.Settled{Attempt: pd.id, Answered: rs.onOwnConn})
	return rs
}

// closeUnsent closes a link that could not be established for a while, as in a partition, and reports
// whether it did. Its attempts have not run.
func (pl *Pool) closeUnsent(cn *conn) bool {
	if time.Since(cn.opened) < unreachableTime || !cn.link.CloseUnsent() {
		return false
	}
	pl.markSuspect(cn.id)
	return true
}

// abandon gives up an attempt without an answer.
func (pl *Pool) abandon(cn *conn, id call.AttemptID) Result {
	if pl.closeUnsent(cn) {
		return Result{State: withdrawal.Dequeued, Step: StepNotSent}
	}
	pl.cancel(cn, id)
	return Result{State: withdrawal.Unknown, Sent: true, Step: StepEnded}
}

// deadlineTimers holds stopped timers for the deadlines of attempts.
var deadlineTimers = sync.Pool{New: func() any {
	timer := time.NewTimer(time.Hour)
	timer.Stop()
	return timer
}}

// SendDemand sends a demand to the guard of a VM. OnGrant receives the reply. The demand is
// lost if the guard can't be reached.
func (pl *Pool) SendDemand(vm call.VM, address string, de *attempt.Demand) {
	// The error is ignored because demands are repeated. The next one uses a new link if
	// this one is closed.
	_ = pl.connTo(vm, address).link.Send(de.Frame())
}

// SendRenewal sends a renewal to the node of a VM. OnRenewal receives the answer. The renewal is
// lost if the node can't be reached.
func (pl *Pool) SendRenewal(vm call.VM, address string, msg *schema.Renewal) {
	// The error is ignored because renewals are repeated, as demands are.
	_ = pl.connTo(vm, address).link.Send(&schema.Frame{Kind: &schema.Frame_Renewal{Renewal: msg}})
}

// DiscardUnused closes the connection to a VM that did not answer a renewal, so that the next one
// uses a new connection. A connection with attempts stays, as the failure detector decides on it.
func (pl *Pool) DiscardUnused(vm call.VM) {
	pl.mu.Lock()
	cn := pl.connsByVM[vm]
	pl.mu.Unlock()
	if cn != nil {
		pl.closeIfUnused(cn)
	}
}

// remove deletes a pending attempt.
func (pl *Pool) remove(id call.AttemptID) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pa := pl.pending[id]; pa != nil {
		pa.conn.numPending--
		delete(pl.pending, id)
	}
}

// lookup returns a pending attempt, or nil.
func (pl *Pool) lookup(id call.AttemptID) *pendingAttempt {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.pending[id]
}

// deliver passes a result to the waiting Send, which uses the first one only.
func (pa *pendingAttempt) deliver(rs Result) {
	select {
	case pa.results <- rs:
	default:
	}
}

// reportQueryFailure makes Send consider another attempt in place of this one. It does
// nothing for an attempt that is not idempotent, because that one must not be repeated
// while its state is unknown.
func (pa *pendingAttempt) reportQueryFailure() {
	if !pa.idempotent {
		return
	}
	if pa.queryFailed.CompareAndSwap(false, true) {
		pa.deliver(Result{queryFailed: true})
	}
}

// cancel notifies the guard that nobody waits for the answer of an attempt any more. If the link of the
// attempt has ended, the guard is told on the present one, since it lets the attempt go on for a while.
func (pl *Pool) cancel(cn *conn, id call.AttemptID) {
	fr := &schema.Frame{Kind: &schema.Frame_CancelledAttempt{CancelledAttempt: id[:]}}
	if cn.link.Send(fr) == nil {
		return
	}
	pl.mu.Lock()
	present := pl.connsByVM[cn.vm]
	pl.mu.Unlock()
	if present != nil && present != cn {
		// If this link ends as well, the guard cancels the attempt once it is not queried any more.
		_ = present.link.Send(fr)
	}
}

// readFrames handles the frames from a guard until the connection ends.
func (pl *Pool) readFrames(cn *conn) {
	for {
		fr, err := cn.link.Receive(idleTimeout)
		switch {
		case errors.Is(err, link.ErrIdle):
			if pl.closeIfUnused(cn) {
				return
			}
		case err != nil:
			// The closing of an unused connection says nothing about the VM.
			if !pl.wasUnused(cn) {
				pl.handleBrokenConn(cn)
			}
			return
		default:
			pl.handleFrame(cn, fr)
		}
	}
}

// handleFrame handles one frame from a guard. It ignores frames of unknown kinds.
func (pl *Pool) handleFrame(cn *conn, fr *schema.Frame) {
	switch kd := fr.GetKind().(type) {
	case *schema.Frame_Acknowledgement:
		pl.storeStamp(cn.vm, kd.Acknowledgement.GetStamp())
		cn.setGreeted()
		if id, ok := parseAttemptID(kd.Acknowledgement.GetAttemptId()); ok {
			pl.signal(withdrawal.Acked{Attempt: id})
		}
	case *schema.Frame_Answer:
		pl.storeStamp(cn.vm, kd.Answer.GetStamp())
		pl.onSuspicion(cn.vm, false)
		if id, ok := parseAttemptID(kd.Answer.GetAttemptId()); ok {
			pl.handleAnswer(cn, id, kd.Answer)
		}
	case *schema.Frame_Room:
		// A malformed grant is ignored, because the reply to the next demand replaces it.
		if svc, gr, err := attempt.FromGrantFrame(kd.Room); err == nil && pl.onGrant != nil {
			pl.onGrant(cn.vm, svc, gr)
		}
	case *schema.Frame_RenewalAnswer:
		if pl.onRenewal != nil {
			pl.onRenewal(cn.vm, kd.RenewalAnswer)
		}
	}
}

// recordTransit adds the time that an attempt and its answer spent between this node and
// the VM.
func (pl *Pool) recordTransit(vm call.VM, took time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	tt := pl.transits[vm]
	tt.count++
	tt.sum += took
	pl.transits[vm] = tt
}

// TakeTransitTimes returns the mean time that attempts and their answers spent between the
// nodes since the last call, and the VM with the longest mean together with that mean.
func (pl *Pool) TakeTransitTimes() (mean time.Duration, slowest call.VM, longest time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var all transitTotal
	for vm, tt := range pl.transits {
		all.count += tt.count
		all.sum += tt.sum
		if tt.mean() > longest {
			slowest, longest = vm, tt.mean()
		}
	}
	clear(pl.transits)
	return all.mean(), slowest, longest
}

// handleAnswer delivers an answer to the Send that waits for it. If none does, it drops
// the answer.
func (pl *Pool) handleAnswer(cn *conn, id call.AttemptID, msg *schema.AttemptAnswer) {
	pa := pl.lookup(id)
	if pa == nil {
		return
	}
	an, err := attempt.FromAnswerFrame(msg)
	if err != nil || int64(len(an.Body)) > pa.maxAnswerBytes || isDuplicate(an) {
		// A malformed or too large answer counts as lost, so the guard is queried. So it is about another
		// copy of the attempt.
		pl.signal(withdrawal.Failed{Attempt: id})
		return
	}
	rs := resultOf(an)
	rs.onOwnConn = true
	pa.deliver(rs)
	pl.recordTransit(cn.vm, time.Since(pa.sent)-an.GuardTime)
}

// isDuplicate reports whether an answer says only that the guard has another copy of the attempt, which may
// run.
func isDuplicate(an *attempt.Answer) bool {
	return an.Outcome == call.Unknown && an.Reason == guard.ReasonDuplicateAttempt
}

// parseAttemptID returns the attempt id in a frame. ok is false if its length is wrong.
func parseAttemptID(text []byte) (id call.AttemptID, ok bool) {
	return id, copy(id[:], text) == len(id) && len(text) == len(id)
}

// handleBrokenConn handles the attempts on a connection that has ended. If no byte was
// ever written to it, none of them ran. Otherwise the failure detector queries the guard.
func (pl *Pool) handleBrokenConn(cn *conn) {
	cn.link.Close()
	cn.setGreeted()
	began := cn.link.MayHaveSent()
	if !began {
		pl.discard(cn)
		pl.onSuspicion(cn.vm, true)
	}
	for id, pa := range pl.attemptsOn(cn) {
		if began {
			pl.signal(withdrawal.Failed{Attempt: id})
		} else {
			pa.deliver(Result{State: withdrawal.Dequeued, Step: StepNotSent})
		}
	}
	pl.markSuspect(cn.id)
}

// attemptsOn returns the pending attempts on a connection.
func (pl *Pool) attemptsOn(cn *conn) map[call.AttemptID]*pendingAttempt {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	all := make(map[call.AttemptID]*pendingAttempt, cn.numPending)
	for id, pa := range pl.pending {
		if pa.conn == cn {
			all[id] = pa
		}
	}
	return all
}

// resultOf returns the result for a complete answer from a guard.
func resultOf(an *attempt.Answer) Result {
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
