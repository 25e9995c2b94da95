// Package guard admits attempts to the upstream beside a node, runs them there
// and holds each answer until it is whole.
package guard

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/inflight"
	"camphortrail/internal/traffic/link"
	"camphortrail/internal/traffic/upstream"
	"camphortrail/internal/traffic/worker"
	"camphortrail/membership"
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
	ReasonUpstreamRefused   = "upstream-refused"
	ReasonConnectionRefused = "upstream-refuses-connections"
)

const (
	fullRetryAfter = 500 * time.Millisecond
	cancelTimeout  = time.Second
	fifoRunLimit   = time.Minute
	// recordBytes is what a kept answer takes besides its header and body, about.
	recordBytes = 512
)

// Options describe a guard.
type Options struct {
	Trees *calltree.Trees
	// FIFO replaces the admission policy by one that takes work in the order
	// of arrival without bound.
	FIFO bool
	// Admission tunes the policy.
	Admission admission.Settings
	// Metrics counts refusals, if it is set.
	Metrics *metrics.Set
	// Seed makes the choices of the guard repeatable.
	Seed uint64
	// Incarnation identifies this run of the guard.
	Incarnation withdrawal.Incarnation
	// Events takes the decisions on attempts, if set.
	Events *events.Log
	// Protocol replaces the interface to upstreams, if it is set.
	Protocol Protocol
	// MaxBufferedBytes bounds the bodies of answers that are read at a time, in bytes
	// (default 64 MB).
	MaxBufferedBytes int64
}

// Guard runs attempts on the upstream beside its node. Its methods are safe
// for concurrent use.
type Guard struct {
	trees   *calltree.Trees
	duty    *duty
	client  *upstream.Client
	dialect Protocol
	events  *events.Log
	current atomic.Pointer[membership.Upstream]
	fifo    bool
	metrics *metrics.Set
	active  inflight.Counter

	usage usage

	rooms   rooms
	memory  memory
	workers worker.Pool

	mu       sync.Mutex
	registry *withdrawal.Registry[*schema.RecordedAnswer]
	links    map[*link.Link]bool
}

// New returns a guard without an upstream.
func New(opt Options) *Guard {
	var mc machine = newFIFO()
	if !opt.FIFO {
		mc = admission.New(opt.Admission, rand.New(rand.NewPCG(opt.Seed, opt.Seed)))
	}
	if opt.Protocol == nil {
		opt.Protocol = ownDialect{}
	}
	gd := &Guard{
		dialect:  opt.Protocol,
		events:   opt.Events,
		trees:    opt.Trees,
		fifo:     opt.FIFO,
		metrics:  opt.Metrics,
		client:   upstream.New(),
		links:    make(map[*link.Link]bool),
		registry: withdrawal.NewRegistry[*schema.RecordedAnswer](opt.Incarnation, time.Now(), withdrawal.DefaultLimits()),
	}
	gd.duty = newDuty(mc, &gd.usage)
	gd.rooms.divider = allocation.New()
	gd.memory.most = cmp.Or(opt.MaxBufferedBytes, defaultAnswerMemory)
	return gd
}

// Run decides on admission until ctx ends.
func (gd *Guard) Run(ctx context.Context) error {
	gd.duty.run(ctx)
	gd.client.Reset()
	gd.workers.Close()
	return nil
}

// SetUpstream states what the upstream has announced. A nil upstream has left.
func (gd *Guard) SetUpstream(ctx context.Context, up *membership.Upstream) error {
	old := gd.current.Swap(up)
	if old != nil && (up == nil || up.Instance != old.Instance) {
		gd.client.Reset()
		old = nil
	}
	if up == nil {
		return gd.duty.inputs.Put(ctx, input{event: admission.Announce{}})
	}
	if up.Draining {
		return gd.duty.inputs.Put(ctx, input{event: admission.Drain{}})
	}
	if old == nil || old.Draining {
		if err := gd.duty.inputs.Put(ctx, input{event: admission.Resume{}}); err != nil {
			return err
		}
	}
	ev := admission.Announce{Slots: int(up.Slots), WarmUp: up.WarmUp, Restarted: old == nil}
	return gd.duty.inputs.Put(ctx, input{event: ev})
}

// Load describes the work of a guard.
type Load struct {
	Slots, Running, Waiting int
	Level                   call.Level
}

// Load returns the present work.
func (gd *Guard) Load() Load {
	return Load{
		Slots:   int(gd.duty.slots.Load()),
		Running: int(gd.duty.running.Load()),
		Waiting: int(gd.duty.waiting.Load()),
		Level:   gd.level(),
	}
}

func (gd *Guard) level() call.Level { return call.Level(gd.duty.level.Load()) }

// Wait waits until no attempt is handled any more, or until ctx ends.
func (gd *Guard) Wait(ctx context.Context) error { return gd.active.Wait(ctx) }

// Stamp returns the stamp of the guard at present.
func (gd *Guard) Stamp() withdrawal.Stamp {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.registry.Stamp(time.Now())
}

// Handle runs an attempt and returns its answer. When ctx ends, waiting work is
// refused and running idempotent work is aborted. The header of the attempt is the
// guard's from then on.
func (gd *Guard) Handle(ctx context.Context, at *attempt.Attempt) *attempt.Answer {
	gd.active.Enter()
	defer gd.active.Exit()
	begun := time.Now()
	an := gd.begin(at)
	if an == nil {
		an = gd.admit(ctx, at)
	} else {
		an.UnusedRetries = at.Allowance
	}
	gd.count(at, an)
	gd.usage.count(at.Class, an)
	gd.writeEvent(at, an, begun)
	an.Level, an.Pressure = gd.level(), call.Level(gd.duty.pressure.Load())
	an.Occupancy = call.Occupancy(gd.duty.occupancy.Load())
	an.Needs = gd.trees.FanOut(time.Now(), at.Class, at.Service, an.Occupancy)
	return an
}

// count counts a refusal by its reason and the importance of the work.
func (gd *Guard) count(at *attempt.Attempt, an *attempt.Answer) {
	if gd.metrics == nil || an.Outcome != call.NotRun {
		return
	}
	name := fmt.Sprintf(`camphortrail_guard_refusals_total{reason=%q,importance="%d"}`, an.Reason, at.Importance)
	gd.metrics.GetOrCreateCounter(name).Inc()
}

// writeEvent writes why an attempt did not bring an answer.
func (gd *Guard) writeEvent(at *attempt.Attempt, an *attempt.Answer, begun time.Time) {
	if an.Outcome == call.Done {
		return
	}
	now, ld := time.Now(), gd.Load()
	ev := events.Event{
		Kind: events.Refused, Request: at.Label, Reason: "guard-" + an.Reason, Service: string(at.Service),
		Importance: int(at.Importance), TookMS: now.Sub(begun).Milliseconds(), LeftMS: at.Deadline.Sub(now).Milliseconds(),
		RetryAfterMS: an.RetryAfter.Milliseconds(), Running: ld.Running, Waiting: ld.Waiting, Slots: ld.Slots, Level: int(ld.Level),
		Occupancy: int(gd.duty.occupancy.Load()),
	}
	if an.Outcome == call.Unknown {
		ev.Kind = events.Failed
	}
	if an.Reason == ReasonDeadline && now.Before(at.Deadline) {
		ev.Reason = "guard-" + events.CallerLeft
	}
	gd.events.Add(now, ev)
}

// begin registers the attempt. It returns an answer if that is refused.
func (gd *Guard) begin(at *attempt.Attempt) *attempt.Answer {
	if up := gd.current.Load(); up != nil && up.Service != at.Service {
		return attempt.Refusal(ReasonWrongService, 0)
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

func (gd *Guard) step(ev withdrawal.Event[*schema.RecordedAnswer]) withdrawal.Result[*schema.RecordedAnswer] {
	gd.mu.Lock()
	defer gd.mu.Unlock()
	return gd.registry.Step(time.Now(), ev)
}

// admit asks for admission and runs the attempt once it is granted.
func (gd *Guard) admit(ctx context.Context, at *attempt.Attempt) *attempt.Answer {
	runCtx, abort := context.WithDeadline(context.WithoutCancel(ctx), gd.runDeadline(at))
	defer abort()
	tk := &ticket{verdict: make(chan decision, 1), abort: abort}
	arrival := admission.Arrive{
		ID: at.ID, Importance: at.Importance, Cohort: at.Request.Cohort(), Depth: at.Depth,
		Deadline: at.Deadline, Abortable: at.Idempotent,
	}
	if !gd.duty.inputs.Offer(input{event: arrival, ticket: tk}) {
		return gd.refuse(at, attempt.Refusal(ReasonFull, fullRetryAfter))
	}
	stop := context.AfterFunc(ctx, func() { gd.cancel(at.ID) })
	defer stop()
	vd := <-tk.verdict
	if vd.start {
		gd.usage.begun.add(time.Since(vd.at))
	} else {
		an := attempt.Refusal(vd.reason.String(), vd.retryAfter)
		an.Overload = vd.reason.NoCapacity()
		return gd.refuse(at, an)
	}
	return gd.execute(runCtx, at, vd.at)
}

// refuse registers that the attempt did not begin, and gives its whole
// allowance back.
func (gd *Guard) refuse(at *attempt.Attempt, an *attempt.Answer) *attempt.Answer {
	gd.step(withdrawal.Refuse[*schema.RecordedAnswer]{Attempt: at.ID})
	an.UnusedRetries = at.Allowance
	return an
}

// runDeadline returns the time at which a running attempt is given up. Without
// the admission policy the deadline is not known to the upstream.
func (gd *Guard) runDeadline(at *attempt.Attempt) time.Time {
	if gd.fifo {
		return time.Now().Add(fifoRunLimit)
	}
	return at.Deadline
}

// cancel tells the admission duty that nobody waits for the attempt.
func (gd *Guard) cancel(id call.AttemptID) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = gd.duty.inputs.Put(ctx, input{event: admission.Cancel{ID: id}})
}

// execute runs an attempt that was admitted at a time, and gives its slot back.
func (gd *Guard) execute(ctx context.Context, at *attempt.Attempt, admitted time.Time) *attempt.Answer {
	in := &calltree.Inbound{ID: at.ID, Request: at.Request, Importance: at.Importance, Depth: at.Depth, Deadline: at.Deadline, Label: at.Label, Class: at.Class}
	now := time.Now()
	in.Started, in.UpstreamDeadline = now, now.Add(at.Deadline.Sub(now).Truncate(time.Millisecond))
	fin := admission.Finish{ID: at.ID}
	ended := now
	defer func() { _ = gd.duty.inputs.Put(context.WithoutCancel(ctx), input{event: fin, ended: ended}) }()
	open := retry.OpenAttempt{Attempt: at.ID, Budget: retry.Budget(at.Allowance), Deadline: at.Deadline}
	if gd.trees.StepRetry(time.Now(), open).Decision != retry.FirstSend {
		return gd.refuse(at, attempt.Refusal(ReasonFull, fullRetryAfter))
	}
	if gd.step(withdrawal.Start[*schema.RecordedAnswer]{Attempt: at.ID}).Decision != withdrawal.Accepted {
		gd.trees.StepRetry(time.Now(), retry.Close{Account: retry.AttemptAccount(at.ID)})
		return gd.refuse(at, attempt.Refusal(ReasonWithdrawn, 0))
	}
	gd.trees.Enter(in)
	begun := time.Now()
	an := gd.forward(ctx, at)
	ended = time.Now()
	gd.trees.Exit(ended, at.ID)
	unused := gd.trees.StepRetry(ended, retry.Close{Account: retry.AttemptAccount(at.ID)})
	waited, overload := in.DownstreamWait(ended)
	an.UnusedRetries = int(unused.Budget)
	an.UpstreamTime = ended.Sub(begun)
	an.DownstreamOccupancy = gd.trees.Occupancy(ended, at.Class)
	an.Overload = an.Overload || overload && (an.Failed() || an.Status == http.StatusInternalServerError)
	fin.OK, fin.DownstreamWait = an.Outcome == call.Done, waited
	through := an.Outcome == call.Done && an.Status < http.StatusInternalServerError
	gd.trees.AttemptEnded(ended, in, through)
	if through {
		// An upstream that fails at once is not a quick one.
		gd.rooms.took(ended, at.Class, ended.Sub(admitted))
	}
	gd.record(at, an)
	return an
}

// record keeps the answer for a later question about the attempt.
func (gd *Guard) record(at *attempt.Attempt, an *attempt.Answer) {
	if an.Outcome == call.Unknown {
		gd.step(withdrawal.Abort[*schema.RecordedAnswer]{Attempt: at.ID})
		return
	}
	rec := an.CompactRecord()
	gd.step(withdrawal.Finish[*schema.RecordedAnswer]{
		Attempt: at.ID, Answer: rec, Bytes: len(rec.GetBody()) + len(rec.GetHeaderBlock()) + recordBytes,
	})
}

// Withdraw reports the state of an attempt. Unless inspect is set, an attempt
// that has not begun is prevented from beginning.
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
