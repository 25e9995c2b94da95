// Package guard protects the upstream on the VM of a node. It admits attempts in priority
// order up to the concurrency limit, runs them on the upstream, and passes an answer on
// only once it is whole.
package guard

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/ops/series"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/inflight"
	"camphortrail/internal/traffic/link"
	"camphortrail/internal/traffic/worker"
	"camphortrail/retry"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

// Reasons of refusals and of unknown outcomes.
const (
	ReasonDuplicateAttempt  = "duplicate-attempt"
	ReasonWithdrawn         = "withdrawn"
	ReasonStaleStamp        = "stale-stamp"
	ReasonFull              = "full"
	ReasonBrokenAnswer      = "broken-answer"
	ReasonDeadline          = "deadline"
	ReasonWrongService      = "wrong-service"
	ReasonNoUpstream        = "no-upstream"
	ReasonNoMemory          = "no-memory"
	ReasonUpstreamRefused   = "upstream-refused"
	ReasonConnectionRefused = "upstream-refuses-connections"
	ReasonStopping          = "stopping"
	ReasonRetryTotal        = "retry-total"
)

const (
	// fullRetryAfter is the time after which callers may retry if the guard or its
	// upstream has no capacity.
	fullRetryAfter = 500 * time.Millisecond
	// cancelTimeout bounds the time for which a cancellation waits while the input queue
	// of the admission loop is full.
	cancelTimeout = time.Second
	// fifoRunLimit is the run time of an attempt under the fifo policy.
	fifoRunLimit = time.Minute
	// freeAnswerBytes is the size up to which an answer is not counted once it has been read. Entries
	// count it with the request.
	freeAnswerBytes = 4 << 10
	// recordOverheadBytes is the approximate memory of a recorded answer besides its
	// header and body.
	recordOverheadBytes = 512
	// defaultMaxBufferedBytes is the default of Options.MaxBufferedBytes.
	defaultMaxBufferedBytes = 64 << 20
)

// Options describe a guard.
type Options struct {
	// Trees relates attempts to the calls that they make.
	Trees *calltree.Trees
	// FIFO replaces the admission policy by an unbounded queue in the order of arrival.
	FIFO bool
	// Admission tunes the policy.
	Admission admission.Settings
	// Metrics takes the guard's metrics, if it is set.
	Metrics *metrics.Set
	// Seed is the seed of the admission policy's random choices.
	Seed uint64
	// Incarnation identifies this run of the guard.
	Incarnation withdrawal.Incarnation
	// Events logs refused and failed attempts, if it is set.
	Events *events.Log
	// Protocol replaces the default headers between guard and upstream, if it is set.
	Protocol Protocol
	// AggregateDemand answers the demands that an entry sends to this node in order to have
	// them added to those of others, if it is set.
	AggregateDemand func(de *attempt.Demand) (allocation.Grant, bool)
	// AnswerRenewal answers the renewals that other nodes send to this one, if it is set.
	AnswerRenewal func(msg *schema.Renewal) *schema.RenewalAnswer
	// RetryRatio is the number of times for each first send that arrives here that the guard may
	// send an attempt again after the upstream refused it without running it. Zero means never.
	RetryRatio float64
	// ReportLoad makes the guard report the load of the upstream with each answer.
	ReportLoad bool
	// MaxBufferedBytes bounds the memory of the answers that are being read (default 64 MiB).
	// When it is used up, the largest of them are given up.
	MaxBufferedBytes int64
	// ClientMemory, if it is set, bounds the memory of the attempts of other nodes that wait or
	// run, together with what else is charged to it.
	ClientMemory *buffer.Budget
	// LinkQuota, if it is set, bounds the send queues of the links of other nodes.
	LinkQuota *link.Quota
}

// Guard admits attempts and runs them on the upstream on its VM. Its methods are safe for
// concurrent use.
type Guard struct {
	trees    *calltree.Trees
	loop     *admissionLoop
	protocol Protocol
	events   *events.Log
	target   atomic.Pointer[target]
	// stop is the end of the stop of the process, once that has begun.
	stop    atomic.Pointer[time.Time]
	fifo    bool
	metrics *metrics.Set
	active  inflight.Counter
	orphans orphans

	usage usage

	furtherSends furtherSends
	load         upstreamLoad
	// learnedService is the service for which both have learned. Only SetUpstream uses it.
	learnedService call.Service

	slots           slotAllocation
	aggregateDemand func(de *attempt.Demand) (allocation.Grant, bool)
	answerRenewal   func(msg *schema.Renewal) *schema.RenewalAnswer
	memory          *buffer.Budget
	clientMemory    *buffer.Budget
	linkQuota       *link.Quota
	workers         worker.Pool

	mu       sync.Mutex
	registry *withdrawal.Registry[*schema.RecordedAnswer]
	links    map[*link.Link]bool
}

// New returns a guard without an upstream.
func New(opt Options) *Guard {
	var po policy = newFIFO()
	if !opt.FIFO {
		po = admission.New(opt.Admission, rand.New(rand.NewPCG(opt.Seed, opt.Seed)))
	}
	if opt.Protocol == nil {
		opt.Protocol = defaultProtocol{}
	}
	gd := &Guard{
		protocol:        opt.Protocol,
		events:          opt.Events,
		trees:           opt.Trees,
		fifo:            opt.FIFO,
		metrics:         opt.Metrics,
		aggregateDemand: opt.AggregateDemand,
		answerRenewal:   opt.AnswerRenewal,
		links:           make(map[*link.Link]bool),
		registry:        withdrawal.NewRegistry[*schema.RecordedAnswer](opt.Incarnation, time.Now(), withdrawal.DefaultLimits()),
	}
	gd.loop = newAdmissionLoop(po, &gd.usage)
	gd.slots.allocator = allocation.New()
	gd.load.enabled = opt.ReportLoad
	gd.load.reset()
	if !opt.FIFO {
		gd.furtherSends.init(opt.RetryRatio, opt.Metrics)
	}
	gd.memory = buffer.NewBudget(cmp.Or(opt.MaxBufferedBytes, defaultMaxBufferedBytes))
	gd.clientMemory = cmp.Or(opt.ClientMemory, buffer.NewBudget(math.MaxInt64))
	gd.linkQuota = opt.LinkQuota
	return gd
}

// Run runs the admission loop until ctx ends, and then releases connections and
// goroutines. It returns nil.
func (gd *Guard) Run(ctx context.Context) error {
	gd.loop.run(ctx)
	if tg := gd.target.Load(); tg != nil {
		tg.client.Close()
	}
	gd.workers.Close()
	return nil
}

// Load is the number of slots of the upstream, of running and of waiting attempts, and
// the admission level.
type Load struct {
	Slots, Running, Waiting int
	Level                   call.Level
}

// Load returns the current load.
func (gd *Guard) Load() Load {
	return Load{
		Slots:   int(gd.loop.slots.Load()),
		Running: int(gd.loop.running.Load()),
		Waiting: int(gd.loop.waiting.Load()),
		Level:   gd.level(),
	}
}

func (gd *Guard) level() call.Level { return call.Level(gd.loop.level.Load()) }

// FinishBy makes the guard refuse, from now on, the attempts whose deadline is after the end, when the
// process stops. Others may still begin, as they are over by then.
func (gd *Guard) FinishBy(end time.Time) { gd.stop.Store(&end) }

// outlastsStop reports whether the process or the upstream stops and the attempt may still run then.
func (gd *Guard) outlastsStop(at *attempt.Attempt) bool {
	return gd.outlastsProcess(at) || gd.outlastsUpstream(time.Now(), at)
}

// outlastsProcess reports whether the process stops and the attempt may still run then.
func (gd *Guard) outlastsProcess(at *attempt.Attempt) bool {
	end := gd.stop.Load()
	return end != nil && at.Deadline.After(*end)
}

// Wait waits until no attempt is being handled, or until ctx ends.
func (gd *Guard) Wait(ctx context.Context) error { return gd.active.Wait(ctx) }

// Stamp returns the current stamp. Attempts with a stamp that is too old, or of an earlier
// incarnation, are refused, because the guard may not know whether they were withdrawn.
func (gd *Guard) Stamp() withdrawal.Stamp {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.registry.Stamp(time.Now())
}

// Handle runs an attempt and returns its answer. When ctx ends, an attempt that waits is
// refused, and one that runs is aborted if it is idempotent. Handle modifies the header of
// the attempt. The Memory of the attempt, if it is set, keeps the memory of the answer.
func (gd *Guard) Handle(ctx context.Context, at *attempt.Attempt) *attempt.Answer {
	gd.active.Enter()
	defer gd.active.Exit()
	pa := newPendingAttempt(gd, at)
	stop := context.AfterFunc(ctx, pa.cancel)
	defer stop()
	an := gd.handle(pa)
	if at.Memory != nil && len(an.Body) > freeAnswerBytes {
		at.Memory.Hold(&pa.memory)
	} else {
		pa.memory.Release()
	}
	return an
}

// handle is Handle for a pending attempt, which may be cancelled meanwhile. Unlike contexts,
// its cancellation takes no allocations.
func (gd *Guard) handle(pa *pendingAttempt) *attempt.Answer {
	at := pa.attempt
	begun := time.Now()
	an := gd.register(at)
	if an == nil {
		gd.furtherSends.arrive(begun, at)
		an = gd.admit(pa)
	} else {
		an.UnusedRetries = at.RetryBudget
	}
	gd.countRefusal(at, an)
	gd.usage.count(at.Class, an)
	gd.logFailure(pa, an, begun)
	an.Level, an.DelayedLevel = gd.level(), call.Level(gd.loop.delayedLevel.Load())
	an.Occupancy = call.Occupancy(gd.loop.occupancy.Load())
	gd.reportLoad(time.Now(), at, an)
	an.FanOut = gd.trees.FanOut(time.Now(), at.Class, at.Service, an.Occupancy)
	return an
}

// countRefusal counts an attempt that did not run, by reason and importance.
func (gd *Guard) countRefusal(at *attempt.Attempt, an *attempt.Answer) {
	if gd.metrics == nil || an.Outcome != call.NotRun {
		return
	}
	name := series.Name("camphortrail_guard_refusals_total", "reason", an.Reason, "importance", strconv.Itoa(int(at.Importance)))
	gd.metrics.GetOrCreateCounter(name).Inc()
}

// logFailure logs why an attempt brought no answer of the upstream.
func (gd *Guard) logFailure(pa *pendingAttempt, an *attempt.Answer, begun time.Time) {
	at := pa.attempt
	if an.Outcome == call.Done {
		return
	}
	now, ld := time.Now(), gd.Load()
	ev := events.Event{
		Kind: events.Refused, Request: at.Label, Reason: "guard-" + an.Reason, Service: string(at.Service),
		Importance: int(at.Importance), TookMS: now.Sub(begun).Milliseconds(), LeftMS: at.Deadline.Sub(now).Milliseconds(),
		RetryAfterMS: an.RetryAfter.Milliseconds(), Running: ld.Running, Waiting: ld.Waiting, Slots: ld.Slots, Level: int(ld.Level),
		OccupancyPercent: int(gd.loop.occupancy.Load()), Customer: string(at.Customer), Sends: pa.sends,
	}
	if an.UpstreamRefused && pa.sendAgain == deniedTotal {
		ev.Reason = "guard-" + ReasonRetryTotal
	}
	if an.Outcome == call.Unknown {
		ev.Kind = events.Failed
	}
	switch {
	case an.Reason == ReasonDeadline && now.Before(at.AnswerBy()) && pa.linkEnded.Load():
		ev.Reason = "guard-link-ended"
	case an.Reason == ReasonDeadline && now.Before(at.AnswerBy()):
		ev.Reason = "guard-" + events.CallerLeft
	case an.Outcome == call.Unknown:
		ev.EarlyUS, ev.Clock = max(at.Deadline.Sub(now), 0).Microseconds(), events.EntryClock
	}
	gd.events.Add(now, ev)
}

// register registers the attempt for withdrawal. It returns an answer if the attempt
// must not begin.
func (gd *Guard) register(at *attempt.Attempt) *attempt.Answer {
	if tg := gd.target.Load(); tg != nil && tg.upstream.Service != at.Service {
		return attempt.Refusal(ReasonWrongService, 0)
	}
	if gd.outlastsStop(at) {
		return attempt.Refusal(ReasonStopping, 0)
	}
	rs := gd.step(withdrawal.Arrive[*schema.RecordedAnswer]{Attempt: at.ID, Stamp: at.Stamp})
	switch rs.Decision {
	case withdrawal.Accepted:
		return nil
	case withdrawal.Duplicate:
		return attempt.UnknownOutcome(ReasonDuplicateAttempt, http.StatusConflict)
	case withdrawal.Withdrawn:
		return attempt.Refusal(ReasonWithdrawn, 0)
	case withdrawal.Stale:
		return attempt.Refusal(ReasonStaleStamp, 0)
	default:
		return attempt.Refusal(ReasonFull, fullRetryAfter)
	}
}

// step applies an event to the registry of attempts.
func (gd *Guard) step(ev withdrawal.Event[*schema.RecordedAnswer]) withdrawal.Result[*schema.RecordedAnswer] {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.registry.Step(time.Now(), ev)
}

// admit waits for the admission decision, and runs the attempt or refuses it.
func (gd *Guard) admit(pa *pendingAttempt) *attempt.Answer {
	at := pa.attempt
	arrival := admission.Arrive{
		ID: at.ID, Importance: at.Importance, Cohort: at.Cohort(), Depth: at.Depth,
		Deadline: at.AnswerBy(), Abortable: at.Idempotent,
	}
	if !gd.loop.inputs.Offer(input{event: arrival, attempt: pa}) {
		return gd.refuse(at, attempt.Refusal(ReasonFull, fullRetryAfter))
	}
	pa.setAdmitting(true)
	defer pa.setAdmitting(false)
	dec := <-pa.decided
	if dec.start {
		gd.usage.startDelay.add(time.Since(dec.at))
	} else {
		an := attempt.Refusal(dec.reason.String(), dec.retryAfter)
		an.Overload = dec.reason.NoCapacity()
		return gd.refuse(at, an)
	}
	return gd.execute(pa, dec.at)
}

// refuse registers that the attempt did not begin, and returns its whole retry budget with
// the answer.
func (gd *Guard) refuse(at *attempt.Attempt, an *attempt.Answer) *attempt.Answer {
	gd.step(withdrawal.Refuse[*schema.RecordedAnswer]{Attempt: at.ID})
	an.UnusedRetries = at.RetryBudget
	return an
}

// runDeadline returns the time at which a running attempt is given up: its deadline, or
// a fixed limit under the fifo policy, which ignores deadlines.
func (gd *Guard) runDeadline(at *attempt.Attempt) time.Time {
	if gd.fifo {
		return time.Now().Add(fifoRunLimit)
	}
	return at.Deadline
}

// cancel reports to the admission loop that no caller waits for the attempt any more.
func (gd *Guard) cancel(id call.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = gd.loop.inputs.Put(ctx, input{event: admission.Cancel{ID: id}})
}

// execute runs an attempt that was admitted at the given time, and then frees its slot.
func (gd *Guard) execute(pa *pendingAttempt, admitted time.Time) *attempt.Answer {
	at := pa.attempt
	in := &calltree.Inbound{ID: at.ID, Request: at.Request, Importance: at.Importance, Depth: at.Depth, Deadline: at.AnswerBy(), Label: at.Label, Class: at.Class, Customer: at.Customer, CallsDone: at.CallsDone}
	now := time.Now()
	in.Started, in.UpstreamDeadline = now, now.Add(in.Deadline.Sub(now).Truncate(time.Millisecond))
	fin := admission.Finish{ID: at.ID}
	ended := now
	defer func() { _ = gd.loop.inputs.Put(context.Background(), input{event: fin, ended: ended}) }()
	tg, refusal := gd.targetFor(at)
	if refusal == nil && gd.outlastsProcess(at) {
		// It has waited since before the stop.
		refusal = attempt.Refusal(ReasonStopping, 0)
	}
	if refusal != nil {
		return gd.refuse(at, refusal)
	}
	open := retry.OpenAttempt{Attempt: at.ID, Budget: retry.Budget(at.RetryBudget), Deadline: at.Deadline}
	if gd.trees.StepRetry(time.Now(), open).Decision != retry.FirstSend {
		return gd.refuse(at, attempt.Refusal(ReasonFull, fullRetryAfter))
	}
	if gd.step(withdrawal.Start[*schema.RecordedAnswer]{Attempt: at.ID}).Decision != withdrawal.Accepted {
		gd.trees.StepRetry(time.Now(), retry.Close{Account: retry.AttemptAccount(at.ID)})
		return gd.refuse(at, attempt.Refusal(ReasonWithdrawn, 0))
	}
	gd.trees.Enter(in)
	begun := time.Now()
	handle := gd.load.begin(begun, at)
	an, lastBegun := gd.forwardUntilRun(pa, tg, in)
	ended = time.Now()
	gd.trees.Exit(ended, at.ID)
	unused := gd.trees.StepRetry(ended, retry.Close{Account: retry.AttemptAccount(at.ID)})
	waited, failures := in.DownstreamWait(ended)
	an.UnusedRetries = int(unused.Budget)
	an.UpstreamTime = ended.Sub(lastBegun)
	an.DownstreamOccupancy = gd.trees.Occupancy(ended, at.Class)
	failed := an.Failed() || an.Status == http.StatusInternalServerError
	an.Overload, an.Unreachable = an.Overload || failures.Overload && failed, failures.Unreachable && failed
	// Neither refused sends nor failures, which end early, say how long the upstream takes.
	an.UpstreamFault = an.UpstreamFault || failures.UpstreamFault && failed
	fin.DownstreamWait = waited + lastBegun.Sub(begun)
	succeeded := an.Outcome == call.Done && an.Status < http.StatusInternalServerError
	fin.OK = succeeded
	own := max(an.UpstreamTime-waited, 0)
	gd.load.end(ended, at, handle, an.UpstreamTime, own, succeeded)
	if succeeded && gd.load.enabled {
		an.Load = &attempt.Load{Own: own}
	}
	gd.trees.AttemptEnded(ended, in, succeeded)
	if succeeded {
		// Fast failures must not count as a fast upstream.
		gd.slots.addSlotTime(ended, at.Class, ended.Sub(admitted))
	}
	gd.recordAnswer(at, an)
	return an
}

// recordAnswer stores the answer, for an entry that loses its connection and then asks what
// became of the attempt. If the outcome is Unknown, it records that there is no answer.
func (gd *Guard) recordAnswer(at *attempt.Attempt, an *attempt.Answer) {
	if an.Outcome == call.Unknown {
		gd.step(withdrawal.Abort[*schema.RecordedAnswer]{Attempt: at.ID})
		return
	}
	rec := an.CompactRecord()
	gd.step(withdrawal.Finish[*schema.RecordedAnswer]{
		Attempt: at.ID, Answer: rec, Bytes: len(rec.GetBody()) + len(rec.GetHeaderBlock()) + recordOverheadBytes,
	})
}

// Withdraw returns the state of an attempt. Unless inspect is true, it also prevents an
// attempt that has not begun from beginning.
func (gd *Guard) Withdraw(id call.AttemptID, sp withdrawal.Stamp, inspect bool) withdrawal.Result[*schema.RecordedAnswer] {
	if inspect {
		return gd.step(withdrawal.Inspect[*schema.RecordedAnswer]{Attempt: id, Stamp: sp})
	}
	rs := gd.step(withdrawal.Withdraw[*schema.RecordedAnswer]{Attempt: id, Stamp: sp})
	if rs.State == withdrawal.Dequeued {
		gd.cancel(id)
	}
	return rs
}
