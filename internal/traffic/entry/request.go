package entry

import (
	"encoding/binary"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/header"
	"camphortrail/internal/traffic/peer"
	"camphortrail/retry"
	"camphortrail/withdrawal"
)

// request is one request at its entry node.
type request struct {
	kind       *config.Kind
	tenant     call.Tenant
	id         call.RequestID
	account    retry.AccountID
	importance call.Importance
	depth      call.Depth
	deadline   time.Time
	// parent is the inbound attempt that the request is a call of, if known.
	parent *calltree.Inbound
	// ownAccount is the id of the retry account of a request that has its own also
	// if it has a parent; the zero id if not.
	ownAccount  call.RequestID
	label string
	// connection is the one on which the request came, if that matters.
	connection string
	// isCall says that the request is a call of an upstream, be its parent
	// known or not.
	isCall bool
	// parentUnknown says that the request names a parent that does not run here.
	parentUnknown bool
	resend uint32

	method string
	host   string
	uri    string
	header http.Header
	body   []byte
	key    string

	// noEarlierRun says that no earlier send of the request can have run: its key
	// was granted, or the caller said so.
	noEarlierRun   bool
	history withdrawal.History
	// answer is the latest whole answer of an upstream.
	answer *attempt.Answer
	// attempts counts what was sent.
	attempts int
	// vm is the one that was chosen last.
	vm        call.VM
	lastResult      peer.Result
	restampUsed bool
	overload  bool
	// occupancy is the highest of the services that the request went to, also
	// by its calls.
	occupancy call.Occupancy
	// needs is the calls that requests of the kind make, by the last answer.
	needs []call.FanOut
	// share is the part of the requests of the kind that is admitted, in percent.
	share int
	// waited is the time since the caller sent the request first, as far as its
	// deadline tells, and returning says that it has sent it before.
	waited    time.Duration
	returning bool
	// retryCharged says that the next attempt is charged already.
	retryCharged bool
}

// newRequest describes a request from a caller, or from the upstream beside
// the node. It returns a refusal if the request is not acceptable.
func (en *Entry) newRequest(r *http.Request, cd *config.Compiled, now time.Time) (*request, *attempt.Answer) {
	kind, ok := cd.Match(r.Method, r.URL.Path)
	if !ok {
		return nil, refusalWithStatus(ReasonNoService, http.StatusNotFound)
	}
	body, err := attempt.ReadBody(r.Body, r.ContentLength, kind.MaxRequest)
	switch {
	case err == attempt.ErrTooLarge:
		return nil, refusalWithStatus(ReasonRequestTooLarge, http.StatusRequestEntityTooLarge)
	case err != nil:
		return nil, refusalWithStatus(ReasonRequestIncomplete, http.StatusBadRequest)
	}
	rq := &request{
		kind: kind, tenant: cd.Tenant, importance: kind.Importance, deadline: now.Add(kind.Deadline),
		method: r.Method, host: r.Host, uri: r.URL.RequestURI(), header: attempt.StripHeaders(maps.Clone(r.Header)), body: body,
		key: r.Header.Get(header.Key),
	}
	rq.history.Idempotent = kind.Idempotent
	if rq.key == "" && kind.KeyRequired {
		return nil, refusalWithStatus(ReasonKeyMissing, http.StatusBadRequest)
	}
	if text := r.Header.Get(header.Attempt); text != "" {
		return rq, en.attachToParent(rq, text)
	}
	return rq, en.readCallerHeaders(rq, r.Header, now)
}

// attachToParent makes the request a call of the inbound attempt that it names.
func (en *Entry) attachToParent(rq *request, text string) *attempt.Answer {
	id, err := call.ParseAttemptID(text)
	if err != nil {
		return refusalWithStatus(ReasonBadHeader, http.StatusBadRequest)
	}
	rq.account = retry.AttemptAccount(id)
	in, ok := en.opt.Trees.Inbound(id)
	if !ok {
		rq.parentUnknown = true
		rq.id = en.newRequestID()
		return nil
	}
	rq.parent, rq.id, rq.importance, rq.depth = in, in.Request, in.Importance, in.Depth+1
	if in.Deadline.Before(rq.deadline) {
		rq.deadline = in.Deadline
	}
	return nil
}

// readCallerHeaders reads what a caller says about its request.
func (en *Entry) readCallerHeaders(rq *request, hd http.Header, now time.Time) *attempt.Answer {
	switch text := hd.Get(header.Request); {
	case text != "":
		id, err := call.ParseRequestID(text)
		if err != nil {
			return refusalWithStatus(ReasonBadHeader, http.StatusBadRequest)
		}
		rq.id = id
	case rq.key != "":
		rq.id = requestIDOfKey(rq.tenant, rq.key)
	default:
		rq.id = en.newRequestID()
	}
	rq.account = retry.RequestAccount(rq.id)
	if text := hd.Get(header.Resend); text != "" {
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
	rq.noEarlierRun = hd.Get(header.Earlier) == call.NotRun.String()
	rq.history.CallerResent = mayHaveRunEarlier(hd)
	return nil
}

// mayHaveRunEarlier reports whether an earlier send of a request may have run, by
// what its caller says. A request with a key may have been sent before unless
// the caller says that it was not.
func mayHaveRunEarlier(hd http.Header) bool {
	if hd.Get(header.Earlier) == call.NotRun.String() {
		return false
	}
	resend := hd.Get(header.Resend)
	return resend != "" && resend != "0" || resend == "" && hd.Get(header.Key) != ""
}

// requestIDOfKey returns the same request id for each send of an idempotency key.
func requestIDOfKey(tenant call.Tenant, key string) (id call.RequestID) {
	binary.BigEndian.PutUint64(id[:8], xxhash.Sum64String(string(tenant)+"\x00"+key))
	binary.BigEndian.PutUint64(id[8:], xxhash.Sum64String(key+"\x00"+string(tenant)))
	return id
}

// digest identifies the request among the calls of one parent.
func (rq *request) digest() retry.Digest {
	return retry.DigestOf(rq.kind.Service, rq.method, rq.uri+"\x00"+rq.key, xxhash.Sum64(rq.body))
}

// newAttempt returns a new newAttempt of the request.
func (rq *request) newAttempt(id call.AttemptID) *attempt.Attempt {
	return &attempt.Attempt{
		ID: id, Request: rq.id, Service: rq.kind.Service, Importance: rq.importance, Depth: rq.depth,
		Deadline: rq.deadline, Idempotent: rq.kind.Idempotent, MaxAnswerBytes: rq.kind.MaxAnswer,
		Method: rq.method, Host: rq.host, URI: rq.uri, Header: rq.header, Body: rq.body, Label: rq.label,
		Class: rq.kind.Class,
	}
}

func refusalWithStatus(reason string, status int) *attempt.Answer {
	an := attempt.Refusal(reason, 0)
	an.Status = status
	return an
}
