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

// freshStamp returns a recent stamp of the guard, and asks for one if there is
// none.
func (pl *Pool) freshStamp(ctx context.Context, vm call.VM, address string) (withdrawal.Stamp, error) {
	pl.mu.Lock()
	sp, ok := pl.stamps[vm]
	pl.mu.Unlock()
	if ok && time.Since(sp.received) < stampRefreshAge {
		return sp.value, nil
	}
	rs, err := pl.sendWithdraw(ctx, vm, address, &schema.WithdrawRequest{AttemptId: make([]byte, 16), Inspect: true})
	if err != nil {
		return withdrawal.Stamp{}, ErrNoStamp
	}
	return withdrawal.ParseStamp(rs.GetStamp())
}

// sendWithdraw sends a withdrawal on the connection for questions to the VM.
func (pl *Pool) sendWithdraw(ctx context.Context, vm call.VM, address string, rq *schema.WithdrawRequest) (*schema.WithdrawResponse, error) {
	ctx, stop := context.WithTimeout(ctx, queryTimeout)
	defer stop()
	qc := pl.queryConnTo(vm, address)
	client := schemaconnect.NewPeerClient(&http.Client{Transport: qc.transport}, "http://"+address)
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

// query asks the guard for the state of an attempt, and delivers it if it is
// final.
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
		// Suspicion asks again later.
	case withdrawal.Finished:
		// The answer should have come on the attempt's own connection.
		pl.signal(withdrawal.Failed{Attempt: qu.Attempt})
		if rec := rs.GetAnswer(); rec != nil {
			an, err := attempt.FromRecord(rec)
			if err != nil {
				pa.deliver(Result{State: withdrawal.Unknown, Sent: true})
				return
			}
			pa.deliver(resultOf(an))
			return
		}
		pa.deliver(Result{State: st, Sent: true})
	default:
		pa.deliver(Result{State: st, Sent: true})
	}
}
