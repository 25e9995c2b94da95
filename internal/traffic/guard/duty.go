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
	admissionRingSize = 8192
	idleWake          = time.Hour
)

// machine is what decides on admission: admission.Machine or a baseline.
type machine interface {
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
	// at is when it was decided.
	at         time.Time
	reason     admission.Reason
	retryAfter time.Duration
}

// ticket is an attempt that waits for admission or runs.
type ticket struct {
	verdict chan decision
	abort   context.CancelFunc
}

// input is an event for the admission duty. The ticket is set for arrivals, and the
// time at which the attempt ended for finishes.
type input struct {
	event  admission.Event
	ticket *ticket
	ended  time.Time
}

// duty owns the admission machine in one goroutine.
type duty struct {
	machine machine
	usage   *usage
	inputs  *queue.Queue[input]
	tickets map[call.AttemptID]*ticket

	waitingOf [call.MaxImportance + 1]atomic.Int64

	level, pressure, occupancy, running, waiting, slots, limit atomic.Int64
}

func newDuty(mc machine, us *usage) *duty {
	return &duty{
		machine: mc,
		usage:   us,
		inputs:  queue.New[input](admissionRingSize),
		tickets: make(map[call.AttemptID]*ticket),
	}
}

// run applies inputs until ctx ends.
func (du *duty) run(ctx context.Context) {
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case in := <-du.inputs.Out():
			du.apply(in)
		case <-timer.C:
			du.apply(input{event: admission.Tick{}})
		}
		now := time.Now()
		wake := idleWake
		if at, ok := du.machine.NextWake(now); ok {
			wake = max(0, at.Sub(now))
		}
		timer.Reset(wake)
	}
}

func (du *duty) apply(in input) {
	switch ev := in.event.(type) {
	case admission.Arrive:
		du.tickets[ev.ID] = in.ticket
	case admission.Finish:
		delete(du.tickets, ev.ID)
	}
	now := time.Now()
	if !in.ended.IsZero() {
		du.usage.freed.add(now.Sub(in.ended))
	}
	for _, ac := range du.machine.Step(now, in.event) {
		du.perform(now, ac)
	}
	limit := du.machine.Limit(now)
	du.limit.Store(int64(limit))
	for imp := range du.waitingOf {
		du.waitingOf[imp].Store(int64(du.machine.WaitingOf(call.Importance(imp))))
	}
	du.usage.set(now, du.machine.Running(), du.machine.Waiting(), limit)
	du.level.Store(int64(du.machine.Level()))
	du.pressure.Store(int64(du.machine.DelayedLevel()))
	du.occupancy.Store(int64(du.machine.Occupancy()))
	du.running.Store(int64(du.machine.Running()))
	du.waiting.Store(int64(du.machine.Waiting()))
	du.slots.Store(int64(du.machine.Slots()))
}

func (du *duty) perform(now time.Time, ac admission.Action) {
	switch ac := ac.(type) {
	case *admission.Start:
		if tk, ok := du.tickets[ac.ID]; ok {
			tk.verdict <- decision{start: true, at: now}
		}
	case *admission.Refuse:
		if tk, ok := du.tickets[ac.ID]; ok {
			delete(du.tickets, ac.ID)
			tk.verdict <- decision{reason: ac.Reason, retryAfter: ac.RetryAfter}
		}
	case *admission.Abort:
		if tk, ok := du.tickets[ac.ID]; ok {
			tk.abort()
		}
	}
}
