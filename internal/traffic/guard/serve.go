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

// acknowledgeDelay is the time within which an attempt is acknowledged that has not
// been answered: a part of that after which its sender doubts the connection
// (package withdrawal). Most calls of busy services are answered sooner, and each
// frame that is left out saves a write, and a wake-up of the other node.
const acknowledgeDelay = 40 * time.Millisecond

// idleLink is the time for which an entry may send nothing. It closes links
// that it does not use well before.
const idleLink = 10 * time.Minute

// ServeHTTP takes attempts of another entry on a link.
func (gd *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	lk, err := link.Accept(w, r)
	if err != nil {
		return
	}
	gd.addLink(lk)
	defer gd.removeLink(lk)
	ctx, stop := context.WithCancel(context.WithoutCancel(r.Context()))
	defer stop()
	ses := &session{guard: gd, link: lk, ctx: ctx, cancels: make(map[call.AttemptID]context.CancelFunc)}
	for {
		fr, err := lk.Receive(idleLink)
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
		}
	}
}

// session is what goes on on a link.
type session struct {
	guard *Guard
	link  *link.Link
	ctx   context.Context

	mu      sync.Mutex
	cancels map[call.AttemptID]context.CancelFunc
	// arrived holds the attempts since the last acknowledgements. If there are any,
	// the next ones are due.
	arrived []call.AttemptID
}

// begin runs an attempt and answers.
func (ses *session) begin(msg *schema.Attempt) {
	gd := ses.guard
	arrival := time.Now()
	at, err := attempt.FromFrame(msg, arrival)
	if err != nil {
		gd.refuseFrame(ses.link, msg, err)
		return
	}
	gd.active.Enter()
	ctx, stop := context.WithCancel(ses.ctx)
	ses.mu.Lock()
	ses.cancels[at.ID] = stop
	if len(ses.arrived) == 0 {
		time.AfterFunc(acknowledgeDelay, ses.acknowledge)
	}
	ses.arrived = append(ses.arrived, at.ID)
	ses.mu.Unlock()
	gd.workers.Go(func() {
		defer gd.active.Exit()
		defer ses.cancel(at.ID[:])
		an := gd.Handle(ctx, at)
		an.GuardTime = time.Since(arrival)
		// An acknowledgement or answer that is not taken is found by withdrawal.
		_ = ses.link.Send(an.Frame(at.ID, gd.Stamp().String(), ses.link.Blocks()))
	})
}

// acknowledge tells the entry which of the attempts that arrived lately have no answer
// yet.
func (ses *session) acknowledge() {
	ses.mu.Lock()
	arrived := slices.DeleteFunc(ses.arrived, func(id call.AttemptID) bool { return ses.cancels[id] == nil })
	ses.arrived = nil
	ses.mu.Unlock()
	if len(arrived) == 0 {
		return
	}
	stamp := ses.guard.Stamp().String()
	for _, id := range arrived {
		_ = ses.link.Send(&schema.Frame{Kind: &schema.Frame_Acknowledgement{Acknowledgement: &schema.Acknowledgement{
			AttemptId: id[:], Stamp: stamp,
		}}})
	}
}

// refuseFrame answers an attempt that can't be read.
func (gd *Guard) refuseFrame(lk *link.Link, msg *schema.Attempt, err error) {
	var id call.AttemptID
	if copy(id[:], msg.GetAttemptId()) < len(id) {
		lk.Close()
		return
	}
	an := attempt.Refusal(err.Error(), 0)
	an.UnusedRetries = int(msg.GetAllowance())
	_ = lk.Send(an.Frame(id, gd.Stamp().String(), lk.Blocks()))
}

// cancel ends an attempt for which nobody waits any more.
func (ses *session) cancel(id []byte) {
	if len(id) != len(call.AttemptID{}) {
		return
	}
	ses.mu.Lock()
	stop := ses.cancels[call.AttemptID(id)]
	delete(ses.cancels, call.AttemptID(id))
	ses.mu.Unlock()
	if stop != nil {
		stop()
	}
}

func (gd *Guard) addLink(lk *link.Link) {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	gd.links[lk] = true
}

func (gd *Guard) removeLink(lk *link.Link) {
	lk.Close()
	gd.mu.Lock()
	defer gd.mu.Unlock()
	delete(gd.links, lk)
}

// Disconnect closes the links of all entries once their answers are written, or
// ctx ends.
func (gd *Guard) Disconnect(ctx context.Context) {
	gd.mu.Lock()
	links := slices.Collect(maps.Keys(gd.links))
	gd.mu.Unlock()
	for _, lk := range links {
		lk.Finish(ctx)
	}
}

// AnswerWithdraw answers the question of an entry about an attempt. Without a
// stamp it answers only with the guard's.
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
	res := gd.Withdraw(call.AttemptID(rq.GetAttemptId()), sp, rq.GetInspect())
	rs.State = schema.AttemptState(res.State)
	if res.HasAnswer {
		// The question does not tell whether its sender knows blocks.
		if rs.Answer, err = attempt.ExpandRecord(res.Answer); err != nil {
			return nil, errors.Wrap(err, "withdraw")
		}
	}
	return rs, nil
}
