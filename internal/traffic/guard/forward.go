package guard

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
)

const (
	dialTimeout        = time.Second
	idleUpstreamConns  = 2048
	idleUpstreamExpiry = 30 * time.Second
)

func newClient() *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         dialer.DialContext,
			MaxIdleConns:        idleUpstreamConns,
			MaxIdleConnsPerHost: idleUpstreamConns,
			IdleConnTimeout:     idleUpstreamExpiry,
			DisableCompression:  true,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// forward sends the attempt to the upstream and reads its whole answer.
func (gd *Guard) forward(ctx context.Context, at *attempt.Attempt) *attempt.Answer {
	up := gd.upstream.Load()
	if up == nil {
		return attempt.Refusal("no-upstream", fullRetryAfter)
	}
	req, err := http.NewRequestWithContext(ctx, at.Method, "http://"+up.Address+at.URI, attempt.OnceBody(at.Body))
	if err != nil {
		return attempt.Refusal("bad-request", 0)
	}
	req.Header = at.Header.Clone()
	gd.dialect.Prepare(req.Header, at, up.Instance, time.Until(at.Deadline))
	req.Host = at.Host
	req.ContentLength = int64(len(at.Body))
	res, err := gd.client.Do(req)
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer res.Body.Close()
	return gd.wholeAnswer(ctx, res, at)
}

// transportFailure returns the answer for an exchange that failed before the
// answer's header came.
func transportFailure(ctx context.Context, err error) *attempt.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt.Refusal(ReasonConnect, fullRetryAfter)
	}
	if ctx.Err() != nil {
		return attempt.Broken(ReasonDeadline, http.StatusGatewayTimeout)
	}
	return attempt.Broken(ReasonBroken, http.StatusBadGateway)
}

// wholeAnswer reads an answer to its end. One that the dialect finds unusable
// is not passed on. An upstream that refuses an attempt of its own accord ends
// it before the body of the refusal matters.
func (gd *Guard) wholeAnswer(ctx context.Context, res *http.Response, at *attempt.Attempt) *attempt.Answer {
	verdict := gd.dialect.Judge(res, at)
	if verdict == Unusable {
		return attempt.Broken(ReasonBroken, http.StatusBadGateway)
	}
	body, err := attempt.ReadBody(res.Body, bodyLength(res, at.Method), at.MaxAnswer)
	switch {
	case verdict == Full || verdict == Misdirected:
		an := attempt.Refusal(ReasonRefused, fullRetryAfter)
		an.Overload, an.Offered = verdict == Full, true
		return an
	case err != nil && ctx.Err() != nil:
		return attempt.Broken(ReasonDeadline, http.StatusGatewayTimeout)
	case err != nil:
		return attempt.Broken(ReasonBroken, http.StatusBadGateway)
	}
	return &attempt.Answer{Outcome: call.Done, Status: res.StatusCode, Header: attempt.PassOn(res.Header), Body: body}
}

func bodyLength(res *http.Response, method string) int64 {
	if method == http.MethodHead {
		return -1
	}
	return res.ContentLength
}
