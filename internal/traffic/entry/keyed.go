package entry

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/schema"
)

const (
	// claimRetryAfter is the mean time after which a caller may retry while another
	// send of the same key runs.
	claimRetryAfter = 300 * time.Millisecond
	// endClaimTimeout bounds the completion or release of a claim after the answer.
	endClaimTimeout = 5 * time.Second
)

// serveKeyed serves a request. If the request has an idempotency key and is not
// idempotent, serveKeyed first claims the key, and does not run the request unless the
// claim is granted.
func (en *Entry) serveKeyed(ctx context.Context, rq *request) *attempt.Answer {
	if rq.key == "" || rq.kind.Idempotent || en.opt.Claims == nil {
		return en.execute(ctx, rq)
	}
	op := en.newClaim(rq)
	ctx, stop := context.WithDeadline(ctx, rq.deadline)
	defer stop()
	rs, err := en.opt.Claims.Do(ctx, op)
	if err != nil {
		// The claim may have been granted. Resends would be refused until it is
		// released.
		en.endClaim(op, schema.ClaimOperation_KIND_RELEASE, nil)
		return en.giveUp(rq, ReasonClaimsUnavailable, http.StatusServiceUnavailable, en.jitter(shedRetryAfter))
	}
	switch rs.GetState() {
	case schema.ClaimResult_STATE_GRANTED:
		op.Epoch = rs.GetEpoch()
	case schema.ClaimResult_STATE_FINISHED:
		return en.recordedAnswer(rq, rs)
	case schema.ClaimResult_STATE_HELD:
		rq.history.CallerResent = true
		return en.giveUp(rq, ReasonKeyInProgress, http.StatusConflict, en.jitter(claimRetryAfter))
	case schema.ClaimResult_STATE_MISMATCH:
		return refusalWithStatus(ReasonKeyOfAnotherRequest, http.StatusUnprocessableEntity)
	default:
		return en.giveUp(rq, ReasonClaimsUnavailable, http.StatusServiceUnavailable, en.jitter(shedRetryAfter))
	}
	rq.noEarlierRun, rq.history.CallerResent = true, false
	an := en.execute(ctx, rq)
	switch an.Outcome {
	case call.Done:
		en.endClaim(op, schema.ClaimOperation_KIND_COMPLETE, an)
	case call.NotRun:
		en.endClaim(op, schema.ClaimOperation_KIND_RELEASE, nil)
	default:
		en.endClaim(op, schema.ClaimOperation_KIND_COMPLETE, nil)
	}
	return an
}

// newClaim returns the operation that claims the key of a request for a new attempt id.
// The digest detects another request with the same key.
func (en *Entry) newClaim(rq *request) *schema.ClaimOperation {
	id := en.newAttemptID()
	digest := sha256.New()
	digest.Write([]byte(rq.method + " " + rq.uri + "\n"))
	digest.Write(rq.body)
	return &schema.ClaimOperation{
		Kind:       schema.ClaimOperation_KIND_CLAIM,
		Tenant:     string(rq.deployment),
		Key:        rq.claimKey(),
		AttemptId:  id[:],
		Digest:     digest.Sum(nil),
		RetentionS: uint32(rq.kind.KeyRetention / time.Second),
	}
}

// recordedAnswer returns the recorded answer to a request whose key was already executed,
// or a conflict if there is no readable record.
func (en *Entry) recordedAnswer(rq *request, rs *schema.ClaimResult) *attempt.Answer {
	if rec := rs.GetAnswer(); rec != nil {
		an, err := attempt.FromRecord(rec)
		if err == nil {
			return an
		}
		en.opt.Events.Add(time.Now(), events.Event{
			Kind: events.Failed, Request: rq.label, Reason: err.Error(), Class: string(rq.kind.Class), Service: string(rq.kind.Service),
		})
	}
	rq.history.CallerResent = true
	return en.giveUp(rq, ReasonKeyFinished, http.StatusConflict, 0)
}

// endClaim completes or releases a claim in the background. If that fails, the claim
// expires.
func (en *Entry) endClaim(claim *schema.ClaimOperation, kind schema.ClaimOperation_Kind, an *attempt.Answer) {
	op := &schema.ClaimOperation{
		Kind: kind, Tenant: claim.GetTenant(), Key: claim.GetKey(), AttemptId: claim.GetAttemptId(),
		Epoch: claim.GetEpoch(), Digest: claim.GetDigest(), RetentionS: claim.GetRetentionS(),
	}
	if an != nil {
		op.Answer = an.Record()
	}
	en.active.Enter()
	go func() {
		defer en.active.Exit()
		ctx, stop := context.WithTimeout(context.Background(), endClaimTimeout)
		defer stop()
		if op.GetEpoch() == 0 && !en.learnEpoch(ctx, claim, op) {
			return
		}
		_, _ = en.opt.Claims.Do(ctx, op)
	}()
}

// learnEpoch repeats a claim whose result was lost. If the claim is granted, it sets the
// epoch of op and returns true.
func (en *Entry) learnEpoch(ctx context.Context, claim, op *schema.ClaimOperation) bool {
	rs, err := en.opt.Claims.Do(ctx, claim)
	if err != nil || rs.GetState() != schema.ClaimResult_STATE_GRANTED {
		return false
	}
	op.Epoch = rs.GetEpoch()
	return true
}
