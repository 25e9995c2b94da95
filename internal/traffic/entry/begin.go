package entry

import (
	"context"
	"net/http"
	"time"

	"camphortrail/config"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/throttle"
)

// begunRequest is a request that was accepted by its header, and whose body is being read.
type begunRequest struct {
	rq *request
	// config is the configuration by which it was accepted.
	config *config.Compiled
}

// Begin decides on a request by its header, before its body is read: whether it has a route and the
// key that it needs, whether the entry takes requests, and whether the usage cap and the throttle
// allow it. It returns a refusal, or nil. In the latter case the request must be passed to
// ServeRequest once it has its body, or to Abandon.
func (en *Entry) Begin(ctx context.Context, rd *Request) *attempt.Answer {
	now, cd := time.Now(), en.config.Load()
	rq, an := en.newRoutedRequest(rd, now)
	if an == nil && !rq.isCall && en.opt.HopRetries == 0 {
		an = en.decideEarly(ctx, rq)
	}
	if an != nil {
		en.recordAnswer(ctx, rd, rq, an, now)
		return an
	}
	rd.begun = &begunRequest{rq, cd}
	return nil
}

// decideEarly takes a request from its allowance and asks the throttle. It returns a refusal, or nil.
func (en *Entry) decideEarly(ctx context.Context, rq *request) *attempt.Answer {
	if an := en.takeAllowance(ctx, rq); an != nil {
		return an
	}
	de := en.admit(rq)
	if !de.Admitted {
		an := en.throttleRefusal(de)
		en.returnAllowance(rq, an)
		return an
	}
	rq.decision = &de
	return nil
}

// continueBegun returns a request that Begin has accepted, with its body. It returns a refusal if the
// request may not start any more.
func (en *Entry) continueBegun(rd *Request) (*request, *attempt.Answer) {
	rq := rd.begun.rq
	rq.body, rq.blocker, rq.memory = rd.Body, rd.Blocker, rd.Memory
	an := en.checkBegun(rd)
	if an != nil {
		en.release(rq)
	}
	return rq, an
}

// checkBegun refuses a request if the entry has stopped while its body was read, as others have been
// told to send their requests elsewhere, or if its key was withdrawn or may have been: a body can
// take longer to arrive than a withdrawal to be in force.
func (en *Entry) checkBegun(rd *Request) *attempt.Answer {
	rq, cd := rd.begun.rq, en.config.Load()
	if an := en.refuseWhileStopping(rq, time.Now()); an != nil {
		return an
	}
	switch {
	case rq.customer == nil || rq.public || !cd.HasCustomers():
		return nil
	case !en.keysFresh(cd):
		return attempt.Refusal(ReasonKeyStale, en.jitter(staleKeysRetryAfter))
	case cd == rd.begun.config:
		return nil
	}
	if cu, ok := credentialOf(rd).customerOf(cd); !ok || cu.Name != rq.customer.Name {
		return refusalWithStatus(ReasonKeyUnknown, http.StatusUnauthorized)
	}
	return nil
}

// Abandon ends a request that Begin has accepted and whose body did not arrive.
func (en *Entry) Abandon(rd *Request) {
	if rd.begun != nil {
		en.opt.Trees.Abandoned(rd.Connection)
		en.release(rd.begun.rq)
		rd.begun = nil
	}
}

// release returns what an accepted request has taken, as it does not run.
func (en *Entry) release(rq *request) {
	if rq.decision == nil {
		return
	}
	en.mu.Lock()
	en.throttles.CallerLeft(time.Now(), rq.kind.Class, throttle.Result{Share: rq.decision.Share, Importance: rq.ownImportance()}, false)
	en.mu.Unlock()
	en.returnAllowance(rq, attempt.Refusal(ReasonRequestIncomplete, 0))
	rq.decision, rq.decidedBy = nil, 0
}
