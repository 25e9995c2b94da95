package entry

import (
	"context"
	"net/http"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/attempt"
)

// Freshness tells whether the keys of customers may be trusted: a key that was withdrawn must
// not be used where the node may not have heard of it.
type Freshness interface {
	// Fresh reports whether the configuration with the given revision is known to be recent.
	Fresh(revision uint64) bool
}

// Allowances keep customers within their usage caps.
type Allowances interface {
	// Take takes one request of a customer from its allowance. It may wait until ctx or the
	// time wait ends. If the answer is false, retryAfter is the time until more is expected.
	Take(ctx context.Context, cu *config.Customer, wait time.Duration) (allowed bool, retryAfter time.Duration)
	// Return returns a request that was taken and did not run.
	Return(cu *config.Customer)
}

const (
	// staleKeysRetryAfter is the mean time after which a caller may retry a request whose key
	// could not be trusted.
	staleKeysRetryAfter = 500 * time.Millisecond
	// maxAllowanceWait and allowanceWaitDivisor bound the time for which a request waits for an
	// allowance: to maxAllowanceWait, and to a part of its target.
	maxAllowanceWait     = 50 * time.Millisecond
	allowanceWaitDivisor = 8
	// learnTime is the time after the start of a node in which a request without a key counts
	// as a call: the upstream may have begun to run its parent before the start.
	learnTime = 10 * time.Second
)

// identify finds the customer of a request by its key, and sets the header that tells the
// upstream the customer. The key goes no further. It returns a refusal if the request needs a
// key of a customer and has none that may be used.
func (en *Entry) identify(cd *config.Compiled, rt *config.Route, rq *request, rd *Request) *attempt.Answer {
	if !cd.HasCustomers() {
		return nil
	}
	rq.header.Del(rd.KeyHeader)
	rq.header.Del(rd.CustomerHeader)
	rq.hasKey = rd.Key != nil
	cu, an := en.customerOf(cd, rt, rd.Key)
	if cu == nil {
		return an
	}
	rq.customer = cu
	if cu.Importance != 0 {
		rq.importance = cu.Importance
	}
	rq.header[rd.CustomerHeader] = []string{string(cu.Name)}
	return nil
}

// customerOf returns the customer that holds a key, or nil. It returns a refusal if the route needs
// a key of a customer and there is none that may be used.
func (en *Entry) customerOf(cd *config.Compiled, rt *config.Route, key *string) (*config.Customer, *attempt.Answer) {
	if key == nil {
		if rt.Public || en.mayBeCall() {
			return nil, nil
		}
		return nil, refusalWithStatus(ReasonKeyUnknown, http.StatusUnauthorized)
	}
	cu, ok := cd.CustomerOfKey(*key)
	switch {
	case !ok && rt.Public:
		return nil, nil
	case !en.keysFresh(cd):
		return nil, attempt.Refusal(ReasonKeyStale, en.jitter(staleKeysRetryAfter))
	case !ok:
		return nil, refusalWithStatus(ReasonKeyUnknown, http.StatusUnauthorized)
	}
	return cu, nil
}

// keysFresh reports whether the keys of a configuration may be trusted.
func (en *Entry) keysFresh(cd *config.Compiled) bool {
	return en.opt.Freshness == nil || en.opt.Freshness.Fresh(cd.Revision)
}

// mayBeCall reports whether a request without a key may be a call of the upstream on the VM.
func (en *Entry) mayBeCall() bool {
	return en.opt.Trees.Running() || time.Since(en.started) < learnTime
}

// takeAllowance takes the request from the allowance of its customer. It returns a refusal if
// the usage cap is reached.
func (en *Entry) takeAllowance(ctx context.Context, rq *request) *attempt.Answer {
	if en.opt.Allowances == nil || rq.customer == nil || rq.customer.Rate == 0 {
		return nil
	}
	wait := min(maxAllowanceWait, rq.kind.Target/allowanceWaitDivisor)
	allowed, retryAfter := en.opt.Allowances.Take(ctx, rq.customer, wait)
	if allowed {
		return nil
	}
	an := attempt.Refusal(ReasonCap, retryAfter)
	an.Status = http.StatusTooManyRequests
	return an
}

// returnAllowance returns a request that did not run to the allowance of its customer.
func (en *Entry) returnAllowance(rq *request, an *attempt.Answer) {
	if en.opt.Allowances != nil && rq.customer != nil && rq.customer.Rate != 0 && an.Outcome == call.NotRun {
		en.opt.Allowances.Return(rq.customer)
	}
}

// customerName returns the name of the customer of a request, or of the attempt that makes it as
// a call, or an empty name.
func (rq *request) customerName() call.Customer {
	switch {
	case rq.customer != nil:
		return rq.customer.Name
	case rq.parent != nil:
		return rq.parent.Customer
	}
	return ""
}
