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
	signalQueueSize = 16384
	queryTimeout    = 500 * time.Millisecond
	// stampRefreshAge is the age from which a guard's stamp is renewed before it
	// is used.
	stampRefreshAge = 20 * time.Second
	maxWakeInterval = time.Hour
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
	// onOwnConn says that the answer came on the attempt's onOwnConn connection.
	onOwnConn bool
}

// Pool holds the connections to other guards. It is safe for concurrent use.
type Pool struct {
	signals *queue.Queue[withdrawal.Signal]
	dropped atomic.Uint64
	dial    DialFunc

	mu          sync.Mutex
	lastConnID  withdrawal.ConnID
	connsByVM   map[call.VM]*conn
	connsByID   map[withdrawal.ConnID]*conn
	queryConns  map[call.VM]*queryConn
	stamps      map[call.VM]receivedStamp
	pending     map[call.AttemptID]*pendingAttempt
	onSuspicion func(vm call.VM, suspect bool)
	onGrant     func(vm call.VM, svc call.Service, an allocation.Grant)
	// transits sums up the times of attempts and answers between the nodes, by VM.
	transits map[call.VM]transitTotal
}

// transitTotal sums up times.
type transitTotal struct {
	count int
	sum   time.Duration
}

// mean returns the mean of the times.
func (tt transitTotal) mean() time.Duration { return tt.sum / time.Duration(max(tt.count, 1)) }

// receivedStamp is the latest reading of a guard's clock, and when it arrived.
type receivedStamp struct {
	value    withdrawal.Stamp
	received time.Time
}

// pendingAttempt is an attempt that waits for its answer.
type pendingAttempt struct {
	conn           *conn
	sent           time.Time
	maxAnswerBytes int64
	address        string
	stamp          withdrawal.Stamp
	idempotent     bool
	results        chan Result
	// queryFailed takes word that the guard does not say what became of an
	// attempt that may be repeated.
	queryFailed chan struct{}
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
		dial:        opt.Dial,
		signals:     queue.New[withdrawal.Signal](signalQueueSize),
		connsByVM:   make(map[call.VM]*conn),
		connsByID:   make(map[withdrawal.ConnID]*conn),
		queryConns:  make(map[call.VM]*queryConn),
		stamps:      make(map[call.VM]receivedStamp),
		pending:     make(map[call.AttemptID]*pendingAttempt),
		onSuspicion: opt.OnSuspicion,
		transits:    make(map[call.VM]transitTotal),
		onGrant:     opt.OnGrant,
	}
}

// Run watches the attempts until ctx ends.
func (pl *Pool) Run(ctx context.Context) error {
	defer pl.closeAll()
	fd := withdrawal.NewFailureDetector(withdrawal.DefaultFailureDetectorLimits())
	timer := time.NewTimer(maxWakeInterval)
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
		wake := maxWakeInterval
		if at, ok := fd.NextWake(); ok {
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
// not say what became of an idempotent attempt, mayResend is asked whether another
// one may be sent in its place, and if so the result is unknown. Otherwise the
// answer is waited for: the guard may only be slow.
func (pl *Pool) Send(ctx context.Context, vm call.VM, address string, at *attempt.Attempt, mayResend func() bool) Result {
	sp, err := pl.freshStamp(ctx, vm, address)
	if err != nil {
		return Result{State: withdrawal.Dequeued}
	}
	at.Stamp = sp
	pa := &pendingAttempt{
		sent: time.Now(), address: address, stamp: sp, idempotent: at.Idempotent, maxAnswerBytes: at.MaxAnswerBytes,
		results: make(chan Result, 2), queryFailed: make(chan struct{}, 1),
	}
	cn := pl.register(vm, address, at.ID, pa)
	defer pl.remove(at.ID)
	pl.signal(withdrawal.Sent{Conn: cn.id, Attempt: at.ID, VM: vm, At: pa.sent, Deadline: at.Deadline})
	settled := withdrawal.Settled{Attempt: at.ID}
	defer func() { pl.signal(settled) }()
	if err := cn.link.Send(at.Frame(pa.sent, cn.link.SupportsHeaderBlocks())); err != nil {
		return Result{State: withdrawal.Dequeued}
	}
	unknown := Result{State: withdrawal.Unknown, Sent: true}
	for {
		select {
		case rs := <-pa.results:
			settled.Answered = rs.onOwnConn
			return rs
		case <-pa.queryFailed:
			if mayResend() {
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
	if pa := pl.pending[id]; pa != nil {
		pa.conn.numPending--
		delete(pl.pending, id)
	}
}

func (pl *Pool) lookup(id call.AttemptID) *pendingAttempt {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return pl.pending[id]
}

// deliver hands a result to the waiting Send; later ones are dropped.
func (pa *pendingAttempt) deliver(rs Result) {
	select {
	case pa.results <- rs:
	default:
	}
}

// reportQueryFailure says that the guard does not tell the state of the attempt.
func (pa *pendingAttempt) reportQueryFailure() {
	if !pa.idempotent {
		return
	}
	select {
	case pa.queryFailed <- struct{}{}:
	default:
	}
}

// cancel tells the guard that nobody waits for an attempt any more.
func (cn *conn) cancel(id call.AttemptID) {
	// The guard of a link that is closed has noticed that.
	_ = cn.link.Send(&schema.Frame{Kind: &schema.Frame_CancelledAttempt{CancelledAttempt: id[:]}})
}

// readFrames takes what a guard sends until the connection ends.
func (pl *Pool) readFrames(cn *conn) {
	for {
		fr, err := cn.link.Receive(idleTimeout)
		switch {
		case errors.Is(err, link.ErrIdle):
			if pl.closeIfUnused(cn) {
				return
			}
		case err != nil:
			pl.handleBrokenConn(cn)
			return
		default:
			pl.handleFrame(cn, fr)
		}
	}
}

// handleFrame takes in a frame of a guard.
func (pl *Pool) handleFrame(cn *conn, fr *schema.Frame) {
	switch kd := fr.GetKind().(type) {
	case *schema.Frame_Acknowledgement:
		if id, ok := parseAttemptID(kd.Acknowledgement.GetAttemptId()); ok {
			pl.storeStamp(cn.vm, kd.Acknowledgement.GetStamp())
			pl.signal(withdrawal.Acked{Attempt: id})
		}
	case *schema.Frame_Answer:
		pl.storeStamp(cn.vm, kd.Answer.GetStamp())
		pl.onSuspicion(cn.vm, false)
		if id, ok := parseAttemptID(kd.Answer.GetAttemptId()); ok {
			pl.handleAnswer(cn, id, kd.Answer)
		}
	case *schema.Frame_Room:
		// What cannot be read is told again soon.
		if svc, an, err := attempt.FromGrantFrame(kd.Room); err == nil && pl.onGrant != nil {
			pl.onGrant(cn.vm, svc, an)
		}
	}
}

// recordTransit counts the time that an attempt and its answer took between the nodes.
func (pl *Pool) recordTransit(vm call.VM, took time.Duration) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	tt := pl.transits[vm]
	tt.count++
	tt.sum += took
	pl.transits[vm] = tt
}

// TakeTransitTimes returns the mean time that attempts and their answers took between the
// nodes since the last call, the VM with the longest mean, and that.
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

// handleAnswer hands an answer to the sender of the attempt, if it still waits.
func (pl *Pool) handleAnswer(cn *conn, id call.AttemptID, msg *schema.AttemptAnswer) {
	pa := pl.lookup(id)
	if pa == nil {
		return
	}
	an, err := attempt.FromAnswerFrame(msg)
	if err != nil || int64(len(an.Body)) > pa.maxAnswerBytes {
		// An answer that can't be used is as good as lost.
		pl.signal(withdrawal.Failed{Attempt: id})
		return
	}
	rs := resultOf(an)
	rs.onOwnConn = true
	pa.deliver(rs)
	pl.recordTransit(cn.vm, time.Since(pa.sent)-an.GuardTime)
}

func parseAttemptID(text []byte) (id call.AttemptID, ok bool) {
	return id, copy(id[:], text) == len(id) && len(text) == len(id)
}

// handleBrokenConn settles the attempts of a connection that has ended. If it never came
// about, nothing was sent; otherwise the guard is asked.
func (pl *Pool) handleBrokenConn(cn *conn) {
	cn.link.Close()
	began := cn.link.MayHaveSent()
	if !began {
		pl.discard(cn)
		pl.onSuspicion(cn.vm, true)
	}
	for id, pa := range pl.attemptsOn(cn) {
		if began {
			pl.signal(withdrawal.Failed{Attempt: id})
		} else {
			pa.deliver(Result{State: withdrawal.Dequeued})
		}
	}
	pl.markSuspect(cn.id)
}

// attemptsOn returns the attempts on a connection.
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

// resultOf returns the result for a whole answer of a guard.
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
