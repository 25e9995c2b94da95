package entry

import (
	"encoding/binary"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/customers/shares"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/header"
	"camphortrail/internal/traffic/peer"
	"camphortrail/internal/traffic/throttle"
	"camphortrail/retry"
	"camphortrail/withdrawal"
)

// request is the state of one request at its entry.
type request struct {
	kind *config.Kind
	// customer is the customer whose key the request has, or nil. hasKey is true if it has any.
	customer *config.Customer
	hasKey   bool
	// position is the place of the request among those of its importance, if positioned is true.
	position   shares.Position
	positioned bool
	// public is true if the route needs no key.
	public bool
	// allowance is what the request took of the allowance of its customer.
	allowance  Allowance
	deployment call.Deployment
	id         call.RequestID
	account    retry.AccountID
	importance call.Importance
	depth      call.Depth
	// callsDone is the number of calls that the attempts above the request have completed.
	callsDone int
	deadline  time.Time
	// clock says which bound gives the deadline.
	clock events.Clock
	// parent is the attempt on this VM that made the request as a call, or nil.
	parent *calltree.Inbound
	// ownAccount is the id of the request's retry account if the request has one even
	// with a parent. Otherwise it is zero.
	ownAccount call.RequestID
	// label is the request id that the sender uses, for logs.
	label string
	// begun is when the request arrived, and ends the attempts that brought no answer of an upstream.
	begun time.Time
	ends  []attemptEnd
	// connection identifies the connection of the request, or is empty.
	connection string
	// isCall is true if the request is a call of an upstream, even if the parent is
	// unknown.
	isCall bool
	// parentUnknown is true if the request names a parent that does not run on this VM.
	parentUnknown bool
	// resend is the number of earlier sends that the caller reports.
	resend uint32

	method string
	host   string
	uri    string
	header http.Header
	body   []byte
	// key is the idempotency key, or empty.
	key string

	// noEarlierRun is true if no earlier send of the request can have run, because its
	// key was granted or the caller states it.
	noEarlierRun bool
	history      withdrawal.History
	// answer is the latest complete answer of an upstream, or nil.
	answer *attempt.Answer
	// beside holds the attempts that go on beside the latest one, or is nil.
	beside *besideAttempts
	// untraced is true if the guard of an attempt has started anew or forgotten it, so that nobody can tell
	// whether it still runs.
	untraced bool
	// attempts is the number of attempts that were sent.
	attempts int
	// vm is the target of the latest attempt, and lastResult its result.
	vm         call.VM
	lastResult peer.Result
	// cost is the expected time of the latest attempt at an upstream of usual speed, or zero.
	cost time.Duration
	// restampUsed is true if the uncharged attempt after a stale stamp was used.
	restampUsed bool
	// overload is true if the latest attempt failed because work was refused under
	// overload.
	overload bool
	// occupancy is the highest occupancy of the services that the request used,
	// directly and through its calls.
	occupancy call.Occupancy
	// fanOut is the fan-out of requests of the same kind, from the latest answer.
	fanOut []call.FanOut
	// decision is that of the throttle if it was made before the body was read, or nil. The request
	// was also taken from its allowance then.
	decision *throttle.Decision
	// admitted is true if the request is a caller's and was not refused by the throttle.
	admitted bool
	// blocker tells which requests wait for the answer to this one. It may be nil.
	blocker Blocker
	// memory keeps the memory of the answer after it is returned, or is nil.
	memory *buffer.Scope
	// blocking is true if the request was refused as others would have waited past their
	// deadlines for its answer.
	blocking bool
	// share is the percentage of the requests of the kind that the entry admits, and decidedBy
	// the rule of the throttle that admitted or refused the request.
	share     int
	decidedBy throttle.Rule
	// waited is the estimated time since the caller sent the request first. returning is
	// true if the caller has sent it before. Both come from the deadline.
	waited    time.Duration
	returning bool
	// cause is the reason for which the request was cancelled before its deadline, or nil.
	cause error
	// retryCharged is true if the retry budget has been charged for the next attempt.
	retryCharged bool
}

// newRequest reads a request of a caller, or a call of the upstream on the same VM. If
// the answer is not nil, the request is refused, and may be nil.
func (en *Entry) newRequest(r *http.Request, cd *config.Compiled, now time.Time) (*request, *attempt.Answer) {
	kind, ok := cd.Match(r.Method, r.URL.Path)
	if !ok {
		return nil, refusalWithStatus(ReasonNoService, http.StatusNotFound)
	}
	body, err := attempt.ReadBody(nil, r.Body, r.ContentLength, kind.MaxRequestBytes)
	switch {
	case err == attempt.ErrTooLarge:
		return nil, refusalWithStatus(ReasonRequestTooLarge, http.StatusRequestEntityTooLarge)
	case err != nil:
		return nil, refusalWithStatus(ReasonRequestIncomplete, http.StatusBadRequest)
	}
	rq := &request{
		kind: kind, deployment: cd.Deployment, importance: kind.Importance, begun: now, deadline: now.Add(kind.Deadline),
		method: r.Method, host: r.Host, uri: r.URL.RequestURI(), header: attempt.StripHeaders(maps.Clone(r.Header)), body: body,
		key: r.Header.Get(header.IdempotencyKey),
	}
	rq.history.Idempotent = kind.Idempotent
	if rq.key == "" && kind.KeyRequired {
		return nil, refusalWithStatus(ReasonKeyMissing, http.StatusBadRequest)
	}
	parent := r.Header.Get(header.Attempt)
	cr := readCredential(r.Header)
	if cr.present && cd.HasCustomers() {
		// A request with a key is one of a caller, whatever else it states.
		parent = ""
	}
	mayBeCall := func() bool { return parent != "" }
	if an := en.identify(cd, rq, cr, false, mayBeCall); an != nil {
		return rq, an
	}
	if parent != "" {
		return rq, en.attachToParent(rq, parent)
	}
	return rq, en.readCallerHeaders(rq, r.Header, now)
}

// keyScheme is the scheme of the header Authorization with the key of a customer.
const keyScheme = "Token"

// readCredential reads the key of a customer from the header Authorization.
func readCredential(hd http.Header) credential {
	cr := credential{keyHeader: header.Authorization, customerOut: header.Customer}
	key, malformed := ParseKey(hd[header.Authorization], keyScheme)
	cr.present, cr.malformed = key != nil || malformed, malformed
	if key != nil {
		cr.key = *key
	}
	return cr
}

// ParseKey returns the key in the values of a header that has the form "scheme key", or nil if
// there are no values. Scheme names are case-insensitive. malformed is true if the values are not
// one of this form.
func ParseKey(values []string, scheme string) (key *string, malformed bool) {
	if len(values) == 0 {
		return nil, false
	}
	stated, rest, found := strings.Cut(values[0], " ")
	if len(values) > 1 || !found || !strings.EqualFold(stated, scheme) {
		return nil, true
	}
	rest = strings.Trim(rest, " ")
	return &rest, false
}

// attachToParent makes the request a call of the attempt whose id is text: it takes the
// request id, importance and deadline of that attempt. If no such attempt runs here, the
// request gets an id of its own. It returns a refusal for a malformed id.
func (en *Entry) attachToParent(rq *request, text string) *attempt.Answer {
	id, err := call.ParseAttemptID(text)
	if err != nil {
		return refusalWithStatus(ReasonBadHeader, http.StatusBadRequest)
	}
	rq.account = retry.AttemptAccount(id)
	in, ok := en.opt.Trees.Inbound(id)
	if !ok {
		if en.config.Load().HasCustomers() && !en.recentlyStarted() {
			// Nobody waits for the calls of an attempt that has ended.
			return refusalWithStatus(ReasonKeyUnknown, http.StatusUnauthorized)
		}
		rq.parentUnknown = true
		rq.id = en.newRequestID()
		return nil
	}
	rq.parent, rq.id, rq.importance, rq.depth = in, in.Request, in.Importance, in.Depth+1
	rq.callsDone = in.Completed()
	if in.Customer != "" {
		rq.header[header.Customer] = []string{string(in.Customer)}
	}
	if in.Deadline.Before(rq.deadline) {
		rq.deadline = in.Deadline
	}
	return nil
}

// readCallerHeaders reads the request id, resend number, deadline and history that the
// caller states. It returns a refusal for a malformed header.
func (en *Entry) readCallerHeaders(rq *request, hd http.Header, now time.Time) *attempt.Answer {
	switch text := hd.Get(header.Request); {
	case text != "":
		id, err := call.ParseRequestID(text)
		if err != nil {
			return refusalWithStatus(ReasonBadHeader, http.StatusBadRequest)
		}
		rq.id = id
	case rq.key != "":
		rq.id = requestIDOfKey(rq.deployment, rq.claimKey())
	default:
		rq.id = en.newRequestID()
	}
	rq.account = retry.RequestAccount(rq.id)
	if text := hd.Get(header.ResendCount); text != "" {
		n, err := strconv.ParseUint(text, 10, 16)
		if err != nil {
			return refusalWithStatus(ReasonBadHeader, http.StatusBadRequest)
		}
		rq.resend = uint32(n)
	}
	if text := hd.Get(header.DeadlineMS); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return refusalWithStatus(ReasonBadHeader, http.StatusBadRequest)
		}
		if own := now.Add(time.Duration(ms) * time.Millisecond); own.Before(rq.deadline) {
			rq.deadline = own
		}
	}
	rq.noEarlierRun = hd.Get(header.EarlierOutcome) == call.NotRun.String()
	rq.history.CallerResent = mayHaveRunEarlier(hd)
	return nil
}

// mayHaveRunEarlier reports whether, from the caller's headers, an earlier send of the
// request may have run. A request with a key and without a resend number may have been
// sent before.
func mayHaveRunEarlier(hd http.Header) bool {
	if hd.Get(header.EarlierOutcome) == call.NotRun.String() {
		return false
	}
	resend := hd.Get(header.ResendCount)
	return resend != "" && resend != "0" || resend == "" && hd.Get(header.IdempotencyKey) != ""
}

// requestIDOfKey derives the request id from the deployment and the idempotency key, so that
// all sends of a key share one retry account.
func requestIDOfKey(dep call.Deployment, key string) (id call.RequestID) {
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(string(dep)+"\x00"+key))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String(key+"\x00"+string(dep)))
	return id
}

// claimKey returns the idempotency key of the request, which is separate for each customer. A header
// holds no NUL, so that it differs from the keys of all others.
func (rq *request) claimKey() string {
	if name := rq.customerName(); name != "" {
		return string(name) + "\x00" + rq.key
	}
	return rq.key
}

// blockedFor returns the least time until the deadlines of the requests that wait for the answer
// to this one, but at least 1 ns, or zero if none waits.
func (rq *request) blockedFor(now time.Time) time.Duration {
	if rq.blocker == nil {
		return 0
	}
	if dl := rq.blocker.Blocks(); !dl.IsZero() {
		return max(dl.Sub(now), 1)
	}
	return 0
}

// digest returns a digest that identifies the request among the calls of one parent.
func (rq *request) digest() retry.Digest {
	return retry.DigestOf(rq.kind.Service, rq.method, rq.uri+"\x00"+rq.key, xxhash.Sum64(rq.body))
}

// newAttempt returns an attempt of the request with the given id.
func (rq *request) newAttempt(id call.AttemptID) *attempt.Attempt {
	return &attempt.Attempt{
		ID: id, Request: rq.id, Service: rq.kind.Service, Importance: rq.importance, Depth: rq.depth,
		Deadline: rq.deadline, Idempotent: rq.kind.Idempotent, MaxAnswerBytes: rq.kind.MaxAnswerBytes,
		Method: rq.method, Host: rq.host, URI: rq.uri, Header: rq.header, Body: rq.body, Label: rq.label,
		Class: rq.kind.Class, Customer: rq.customerName(), RepeatedSend: rq.attempts > 0, CallsDone: rq.callsDone, Memory: rq.memory,
	}
}

// refusalWithStatus returns a refusal with a status other than 503 and no retry time.
func refusalWithStatus(reason string, status int) *attempt.Answer {
	an := attempt.Refusal(reason, 0)
	an.Status = status
	return an
}
