package standin

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
)

// sendRoot sends a root until the complete answer arrives, RootTimeout or Resends are
// used up, or a resend could execute non-idempotent work twice. It records all sends and
// the root.
func (cr *Caller) sendRoot(ctx context.Context, rt Root, rng *rand.Rand) {
	ctx, cancel := context.WithDeadline(ctx, rt.Arrived.Add(cr.opt.RootTimeout))
	defer cancel()
	request := call.NewRequestID(rng)
	for number := 1; number <= 1+cr.opt.Resends; number++ {
		sn, pause := cr.send(ctx, rt, request, number, rng)
		cr.opt.Recorder.addSend(sn)
		if sn.Verdict == Complete {
			rt.Succeeded = ctx.Err() == nil
			break
		}
		if !cr.mayResend(sn) {
			break
		}
		if !cr.opt.HonourRetryAfter || pause == 0 {
			pause = time.Duration(rng.Int64N(int64(cr.opt.MaxBackoff) + 1))
		}
		if number <= cr.opt.Resends && !sleep(ctx, pause) {
			break
		}
	}
	rt.Ended = time.Now()
	cr.opt.Recorder.addRoot(rt)
}

// mayResend reports whether a resend cannot execute non-idempotent work twice: the method
// is idempotent, the request has a key, or the answer says that it was not run.
func (cr *Caller) mayResend(sn Send) bool {
	return cr.opt.Pattern.Method != http.MethodPost || cr.opt.Pattern.Keyed || sn.Outcome == call.NotRun
}

// send sends a root once. It returns the result and the pause that Retry-After asks for,
// or 0.
func (cr *Caller) send(ctx context.Context, rt Root, request call.RequestID, number int, rng *rand.Rand) (Send, time.Duration) {
	pt := cr.opt.Pattern
	sn := Send{Root: rt.ID, Number: number, Class: pt.Class, Importance: pt.Importance, Sent: time.Now()}
	ctx, cancel := context.WithTimeout(ctx, cr.opt.SendTimeout)
	defer cancel()
	path := pt.Path + "/" + strconv.FormatUint(uint64(rt.ID), 16)
	body := bytes.Repeat([]byte{'x'}, pt.BodyBytes)
	target := cr.opt.Targets[rng.IntN(len(cr.opt.Targets))]
	req, err := http.NewRequestWithContext(ctx, pt.Method, target+path, bytes.NewReader(body))
	if err != nil {
		sn.Ended = time.Now()
		return sn, 0
	}
	cr.setHeaders(req.Header, rt, request, number)
	res, err := cr.opt.Client.Do(req)
	if err != nil {
		sn.Ended = time.Now()
		return sn, 0
	}
	defer discardBody(res.Body)
	sn.Status = res.StatusCode
	sn.Outcome = call.ParseOutcome(res.Header.Get(header.Outcome))
	sn.Reason = res.Header.Get(header.Reason)
	sn.Verdict = checkAnswer(res, digestOf(pt.Method, path, rt.ID, body), pt.AnswerBytes)
	sn.Ended = time.Now()
	seconds, _ := strconv.Atoi(res.Header.Get(header.RetryAfter))
	return sn, time.Duration(seconds) * time.Second
}

// setHeaders sets the headers of send number of a root.
func (cr *Caller) setHeaders(hd http.Header, rt Root, request call.RequestID, number int) {
	trace{root: rt.ID, send: number}.write(hd)
	hd.Set(header.Request, request.String())
	hd.Set(header.ResendCount, strconv.Itoa(number-1))
	hd.Set(header.DeadlineMS, strconv.FormatInt(cr.opt.SendTimeout.Milliseconds(), 10))
	if cr.opt.Pattern.Keyed {
		hd.Set(header.IdempotencyKey, request.String())
	}
}
