package withdrawal

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
	"camphortrail/internal/traffic/decay"
)

// Bounds of the timeouts and poll intervals.
const (
	// minAckTimeout and maxAckTimeout bound the timeout of an acknowledgement as computed
	// from measured times.
	minAckTimeout = 150 * time.Millisecond
	maxAckTimeout = 400 * time.Millisecond
	// defaultAckTimeout applies to a VM that has not acknowledged any attempt.
	defaultAckTimeout = 250 * time.Millisecond
	// minPollInterval and maxPollInterval bound the time between two queries about one
	// attempt.
	minPollInterval = 400 * time.Millisecond
	maxPollInterval = 2 * time.Second
	// defaultPollInterval applies to a VM that has not answered any attempt.
	defaultPollInterval = 500 * time.Millisecond
	// timingRetention is the time for which the timing of a VM is remembered after the last
	// attempt sent to it.
	timingRetention = 10 * time.Minute
	// stallThreshold is the delay of a TimePassed from which this process itself is taken
	// to have stalled.
	stallThreshold = 25 * time.Millisecond
	// maxStallAllowance bounds the time by which stalls and lag of this process delay a suspicion.
	maxStallAllowance = 500 * time.Millisecond
	// lagHalfLife is the half-life of the observed lag of this process. Its causes, such as
	// other processes on the machine, come and go within seconds.
	lagHalfLife = time.Second
	// lagSteps is the number of goroutines of this process that handle an attempt and its
	// acknowledgement. Each of them may lag as much as the one that reports the attempt.
	lagSteps = 4
)

// FailureDetector detects, at one entry, connections on which nothing arrives any more and
// attempts whose answers were lost. It is a deterministic state machine without a clock: the
// caller passes Signals to Step and performs the Actions that it returns. It is not safe for
// concurrent use.
type FailureDetector struct {
	lim      FailureDetectorLimits
	conns    map[ConnID]*conn
	attempts map[call.AttemptID]*pending
	timings  map[call.VM]*vmTiming
	// idleTimings orders the timings by their expiry.
	idleTimings expiry.Queue[*vmTiming]
	// timers orders the pending attempts by the time of their next query or check.
	timers expiry.Queue[*pending]
	// noSuspicionBefore is the time until which TimePassed is ignored after a stall.
	noSuspicionBefore time.Time
	// lag is the decaying maximum of the delays between the sending of an attempt and the
	// step that reports it.
	lag      time.Duration
	lagClock decay.Clock
	actions  []Action
}

// conn is a connection with its pending attempts, oldest first. It is removed when it has
// no pending attempts left.
type conn struct {
	id      ConnID
	timing  *vmTiming
	suspect bool
	// lastReceived is the time of the latest acknowledgement or answer on the connection.
	lastReceived    time.Time
	pendingAttempts []*pending
}

// pending is an attempt whose answer has not arrived. Its conn is nil after the connection
// failed for it or was closed.
type pending struct {
	id           call.AttemptID
	conn         *conn
	timing       *vmTiming
	sent         time.Time
	acked        bool
	expected     time.Duration
	pollInterval time.Duration
	deadline     time.Time
	item         expiry.Item[*pending]
}

// NewFailureDetector returns a detector without connections.
func NewFailureDetector(lim FailureDetectorLimits) *FailureDetector {
	return &FailureDetector{
		lim:      lim,
		conns:    make(map[ConnID]*conn),
		attempts: make(map[call.AttemptID]*pending),
		timings:  make(map[call.VM]*vmTiming),
	}
}

// NextWake returns the time at which TimePassed is due, or false if no attempt is pending.
func (fd *FailureDetector) NextWake() (time.Time, bool) {
	at, ok := fd.timers.NextTime()
	if ok && at.Before(fd.noSuspicionBefore) {
		return fd.noSuspicionBefore, true
	}
	return at, ok
}

// IsSuspect reports whether the connection is suspect and still has pending attempts.
func (fd *FailureDetector) IsSuspect(id ConnID) bool {
	cn := fd.conns[id]
	return cn != nil && cn.suspect
}

// ConnCount returns the number of connections with pending attempts.
func (fd *FailureDetector) ConnCount() int { return len(fd.conns) }

// Step applies sg at the time now. The returned slice is valid until the next Step.
func (fd *FailureDetector) Step(now time.Time, sg Signal) []Action {
	fd.actions = fd.actions[:0]
	fd.expire(now)
	switch sg := sg.(type) {
	case Sent:
		fd.sent(now, sg)
	case Acked:
		fd.acked(now, sg.Attempt)
	case Settled:
		fd.settled(now, sg)
	case Failed:
		fd.failed(now, sg.Attempt)
	case ConnClosed:
		fd.connClosed(now, sg.Conn)
	case ConnDoubted:
		if cn := fd.conns[sg.Conn]; cn != nil && !cn.suspect {
			fd.suspectConn(now, cn)
		}
	case TimePassed:
		fd.timePassed(now)
	}
	return fd.actions
}

// sent starts to watch an attempt. Its acknowledgement is due after ackTimeout.
func (fd *FailureDetector) sent(now time.Time, sg Sent) {
	if fd.attempts[sg.Attempt] != nil || len(fd.attempts) >= fd.lim.Attempts {
		return
	}
	if sg.At.IsZero() {
		sg.At = now
	}
	fd.observeLag(now, now.Sub(sg.At))
	cn := fd.connFor(now, sg.Conn, sg.VM)
	pe := &pending{
		id:       sg.Attempt,
		conn:     cn,
		timing:   cn.timing,
		sent:     sg.At,
		expected: sg.Expected,
		deadline: sg.Deadline,
	}
	pe.item.Value = pe
	fd.attempts[pe.id] = pe
	cn.pendingAttempts = append(cn.pendingAttempts, pe)
	fd.setTimer(pe, now.Add(fd.ackTimeout(now, cn)))
}

// observeLag updates the lag with the delay with which an attempt was reported.
func (fd *FailureDetector) observeLag(now time.Time, late time.Duration) {
	fd.lag = max(late, time.Duration(float64(fd.lag)*fd.lagClock.Factor(now, lagHalfLife)))
}

// ackTimeout returns the time within which an acknowledgement is expected on the
// connection. It is extended by the lag of this process, so that a busy machine does not
// make connections suspect.
func (fd *FailureDetector) ackTimeout(now time.Time, cn *conn) time.Duration {
	fd.observeLag(now, 0)
	return cn.timing.baseAckTimeout() + min(lagSteps*fd.lag, maxStallAllowance)
}

// connFor returns the connection, which is added if it is new.
func (fd *FailureDetector) connFor(now time.Time, id ConnID, vm call.VM) *conn {
	vt := fd.timingFor(now, vm)
	cn := fd.conns[id]
	if cn == nil {
		cn = &conn{id: id, timing: vt}
		fd.conns[id] = cn
	}
	return cn
}

// acked records an acknowledgement. From then on the state of the attempt is polled.
func (fd *FailureDetector) acked(now time.Time, id call.AttemptID) {
	pe := fd.attempts[id]
	if pe == nil || pe.acked {
		return
	}
	pe.acked = true
	pe.timing.observeAck(now.Sub(pe.sent))
	if pe.conn == nil || pe.conn.suspect {
		return
	}
	pe.conn.lastReceived = now
	fd.setTimer(pe, now.Add(fd.nextPollInterval(pe)))
}

// settled records the time of an answer and stops watching the attempt.
func (fd *FailureDetector) settled(now time.Time, sg Settled) {
	pe := fd.attempts[sg.Attempt]
	if pe == nil {
		return
	}
	if sg.Answered && pe.conn != nil {
		pe.conn.lastReceived = now
	}
	if pe.acked || sg.Answered {
		pe.timing.observeAnswer(now.Sub(pe.sent))
	}
	fd.remove(pe)
}

// remove stops watching an attempt.
func (fd *FailureDetector) remove(pe *pending) {
	delete(fd.attempts, pe.id)
	fd.timers.Remove(&pe.item)
	fd.detach(pe)
}

// detach removes the attempt from its connection, and closes the connection if it is
// suspect and has no pending attempts left.
func (fd *FailureDetector) detach(pe *pending) {
	cn := pe.conn
	if cn == nil {
		return
	}
	pe.conn = nil
	if i := slices.Index(cn.pendingAttempts, pe); i >= 0 {
		cn.pendingAttempts = slices.Delete(cn.pendingAttempts, i, i+1)
	}
	if len(cn.pendingAttempts) > 0 {
		return
	}
	delete(fd.conns, cn.id)
	if cn.suspect {
		fd.actions = append(fd.actions, CloseConn{Conn: cn.id})
	}
}

// failed marks the connection of the attempt suspect and queries the attempt.
func (fd *FailureDetector) failed(now time.Time, id call.AttemptID) {
	pe := fd.attempts[id]
	if pe == nil {
		return
	}
	if cn := pe.conn; cn != nil && !cn.suspect {
		cn.suspect = true
		fd.actions = append(fd.actions, MarkSuspect{Conn: cn.id})
	}
	fd.detach(pe)
	fd.query(now, pe)
}

// connClosed queries all pending attempts of a closed connection.
func (fd *FailureDetector) connClosed(now time.Time, id ConnID) {
	cn := fd.conns[id]
	if cn == nil {
		return
	}
	delete(fd.conns, id)
	for _, pe := range cn.pendingAttempts {
		pe.conn = nil
		fd.query(now, pe)
	}
}

// timePassed handles all timers that are due, unless this process stalled.
func (fd *FailureDetector) timePassed(now time.Time) {
	if fd.stalled(now) {
		return
	}
	for {
		pe, ok := fd.timers.PopBefore(now)
		if !ok {
			return
		}
		fd.handleTimer(now, pe)
	}
}

// stalled reports whether this process woke up late, now or within the last
// minAckTimeout/2. Acknowledgements may then have arrived without being read, so their
// absence is no evidence of a failed connection. Stalls do not delay a timer any further
// once it is overdue by maxStallAllowance.
func (fd *FailureDetector) stalled(now time.Time) bool {
	at, ok := fd.NextWake()
	if !ok {
		return false
	}
	first, _ := fd.timers.NextTime()
	late := now.Sub(at)
	if late > stallThreshold && now.Sub(first) < maxStallAllowance {
		fd.noSuspicionBefore = now.Add(minAckTimeout / 2)
	}
	return now.Before(fd.noSuspicionBefore)
}

// handleTimer handles a due timer: it stops watching an attempt whose deadline has passed,
// queries one that was acknowledged or is on a failed connection, and otherwise suspects the
// connection.
func (fd *FailureDetector) handleTimer(now time.Time, pe *pending) {
	switch cn := pe.conn; {
	case !now.Before(pe.deadline):
		fd.remove(pe)
	case pe.acked || cn == nil || cn.suspect:
		fd.query(now, pe)
	case now.Sub(cn.lastReceived) < fd.ackTimeout(now, cn):
		// Something arrived on the connection recently, so the guard is merely slow to
		// acknowledge this attempt.
		fd.setTimer(pe, cn.lastReceived.Add(fd.ackTimeout(now, cn)))
	default:
		fd.suspectConn(now, cn)
	}
}

// suspectConn marks a connection suspect and withdraws all its pending attempts.
func (fd *FailureDetector) suspectConn(now time.Time, cn *conn) {
	cn.suspect = true
	fd.actions = append(fd.actions, MarkSuspect{Conn: cn.id})
	for _, pe := range cn.pendingAttempts {
		fd.query(now, pe)
	}
}

// query emits a Query for the attempt and schedules the next one. The attempt is withdrawn
// if its connection has failed.
func (fd *FailureDetector) query(now time.Time, pe *pending) {
	fd.actions = append(fd.actions, Query{
		Attempt:  pe.id,
		VM:       pe.timing.vm,
		Withdraw: pe.conn == nil || pe.conn.suspect,
	})
	fd.setTimer(pe, now.Add(fd.nextPollInterval(pe)))
}

// nextPollInterval returns the time until the next query about the attempt. It doubles
// with each call, up to maxPollInterval.
func (fd *FailureDetector) nextPollInterval(pe *pending) time.Duration {
	if pe.pollInterval == 0 {
		pe.pollInterval = min(pe.timing.firstPollInterval(pe.expected), maxPollInterval)
		return pe.pollInterval
	}
	pe.pollInterval = min(2*pe.pollInterval, maxPollInterval)
	return pe.pollInterval
}

// setTimer sets the timer of the attempt to the time at, or to its deadline if that is
// earlier.
func (fd *FailureDetector) setTimer(pe *pending, at time.Time) {
	if at.After(pe.deadline) {
		at = pe.deadline
	}
	fd.timers.Set(&pe.item, at)
}
