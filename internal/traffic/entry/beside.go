package entry

import (
	"context"
	"net/http"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/peer"
)

// maxBeside bounds the attempts of a request that go on beside its latest one.
const maxBeside = 3

// besideAttempts holds the attempts of a request that go on although others were sent beside them, since
// their guards did not answer a query. What the others bring ends none of them but for an answer of an
// upstream.
//
// The load pattern is a VM that gets no processor for a while, in a service whose other VMs are full: its
// attempt is the only one that will be answered.
type besideAttempts struct {
	// waiting is the context of these attempts, which stop ends.
	waiting context.Context
	stop    context.CancelFunc
	// sending is the context of the attempts that are sent meanwhile. It ends when one of these has brought
	// an answer that ends the request.
	sending     context.Context
	stopSending context.CancelFunc
	// running is the number of these attempts without a recorded result, and ended takes their results. It
	// has room for all of them.
	running int
	ended   chan besideEnd
}

// besideEnd is the result of an attempt that went on beside others.
type besideEnd struct {
	vm     call.VM
	at     *attempt.Attempt
	begun  time.Time
	result peer.Result
}

// goOn lets an attempt go on beside the next ones.
func (en *Entry) goOn(ctx context.Context, rq *request, vm call.VM, at *attempt.Attempt, begun time.Time, pd *peer.Pending) {
	bs := rq.beside
	if bs == nil {
		bs = &besideAttempts{ended: make(chan besideEnd, maxBeside)}
		bs.waiting, bs.stop = context.WithCancel(ctx)
		bs.sending, bs.stopSending = context.WithCancel(bs.waiting)
		rq.beside = bs
	}
	bs.running++
	go func() {
		rs := pd.Wait(bs.waiting)
		bs.ended <- besideEnd{vm, at, begun, rs}
		if rs.Answer != nil && rs.Answer.Outcome == call.Done && !en.worthRetrying(rq, rs.Answer) {
			bs.stopSending()
		}
	}()
}

// sendingContext returns the context of the next attempt of a request.
func (rq *request) sendingContext(ctx context.Context) context.Context {
	if rq.beside != nil {
		return rq.beside.sending
	}
	return ctx
}

// takeBeside records the results of attempts beside others that have ended, and returns the answer that ends
// the request, or nil.
func (en *Entry) takeBeside(ctx context.Context, rq *request) *attempt.Answer {
	for rq.beside != nil && rq.beside.running > 0 {
		select {
		case be := <-rq.beside.ended:
			if an := en.recordBeside(ctx, rq, be); an != nil {
				return an
			}
		default:
			return nil
		}
	}
	return nil
}

// recordBeside records the result of an attempt beside others, and returns its answer if that ends the
// request, or nil.
func (en *Entry) recordBeside(ctx context.Context, rq *request, be besideEnd) *attempt.Answer {
	rq.beside.running--
	en.recordResult(rq, be.vm, be.at, be.result, time.Since(be.begun), rq.ended(ctx, time.Now()))
	an := be.result.Answer
	if an == nil || an.Outcome != call.Done {
		return nil
	}
	rq.answer, rq.vm, rq.lastResult = an, be.vm, be.result
	if en.worthRetrying(rq, an) {
		return nil
	}
	en.countSuccess(rq, an)
	return an
}

// awaitBeside waits for the attempts that go on beside others if the others have brought no answer of an
// upstream, until the request is due: own is answered only if no attempt is at work any more. It then
// cancels those that are left.
func (en *Entry) awaitBeside(ctx context.Context, rq *request, own *attempt.Answer) *attempt.Answer {
	bs := rq.beside
	defer func() {
		bs.stop()
		for bs.running > 0 {
			// A cancelled attempt has a result at once.
			en.recordBeside(ctx, rq, <-bs.ended)
		}
	}()
	if own.Outcome == call.Done {
		return own
	}
	for bs.running > 0 {
		// It ends just after the deadline of the request.
		if an := en.recordBeside(ctx, rq, <-bs.ended); an != nil {
			return an
		}
	}
	if rq.answer != nil {
		return rq.answer
	}
	if rq.ended(ctx, time.Now()) {
		return en.giveUp(rq, ReasonDeadline, http.StatusGatewayTimeout, 0)
	}
	return en.giveUp(rq, own.Reason, own.Status, own.RetryAfter)
}

// recordGoesOn records that an attempt goes on beside the next ones.
func recordGoesOn(rq *request, vm call.VM, at *attempt.Attempt, rs peer.Result) {
	rq.ends = append(rq.ends, endOf(time.Now(), rq, vm, rs))
	rq.history.RecordState(at.ID, rs.State, false)
}
