package guard

import (
	"context"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/attempt"
	"camphortrail/internal/header"
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
	req.Header.Set(header.Attempt, at.ID.String())
	req.Header.Set(header.Request, at.Request.String())
	req.Header.Set(header.DeadlineMS, attempt.Remaining(time.Now(), at.Deadline))
	req.Host = at.Host
	req.ContentLength = int64(len(at.Body))
	res, err := gd.client.Do(req)
	if err != nil {
		return transportFailure(ctx, err)
	}
	defer res.Body.Close()
	return wholeAnswer(ctx, res, at)
}

// transportFailure returns the answer for an exchange that failed before the
// answer's header came.
func transportFailure(ctx context.Context, err error) *attempt.Answer {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attempt.Refusal("upstream-refuses-connections", fullRetryAfter)
	}
	if ctx.Err() != nil {
		return attempt.Broken(ReasonDeadline, http.StatusGatewayTimeout)
	}
	return attempt.Broken(ReasonBroken, http.StatusBadGateway)
}

// wholeAnswer reads an answer to its end. An answer whose end cannot be told,
// or which names another attempt, is not passed on.
func wholeAnswer(ctx context.Context, res *http.Response, at *attempt.Attempt) *attempt.Answer {
	echo := res.Header.Get(header.Attempt)
	if echo != "" && echo != at.ID.String() {
		return attempt.Broken(ReasonBroken, http.StatusBadGateway)
	}
	if !framed(res) {
		return attempt.Broken(ReasonBroken, http.StatusBadGateway)
	}
	body, err := attempt.ReadBody(res.Body, bodyLength(res, at.Method), at.MaxAnswer)
	if err != nil {
		if ctx.Err() != nil {
			return attempt.Broken(ReasonDeadline, http.StatusGatewayTimeout)
		}
		return attempt.Broken(ReasonBroken, http.StatusBadGateway)
	}
	if echo != "" && res.Header.Get(header.Outcome) == call.NotRun.String() {
		an := attempt.Refusal("upstream-refused", fullRetryAfter)
		an.Overload, an.Offered = true, true
		return an
	}
	return &attempt.Answer{Outcome: call.Done, Status: res.StatusCode, Header: attempt.PassOn(res.Header), Body: body}
}

// framed reports whether the end of the body can be told from its message.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked")
}

func bodyLength(res *http.Response, method string) int64 {
	if method == http.MethodHead {
		return -1
	}
	return res.ContentLength
}
