package guard

import (
	"time"

	"camphortrail/admission"
	"camphortrail/call"
)

// fifo admits attempts in the order of arrival and bounds neither the queue nor the
// wait. It is the baseline of measurements of the admission policy.
type fifo struct {
	slots   int
	running map[call.AttemptID]bool
	queue   []call.AttemptID
}

func newFIFO() *fifo { return &fifo{running: make(map[call.AttemptID]bool)} }

func (ff *fifo) Step(_ time.Time, ev admission.Event) []admission.Action {
	switch ev := ev.(type) {
	case admission.Announce:
		ff.slots = ev.Slots
	case admission.Arrive:
		if ff.slots == 0 {
			return []admission.Action{&admission.Refuse{ID: ev.ID, Reason: admission.NoUpstream}}
		}
		ff.queue = append(ff.queue, ev.ID)
	case admission.Finish:
		delete(ff.running, ev.ID)
	}
	var actions []admission.Action
	for len(ff.queue) > 0 && len(ff.running) < ff.slots {
		id := ff.queue[0]
		ff.queue = ff.queue[1:]
		ff.running[id] = true
		actions = append(actions, &admission.Start{ID: id})
	}
	return actions
}

func (ff *fifo) NextWake(time.Time) (time.Time, bool) { return time.Time{}, false }
func (ff *fifo) Level() call.Level                    { return 0 }
func (ff *fifo) DelayedLevel() call.Level             { return 0 }
func (ff *fifo) Running() int                         { return len(ff.running) }
func (ff *fifo) Waiting() int                         { return len(ff.queue) }
func (ff *fifo) Occupancy() call.Occupancy            { return 0 }
func (ff *fifo) Slots() int                           { return ff.slots }
func (ff *fifo) WaitingOf(call.Importance) int        { return 0 }
func (ff *fifo) Limit(time.Time) int                  { return ff.slots }
