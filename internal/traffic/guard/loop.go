package guard

import (
	"context"
	"sync/atomic"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/queue"
)

const (
	// inputQueueSize is the number of events that may wait for the admission loop.
	// Attempts that find it full are refused.
	inputQueueSize = 8192
	// idleWake is the time until the next tick while the policy asks for none.
	idleWake = time.Hour
)

// policy decides on admission. It is an admission.Controller, or a fifo for measurements.
type policy interface {
	Step(now time.Time, ev admission.Event) []admission.Action
	NextWake(now time.Time) (time.Time, bool)
	Level() call.Level
	DelayedLevel() call.Level
	Running() int
	Waiting() int
	WaitingOf(imp call.Importance) int
	Slots() int
	Limit(now time.Time) int
	Occupancy() call.Occupancy
}

// decision is the decision on one attempt.
type decision struct {
	start bool
	// at is the time of a decision to start. reason and retryAfter belong to a refusal.
	at         time.Time
	reason     admission.Reason
	retryAfter time.Duration
}

// input is an event for the admission loop. attempt is set for arrivals. ended, for
// finishes, is the time at which the attempt ended.
type input struct {
	event   admission.Event
	attempt *pendingAttempt
	ended   time.Time
}

// admissionLoop applies events to the admission policy in one goroutine, and publishes
// the state of the policy in atomic fields that other goroutines read.
type admissionLoop struct {
	policy  policy
	usage   *usage
	inputs  *queue.Queue[input]
	pending map[call.AttemptID]*pendingAttempt

	// waitingOf is the number of waiting attempts by importance.
	waitingOf [call.MaxImportance + 1]atomic.Int64

	level, delayedLevel, occupancy, running, waiting, slots, limit atomic.Int64
}

func newAdmissionLoop(po policy, us *usage) *admissionLoop {
	return &admissionLoop{
		policy:  po,
		usage:   us,
		inputs:  queue.New[input](inputQueueSize),
		pending: make(map[call.AttemptID]*pendingAttempt),
	}
}

// run applies inputs, and a tick whenever the policy asks for one, until ctx ends.
func (al *admissionLoop) run(ctx context.Context) {
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-al.inputs.Out():
			al.apply(in)
		case <-timer.C:
			al.apply(input{event: admission.Tick{}})
		}
		now := time.Now()
		wake := idleWake
		if at, ok := al.policy.NextWake(now); ok {
			wake = max(0, at.Sub(now))
		}
		timer.Reset(wake)
	}
}

// apply applies one input to the policy, performs the actions that result, and publishes
// the new state.
func (al *admissionLoop) apply(in input) {
	switch ev := in.event.(type) {
	case admission.Arrive:
		al.pending[ev.ID] = in.attempt
	case admission.Finish:
		delete(al.pending, ev.ID)
	}
	now := time.Now()
	if !in.ended.IsZero() {
		al.usage.freeDelay.add(now.Sub(in.ended))
	}
	for _, ac := range al.policy.Step(now, in.event) {
		al.perform(now, ac)
	}
	limit := al.policy.Limit(now)
	al.limit.Store(int64(limit))
	for imp := range al.waitingOf {
		al.waitingOf[imp].Store(int64(al.policy.WaitingOf(call.Importance(imp))))
	}
	al.usage.update(now, al.policy.Running(), al.policy.Waiting(), limit)
	al.level.Store(int64(al.policy.Level()))
	al.delayedLevel.Store(int64(al.policy.DelayedLevel()))
	al.occupancy.Store(int64(al.policy.Occupancy()))
	al.running.Store(int64(al.policy.Running()))
	al.waiting.Store(int64(al.policy.Waiting()))
	al.slots.Store(int64(al.policy.Slots()))
}

// perform starts, refuses or aborts an attempt.
func (al *admissionLoop) perform(now time.Time, ac admission.Action) {
	switch ac := ac.(type) {
	case *admission.Start:
		if pa, ok := al.pending[ac.ID]; ok {
			pa.decided <- decision{start: true, at: now}
		}
	case *admission.Refuse:
		if pa, ok := al.pending[ac.ID]; ok {
			delete(al.pending, ac.ID)
			pa.decided <- decision{reason: ac.Reason, retryAfter: ac.RetryAfter}
		}
	case *admission.Abort:
		if pa, ok := al.pending[ac.ID]; ok {
			pa.run.Abort()
		}
	}
}
