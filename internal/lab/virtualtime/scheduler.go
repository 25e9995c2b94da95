// Package virtualtime runs scheduled functions in virtual time, for simulations in tests.
package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler runs scheduled functions in the order of their virtual time. Those of the
// same time run in the order in which they were scheduled.
type Scheduler struct {
	now    time.Time
	serial uint64
	queue  eventQueue
}

// New returns a scheduler whose virtual time starts at the given time.
func New(now time.Time) *Scheduler { return &Scheduler{now: now} }

// Now returns the virtual time.
func (sc *Scheduler) Now() time.Time { return sc.now }

// After schedules do for the virtual time at which the wait has passed.
func (sc *Scheduler) After(wait time.Duration, do func()) {
	sc.serial++
	heap.Push(&sc.queue, event{sc.now.Add(wait), sc.serial, do})
}

// Advance runs the functions that are due before the given length of time has passed,
// also those that they schedule, and moves the virtual time to its end.
func (sc *Scheduler) Advance(length time.Duration) {
	end := sc.now.Add(length)
	for len(sc.queue) > 0 && sc.queue[0].at.Before(end) {
		next := heap.Pop(&sc.queue).(event)
		sc.now = next.at
		next.do()
	}
	sc.now = end
}

// event is a scheduled function. order counts the events in the order of scheduling.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// eventQueue implements heap.Interface. The first element is the next event.
type eventQueue []event

func (eq eventQueue) Len() int { return len(eq) }

func (eq eventQueue) Less(i, j int) bool {
	if eq[i].at.Equal(eq[j].at) {
		return eq[i].order < eq[j].order
	}
	return eq[i].at.Before(eq[j].at)
}

func (eq eventQueue) Swap(i, j int) { eq[i], eq[j] = eq[j], eq[i] }

func (eq *eventQueue) Push(v any) { *eq = append(*eq, v.(event)) }

func (eq *eventQueue) Pop() any {
	last := (*eq)[len(*eq)-1]
	*eq = (*eq)[:len(*eq)-1]
	return last
}
