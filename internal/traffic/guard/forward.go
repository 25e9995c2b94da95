package guard

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/upstream"
)

// forward sends the attempt to the target and returns its answer once it is whole, or an
// answer that says why there is none.
func (gd *Guard) forward(pa *pendingAttempt, tg *target) *attempt.Answer {
	at, rn := pa.attempt, &pa.run
	rq := &upstream.Request{Method: at.Method, URI: at.URI, Host: at.Host, Header: at.Header, Body: at.Body, Memory: &pa.memory}
	if rq.Header == nil {
		rq.Header = make(http.Header)
	}
	pa.sends++
	gd.protocol.AddRequestHeaders(rq.Header, at, tg.upstream.Instance, time.Until(at.AnswerBy()))
	var an *attempt.Answer
	err := tg.client.Do(rn, tg.upstream.Address, rq, func(res upstream.Answer) (next bool) {
		an, next = gd.readAnswer(pa, res)
		return next
	})
	switch {
	case errors.Is(err, upstream.ErrAborted) && pa.sends > 1:
		// This send did not leave, and the upstream refused those before.
		return gd.upstreamRefusal(Full)
	case err != nil:
		an = transportFailure(pa, err)
		// The sends before reached the upstream, so that another attempt of the request is a retry.
		an.UpstreamRefused = an.Outcome == call.NotRun && pa.sends > 1
	}
	return an
}

// upstreamRefusal returns the answer to an attempt that the upstream refused.
func (gd *Guard) upstreamRefusal(class AnswerClass) *attempt.Answer {
	an := attempt.Refusal(ReasonUpstreamRefused, fullRetryAfter)
	an.Overload, an.UpstreamRefused = class == Full, true
	an.UpstreamFault = class == Full && !gd.busy()
	return an
}

// busy reports whether the upstream has hardly any free slots, so that it may refuse attempts for
// lack of them.
func (gd *Guard) busy() bool {
	return gd.loop.waiting.Load() > 0 || 10*gd.loop.running.Load() >= 9*gd.loop.limit.Load()
}

// transportFailure returns the answer to an attempt whose exchange with the upstream
// failed before the header of the response. The outcome is NotRun only if there was no
// connection.
func transportFailure(pa *pendingAttempt, err error) *attempt.Answer {
	if errors.Is(err, upstream.ErrNoConnection) {
		return attempt.Refusal(ReasonConnectionRefused, fullRetryAfter)
	}
	return pa.brokenAnswer()
}

// brokenAnswer returns the answer to an attempt whose answer could not be read to its end.
func (pa *pendingAttempt) brokenAnswer() *attempt.Answer {
	switch {
	case pa.memory.Evicted(), pa.givenUp.Load():
		return attempt.UnknownOutcome(ReasonNoMemory, http.StatusBadGateway)
	case pa.run.Ended():
		return attempt.UnknownOutcome(ReasonDeadline, http.StatusGatewayTimeout)
	}
	return attempt.UnknownOutcome(ReasonBrokenAnswer, http.StatusBadGateway)
}

// readAnswer reads an answer to its end. For an unusable answer it returns an answer with
// outcome Unknown; if the unusable one is a late answer to the previous request on the
// connection, next is true and the caller reads the following one. If the upstream refused
// the attempt, an incomplete body does not matter.
//
// The connection is closed after an answer that belongs to some other attempt, because
// the answer to this one may still follow on it. It is also closed after a refusal that
// names no attempt, because a second copy of it would look like a refusal of the next
// attempt.
func (gd *Guard) readAnswer(pa *pendingAttempt, res upstream.Answer) (an *attempt.Answer, next bool) {
	at := pa.attempt
	class := gd.protocol.Classify(res.Response, at)
	named := gd.protocol.AnswersRequest(res.Header, at.Header)
	if class == Unusable {
		late := !named && res.PreviousHeader != nil && gd.protocol.AnswersRequest(res.Header, res.PreviousHeader)
		res.Close = res.Close || !named && !late
		return attempt.UnknownOutcome(ReasonBrokenAnswer, http.StatusBadGateway), late
	}
	res.Close = res.Close || class != Answered && !named
	body, err := attempt.ReadBody(&pa.memory, res.Body, bodyLength(res.Response, at.Method), at.MaxAnswerBytes)
	switch {
	case class == Full || class == Misdirected:
		pa.sendAgain = gd.decideFurtherSend(pa, class)
		// A copy of the refusal that comes late must not be read as the answer to the next send.
		res.Close = res.Close || pa.sendAgain == allowed
		return gd.upstreamRefusal(class), false
	case err != nil:
		return pa.brokenAnswer(), false
	}
	gd.furtherSends.answered(time.Now(), false)
	return &attempt.Answer{Outcome: call.Done, Status: res.StatusCode, Header: attempt.StripHeaders(res.Header), Body: body}, false
}

// bodyLength returns the length of the body that follows, or -1 if the answer does not
// state it. The answer to a HEAD request states the length of a body that is not sent.
func bodyLength(res *http.Response, method string) int64 {
	if method == http.MethodHead {
		return -1
	}
	return res.ContentLength
}
