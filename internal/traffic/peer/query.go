package peer

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
	"camphortrail/withdrawal"
)

// storeStamp stores a guard's stamp unless a later one is known. It ignores a malformed
// stamp.
func (pl *Pool) storeStamp(vm call.VM, text string) {
	sp, err := withdrawal.ParseStamp(text)
	if err != nil {
		return
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if old, ok := pl.stamps[vm]; !ok || sp.Supersedes(old.value) {
		pl.stamps[vm] = receivedStamp{value: sp, received: time.Now()}
	}
}

// freshStamp returns a stamp that arrived from the guard within stampRefreshAge. If there is
// none, it waits for the one with which the guard begins a new link. If that does not come, it
// queries the guard, and returns ErrNoStamp if that fails.
func (pl *Pool) freshStamp(ctx context.Context, vm call.VM, address string) (withdrawal.Stamp, error) {
	if sp, ok := pl.recentStamp(vm); ok {
		return sp, nil
	}
	pl.awaitGreeting(ctx, vm, address)
	if sp, ok := pl.recentStamp(vm); ok {
		return sp, nil
	}
	// The attempt id is zero, because only the stamp in the answer is used.
	rs, err := pl.sendWithdraw(ctx, vm, address, &schema.WithdrawRequest{AttemptId: make([]byte, 16), Inspect: true})
	if err != nil {
		return withdrawal.Stamp{}, ErrNoStamp
	}
	return withdrawal.ParseStamp(rs.GetStamp())
}

// recentStamp returns the latest stamp of a guard if it arrived within stampRefreshAge.
func (pl *Pool) recentStamp(vm call.VM) (withdrawal.Stamp, bool) {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	sp, ok := pl.stamps[vm]
	return sp.value, ok && time.Since(sp.received) < stampRefreshAge
}

// awaitGreeting waits until the guard has sent its stamp on the current link, which is opened if
// needed, until the link or ctx ends, or for greetingTimeout.
func (pl *Pool) awaitGreeting(ctx context.Context, vm call.VM, address string) {
	timer := time.NewTimer(greetingTimeout)
	defer timer.Stop()
	select {
	case <-pl.connTo(vm, address).greeted:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// sendWithdraw sends a withdrawal, or a query if rq.Inspect is set, on the query connection
// to the VM. It reports by OnSuspicion whether the guard answered within queryTimeout.
func (pl *Pool) sendWithdraw(ctx context.Context, vm call.VM, address string, rq *schema.WithdrawRequest) (*schema.WithdrawResponse, error) {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	qc := pl.queryConnTo(vm, address)
	client := schemaconnect.NewPeerClient(&http.Client{Transport: qc.transport}, "http://"+address, connect.WithReadMaxBytes(maxMessageBytes))
	rs, err := client.Withdraw(ctx, connect.NewRequest(rq))
	if err != nil {
		pl.discardQueryConn(qc)
		pl.onSuspicion(vm, true)
		return nil, err
	}
	pl.storeStamp(vm, rs.Msg.GetStamp())
	pl.onSuspicion(vm, false)
	return rs.Msg, nil
}

// query requests the state of an attempt from the guard, and delivers a result if that
// state is final.
func (pl *Pool) query(ctx context.Context, qu withdrawal.Query) {
	pa := pl.lookup(qu.Attempt)
	if pa == nil {
		return
	}
	rs, err := pl.sendWithdraw(ctx, qu.VM, pa.address, &schema.WithdrawRequest{
		AttemptId: qu.Attempt[:], Stamp: pa.stamp.String(), Inspect: !qu.Withdraw,
	})
	if err != nil {
		pa.reportQueryFailure()
		return
	}
	switch st := withdrawal.State(rs.GetState()); st {
	case withdrawal.Queued, withdrawal.Running, withdrawal.Unseen:
		// The state is not final. The failure detector queries again later.
	case withdrawal.Finished:
		// The answer should have arrived on the attempt's own connection, so that
		// connection is suspect.
		pl.signal(withdrawal.Failed{Attempt: qu.Attempt})
		if rec := rs.GetAnswer(); rec != nil {
			an, err := attempt.FromRecord(rec)
			if err != nil {
				pa.deliver(Result{State: withdrawal.Unknown, Sent: true, Step: StepNoAnswer})
				return
			}
			pa.deliver(resultOf(an))
			return
		}
		pa.deliver(Result{State: st, Sent: true, Step: StepNoAnswer})
	case withdrawal.Fenced, withdrawal.Dequeued:
		pa.deliver(Result{State: st, Sent: true, Step: StepWithdrawn})
	default:
		pa.deliver(Result{State: st, Sent: true, Step: StepStateUnknown})
	}
}
