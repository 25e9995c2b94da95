package admission

import (
	"time"

	"camphortrail/call"
)

// output collects the actions of a step. It reuses its storage.
type output struct {
	actions  []Action
	starts   []Start
	refusals []Refuse
	aborts   []Abort
}

func (ou *output) reset() {
	ou.actions = ou.actions[:0]
	ou.starts = ou.starts[:0]
	ou.refusals = ou.refusals[:0]
	ou.aborts = ou.aborts[:0]
}

func (ou *output) start(id call.AttemptID) {
	ou.starts = append(ou.starts, Start{ID: id})
	ou.actions = append(ou.actions, &ou.starts[len(ou.starts)-1])
}

func (ou *output) refuse(id call.AttemptID, rs Reason, after time.Duration) {
	ou.refusals = append(ou.refusals, Refuse{ID: id, Reason: rs, RetryAfter: after})
	ou.actions = append(ou.actions, &ou.refusals[len(ou.refusals)-1])
}

func (ou *output) abort(id call.AttemptID) {
	ou.aborts = append(ou.aborts, Abort{ID: id})
	ou.actions = append(ou.actions, &ou.aborts[len(ou.aborts)-1])
}
