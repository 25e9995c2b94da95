package entry

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/cost"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/peer"
	"camphortrail/retry"
	"camphortrail/route"
	"camphortrail/withdrawal"
)

// maxReroutes is the number of attempts after which a request gets no further one if the
// latest did not run. Attempts that reached no upstream are free of charge, so the retry
// budget does not bound them.
const maxReroutes = 3

// serveUntilDeadline serves a request within its deadline, and then reports the result to
// the call tree and closes the retry account.
func (en *Entry) serveUntilDeadline(ctx context.Context, rq *request) *attempt.Answer {
	if rq.parent != nil {
		rq.parent.BeginCall(time.Now())
	}
	an := en.serveKeyed(ctx, rq)
	now := time.Now()
	if rq.parent != nil {
		rq.parent.EndCall(now, calltree.CallFailures{
			Overload: rq.failedByOverload(an), Unreachable: rq.failedUnreachable(an), UpstreamFault: rq.failedByUpstreamFault(an),
		})
		if !an.Failed() && an.Status < http.StatusInternalServerError {
			rq.parent.CompleteCall()
		}
		en.opt.Trees.RecordOccupancy(now, rq.parent.Class, rq.kind.Service, rq.occupancy)
	}
	if rq.isCall {
		en.opt.Trees.CallEnded(now, rq.parent, calltree.EndedCall{
			Service: rq.kind.Service, Class: rq.kind.Class, FanOut: rq.fanOut, Ran: an.Outcome != call.NotRun,
			Connection: rq.connection,
		})
	}
	if rq.hasOwnAccount() {
		en.opt.Trees.StepRetry(now, retry.Close{Account: rq.account})
	}
	return an
}

// ended reports whether nobody waits for the answer any more: ctx, which is the caller's, has
// ended, or the deadline has passed. Requests have no contexts of their own with the deadline,
// because their timers would be a large part of the cost of a short request.
func (rq *request) ended(ctx context.Context, now time.Time) bool {
	return ctx.Err() != nil || !now.Before(rq.deadline)
}

// hasOwnAccount reports whether the request has its own retry account. Otherwise it is
// charged to the account of its parent attempt.
func (rq *request) hasOwnAccount() bool {
	return rq.ownAccount != call.RequestID{} || rq.parent == nil && !rq.parentUnknown
}

// failedByOverload reports whether the answer is a failure because work was refused under
// overload or the deadline passed.
func (rq *request) failedByOverload(an *attempt.Answer) bool {
	failed := an.Failed() || an.Status == http.StatusInternalServerError
	return failed && (rq.overload || an.Status == http.StatusGatewayTimeout)
}

// failedByUpstreamFault reports whether the answer is a failure only because upstreams with free
// slots refused work: the last attempt, or calls further downstream.
func (rq *request) failedByUpstreamFault(an *attempt.Answer) bool {
	failed := an.Failed() || an.Status == http.StatusInternalServerError
	last := rq.lastResult.Answer
	return failed && rq.overload && last != nil && last.UpstreamFault && an.Status != http.StatusGatewayTimeout
}

// failedUnreachable reports whether the answer is a failure because no VM of a service could be
// reached: the service of the request, or one further downstream.
func (rq *request) failedUnreachable(an *attempt.Answer) bool {
	return an.Unreachable || an.Outcome == call.NotRun && (an.Reason == ReasonUnreachable || an.Reason == ReasonNoUpstream)
}

// execute charges the request to its retry account and sends its attempts.
func (en *Entry) execute(ctx context.Context, rq *request) *attempt.Answer {
	if !time.Now().Before(rq.deadline) {
		return en.giveUp(rq, ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	if an := en.chargeAccount(rq); an != nil {
		return an
	}
	return en.serveAttempts(ctx, rq)
}

// chargeAccount charges the request to its retry account. It returns a refusal if the
// budget is spent, and nil otherwise.
func (en *Entry) chargeAccount(rq *request) *attempt.Answer {
	if en.opt.HopRetries > 0 {
		return nil
	}
	now := time.Now()
	var rs retry.Result
	if !rq.hasOwnAccount() {
		rs = en.opt.Trees.StepRetry(now, retry.Call{Account: rq.account, Digest: rq.digest()})
	} else {
		rs = en.opt.Trees.StepRetry(now, retry.OpenRequest{
			Request: rq.accountID(), Total: retry.Budget(rq.kind.RetryTotal), Resend: rq.resend, Deadline: rq.deadline,
		})
	}
	switch rs.Decision {
	case retry.FirstSend:
		return nil
	case retry.Charged:
		rq.history.CallerResent = !rq.noEarlierRun
		return nil
	default:
		rq.history.CallerResent = rq.history.CallerResent || !rq.noEarlierRun && (!rq.hasOwnAccount() || rq.resend > 0)
		return en.giveUp(rq, ReasonRetryTotal, http.StatusServiceUnavailable, 0)
	}
}

// accountID returns the request id of the request's own retry account.
func (rq *request) accountID() call.RequestID {
	if rq.ownAccount != (call.RequestID{}) {
		return rq.ownAccount
	}
	return rq.id
}

// giveUp returns the answer to a request that gets no further attempt. It is the last
// complete answer of an upstream, if there was one, although it reports a failure.
func (en *Entry) giveUp(rq *request, reason string, status int, retryAfter time.Duration) *attempt.Answer {
	if rq.answer != nil {
		return rq.answer
	}
	an := attempt.UnknownOutcome(reason, status)
	an.Outcome, an.RetryAfter = rq.history.Outcome(), retryAfter
	return an
}

// serveAttempts sends attempts until one brings an answer, or until no further one is allowed and none may
// be at work any more. Of what may be, only an answer of an upstream, its caller and its deadline end a
// request.
func (en *Entry) serveAttempts(ctx context.Context, rq *request) *attempt.Answer {
	an := en.sendAttempts(ctx, rq)
	if rq.beside != nil {
		an = en.awaitBeside(ctx, rq, an)
	}
	if an.Outcome == call.Unknown && rq.untraced {
		return en.expire(ctx, rq)
	}
	return an
}

// sendAttempts sends attempts until one brings an answer or no further attempt is allowed.
func (en *Entry) sendAttempts(ctx context.Context, rq *request) *attempt.Answer {
	// refused holds the VMs that are not tried again: those whose upstreams refused a request that may run
	// only once, and those at which an attempt goes on.
	var exclude, refused []call.VM
	for {
		if an := en.takeBeside(ctx, rq); an != nil {
			return an
		}
		now := time.Now()
		if rq.ended(ctx, now) {
			return en.giveUp(rq, ReasonDeadline, http.StatusGatewayTimeout, 0)
		}
		vm, address, err := en.chooseVM(now, rq, exclude)
		if errors.Is(err, route.ErrNoUpstream) && len(exclude) > len(refused) && !rq.overload {
			// An upstream that just failed is better than none. But a VM that refused is
			// not tried again: a late copy of its refusal would look like a refusal of
			// the next attempt.
			exclude = slices.Clone(refused)
			vm, address, err = en.chooseVM(now, rq, exclude)
		}
		if err != nil {
			return en.unroutable(ctx, rq, err)
		}
		rs := en.send(ctx, rq, vm, address)
		if an := en.takeBeside(ctx, rq); an != nil {
			return an
		}
		rq.lastResult = rs
		if rs.Answer != nil && rs.Answer.Outcome == call.Done {
			rq.answer = rs.Answer
			if !en.worthRetrying(rq, rs.Answer) {
				en.countSuccess(rq, rs.Answer)
				return rs.Answer
			}
		}
		if reachedDeadline(rs) {
			return en.expire(ctx, rq)
		}
		if advice := rq.history.Decide(); advice == withdrawal.GiveUp || advice == withdrawal.Wait {
			return en.answerUnknown(ctx, rq, rs)
		}
		if en.mayRestamp(rq, rs) {
			continue
		}
		exclude = append(exclude, vm)
		if !rq.kind.Idempotent && rs.Answer != nil && rs.Answer.UpstreamRefused || rs.Pending != nil {
			refused = append(refused, vm)
		}
		if !en.mayRetry(rq, rs) {
			return en.exhausted(ctx, rq, rs)
		}
		if !rq.ended(ctx, time.Now()) {
			en.recordResend(rq, rs, vm)
		}
	}
}

// reachedDeadline reports whether the guard has ended an attempt that ran, at its deadline.
func reachedDeadline(rs peer.Result) bool {
	return rs.Answer != nil && rs.Answer.Outcome == call.Unknown && rs.Answer.Reason == guard.ReasonDeadline
}

// expire answers a request whose last attempt has reached its deadline by the clock of a guard. That
// clock may be ahead, and the time that is left is too short for another attempt.
func (en *Entry) expire(ctx context.Context, rq *request) *attempt.Answer {
	timer := time.NewTimer(time.Until(rq.deadline))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return en.giveUp(rq, ReasonDeadline, http.StatusGatewayTimeout, 0)
}

// chooseVM returns the VM for the next attempt and its peer address. The error wraps
// route.ErrNoUpstream or route.ErrShed.
func (en *Entry) chooseVM(now time.Time, rq *request, exclude []call.VM) (call.VM, string, error) {
	want := route.Request{
		Service: rq.kind.Service, Importance: rq.importance, Cohort: rq.id.Cohort().After(rq.callsDone), Exclude: exclude,
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.costs != nil {
		rq.cost = en.costs.Estimate(rq.costKey()).Mean
		want.Cost = rq.cost
	}
	vm, err := en.routes.Choose(now, want)
	if err != nil {
		return "", "", err
	}
	if wn := en.windows[rq.kind.Service]; wn != nil && rq.attempts == 0 {
		wn.FirstSend(now)
	}
	en.routes.Step(now, route.Sent{Service: rq.kind.Service, VM: vm, Importance: rq.importance, Cost: rq.cost})
	return vm, en.addresses[vm], nil
}

// unroutable returns the answer to a request for which chooseVM returned err.
func (en *Entry) unroutable(ctx context.Context, rq *request, err error) *attempt.Answer {
	if rq.attempts > 0 && errors.Is(err, route.ErrNoUpstream) {
		return en.exhausted(ctx, rq, rq.lastResult)
	}
	if errors.Is(err, route.ErrShed) {
		rq.overload = true
		return en.giveUp(rq, ReasonOverload, http.StatusServiceUnavailable, en.jitter(shedRetryAfter))
	}
	return en.giveUp(rq, ReasonNoUpstream, http.StatusServiceUnavailable, en.jitter(shedRetryAfter))
}

// shedRetryAfter is the mean time after which a caller may retry a request that was shed
// or found no upstream.
const shedRetryAfter = 500 * time.Millisecond

// jitter returns a random time between 0.5 and 1.5 times the mean, so that callers do not
// retry all at once.
func (en *Entry) jitter(mean time.Duration) time.Duration {
	en.mu.Lock()
	defer en.mu.Unlock()
	return mean/2 + time.Duration(en.rng.Int64N(int64(mean)))
}

// send sends one attempt to a VM, and records and returns its result.
func (en *Entry) send(ctx context.Context, rq *request, vm call.VM, address string) peer.Result {
	at := rq.newAttempt(en.newAttemptID())
	carried := en.opt.Trees.StepRetry(time.Now(), retry.Send{Account: rq.account, Attempt: at.ID})
	at.RetryBudget = int(carried.Budget)
	rq.history.RecordSent(at.ID)
	rq.attempts++
	rq.vm = vm
	begun := time.Now()
	var rs peer.Result
	sending := rq.sendingContext(ctx)
	if vm == en.opt.VM {
		rs = en.sendLocal(sending, at)
	} else {
		rs = en.opt.Pool.Send(sending, vm, address, at, func() bool { return en.maySendBeside(rq) })
	}
	if rs.Pending != nil {
		recordGoesOn(rq, vm, at, rs)
		en.goOn(ctx, rq, vm, at, begun, rs.Pending)
		return rs
	}
	en.recordResult(rq, vm, at, rs, time.Since(begun), rq.ended(sending, time.Now()))
	return rs
}

// sendLocal passes the attempt to the guard of the same node.
func (en *Entry) sendLocal(ctx context.Context, at *attempt.Attempt) peer.Result {
	if en.opt.HopRetries > 0 {
		// The queue of the baseline does not know deadlines.
		var stop context.CancelFunc
		ctx, stop = context.WithDeadline(ctx, at.Deadline)
		defer stop()
	}
	at.Stamp = en.opt.Guard.Stamp()
	// The guard modifies the header, and another attempt may need it.
	at.Header = maps.Clone(at.Header)
	an := en.opt.Guard.Handle(ctx, at)
	rs := peer.Result{Answer: an, Sent: true, State: withdrawal.Unknown}
	switch an.Outcome {
	case call.Done:
		rs.State = withdrawal.Finished
	case call.NotRun:
		rs.State = withdrawal.Dequeued
	}
	return rs
}

// recordResult applies the result of an attempt to the history, the retry account and the
// routing table. ended is true if the request ended before the attempt did.
func (en *Entry) recordResult(rq *request, vm call.VM, at *attempt.Attempt, rs peer.Result, took time.Duration, ended bool) {
	now := time.Now()
	done := rs.Answer != nil && rs.Answer.Outcome == call.Done
	if !done {
		rq.ends = append(rq.ends, endOf(now, rq, vm, rs))
	}
	rq.history.RecordState(at.ID, rs.State, done)
	rq.untraced = rq.untraced || rs.Step == peer.StepStateUnknown
	switch {
	case rs.Answer != nil:
		en.opt.Trees.StepRetry(now, retry.Return{Account: rq.account, Attempt: at.ID, Unused: retry.Budget(rs.Answer.UnusedRetries)})
	case rs.State.NotRun():
		en.opt.Trees.StepRetry(now, retry.Return{Account: rq.account, Attempt: at.ID, Unused: retry.Budget(at.RetryBudget)})
	default:
		en.opt.Trees.StepRetry(now, retry.Lost{Account: rq.account, Attempt: at.ID})
	}
	if rs.Answer == nil {
		rq.overload = false
		en.ApplyRouteEvent(route.Failed{
			Service: rq.kind.Service, VM: vm, Importance: rq.importance, Latency: took,
			Cancelled: ended || rs.State.NotRun() && rs.Sent,
		})
		return
	}
	rq.overload = rs.Answer.Overload
	rq.fanOut = rs.Answer.FanOut
	defer en.recordOccupancy(now, rq, rs.Answer)
	en.ApplyRouteEvent(route.Answered{
		Service: rq.kind.Service, VM: vm, Latency: took, Outcome: rs.Answer.Outcome,
		Importance: rq.importance, Level: rs.Answer.Level, DelayedLevel: rs.Answer.DelayedLevel, Occupancy: rs.Answer.Occupancy,
		Overload: rs.Answer.Overload && rs.Answer.Outcome == call.NotRun,
		Leaving:  refusesService(rs.Answer.Reason),
		Load:     en.learnCost(now, rq, rs.Answer.Load),
	})
}

// costKey returns the key of requests that are expected to cost as much as this one.
func (rq *request) costKey() cost.Key { return cost.KeyOf(rq.kind.Class, len(rq.body)) }

// learnCost learns what an attempt cost, and returns the load for the routing table. The load of the
// answer may be nil.
func (en *Entry) learnCost(now time.Time, rq *request, ld *attempt.Load) route.Load {
	if ld == nil {
		return route.Load{}
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if en.costs == nil {
		return route.Load{}
	}
	if ld.Own > 0 {
		en.costs.Add(now, rq.costKey(), ld.Own)
	}
	return route.Load{Reported: true, Ahead: ld.Ahead, Slowness: ld.Slowness, Age: ld.Age, Own: ld.Own, Cost: rq.cost}
}

// recordOccupancy raises the request's occupancy to the highest that the attempt met: that
// of its service, or of the services that the attempt called.
func (en *Entry) recordOccupancy(now time.Time, rq *request, an *attempt.Answer) {
	en.mu.Lock()
	defer en.mu.Unlock()
	rq.occupancy = max(rq.occupancy, an.DownstreamOccupancy, en.routes.Occupancy(now, rq.kind.Service))
}

// refusesService reports whether the reason means that the guard refuses all attempts for
// the service, because its upstream drains, is gone, or was replaced by one of another
// service. The membership reports the same, but later.
func refusesService(reason string) bool {
	switch reason {
	case admission.Leaving.String(), admission.NoUpstream.String(), guard.ReasonWrongService:
		return true
	}
	return false
}

// newAttemptID returns a random attempt id.
func (en *Entry) newAttemptID() call.AttemptID {
	en.mu.Lock()
	defer en.mu.Unlock()
	return call.NewAttemptID(en.rng)
}

// worthRetrying reports whether another attempt may bring a better answer than this
// complete one. Failures under overload are not retried.
func (en *Entry) worthRetrying(rq *request, an *attempt.Answer) bool {
	return rq.kind.Idempotent && an.Failed() && !an.Overload
}

// mayRetry reports whether another attempt may be sent after the result rs. It charges the
// retry budget if the attempt counts as a retry.
func (en *Entry) mayRetry(rq *request, rs peer.Result) bool {
	if en.opt.HopRetries > 0 {
		return rq.attempts <= en.opt.HopRetries
	}
	if rs.Answer != nil && rs.Answer.Outcome == call.Done && rs.Answer.Overload {
		return false
	}
	if rq.attempts > maxReroutes && rs.State.NotRun() {
		return false
	}
	if charged := rq.retryCharged; charged || !mayHaveReachedUpstream(rs) {
		rq.retryCharged = false
		return true
	}
	return en.chargeRetry(rq)
}

// maySendBeside reports whether another attempt may be sent beside one whose guard does not answer, and
// charges the retry budget for that.
func (en *Entry) maySendBeside(rq *request) bool {
	switch {
	case rq.beside != nil && rq.beside.running >= maxBeside:
		return false
	case en.opt.HopRetries == 0:
		rq.retryCharged = en.chargeRetry(rq)
		return rq.retryCharged
	}
	return true
}

// chargeRetry charges a retry to the retry ratio and window of the service and to the request's
// account, and reports whether all of them allow it. If one does not, nothing is charged: most
// calls of a tree have no budget, and their refusals would use up the retries of the others.
func (en *Entry) chargeRetry(rq *request) bool {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	rt := en.ratios[rq.kind.Service]
	wn := en.windows[rq.kind.Service]
	if rt != nil && !rt.Available(now) || wn != nil && !wn.Available(now) {
		return false
	}
	if en.opt.Trees.StepRetry(now, retry.Retry{Account: rq.account}).Decision != retry.Charged {
		return false
	}
	return (rt == nil || rt.Allow(now)) && (wn == nil || wn.Allow(now))
}

// mayHaveReachedUpstream reports whether the attempt may have reached an upstream. If not,
// another attempt is free of charge. Otherwise one VM that drains, is unreachable or is
// full would spend the retries of the service within moments, while other VMs have
// capacity.
func mayHaveReachedUpstream(rs peer.Result) bool {
	return !rs.State.NotRun() || rs.Answer != nil && rs.Answer.UpstreamRefused
}

// recordResend logs that another attempt of a request follows the one to vm, and why.
func (en *Entry) recordResend(rq *request, rs peer.Result, vm call.VM) {
	now := time.Now()
	ev := events.Event{
		Kind: events.Resent, Request: rq.label, Reason: ReasonUnreachable, Class: string(rq.kind.Class),
		Service: string(rq.kind.Service), VM: string(vm), Importance: int(rq.importance), Attempts: rq.attempts,
		LeftMS: rq.deadline.Sub(now).Milliseconds(), Customer: string(rq.customerName()),
	}
	if rs.Answer != nil {
		ev.Reason, ev.Status, ev.Level = rs.Answer.Reason, rs.Answer.Status, int(rs.Answer.Level)
	}
	en.opt.Events.Add(now, ev)
}

// mayRestamp reports whether the guard refused the attempt only because its stamp was
// stale, for example after a restart of the guard. The answer brought the current stamp,
// and one further attempt is free of charge. It returns true at most once per request.
func (en *Entry) mayRestamp(rq *request, rs peer.Result) bool {
	if rq.restampUsed || rs.Answer == nil || rs.Answer.Reason != guard.ReasonStaleStamp {
		return false
	}
	rq.restampUsed = true
	return true
}

// countSuccess adds a success to the retry ratio of the service.
func (en *Entry) countSuccess(rq *request, an *attempt.Answer) {
	if an.Failed() {
		return
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	if rt := en.ratios[rq.kind.Service]; rt != nil {
		rt.Success(time.Now())
	}
}

// answerUnknown returns the answer to a request with an attempt that may have run.
func (en *Entry) answerUnknown(ctx context.Context, rq *request, rs peer.Result) *attempt.Answer {
	if rq.ended(ctx, time.Now()) {
		return en.giveUp(rq, ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	if rs.Answer != nil {
		return en.giveUp(rq, rs.Answer.Reason, rs.Answer.Status, rs.Answer.RetryAfter)
	}
	return en.giveUp(rq, ReasonAnswerLost, http.StatusBadGateway, 0)
}

// exhausted returns the answer to a request that may get no further attempt after the
// result rs.
func (en *Entry) exhausted(ctx context.Context, rq *request, rs peer.Result) *attempt.Answer {
	if rs.Answer == nil && rs.State.NotRun() {
		return en.giveUp(rq, ReasonUnreachable, http.StatusServiceUnavailable, en.jitter(shedRetryAfter))
	}
	if rs.Answer == nil || rs.Answer.Outcome == call.Unknown {
		return en.answerUnknown(ctx, rq, rs)
	}
	status := rs.Answer.Status
	if rs.Answer.Reason == guard.ReasonDeadline {
		status = http.StatusGatewayTimeout
	}
	return en.giveUp(rq, rs.Answer.Reason, status, rs.Answer.RetryAfter)
}
