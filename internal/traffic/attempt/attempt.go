// Package attempt defines one attempt to run a request on an upstream and its answer,
// and converts both, and the demand messages, to and from the frames between nodes.
package attempt

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/buffer"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

// ErrTooLarge is returned for a body that exceeds the configured limit.
var ErrTooLarge = errors.New("attempt: body is larger than the configuration allows")

// ErrIncomplete is returned for a body whose length differs from the stated one, or
// that cannot be read to its end.
var ErrIncomplete = errors.New("attempt: body is incomplete")

// Attempt is one attempt to run a request on an upstream.
type Attempt struct {
	ID         call.AttemptID
	Request    call.RequestID
	Service    call.Service
	Importance call.Importance
	Depth      call.Depth
	// Deadline is the time by which the caller must have the answer. An attempt that runs is not
	// ended before it.
	Deadline time.Time
	// ReturnMargin is the time that the answer takes to the entry on another VM, or zero on the same.
	ReturnMargin time.Duration
	// RetryBudget is the number of retries that the calls of this attempt may spend.
	RetryBudget int
	Idempotent  bool
	// MaxAnswerBytes is the largest answer body that the guard accepts.
	MaxAnswerBytes int64
	// Stamp is the latest stamp that the entry knows of the guard.
	Stamp withdrawal.Stamp
	// Label is the request id that the sender uses. It is for logs only.
	Label string
	// Class is the class of the request.
	Class call.Class
	// Customer is the customer of the request, or empty.
	Customer call.Customer
	// RepeatedSend is true if an attempt for the same request was sent before this one.
	RepeatedSend bool
	// CallsDone is the number of calls that the attempts above this one have completed.
	CallsDone int
	// Memory, if not nil, keeps the memory of the answer of an attempt that does not leave the node.
	Memory *buffer.Scope

	Method string
	Host   string
	URI    string
	Header http.Header
	Body   []byte
}

// AnswerBy returns the time by which an answer must leave the guard to reach the caller in time.
func (at *Attempt) AnswerBy() time.Time { return at.Deadline.Add(-at.ReturnMargin) }

// Cohort returns the cohort of the attempt, which orders it among those of its importance.
func (at *Attempt) Cohort() call.Cohort { return at.Request.Cohort().After(at.CallsDone) }

// Answer is the result of an attempt: its outcome, the response if there is one, and
// the load of the guard and of the services behind it.
type Answer struct {
	Outcome call.Outcome
	// Reason says why there is no answer of the upstream. It is empty if the outcome
	// is Done.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Level is the admission level of the guard.
	Level call.Level
	// DelayedLevel is the highest level at which work waited at the guard.
	DelayedLevel call.Level
	// Occupancy is the occupancy of the guard. DownstreamOccupancy is the highest
	// occupancy of the services that the attempt called.
	Occupancy, DownstreamOccupancy call.Occupancy
	// UnusedRetries is the part of RetryBudget that was not spent.
	UnusedRetries int
	// Overload is true if the attempt failed because this guard, or one further
	// downstream, refused work under overload.
	Overload bool
	// Unreachable is true if the attempt failed because no VM of a service that it called
	// could be reached, directly or further downstream.
	Unreachable bool
	// UpstreamFault is true if the attempt failed only because an upstream with free slots
	// refused work, this one or one further downstream.
	UpstreamFault bool
	// UpstreamRefused is true if the upstream itself, not its guard, refused the
	// attempt.
	UpstreamRefused bool
	// RetryAfter is the time after which the caller may retry.
	RetryAfter time.Duration
	// UpstreamTime is the time that the upstream took. GuardTime is the time from the
	// arrival of the attempt at the guard until the guard sent the answer.
	UpstreamTime, GuardTime time.Duration
	// FanOut lists the calls that attempts of the same class make to each service,
	// directly and through their calls.
	FanOut []call.FanOut

	// Load is the load of the upstream, or nil if the guard does not report it.
	Load *Load

	// compact is the result of CompactRecord, once it was called.
	compact *schema.RecordedAnswer
}

// Load says how soon an upstream would complete an attempt.
type Load struct {
	// Ahead is the expected time of the work that an attempt of the importance finds ahead of it,
	// divided by the slots.
	Ahead time.Duration
	// Slowness is the present factor on the usual times of the upstream, and Age the time since it
	// was learned.
	Slowness float64
	Age      time.Duration
	// Own is the time that the upstream took for the attempt, without waiting for its calls, or
	// zero if it did not succeed.
	Own time.Duration
}

// Refusal returns an answer with outcome NotRun and status 503, for an attempt that did
// not begin.
func Refusal(reason string, retryAfter time.Duration) *Answer {
	return &Answer{Outcome: call.NotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// UnknownOutcome returns an answer with outcome Unknown, for an attempt that may have
// run.
func UnknownOutcome(reason string, status int) *Answer {
	return &Answer{Outcome: call.Unknown, Reason: reason, Status: status}
}

// hopByHopHeaders are the headers that a proxy does not forward (RFC 9110, section
// 7.6.1), and Content-Length, which is set anew for the body.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// StripHeaders removes the hop-by-hop headers, those that Connection lists, and the
// headers of this system, none of which are for the peer at the other end. It modifies
// and returns hd.
func StripHeaders(hd http.Header) http.Header {
	named := hd["Connection"]
	for name := range hd {
		if strings.HasPrefix(name, header.Prefix) || hopByHopHeaders[name] {
			delete(hd, name)
		}
	}
	for _, list := range named {
		for name := range strings.SplitSeq(list, ",") {
			hd.Del(strings.TrimSpace(name))
		}
	}
	return hd
}

// ReadBody reads a whole body of at most limit bytes. The stated length is -1 if it is
// unknown. If rs is not nil, the body is added to it. The error is ErrTooLarge,
// buffer.ErrNoMemory, or wraps ErrIncomplete.
func ReadBody(rs *buffer.Reservation, body io.Reader, stated, limit int64) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	if stated > limit {
		return nil, ErrTooLarge
	}
	data, err := buffer.ReadAll(rs, body, stated, limit)
	switch {
	case errors.Is(err, buffer.ErrNoMemory):
		return nil, err
	case err != nil:
		return nil, errors.Wrap(ErrIncomplete, err.Error())
	case int64(len(data)) > limit:
		return nil, ErrTooLarge
	case stated >= 0 && int64(len(data)) != stated:
		return nil, ErrIncomplete
	}
	return data, nil
}

// FormatMilliseconds returns the value of a header in milliseconds, at least 0.
func FormatMilliseconds(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

// Failed reports whether the attempt failed in a way that another attempt may not: its
// outcome is not Done, or its status is 502, 503 or 504.
func (an *Answer) Failed() bool {
	if an.Outcome != call.Done {
		return true
	}
	return an.Status == http.StatusBadGateway || an.Status == http.StatusServiceUnavailable ||
		an.Status == http.StatusGatewayTimeout
}
