package announce

import (
	"context"

	"github.com/pkg/errors"

	"camphortrail/membership"
)

// ErrRecallPending is returned for a report of an upstream that does not leave, while it is not
// known which departures earlier runs of the node have acknowledged.
var ErrRecallPending = errors.New("announce: earlier departures are not known yet")

// recallState says what is known of the departures that earlier runs of the node have
// acknowledged.
type recallState struct {
	// pending is set until all of them are known, and unanswered once no process has told
	// them in time.
	pending, unanswered bool
	// ended is closed at the first answer, or when none came in time.
	ended chan struct{}
	// probation and number are those of the first report of an upstream while it is pending.
	probation incarnation
	number    uint64
}

// AwaitRecall makes the Registry refuse the reports of upstreams that do not leave until Restore
// is called. It must be called before the first report.
func (rg *Registry) AwaitRecall() {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.recall = recallState{pending: true, ended: make(chan struct{})}
}

// WaitRecall waits until Restore has been called, or ctx ends.
func (rg *Registry) WaitRecall(ctx context.Context) {
	rg.mu.Lock()
	ended := rg.recall.ended
	rg.mu.Unlock()
	if ended == nil {
		return
	}
	select {
	case <-ended:
	case <-ctx.Done():
	}
}

// Restore adds departures that earlier runs of the node have acknowledged. An upstream that they
// cover is removed. Unless they are complete, an upstream is announced only when its reports show
// that it still runs: a report that arrives late may have been made before its departure.
func (rg *Registry) Restore(dps []membership.Departure, complete bool) {
	rg.update(func() bool {
		rc := &rg.recall
		if rc.ended != nil && !rc.unanswered {
			close(rc.ended)
		}
		rc.pending, rc.unanswered = !complete, true
		return rg.reports.restore(dps) && rg.leases.remove(rg.reports.service)
	})
}

// Departures returns the departures that the node has been told of, those of earlier runs
// included.
func (rg *Registry) Departures() []membership.Departure {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	return rg.reports.departures
}

// admits reports whether an upstream may be announced that sends a report. Where no other process
// knows the earlier departures, two reports in a row show that it runs.
func (rc *recallState) admits(inc incarnation, number uint64) bool {
	switch {
	case !rc.pending:
		return true
	case rc.probation != inc || number < rc.number:
		rc.probation, rc.number = inc, number
		return false
	}
	return rc.unanswered && number > rc.number
}
