package entry

import (
	"context"
	"net/http"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
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
	// time wait ends.
	Take(ctx context.Context, cu *config.Customer, wait time.Duration) Allowance
	// Return returns a request that was taken and did not run. al is what Take returned.
	Return(cu *config.Customer, al Allowance)
}

// Allowance is the decision on a request of a customer with a usage cap.
type Allowance struct {
	// Allowed reports whether the request may start, and Issued identifies what it took.
	Allowed bool
	Issued  time.Time
	// RetryAfter is the time after which a caller may retry a request that may not start.
	RetryAfter time.Duration
	// Held is the number of further requests that the node may start, and Age the time since
	// the latest of them, or of those it had, were issued; 0 if there were none.
	Held uint32
	Age  time.Duration
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

// credential is what a request states about its customer, and the headers that carry it.
type credential struct {
	// present is true if the request states a key, and malformed if it does so in a form that no
	// key has.
	present, malformed     bool
	key                    string
	keyHeader, customerOut string
}

// credentialOf returns the credential of a request of a front end.
func credentialOf(rd *Request) credential {
	cr := credential{present: rd.Key != nil || rd.KeyMalformed, malformed: rd.KeyMalformed, keyHeader: rd.KeyHeader, customerOut: rd.CustomerHeader}
	if rd.Key != nil {
		cr.key = *rd.Key
	}
	return cr
}

// customerOf returns the customer that holds the key of a credential. The empty key is nobody's,
// also if a configuration has its digest.
func (cr credential) customerOf(cd *config.Compiled) (*config.Customer, bool) {
	if cr.malformed || cr.key == "" {
		return nil, false
	}
	return cd.CustomerOfKey(cr.key)
}

// identify finds the customer of a request by its key, and sets the header that tells the
// upstream the customer. The key goes no further. It returns a refusal if the request needs a
// key of a customer and has none that may be used. Requests on public routes need none, but a
// known key identifies their customer; such a request needs no recent proof.
//
// While keys are not trusted, an unknown key may be a new one, so that its refusal is not final.
func (en *Entry) identify(cd *config.Compiled, rq *request, cr credential, public bool, mayBeCall func() bool) *attempt.Answer {
	if !cd.HasCustomers() {
		return nil
	}
	rq.header.Del(cr.keyHeader)
	rq.header.Del(cr.customerOut)
	rq.hasKey, rq.public = cr.present, public
	cu, an := en.customerOf(cd, cr, public, mayBeCall)
	if cu == nil {
		return an
	}
	rq.customer = cu
	if cu.Importance != 0 {
		rq.importance = cu.Importance
	}
	rq.header[cr.customerOut] = []string{string(cu.Name)}
	return nil
}

// customerOf returns the customer that holds the key of a request, or nil. It returns a refusal if
// the request needs a key of a customer and has none that may be used.
func (en *Entry) customerOf(cd *config.Compiled, cr credential, public bool, mayBeCall func() bool) (*config.Customer, *attempt.Answer) {
	if !cr.present {
		if public || mayBeCall() {
			return nil, nil
		}
		return nil, refusalWithStatus(ReasonKeyUnknown, http.StatusUnauthorized)
	}
	cu, ok := cr.customerOf(cd)
	switch {
	case public && !ok:
		return nil, nil
	case public:
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

// mayBeCall reports whether a request of a front end without a key may be a call of the upstream on
// the VM: its class is known as a class of calls, an attempt runs on the upstream, or the node
// started too recently to know. The first also holds for calls of an attempt that was abandoned.
func (en *Entry) mayBeCall(og calltree.OutgoingCall) bool {
	// The request counts for what is known of its class, whatever the other conditions say.
	known := en.opt.Trees.IsKnownCall(og)
	return known || en.opt.Trees.Running() || en.recentlyStarted()
}

// recentlyStarted reports whether the upstream may run attempts from before the start of the node.
func (en *Entry) recentlyStarted() bool { return time.Since(en.started) < learnTime }

// takeAllowance takes the request from the allowance of its customer. It returns a refusal if
// the usage cap is reached.
func (en *Entry) takeAllowance(ctx context.Context, rq *request) *attempt.Answer {
	if en.opt.Allowances == nil || !rq.isCapped() {
		return nil
	}
	wait := min(maxAllowanceWait, rq.kind.Target/allowanceWaitDivisor, time.Until(rq.deadline))
	rq.allowance = en.opt.Allowances.Take(ctx, rq.customer, wait)
	if rq.allowance.Allowed {
		return nil
	}
	an := attempt.Refusal(ReasonCap, rq.allowance.RetryAfter)
	an.Status = http.StatusTooManyRequests
	return an
}

// returnAllowance returns a request that did not run to the allowance of its customer.
func (en *Entry) returnAllowance(rq *request, an *attempt.Answer) {
	if rq.allowance.Allowed && an.Outcome == call.NotRun {
		en.opt.Allowances.Return(rq.customer, rq.allowance)
	}
}

// isCapped reports whether the request counts against the usage cap of its customer. Calls have no
// customer of their own, and requests on public routes do not count.
func (rq *request) isCapped() bool {
	return rq.customer != nil && rq.customer.Rate != 0 && !rq.public
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
