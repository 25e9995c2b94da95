package guard

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/upstream"
)

// forward sends the attempt to the upstream and reads its whole answer.
func (gd *Guard) forward(ctx context.Context, at *attempt.Attempt) *attempt.Answer {
	up := gd.current.Load()
	if up == nil {
		return attempt.Refusal("no-upstream", fullRetryAfter)
	}
	rq := &upstream.Request{Method: at.Method, URI: at.URI, Host: at.Host, Header: at.Header, Body: at.Body}
	if rq.Header == nil {
		rq.Header = make(http.Header)
	}
	gd.dialect.AddRequestHeaders(rq.Header, at, up.Instance, time.Until(at.Deadline))
	var an *attempt.Answer
	err := gd.client.Do(ctx, up.Address, rq, func(res upstream.Answer) (next bool) {
		an, next = gd.wholeAnswer(ctx, res, at)
		return next
	})
	if err != nil {
		return transportFailure(ctx, err)
	}
	return an
}

// transportFailure returns the answer for an exchange that failed before the
// answer's header came.
func transportFailure(ctx context.Context, err error) *attempt.Answer {
	if errors.Is(err, upstream.ErrNoConnection) {
		return attempt.Refusal(ReasonConnectionRefused, fullRetryAfter)
	}
	if ctx.Err() != nil {
		return attempt.UnknownOutcome(ReasonDeadline, http.StatusGatewayTimeout)
	}
	return attempt.UnknownOutcome(ReasonBrokenAnswer, http.StatusBadGateway)
}

// wholeAnswer reads an answer to its end. One that the dialect finds unusable
// is not passed on; if it is a late answer to the request before on the
// connection, the next one is to be read. An upstream that refuses an attempt of
// its own accord ends it before the body of the refusal matters. The connection ends
// with an answer that belongs to another attempt, as that of this one may follow, and
// with a refusal that names none: a copy of it could not be told from a refusal of the
// next attempt.
func (gd *Guard) wholeAnswer(ctx context.Context, res upstream.Answer, at *attempt.Attempt) (an *attempt.Answer, next bool) {
	verdict := gd.dialect.Classify(res.Response, at)
	named := gd.dialect.AnswersRequest(res.Header, at.Header)
	if verdict == Unusable {
		late := !named && res.Previous != nil && gd.dialect.AnswersRequest(res.Header, res.Previous)
		res.Close = res.Close || !named && !late
		return attempt.UnknownOutcome(ReasonBrokenAnswer, http.StatusBadGateway), late
	}
	res.Close = res.Close || verdict != Answered && !named
	held := gd.memory.hold(res.Body)
	defer held.release()
	body, err := attempt.ReadBody(held, bodyLength(res.Response, at.Method), at.MaxAnswerBytes)
	switch {
	case verdict == Full || verdict == Misdirected:
		an := attempt.Refusal(ReasonUpstreamRefused, fullRetryAfter)
		an.Overload, an.UpstreamRefused = verdict == Full, true
		return an, false
	case err != nil && ctx.Err() != nil:
		return attempt.UnknownOutcome(ReasonDeadline, http.StatusGatewayTimeout), false
	case err != nil:
		return attempt.UnknownOutcome(ReasonBrokenAnswer, http.StatusBadGateway), false
	}
	return &attempt.Answer{Outcome: call.Done, Status: res.StatusCode, Header: attempt.StripHeaders(res.Header), Body: body}, false
}

func bodyLength(res *http.Response, method string) int64 {
	if method == http.MethodHead {
		return -1
	}
	return res.ContentLength
}
