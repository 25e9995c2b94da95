package guard

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/link"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

// acknowledgeDelay is the time after which an attempt without an answer is acknowledged.
// It is well under the time after which the sender doubts the connection (package
// withdrawal). Most calls of busy services are answered sooner, and each acknowledgement
// that is not sent saves a write and a wake-up of the other node.
const acknowledgeDelay = 80 * time.Millisecond

// linkIdleTimeout is the time without a frame after which the guard closes a link.
// Entries close unused links well before.
const linkIdleTimeout = 10 * time.Minute

// ServeHTTP upgrades the connection to a link, and serves the attempts, demands and renewals of an
// entry on it until the link ends.
func (gd *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lk, err := link.Accept(w, r)
	if err != nil {
		return
	}
	lk.SetQuota(gd.linkQuota)
	gd.addLink(lk)
	// The entry needs a stamp before it sends its first attempt. Sending fails if the link has
	// closed already, which Receive reports.
	_ = lk.Send(&schema.Frame{Kind: &schema.Frame_Acknowledgement{Acknowledgement: &schema.Acknowledgement{Stamp: gd.Stamp().String()}}})
	defer gd.removeLink(lk)
	ses := &session{guard: gd, link: lk, unanswered: make(map[call.AttemptID]*pendingAttempt)}
	ses.timer = time.AfterFunc(acknowledgeDelay, ses.acknowledge)
	ses.timer.Stop()
	defer ses.end()
	for {
		fr, err := lk.Receive(linkIdleTimeout)
		if err != nil {
			return
		}
		switch kd := fr.GetKind().(type) {
		case *schema.Frame_Attempt:
			ses.begin(kd.Attempt)
		case *schema.Frame_CancelledAttempt:
			ses.cancel(kd.CancelledAttempt)
		case *schema.Frame_Demand:
			gd.serveDemand(lk, kd.Demand)
		case *schema.Frame_Renewal:
			if gd.answerRenewal != nil {
				// If the answer is lost, the next renewal gets one.
				_ = lk.Send(&schema.Frame{Kind: &schema.Frame_RenewalAnswer{RenewalAnswer: gd.answerRenewal(kd.Renewal)}})
			}
		}
	}
}

// session holds the attempts that came on one link and are not answered yet.
type session struct {
	guard *Guard
	link  *link.Link
	// timer runs acknowledge.
	timer *time.Timer

	mu sync.Mutex
	// unanswered holds the attempts without an answer.
	unanswered map[call.AttemptID]*pendingAttempt
	// unacknowledged holds the attempts that are neither acknowledged nor known to be
	// answered, oldest first. While there are any, the timer is set.
	unacknowledged []arrivedAttempt
}

// arrivedAttempt is an attempt and the time of its arrival.
type arrivedAttempt struct {
	id call.AttemptID
	at time.Time
}

// begin runs an attempt in another goroutine, which sends the answer.
func (ses *session) begin(msg *schema.Attempt) {
	gd := ses.guard
	arrival := time.Now()
	pa := newPendingAttempt(gd, nil)
	held := attemptMemory(msg)
	// A wait would hold up the other frames of the link.
	if pa.request.TryGrowKept(held) != nil {
		gd.refuseFrame(ses.link, msg, errNoMemory)
		return
	}
	at, err := attempt.FromFrame(msg, arrival)
	if err != nil {
		pa.request.Drop(held)
		gd.refuseFrame(ses.link, msg, err)
		return
	}
	gd.active.Enter()
	pa.attempt, pa.run.Deadline = at, gd.runDeadline(at)
	ses.mu.Lock()
	ses.unanswered[at.ID] = pa
	if len(ses.unacknowledged) == 0 {
		ses.timer.Reset(acknowledgeDelay)
	}
	ses.unacknowledged = append(ses.unacknowledged, arrivedAttempt{at.ID, arrival})
	ses.mu.Unlock()
	gd.workers.Go(func() {
		defer gd.active.Exit()
		defer ses.remove(at.ID)
		defer pa.request.Drop(held)
		defer pa.memory.Release()
		an := gd.handle(pa)
		an.GuardTime = time.Since(arrival)
		// If sending fails, the entry asks for the answer by a withdrawal.
		_ = ses.link.Send(an.Frame(at.ID, gd.Stamp().String(), ses.link.SupportsHeaderBlocks()))
	})
}

// acknowledge sends an acknowledgement for each attempt that arrived acknowledgeDelay ago or
// earlier and has no answer yet. It sets the timer for the next one.
func (ses *session) acknowledge() {
	now := time.Now()
	for _, id := range ses.takeDue(now) {
		_ = ses.link.Send(&schema.Frame{Kind: &schema.Frame_Acknowledgement{Acknowledgement: &schema.Acknowledgement{
			AttemptId: id[:], Stamp: ses.guard.Stamp().String(),
		}}})
	}
}

// takeDue removes and returns the attempts to acknowledge at the given time.
func (ses *session) takeDue(now time.Time) (due []call.AttemptID) {
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.unacknowledged = slices.DeleteFunc(ses.unacknowledged, func(aa arrivedAttempt) bool {
		unanswered := ses.unanswered[aa.id] != nil
		if isDue := now.Sub(aa.at) >= acknowledgeDelay; unanswered && !isDue {
			return false
		}
		if unanswered {
			due = append(due, aa.id)
		}
		return true
	})
	if len(ses.unacknowledged) > 0 {
		ses.timer.Reset(acknowledgeDelay - now.Sub(ses.unacknowledged[0].at))
	}
	return due
}

// errNoMemory is the error of an attempt for which the guard has no memory.
var errNoMemory = errors.New(ReasonNoMemory)

// refuseFrame answers an attempt that is malformed, or for which there is no memory, with the error
// as reason. It closes the link if the attempt has no usable id.
func (gd *Guard) refuseFrame(lk *link.Link, msg *schema.Attempt, err error) {
	var id call.AttemptID
	if copy(id[:], msg.GetAttemptId()) < len(id) {
		lk.Close()
		return
	}
	an := attempt.Refusal(err.Error(), 0)
	if err == errNoMemory {
		an.RetryAfter, an.Overload = fullRetryAfter, true
	}
	an.UnusedRetries = int(msg.GetAllowance())
	_ = lk.Send(an.Frame(id, gd.Stamp().String(), lk.SupportsHeaderBlocks()))
}

// cancel cancels an attempt whose entry does not wait for the answer any more. It does nothing
// for an unknown id.
func (ses *session) cancel(id []byte) {
	if len(id) != len(call.AttemptID{}) {
		return
	}
	ses.mu.Lock()
	defer ses.mu.Unlock()
	pa := ses.unanswered[call.AttemptID(id)]
	if pa == nil {
		// It may have come on a link that has ended.
		ses.guard.orphans.cancel(call.AttemptID(id))
		return
	}
	pa.cancel()
	delete(ses.unanswered, call.AttemptID(id))
}

// remove removes an attempt that has its answer.
func (ses *session) remove(id call.AttemptID) {
	ses.mu.Lock()
	delete(ses.unanswered, id)
	ses.mu.Unlock()
	ses.guard.orphans.remove(id)
}

// end leaves the attempts of a link that has ended to their entries.
func (ses *session) end() {
	ses.timer.Stop()
	ses.mu.Lock()
	defer ses.mu.Unlock()
	ses.guard.orphans.add(ses.unanswered)
	ses.unanswered = nil
}

// addLink registers a link for Disconnect.
func (gd *Guard) addLink(lk *link.Link) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.links[lk] = true
}

// removeLink closes a link and removes it from those that Disconnect closes.
func (gd *Guard) removeLink(lk *link.Link) {
	lk.Close()
	gd.mu.Lock()
	defer gd.mu.Unlock()
	delete(gd.links, lk)
}

// Disconnect closes the links of all entries, each once its answers are written or ctx
// ends.
func (gd *Guard) Disconnect(ctx context.Context) {
	gd.mu.Lock()
	links := slices.Collect(maps.Keys(gd.links))
	gd.mu.Unlock()
	for _, lk := range links {
		lk.Shutdown(ctx)
	}
}

// AnswerWithdraw answers a withdrawal or inspection of an attempt by an entry. For a
// request without a stamp the response holds only the guard's stamp. Malformed requests
// give an error.
func (gd *Guard) AnswerWithdraw(rq *schema.WithdrawRequest) (*schema.WithdrawResponse, error) {
	rs := &schema.WithdrawResponse{Stamp: gd.Stamp().String()}
	if rq.GetStamp() == "" {
		return rs, nil
	}
	if len(rq.GetAttemptId()) != len(call.AttemptID{}) {
		return nil, errors.Wrap(call.ErrBadID, "withdraw")
	}
	sp, err := withdrawal.ParseStamp(rq.GetStamp())
	if err != nil {
		return nil, errors.Wrap(err, "withdraw")
	}
	gd.orphans.asked(call.AttemptID(rq.GetAttemptId()))
	res := gd.Withdraw(call.AttemptID(rq.GetAttemptId()), sp, rq.GetInspect())
	rs.State = schema.AttemptState(res.State)
	if res.HasAnswer {
		// The request does not say whether its sender understands header blocks.
		if rs.Answer, err = attempt.ExpandRecord(res.Answer); err != nil {
			return nil, errors.Wrap(err, "withdraw")
		}
	}
	return rs, nil
}
