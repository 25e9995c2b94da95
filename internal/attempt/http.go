package attempt

import (
	"context"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/header"
	"camphortrail/withdrawal"
)

// ErrBadHeader is returned for a message between nodes that lacks a header or
// holds a wrong one.
var ErrBadHeader = errors.New("attempt: bad header")

// hopCost is taken off the remaining time on the way to another VM, so that
// the answer still has time to come back.
const hopCost = time.Millisecond

// NewRequest returns the HTTP form of the attempt for the guard at address.
func (at *Attempt) NewRequest(ctx context.Context, now time.Time, address string) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, at.Method, "http://"+address+PathPrefix+at.URI, OnceBody(at.Body))
	if err != nil {
		return nil, errors.Wrap(err, "attempt to "+address)
	}
	req.ContentLength = int64(len(at.Body))
	req.Host = at.Host
	maps.Copy(req.Header, at.Header)
	set := req.Header.Set
	set(header.Attempt, at.ID.String())
	set(header.Request, at.Request.String())
	set(header.Service, string(at.Service))
	set(header.Importance, strconv.Itoa(int(at.Importance)))
	set(header.Depth, strconv.Itoa(int(at.Depth)))
	set(header.DeadlineMS, Remaining(now, at.Deadline.Add(-hopCost)))
	set(header.Allowance, strconv.Itoa(at.Allowance))
	set(header.Idempotent, strconv.FormatBool(at.Idempotent))
	set(header.MaxAnswer, strconv.FormatInt(at.MaxAnswer, 10))
	set(header.Stamp, at.Stamp.String())
	if at.Label != "" {
		set(labelHeader, at.Label)
	}
	return req, nil
}

// FromRequest returns the attempt that a request between nodes holds, without
// its body. Its deadline is counted from now.
func FromRequest(req *http.Request, now time.Time) (*Attempt, error) {
	var pr parser
	at := &Attempt{
		Service:    call.Service(req.Header.Get(header.Service)),
		Importance: call.Importance(pr.integer(req.Header, header.Importance, int64(call.MaxImportance))),
		Depth:      call.Depth(pr.integer(req.Header, header.Depth, 255)),
		Deadline:   now.Add(time.Duration(pr.integer(req.Header, header.DeadlineMS, 1<<32)) * time.Millisecond),
		Allowance:  int(pr.integer(req.Header, header.Allowance, 1<<16)),
		Idempotent: req.Header.Get(header.Idempotent) == "true",
		MaxAnswer:  pr.integer(req.Header, header.MaxAnswer, 1<<40),
		Method:     req.Method,
		Host:       req.Host,
		URI:        strings.TrimPrefix(req.RequestURI, PathPrefix),
		Header:     PassOn(req.Header),
		Label:      req.Header.Get(labelHeader),
	}
	var err error
	if at.ID, err = call.ParseAttemptID(req.Header.Get(header.Attempt)); err != nil {
		return nil, errors.Wrap(ErrBadHeader, header.Attempt)
	}
	if at.Request, err = call.ParseRequestID(req.Header.Get(header.Request)); err != nil {
		return nil, errors.Wrap(ErrBadHeader, header.Request)
	}
	if at.Stamp, err = withdrawal.ParseStamp(req.Header.Get(header.Stamp)); err != nil {
		return nil, errors.Wrap(ErrBadHeader, header.Stamp)
	}
	return at, pr.err
}

// Write sends the answer to the entry that sent the attempt with the given
// id.
func (an *Answer) Write(w http.ResponseWriter, id call.AttemptID) error {
	hd := w.Header()
	maps.Copy(hd, an.Header)
	hd.Set(header.Attempt, id.String())
	hd.Set(header.Outcome, an.Outcome.String())
	hd.Set(header.Level, strconv.Itoa(int(an.Level)))
	hd.Set(header.Pressure, strconv.Itoa(int(an.Pressure)))
	hd.Set(header.Unused, strconv.Itoa(an.Unused))
	hd.Set(header.WorkUS, strconv.FormatInt(an.Work.Microseconds(), 10))
	hd.Set(header.RetryAfterMS, strconv.FormatInt(an.RetryAfter.Milliseconds(), 10))
	hd.Set("Content-Length", strconv.Itoa(len(an.Body)))
	if an.Reason != "" {
		hd.Set(header.Reason, an.Reason)
	}
	if an.Overload {
		hd.Set(overloadHeader, "true")
	}
	if an.Offered {
		hd.Set(offeredHeader, "true")
	}
	w.WriteHeader(an.Status)
	_, err := w.Write(an.Body)
	return err
}

const (
	overloadHeader = header.Prefix + "Overload"
	offeredHeader  = header.Prefix + "Offered"
	labelHeader    = header.Prefix + "Label"
)

// FromResponse returns the whole answer that a guard sent for the attempt. It
// fails when the answer is incomplete or belongs to another attempt.
func FromResponse(res *http.Response, at *Attempt) (*Answer, error) {
	if res.Header.Get(header.Attempt) != at.ID.String() {
		return nil, errors.Wrap(ErrBadHeader, header.Attempt)
	}
	body, err := ReadBody(res.Body, res.ContentLength, at.MaxAnswer)
	if err != nil {
		return nil, err
	}
	var pr parser
	an := &Answer{
		Outcome:    call.ParseOutcome(res.Header.Get(header.Outcome)),
		Reason:     res.Header.Get(header.Reason),
		Status:     res.StatusCode,
		Header:     PassOn(res.Header),
		Body:       body,
		Level:      call.Level(pr.integer(res.Header, header.Level, 1<<16-1)),
		Pressure:   call.Level(pr.integer(res.Header, header.Pressure, 1<<16-1)),
		Unused:     int(pr.integer(res.Header, header.Unused, 1<<16)),
		Overload:   res.Header.Get(overloadHeader) == "true",
		Offered:    res.Header.Get(offeredHeader) == "true",
		RetryAfter: time.Duration(pr.integer(res.Header, header.RetryAfterMS, 1<<32)) * time.Millisecond,
		Work:       time.Duration(pr.integer(res.Header, header.WorkUS, 1<<40)) * time.Microsecond,
	}
	return an, pr.err
}

// parser keeps the first error of several headers.
type parser struct{ err error }

func (pr *parser) integer(hd http.Header, name string, limit int64) int64 {
	n, err := strconv.ParseInt(hd.Get(name), 10, 64)
	if (err != nil || n < 0 || n > limit) && pr.err == nil {
		pr.err = errors.Wrapf(ErrBadHeader, "%s: %q", name, hd.Get(name))
	}
	return n
}
