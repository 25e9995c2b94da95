package withdrawal

import (
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/state/expiry"
	"camphortrail/internal/traffic/decay"
)

// Bounds of the waiting times.
const (
	// minAckTimeout and maxAckWait bound the wait for an acknowledgement.
	minAckTimeout = 150 * time.Millisecond
	maxAckTimeout = 400 * time.Millisecond
	// defaultAckTimeout applies to a VM without measured round trips.
	defaultAckTimeout = 250 * time.Millisecond
	// minPollInterval and maxPollWait bound the time between two queries about
	// one attempt.
	minPollInterval = 150 * time.Millisecond
	maxPollInterval = 2 * time.Second
	// defaultPollInterval applies to a VM without measured answers.
	defaultPollInterval = 500 * time.Millisecond
	// timingRetention is the time for which the round trip to a VM is remembered
	// after its last use.
	timingRetention = 10 * time.Minute
	// stallThreshold is the delay of a due Passed from which the process
	// itself counts as having stalled.
	stallThreshold = 25 * time.Millisecond
	// maxStallAllowance bounds the time by which stalls put off a suspicion.
	maxStallAllowance = 500 * time.Millisecond
	// lagHalfLife is the time in which an observed lag of the process halves:
	// what delays it, such as other processes, comes and goes in seconds.
	lagHalfLife = time.Second
	// lagSteps is the number of goroutines that an attempt and its
	// acknowledgement pass through here, each of which may lag as much as the
	// one that takes note of the attempt.
	lagSteps = 4
)

// FailureDetector finds connections that went silent, and attempts whose answers
// were lost, at one entry. It is not safe for concurrent use.
type FailureDetector struct {
	lim      FailureDetectorLimits
	conns    map[ConnID]*conn
	attempts map[call.AttemptID]*pending
	timings      map[call.VM]*vmTiming
	idleTimings     expiry.Queue[*vmTiming]
	timers    expiry.Queue[*pending]
	// noSuspicionBefore is the time before which nothing is suspected.
	noSuspicionBefore time.Time
	// lag is the recent delay between the sending of attempts and the steps
	// that take note of it.
	lag      time.Duration
	lagClock decay.Clock
	actions     []Action
}

// conn is a connection with the attempts that it holds, oldest first. It is
// forgotten when it holds none.
type conn struct {
	id      ConnID
	timing    *vmTiming
	suspect bool
	// lastReceived is the time of the latest acknowledgement or answer.
	lastReceived time.Time
	attempts []*pending
}

// pending is an attempt without an answer.
type pending struct {
	id       call.AttemptID
	conn     *conn
	timing     *vmTiming
	sent     time.Time
	acked    bool
	expected time.Duration
	pollInterval     time.Duration
	deadline time.Time
	item     expiry.Item[*pending]
}

// NewFailureDetector returns a Suspicion without connections.
func NewFailureDetector(lim FailureDetectorLimits) *FailureDetector {
	return &FailureDetector{
		lim:      lim,
		conns:    make(map[ConnID]*conn),
		attempts: make(map[call.AttemptID]*pending),
		timings:      make(map[call.VM]*vmTiming),
	}
}

// NextWake returns the time at which Passed is due.
func (su *FailureDetector) NextWake() (time.Time, bool) {
	at, ok := su.timers.NextTime()
	if ok && at.Before(su.noSuspicionBefore) {
		return su.noSuspicionBefore, true
	}
	return at, ok
}

// IsSuspect reports whether the connection is suspect and still holds attempts.
func (su *FailureDetector) IsSuspect(id ConnID) bool {
	cn := su.conns[id]
	return cn != nil && cn.suspect
}

// ConnCount returns the number of connections that hold attempts.
func (su *FailureDetector) ConnCount() int { return len(su.conns) }

// Step applies sg at the time now. The result is valid until the next Step.
func (su *FailureDetector) Step(now time.Time, sg Signal) []Action {
	su.actions = su.actions[:0]
	su.expire(now)
	switch sg := sg.(type) {
	case Sent:
		su.sent(now, sg)
	case Acked:
		su.acked(now, sg.Attempt)
	case Settled:
		su.settled(now, sg)
	case Failed:
		su.failed(now, sg.Attempt)
	case ConnClosed:
		su.connClosed(now, sg.Conn)
	case TimePassed:
		su.timePassed(now)
	}
	return su.actions
}

func (su *FailureDetector) sent(now time.Time, sg Sent) {
	if su.attempts[sg.Attempt] != nil || len(su.attempts) >= su.lim.Attempts {
		return
	}
	if sg.At.IsZero() {
		sg.At = now
	}
	su.observeLag(now, now.Sub(sg.At))
	cn := su.connFor(now, sg.Conn, sg.VM)
	pe := &pending{
		id:       sg.Attempt,
		conn:     cn,
		timing:     cn.timing,
		sent:     sg.At,
		expected: sg.Expected,
		deadline: sg.Deadline,
	}
	pe.item.Value = pe
	su.attempts[pe.id] = pe
	cn.attempts = append(cn.attempts, pe)
	su.setTimer(pe, now.Add(su.ackTimeout(now, cn)))
}

// observeLag takes in the delay with which the process took note of an attempt.
func (su *FailureDetector) observeLag(now time.Time, late time.Duration) {
	su.lag = max(late, time.Duration(float64(su.lag)*su.lagClock.Factor(now, lagHalfLife)))
}

// ackTimeout returns the time within which an acknowledgement is expected on the
// connection. It grows while the process lags.
func (su *FailureDetector) ackTimeout(now time.Time, cn *conn) time.Duration {
	su.observeLag(now, 0)
	return cn.timing.ackTimeout() + min(lagSteps*su.lag, maxStallAllowance)
}

// connFor returns the connection, and adds it if it is new.
func (su *FailureDetector) connFor(now time.Time, id ConnID, vm call.VM) *conn {
	rt := su.timingFor(now, vm)
	cn := su.conns[id]
	if cn == nil {
		cn = &conn{id: id, timing: rt}
		su.conns[id] = cn
	}
	return cn
}

func (su *FailureDetector) acked(now time.Time, id call.AttemptID) {
	pe := su.attempts[id]
	if pe == nil || pe.acked {
		return
	}
	pe.acked = true
	pe.timing.observeAck(now.Sub(pe.sent))
	if pe.conn == nil || pe.conn.suspect {
		return
	}
	pe.conn.lastReceived = now
	su.setTimer(pe, now.Add(su.nextPollInterval(pe)))
}

func (su *FailureDetector) settled(now time.Time, sg Settled) {
	pe := su.attempts[sg.Attempt]
	if pe == nil {
		return
	}
	if sg.Answered && pe.conn != nil {
		pe.conn.lastReceived = now
	}
	if pe.acked || sg.Answered {
		pe.timing.observeAnswer(now.Sub(pe.sent))
	}
	su.remove(pe)
}

func (su *FailureDetector) remove(pe *pending) {
	delete(su.attempts, pe.id)
	su.timers.Remove(&pe.item)
	su.detach(pe)
}

// detach takes the attempt off its connection, and closes a suspect one that
// holds no more.
func (su *FailureDetector) detach(pe *pending) {
	cn := pe.conn
	if cn == nil {
		return
	}
	pe.conn = nil
	if i := slices.Index(cn.attempts, pe); i >= 0 {
		cn.attempts = slices.Delete(cn.attempts, i, i+1)
	}
	if len(cn.attempts) > 0 {
		return
	}
	delete(su.conns, cn.id)
	if cn.suspect {
		su.actions = append(su.actions, CloseConn{Conn: cn.id})
	}
}

func (su *FailureDetector) failed(now time.Time, id call.AttemptID) {
	pe := su.attempts[id]
	if pe == nil {
		return
	}
	if cn := pe.conn; cn != nil && !cn.suspect {
		cn.suspect = true
		su.actions = append(su.actions, MarkSuspect{Conn: cn.id})
	}
	su.detach(pe)
	su.query(now, pe)
}

func (su *FailureDetector) connClosed(now time.Time, id ConnID) {
	cn := su.conns[id]
	if cn == nil {
		return
	}
	delete(su.conns, id)
	for _, pe := range cn.attempts {
		pe.conn = nil
		su.query(now, pe)
	}
}

func (su *FailureDetector) timePassed(now time.Time) {
	if su.stalled(now) {
		return
	}
	for {
		pe, ok := su.timers.PopBefore(now)
		if !ok {
			return
		}
		su.handleTimer(now, pe)
	}
}

// stalled reports whether the process woke up late, or did so a moment ago:
// acknowledgements may wait to be read.
func (su *FailureDetector) stalled(now time.Time) bool {
	at, ok := su.NextWake()
	if !ok {
		return false
	}
	first, _ := su.timers.NextTime()
	late := now.Sub(at)
	if late > stallThreshold && now.Sub(first) < maxStallAllowance {
		su.noSuspicionBefore = now.Add(minAckTimeout / 2)
	}
	return now.Before(su.noSuspicionBefore)
}

func (su *FailureDetector) handleTimer(now time.Time, pe *pending) {
	switch cn := pe.conn; {
	case !now.Before(pe.deadline):
		su.remove(pe)
	case pe.acked || cn == nil || cn.suspect:
		su.query(now, pe)
	case now.Sub(cn.lastReceived) < su.ackTimeout(now, cn):
		// The connection works; the guard may be slow.
		su.setTimer(pe, cn.lastReceived.Add(su.ackTimeout(now, cn)))
	default:
		su.suspectConn(now, cn)
	}
}

// suspectConn withdraws all attempts of a connection.
func (su *FailureDetector) suspectConn(now time.Time, cn *conn) {
	cn.suspect = true
	su.actions = append(su.actions, MarkSuspect{Conn: cn.id})
	for _, pe := range cn.attempts {
		su.query(now, pe)
	}
}

func (su *FailureDetector) query(now time.Time, pe *pending) {
	su.actions = append(su.actions, Query{
		Attempt:  pe.id,
		VM:       pe.timing.vm,
		Withdraw: pe.conn == nil || pe.conn.suspect,
	})
	su.setTimer(pe, now.Add(su.nextPollInterval(pe)))
}

// nextPollInterval returns the time until the next query about the attempt, which
// doubles each time.
func (su *FailureDetector) nextPollInterval(pe *pending) time.Duration {
	if pe.pollInterval == 0 {
		pe.pollInterval = min(pe.timing.pollInterval(pe.expected), maxPollInterval)
		return pe.pollInterval
	}
	pe.pollInterval = min(2*pe.pollInterval, maxPollInterval)
	return pe.pollInterval
}

// setTimer sets the next time for the attempt, which is its deadline at the
// latest.
func (su *FailureDetector) setTimer(pe *pending, at time.Time) {
	if at.After(pe.deadline) {
		at = pe.deadline
	}
	su.timers.Set(&pe.item, at)
}
