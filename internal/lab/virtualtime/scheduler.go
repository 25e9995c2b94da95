// Package agenda runs what is due in virtual time, for replays.
package virtualtime

import (
	"container/heap"
	"time"
)

// Scheduler holds what is due, in the order of time. Things that are due at the same
// moment are done in the order in which they were added.
type Scheduler struct {
	now    time.Time
	serial uint64
	due    moments
}

// New returns an agenda that begins at the given time.
func New(now time.Time) *Scheduler { return &Scheduler{now: now} }

// Now returns the virtual time.
func (ag *Scheduler) Now() time.Time { return ag.now }

// After lets do run once the wait has passed.
func (ag *Scheduler) After(wait time.Duration, do func()) {
	ag.serial++
	heap.Push(&ag.due, moment{ag.now.Add(wait), ag.serial, do})
}

// Advance does all that is due within the length of time, which has passed then.
func (ag *Scheduler) Advance(length time.Duration) {
	end := ag.now.Add(length)
	for len(ag.due) > 0 && ag.due[0].at.Before(end) {
		next := heap.Pop(&ag.due).(moment)
		ag.now = next.at
		next.do()
	}
	ag.now = end
}

type moment struct {
	at    time.Time
	order uint64
	do    func()
}

// moments implements heap.Interface.
type moments []moment

func (mo moments) Len() int { return len(mo) }

func (mo moments) Less(i, j int) bool {
	if mo[i].at.Equal(mo[j].at) {
		return mo[i].order < mo[j].order
	}
	return mo[i].at.Before(mo[j].at)
}

func (mo moments) Swap(i, j int) { mo[i], mo[j] = mo[j], mo[i] }

func (mo *moments) Push(v any) { *mo = append(*mo, v.(moment)) }

func (mo *moments) Pop() any {
	last := (*mo)[len(*mo)-1]
	*mo = (*mo)[:len(*mo)-1]
	return last
}
