// Package attempt describes one attempt to run a request on an upstream and
// the answer to it, with their form between nodes.
package attempt

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
	"camphortrail/withdrawal"
)

// ErrTooLarge is returned for a body over the bound of the configuration.
var ErrTooLarge = errors.New("attempt: body is larger than the configuration allows")

// ErrIncomplete is returned for a body that ends early, or whose end cannot
// be told.
var ErrIncomplete = errors.New("attempt: body is incomplete")

// Attempt is one attempt to run a request on an upstream.
type Attempt struct {
	ID         call.AttemptID
	Request    call.RequestID
	Service    call.Service
	Importance call.Importance
	Depth      call.Depth
	// Deadline is the time by which the answer must be at the caller.
	Deadline time.Time
	// Allowance is the number of retries that may be spent below.
	Allowance      int
	Idempotent     bool
	MaxAnswerBytes int64
	// Stamp is the latest stamp known of the guard.
	Stamp withdrawal.Stamp
	// Label is the id by which the sender of the request knows it, for logs.
	Label string
	// Class is the kind of the request.
	Class call.Class

	Method string
	Host   string
	URI    string
	Header http.Header
	Body   []byte
}

// Answer is what became of an attempt.
type Answer struct {
	Outcome call.Outcome
	// Reason is set when the outcome is not Done.
	Reason string
	Status int
	Header http.Header
	Body   []byte
	// Level is the admission level of the guard.
	Level call.Level
	// Pressure is the level up to which work waited at the guard.
	Pressure call.Level
	// Occupancy is that of the guard, and DownstreamOccupancy the highest of the services
	// that the calls of the attempt went to.
	Occupancy, DownstreamOccupancy call.Occupancy
	// UnusedRetries is the number of retries that come back.
	UnusedRetries int
	// Overload is true when the attempt failed because a guard, here or
	// further down, refused work for load.
	Overload bool
	// UpstreamRefused is true when the upstream itself refused the attempt.
	UpstreamRefused bool
	// RetryAfter is the time after which a caller may come back.
	RetryAfter time.Duration
	// UpstreamTime is the time that the upstream took, and GuardTime that from the arrival of
	// the attempt at the guard until its answer was sent.
	UpstreamTime, GuardTime time.Duration
	// Needs is what attempts of the kind take of each service, with all their
	// calls.
	Needs []call.FanOut
}

// Refusal returns an answer for an attempt that did not begin.
func Refusal(reason string, retryAfter time.Duration) *Answer {
	return &Answer{Outcome: call.NotRun, Reason: reason, Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// UnknownOutcome returns an answer for an attempt that may have run.
func UnknownOutcome(reason string, status int) *Answer {
	return &Answer{Outcome: call.Unknown, Reason: reason, Status: status}
}

// hopHeaders are not passed on, by RFC 9110 section 7.6.1.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true, "Proxy-Connection": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// StripHeaders removes the headers that concern one connection, or the system itself, and
// not the ends of a call. It returns hd.
func StripHeaders(hd http.Header) http.Header {
	named := hd["Connection"]
	for name := range hd {
		if strings.HasPrefix(name, header.Prefix) || hopHeaders[name] {
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

// ReadBody reads a whole body of at most limit bytes. The stated length is -1
// when it is not known.
func ReadBody(body io.Reader, stated, limit int64) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	if stated > limit {
		return nil, ErrTooLarge
	}
	if stated >= 0 && stated <= directBody {
		return readExactly(body, stated)
	}
	var buf bytes.Buffer
	if stated > 0 {
		buf.Grow(int(stated) + bytes.MinRead)
	}
	read, err := buf.ReadFrom(io.LimitReader(body, limit+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(ErrIncomplete, err.Error())
	case read > limit:
		return nil, ErrTooLarge
	case stated >= 0 && read != stated:
		return nil, ErrIncomplete
	}
	return buf.Bytes(), nil
}

// directBody is the size, in bytes, up to which memory is set aside for a body by its
// stated length alone.
const directBody = 64 << 10

// readExactly reads a body that has the stated length, and then ends.
func readExactly(body io.Reader, stated int64) ([]byte, error) {
	text := make([]byte, stated+1)
	// One byte more shows whether it ends.
	read, err := io.ReadFull(body, text)
	switch {
	case err == nil, int64(read) != stated:
		return nil, ErrIncomplete
	case err != io.EOF && err != io.ErrUnexpectedEOF:
		return nil, errors.Wrap(ErrIncomplete, err.Error())
	}
	return text[:stated:stated], nil
}

// FormatMilliseconds returns a time in the form of a header, at least 0.
func FormatMilliseconds(left time.Duration) string {
	return strconv.FormatInt(max(0, left.Milliseconds()), 10)
}

// Failed reports whether the attempt did not bring what the caller asked for
// in a way that another attempt may mend.
func (an *Answer) Failed() bool {
	if an.Outcome != call.Done {
		return true
	}
	return an.Status == http.StatusBadGateway || an.Status == http.StatusServiceUnavailable ||
		an.Status == http.StatusGatewayTimeout
}
