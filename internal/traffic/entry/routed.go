package entry

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/ops/series"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/throttle"
	"camphortrail/retry"
)

// Request is a request that a front end with its own protocol has read.
type Request struct {
	// ID must differ between sends, unless one is a repeat of the other.
	ID call.RequestID
	// Label is the request id that the sender uses. It is for logs only.
	Label  string
	Method string
	Host   string
	// URI is the path and query as the sender wrote them.
	URI string
	// Connection identifies the connection of the request.
	Connection string
	// Header is the header that the upstream gets.
	Header http.Header
	Body   []byte
	// Deadline is the time at which the caller gives up. The entry uses it unless the
	// configuration sets an earlier one. Zero means none.
	Deadline time.Time
	// Key is the key of a customer, or nil if the request has none. KeyHeader is the header that
	// holds it, and CustomerHeader the one that tells the upstream the customer; the entry
	// removes both if the configuration names customers.
	Key                       *string
	KeyHeader, CustomerHeader string
	// KeyMalformed says that the request states a key in a form that no key has. Key is nil then.
	KeyMalformed bool
	// Blocker, if not nil, tells which requests wait for the answer to this one.
	Blocker Blocker
	// Memory, if not nil, keeps the memory of the answer after it is returned.
	Memory *buffer.Scope
	// begun is set by Begin.
	begun *begunRequest
}

// Blocker is a request that others may wait for on the same connection.
type Blocker interface {
	// Blocks returns the earliest deadline of the requests that wait for the answer to this
	// one at present, or zero if none waits.
	Blocks() time.Time
}

// ServeRequest serves a request of a front end. The request is matched against the routes
// of the configuration.
func (en *Entry) ServeRequest(ctx context.Context, rd *Request) *attempt.Answer {
	en.active.Enter()
	defer en.active.Exit()
	begun := time.Now()
	var rq *request
	var an *attempt.Answer
	if rd.begun != nil {
		rq, an = en.continueBegun(rd)
	} else {
		rq, an = en.newRoutedRequest(rd, begun)
	}
	if an == nil {
		an = en.serveCounted(ctx, rq, en.serveCapped)
	}
	en.recordAnswer(ctx, rd, rq, an, begun)
	return an
}

// recordAnswer counts and logs the answer to a request that began to be served at a time. rq may be
// nil.
func (en *Entry) recordAnswer(ctx context.Context, rd *Request, rq *request, an *attempt.Answer, begun time.Time) {
	if rq != nil && rq.connection != "" {
		en.opt.Trees.Answered(time.Now(), rq.connection)
	}
	took := time.Since(begun)
	en.observe(rq, an, took)
	en.customers.add(rq, an)
	if rq != nil {
		rq.cause = context.Cause(ctx)
		left := an.Reason == ReasonDeadline && time.Now().Before(rq.deadline)
		en.traffic.add(rq, trafficResult{answer: an, late: rq.waited+took > rq.kind.Target, callerLeft: left})
	}
	en.logRequest(rd, rq, an, begun)
}

// serveCounted serves a request, and counts it while it is served if it is one of a caller.
func (en *Entry) serveCounted(ctx context.Context, rq *request, serve func(context.Context, *request) *attempt.Answer) *attempt.Answer {
	if !rq.isCall && rq.parent == nil {
		en.callers.Enter()
		defer en.callers.Exit()
	}
	return serve(ctx, rq)
}

// newRoutedRequest builds the request from its route, and finds the attempt that it is a
// call of. If the answer is not nil, the request is refused, and may be nil.
func (en *Entry) newRoutedRequest(rd *Request, now time.Time) (*request, *attempt.Answer) {
	cd := en.config.Load()
	if cd == nil {
		return nil, attempt.Refusal(ReasonNoConfiguration, time.Second)
	}
	rt, ok := routeOf(cd, rd.Host, rd.URI)
	if !ok {
		return nil, refusalWithStatus(ReasonNoService, http.StatusNotFound)
	}
	kind := rt.PickKind(en.randomUint64())
	rq := &request{
		kind: kind, deployment: cd.Deployment, id: rd.ID, account: retry.RequestAccount(rd.ID), importance: kind.Importance,
		begun: now, deadline: now.Add(kind.Deadline), clock: events.TimeoutClock, method: rd.Method, host: rd.Host, uri: rd.URI, header: rd.Header, body: rd.Body,
	}
	if !rd.Deadline.IsZero() && rd.Deadline.Before(rq.deadline) {
		rq.deadline, rq.clock = rd.Deadline, events.CallerClock
	}
	rq.history.Idempotent = kind.Idempotent
	rq.ownAccount, rq.label = rd.ID, rd.Label
	rq.connection, rq.blocker, rq.memory = rd.Connection, rd.Blocker, rd.Memory
	rq.waited, rq.returning = en.timeWaited(kind.Class, now, rd.Deadline)
	og := calltree.OutgoingCall{Class: kind.Class, Connection: rd.Connection, Deadline: rd.Deadline}
	mayBeCall := func() bool { return en.mayBeCall(og) }
	if an := en.identify(cd, rq, credentialOf(rd), rt.Public, mayBeCall); an != nil {
		return rq, an
	}
	rq.isCall = en.isCall(cd, rt, rq, og)
	if !rq.isCall {
		en.opt.Trees.TrackRequest(now, og)
		return rq, en.refuseWhileStopping(rq, now)
	}
	rq.depth = 1
	in, callsDone, ok := en.opt.Trees.FindParent(now, og)
	rq.callsDone = callsDone
	if ok {
		rq.parent, rq.id, rq.importance, rq.depth = in, in.Request, in.Importance, in.Depth+1
	}
	return rq, en.refuseWhileStopping(rq, now)
}

// isCall reports whether a request is a call of the upstream on the VM. Where the configuration
// names customers, a key tells requests of callers from calls.
func (en *Entry) isCall(cd *config.Compiled, rt *config.Route, rq *request, og calltree.OutgoingCall) bool {
	switch {
	case !cd.HasCustomers():
		return en.opt.Trees.IsCall(og)
	case rq.hasKey:
		return false
	case rt.Public:
		return en.opt.Trees.IsCall(og)
	}
	return true
}

// routeOf returns the route of a request to a host and URI.
func routeOf(cd *config.Compiled, host, uri string) (*config.Route, bool) {
	path, _, _ := strings.Cut(uri, "?")
	return cd.Route(host, path)
}

// MayRepeat reports whether requests to a host and URI may be repeated after they have run,
// according to their route in the current configuration.
func (en *Entry) MayRepeat(host, uri string) bool {
	cd := en.config.Load()
	if cd == nil {
		return false
	}
	rt, ok := routeOf(cd, host, uri)
	return ok && rt.Kinds[0].Idempotent
}

// randomUint64 returns a random number.
func (en *Entry) randomUint64() uint64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	return en.rng.Uint64()
}

// servedLogInterval: about one in this many successes is logged.
const servedLogInterval = 64

// logRequest logs the result of a request and its reason. Of the successes it logs a
// sample.
func (en *Entry) logRequest(rd *Request, rq *request, an *attempt.Answer, begun time.Time) {
	now := time.Now()
	ev := events.Event{
		Kind: events.Served, Request: rd.Label, Reason: an.Reason, Status: an.Status,
		TookMS: now.Sub(begun).Milliseconds(), RetryAfterMS: an.RetryAfter.Milliseconds(),
	}
	switch {
	case an.Outcome == call.NotRun:
		ev.Kind = events.Refused
	case an.Outcome != call.Done:
		ev.Kind = events.GaveUp
	case an.Status >= http.StatusInternalServerError:
		ev.Kind, ev.Reason = events.Failed, "upstream-failed"
	case rd.ID[0]%servedLogInterval != 0:
		return
	}
	if rq != nil {
		ev.Class, ev.Service, ev.VM = string(rq.kind.Class), string(rq.kind.Service), string(rq.vm)
		ev.Importance, ev.Attempts = int(rq.importance), rq.attempts
		ev.LeftMS = rq.deadline.Sub(now).Milliseconds()
		ev.OccupancyPercent, ev.SharePercent = int(rq.occupancy), rq.share
		if an.Reason == ReasonDeadline && now.Before(rq.deadline) && rq.cause != nil {
			ev.Reason = leftReason(rq.cause)
		}
		if an.Outcome != call.Done {
			ev.Ends = rq.describeEnds()
		}
		if an.Outcome == call.Unknown && ev.Reason != events.CallerLeft {
			ev.EarlyUS, ev.Clock = max(rq.deadline.Sub(now), 0).Microseconds(), rq.clock
			en.countEarly(now, rq, ev.Reason)
		}
		ev.Customer = string(rq.customerName())
		if rq.parent != nil {
			ev.Parent = rq.parent.Label
		}
		en.describeShare(rq, &ev)
		if an.Reason == ReasonCap {
			ev.Allowance, ev.AllowanceAgeMS = int(rq.allowance.Held), rq.allowance.Age.Milliseconds()
		}
	}
	en.opt.Events.Add(now, ev)
}

// countEarly counts a request that got an answer of the node itself before it was due, where an
// upstream may still be at work.
func (en *Entry) countEarly(now time.Time, rq *request, reason string) {
	if en.opt.Metrics == nil || !now.Before(rq.deadline) {
		return
	}
	name := series.Name("camphortrail_entry_early_failures_total", "reason", reason, "stopping", strconv.FormatBool(en.stopping()))
	en.opt.Metrics.GetOrCreateCounter(name).Inc()
}

// serveCapped serves a request if the usage cap of its customer allows it. What is beyond the cap
// does not count as demand.
func (en *Entry) serveCapped(ctx context.Context, rq *request) *attempt.Answer {
	if rq.decision == nil {
		if an := en.takeAllowance(ctx, rq); an != nil {
			return an
		}
	}
	an := en.serveThrottled(ctx, rq)
	en.returnAllowance(rq, an)
	return an
}

// serveUnthrottled serves a request of the project's own interface if the usage cap of its customer
// allows it.
func (en *Entry) serveUnthrottled(ctx context.Context, rq *request) *attempt.Answer {
	if an := en.takeAllowance(ctx, rq); an != nil {
		return an
	}
	an := en.serveUntilDeadline(ctx, rq)
	en.returnAllowance(rq, an)
	return an
}

// serveThrottled admits or refuses a request before any work is done, and serves it if it
// is admitted. Requests are refused if the services of their call trees lack capacity or
// if their kind fails under load. Calls belong to work that was admitted, and are not
// refused here.
func (en *Entry) serveThrottled(ctx context.Context, rq *request) *attempt.Answer {
	if rq.isCall || en.opt.HopRetries > 0 {
		return en.serveUntilDeadline(ctx, rq)
	}
	de := en.decide(rq)
	if de.Settle > 0 {
		de = en.settle(ctx, rq, de)
	}
	if !de.Admitted {
		return en.throttleRefusal(de)
	}
	rq.admitted = true
	begun := time.Now()
	an := en.serveUntilDeadline(ctx, rq)
	en.mu.Lock()
	defer en.mu.Unlock()
	now := time.Now()
	rs := throttle.Result{Share: de.Share, Importance: rq.ownImportance()}
	if ctx.Err() != nil {
		en.throttles.CallerLeft(now, rq.kind.Class, rs, leftReason(context.Cause(ctx)) != events.CallerLeft)
	} else {
		rs.Succeeded = !an.Failed() && an.Status != http.StatusInternalServerError
		rs.Unreachable, rs.Occupancy, rs.Took = rq.failedUnreachable(an), rq.occupancy, now.Sub(begun)
		rs.UpstreamFault = rq.failedByUpstreamFault(an)
		en.throttles.Finish(now, rq.kind.Class, rs)
		if rs.Succeeded {
			en.countServed(now, rq)
		}
		en.throttles.LearnCalls(now, rq.kind.Class, rq.fanOut)
	}
	return an
}

// throttleRefusal returns the answer to a request that the throttle refuses.
func (en *Entry) throttleRefusal(de throttle.Decision) *attempt.Answer {
	reason := ReasonOverload
	switch de.By {
	case throttle.Failures:
		reason = ReasonKindFails
	case throttle.Unreachable:
		reason = ReasonUnreachable
	}
	an := attempt.Refusal(reason, en.jitter(de.RetryAfter))
	an.Overload = true
	return an
}

// decide returns the decision on a request of a caller: the one that Begin has made, or a new one.
func (en *Entry) decide(rq *request) throttle.Decision {
	if rq.decision != nil {
		return *rq.decision
	}
	return en.admit(rq)
}

// admit decides whether a request of a caller is admitted, and notes the share.
func (en *Entry) admit(rq *request) throttle.Decision {
	en.mu.Lock()
	defer en.mu.Unlock()
	now := time.Now()
	en.setPosition(now, rq)
	de := en.throttles.Admit(now, rq.throttled(now), en.rng.Float64())
	rq.share, rq.decidedBy = int(100*de.Share), de.By
	return de
}

// settle waits until it is known which requests follow an admitted one on its connection, and
// decides again.
func (en *Entry) settle(ctx context.Context, rq *request, de throttle.Decision) throttle.Decision {
	timer := time.NewTimer(de.Settle)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
	en.mu.Lock()
	defer en.mu.Unlock()
	now := time.Now()
	confirmed := en.throttles.Confirm(now, rq.throttled(now), de)
	rq.blocking, rq.decidedBy = !confirmed.Admitted, confirmed.By
	return confirmed
}

// throttled returns the request as it is presented to the throttle.
func (rq *request) throttled(now time.Time) throttle.Request {
	return throttle.Request{
		Class: rq.kind.Class, Importance: rq.importance, OfCustomer: rq.ofCustomer(), Position: rq.position.Value, Positioned: rq.positioned,
		Waited: rq.waited, Target: rq.kind.Target, Blocks: rq.blockedFor(now),
	}
}
