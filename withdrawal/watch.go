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
	// minAckWait and maxAckWait bound the wait for an acknowledgement.
	minAckWait = 150 * time.Millisecond
	maxAckWait = 400 * time.Millisecond
	// firstAckWait applies to a VM without measured round trips.
	firstAckWait = 250 * time.Millisecond
	// minPollWait and maxPollWait bound the time between two queries about
	// one attempt.
	minPollWait = 150 * time.Millisecond
	maxPollWait = 2 * time.Second
	// firstPollWait applies to a VM without measured answers.
	firstPollWait = 500 * time.Millisecond
	// idleLife is the time for which the round trip to a VM is remembered
	// after its last use.
	idleLife = 10 * time.Minute
	// lateTolerance is the delay of a due Passed from which the process
	// itself counts as having stalled.
	lateTolerance = 25 * time.Millisecond
	// maxStall bounds the time by which stalls put off a suspicion.
	maxStall = 500 * time.Millisecond
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
	vms      map[call.VM]*roundTrip
	idle     expiry.Queue[*roundTrip]
	wakes    expiry.Queue[*pending]
	// grace is the time before which nothing is suspected.
	grace time.Time
	// lag is the recent delay between the sending of attempts and the steps
	// that take note of it.
	lag      time.Duration
	lagClock decay.Clock
	acts     []Action
}

// conn is a connection with the attempts that it holds, oldest first. It is
// forgotten when it holds none.
type conn struct {
	id      ConnID
	trip    *roundTrip
	suspect bool
	// heard is the time of the latest acknowledgement or answer.
	heard time.Time
	holds []*pending
}

// pending is an attempt without an answer.
type pending struct {
	id       call.AttemptID
	conn     *conn
	trip     *roundTrip
	sent     time.Time
	acked    bool
	expected time.Duration
	poll     time.Duration
	deadline time.Time
	item     expiry.Item[*pending]
}

// NewFailureDetector returns a Suspicion without connections.
func NewFailureDetector(lim FailureDetectorLimits) *FailureDetector {
	return &FailureDetector{
		lim:      lim,
		conns:    make(map[ConnID]*conn),
		attempts: make(map[call.AttemptID]*pending),
		vms:      make(map[call.VM]*roundTrip),
	}
}

// NextWake returns the time at which Passed is due.
func (su *FailureDetector) NextWake() (time.Time, bool) {
	at, ok := su.wakes.NextTime()
	if ok && at.Before(su.grace) {
		return su.grace, true
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
	su.acts = su.acts[:0]
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
		su.gone(now, sg.Conn)
	case TimePassed:
		su.passed(now)
	}
	return su.acts
}

func (su *FailureDetector) sent(now time.Time, sg Sent) {
	if su.attempts[sg.Attempt] != nil || len(su.attempts) >= su.lim.Attempts {
		return
	}
	if sg.At.IsZero() {
		sg.At = now
	}
	su.observeLag(now, now.Sub(sg.At))
	cn := su.connect(now, sg.Conn, sg.VM)
	pe := &pending{
		id:       sg.Attempt,
		conn:     cn,
		trip:     cn.trip,
		sent:     sg.At,
		expected: sg.Expected,
		deadline: sg.Deadline,
	}
	pe.item.Value = pe
	su.attempts[pe.id] = pe
	cn.holds = append(cn.holds, pe)
	su.wake(pe, now.Add(su.ackWait(now, cn)))
}

// observeLag takes in the delay with which the process took note of an attempt.
func (su *FailureDetector) observeLag(now time.Time, late time.Duration) {
	su.lag = max(late, time.Duration(float64(su.lag)*su.lagClock.Factor(now, lagHalfLife)))
}

// ackWait returns the time within which an acknowledgement is expected on the
// connection. It grows while the process lags.
func (su *FailureDetector) ackWait(now time.Time, cn *conn) time.Duration {
	su.observeLag(now, 0)
	return cn.trip.wait() + min(lagSteps*su.lag, maxStall)
}

// connect returns the connection, and adds it if it is new.
func (su *FailureDetector) connect(now time.Time, id ConnID, vm call.VM) *conn {
	rt := su.trip(now, vm)
	cn := su.conns[id]
	if cn == nil {
		cn = &conn{id: id, trip: rt}
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
	pe.trip.sample(now.Sub(pe.sent))
	if pe.conn == nil || pe.conn.suspect {
		return
	}
	pe.conn.heard = now
	su.wake(pe, now.Add(su.pollWait(pe)))
}

func (su *FailureDetector) settled(now time.Time, sg Settled) {
	pe := su.attempts[sg.Attempt]
	if pe == nil {
		return
	}
	if sg.Answered && pe.conn != nil {
		pe.conn.heard = now
	}
	if pe.acked || sg.Answered {
		pe.trip.answered(now.Sub(pe.sent))
	}
	su.drop(pe)
}

func (su *FailureDetector) drop(pe *pending) {
	delete(su.attempts, pe.id)
	su.wakes.Remove(&pe.item)
	su.leave(pe)
}

// leave takes the attempt off its connection, and closes a suspect one that
// holds no more.
func (su *FailureDetector) leave(pe *pending) {
	cn := pe.conn
	if cn == nil {
		return
	}
	pe.conn = nil
	if i := slices.Index(cn.holds, pe); i >= 0 {
		cn.holds = slices.Delete(cn.holds, i, i+1)
	}
	if len(cn.holds) > 0 {
		return
	}
	delete(su.conns, cn.id)
	if cn.suspect {
		su.acts = append(su.acts, CloseConn{Conn: cn.id})
	}
}

func (su *FailureDetector) failed(now time.Time, id call.AttemptID) {
	pe := su.attempts[id]
	if pe == nil {
		return
	}
	if cn := pe.conn; cn != nil && !cn.suspect {
		cn.suspect = true
		su.acts = append(su.acts, MarkSuspect{Conn: cn.id})
	}
	su.leave(pe)
	su.query(now, pe)
}

func (su *FailureDetector) gone(now time.Time, id ConnID) {
	cn := su.conns[id]
	if cn == nil {
		return
	}
	delete(su.conns, id)
	for _, pe := range cn.holds {
		pe.conn = nil
		su.query(now, pe)
	}
}

func (su *FailureDetector) passed(now time.Time) {
	if su.stalled(now) {
		return
	}
	for {
		pe, ok := su.wakes.PopBefore(now)
		if !ok {
			return
		}
		su.overdue(now, pe)
	}
}

// stalled reports whether the process woke up late, or did so a moment ago:
// acknowledgements may wait to be read.
func (su *FailureDetector) stalled(now time.Time) bool {
	at, ok := su.NextWake()
	if !ok {
		return false
	}
	first, _ := su.wakes.NextTime()
	late := now.Sub(at)
	if late > lateTolerance && now.Sub(first) < maxStall {
		su.grace = now.Add(minAckWait / 2)
	}
	return now.Before(su.grace)
}

func (su *FailureDetector) overdue(now time.Time, pe *pending) {
	switch cn := pe.conn; {
	case !now.Before(pe.deadline):
		su.drop(pe)
	case pe.acked || cn == nil || cn.suspect:
		su.query(now, pe)
	case now.Sub(cn.heard) < su.ackWait(now, cn):
		// The connection works; the guard may be slow.
		su.wake(pe, cn.heard.Add(su.ackWait(now, cn)))
	default:
		su.suspect(now, cn)
	}
}

// suspect withdraws all attempts of a connection.
func (su *FailureDetector) suspect(now time.Time, cn *conn) {
	cn.suspect = true
	su.acts = append(su.acts, MarkSuspect{Conn: cn.id})
	for _, pe := range cn.holds {
		su.query(now, pe)
	}
}

func (su *FailureDetector) query(now time.Time, pe *pending) {
	su.acts = append(su.acts, Query{
		Attempt:  pe.id,
		VM:       pe.trip.vm,
		Withdraw: pe.conn == nil || pe.conn.suspect,
	})
	su.wake(pe, now.Add(su.pollWait(pe)))
}

// pollWait returns the time until the next query about the attempt, which
// doubles each time.
func (su *FailureDetector) pollWait(pe *pending) time.Duration {
	if pe.poll == 0 {
		pe.poll = min(pe.trip.pollWait(pe.expected), maxPollWait)
		return pe.poll
	}
	pe.poll = min(2*pe.poll, maxPollWait)
	return pe.poll
}

// wake sets the next time for the attempt, which is its deadline at the
// latest.
func (su *FailureDetector) wake(pe *pending, at time.Time) {
	if at.After(pe.deadline) {
		at = pe.deadline
	}
	su.wakes.Set(&pe.item, at)
}
