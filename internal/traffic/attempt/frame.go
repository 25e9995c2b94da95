package attempt

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

// ErrBadFrame is returned for a message between nodes that lacks a field or
// holds a wrong one.
var ErrBadFrame = errors.New("attempt: bad frame")

// hopCost is taken off the remaining time on the way to another VM, so that
// the answer still has time to come back.
const hopCost = time.Millisecond

// Frame returns the form in which the attempt is sent to a guard, which may know
// blocks of headers.
func (at *Attempt) Frame(now time.Time, blocks bool) *schema.Frame {
	msg := &schema.Attempt{
		AttemptId: at.ID[:], RequestId: at.Request[:], Service: string(at.Service),
		Importance: uint32(at.Importance), Depth: uint32(at.Depth),
		DeadlineUs: uint64(max(0, at.Deadline.Add(-hopCost).Sub(now).Microseconds())),
		Allowance:  uint32(max(0, at.Allowance)), Idempotent: at.Idempotent, MaxAnswerBytes: at.MaxAnswerBytes,
		Stamp: at.Stamp.String(), Label: at.Label, Class: string(at.Class), Method: at.Method, Host: at.Host, Uri: at.URI,
		Body: at.Body,
	}
	if blocks {
		msg.HeaderBlock = header.AppendBlock(make([]byte, 0, headerBytes), at.Header)
	} else {
		msg.Header = fields(at.Header)
	}
	return &schema.Frame{Kind: &schema.Frame_Attempt{Attempt: msg}}
}

// FromFrame returns the attempt that was sent. Its deadline is counted from
// now.
func FromFrame(msg *schema.Attempt, now time.Time) (*Attempt, error) {
	at := &Attempt{
		Service: call.Service(msg.GetService()), Importance: call.Importance(msg.GetImportance()), Depth: call.Depth(msg.GetDepth()),
		Deadline:  now.Add(time.Duration(msg.GetDeadlineUs()) * time.Microsecond),
		Allowance: int(msg.GetAllowance()), Idempotent: msg.GetIdempotent(), MaxAnswerBytes: msg.GetMaxAnswerBytes(),
		Label: msg.GetLabel(), Class: call.Class(msg.GetClass()), Method: msg.GetMethod(), Host: msg.GetHost(), URI: msg.GetUri(),
		Body: msg.GetBody(),
	}
	var err error
	if at.Header, err = headerFrom(msg.GetHeader(), msg.GetHeaderBlock()); err != nil {
		return nil, errors.Wrap(ErrBadFrame, "header_block")
	}
	switch {
	case len(msg.GetAttemptId()) != len(at.ID):
		return nil, errors.Wrap(ErrBadFrame, "attempt_id")
	case len(msg.GetRequestId()) != len(at.Request):
		return nil, errors.Wrap(ErrBadFrame, "request_id")
	case msg.GetImportance() > uint32(call.MaxImportance):
		return nil, errors.Wrap(ErrBadFrame, "importance")
	case msg.GetDepth() > maxDepth:
		return nil, errors.Wrap(ErrBadFrame, "depth")
	case msg.GetDeadlineUs() > maxTime:
		return nil, errors.Wrap(ErrBadFrame, "deadline_us")
	case msg.GetAllowance() > maxCount:
		return nil, errors.Wrap(ErrBadFrame, "allowance")
	case msg.GetMaxAnswerBytes() < 0:
		return nil, errors.Wrap(ErrBadFrame, "max_answer_bytes")
	}
	copy(at.ID[:], msg.GetAttemptId())
	copy(at.Request[:], msg.GetRequestId())
	if at.Stamp, err = withdrawal.ParseStamp(msg.GetStamp()); err != nil {
		return nil, errors.Wrap(ErrBadFrame, "stamp")
	}
	return at, nil
}

// Bounds of what a frame may hold.
const (
	maxDepth = 255
	maxCount = 1 << 16
	// maxTime is the longest time, in microseconds: about twelve days.
	maxTime = 1 << 40
)

// Frame returns the form in which the answer goes back to the entry that sent
// the attempt with the given id, which may know blocks of headers. The stamp is that
// of the guard.
func (an *Answer) Frame(id call.AttemptID, stamp string, blocks bool) *schema.Frame {
	var rec *schema.RecordedAnswer
	if blocks {
		rec = an.CompactRecord()
	} else {
		rec = an.Record()
	}
	return &schema.Frame{Kind: &schema.Frame_Answer{Answer: &schema.AttemptAnswer{
		AttemptId: id[:], Stamp: stamp, Answer: rec, Reason: an.Reason,
		Level: uint32(an.Level), Pressure: uint32(an.Pressure), Unused: uint32(max(0, an.UnusedRetries)),
		Overload: an.Overload, Offered: an.UpstreamRefused, RetryAfterMs: uint32(an.RetryAfter.Milliseconds()),
		WorkUs:           uint64(max(0, an.UpstreamTime.Microseconds())),
		HeldUs:           uint64(max(0, an.GuardTime.Microseconds())),
		OccupancyPercent: uint32(an.Occupancy), DownstreamPercent: uint32(an.DownstreamOccupancy), Needs: needFields(an.Needs),
	}}}
}

// FromAnswerFrame returns the answer that a guard sent.
func FromAnswerFrame(msg *schema.AttemptAnswer) (*Answer, error) {
	switch {
	case msg.GetLevel() > maxLevel:
		return nil, errors.Wrap(ErrBadFrame, "level")
	case msg.GetPressure() > maxLevel:
		return nil, errors.Wrap(ErrBadFrame, "pressure")
	case msg.GetUnused() > maxCount:
		return nil, errors.Wrap(ErrBadFrame, "unused")
	case msg.GetWorkUs() > maxTime:
		return nil, errors.Wrap(ErrBadFrame, "work_us")
	case msg.GetHeldUs() > maxTime:
		return nil, errors.Wrap(ErrBadFrame, "held_us")
	case msg.GetOccupancyPercent() > maxOccupancy:
		return nil, errors.Wrap(ErrBadFrame, "occupancy_percent")
	case msg.GetDownstreamPercent() > maxOccupancy:
		return nil, errors.Wrap(ErrBadFrame, "downstream_percent")
	case msg.GetAnswer().GetStatus() < http.StatusContinue || msg.GetAnswer().GetStatus() > maxStatus:
		return nil, errors.Wrap(ErrBadFrame, "status")
	}
	needs, err := needsOf(msg.GetNeeds())
	if err != nil {
		return nil, err
	}
	an, err := FromRecord(msg.GetAnswer())
	if err != nil {
		return nil, err
	}
	an.Needs = needs
	an.Reason, an.Overload, an.UpstreamRefused = msg.GetReason(), msg.GetOverload(), msg.GetOffered()
	an.Level, an.Pressure, an.UnusedRetries = call.Level(msg.GetLevel()), call.Level(msg.GetPressure()), int(msg.GetUnused())
	an.RetryAfter = time.Duration(msg.GetRetryAfterMs()) * time.Millisecond
	an.Occupancy, an.DownstreamOccupancy = call.Occupancy(msg.GetOccupancyPercent()), call.Occupancy(msg.GetDownstreamPercent())
	an.UpstreamTime = time.Duration(msg.GetWorkUs()) * time.Microsecond
	an.GuardTime = time.Duration(msg.GetHeldUs()) * time.Microsecond
	return an, nil
}

const (
	maxLevel     = 1<<16 - 1
	maxOccupancy = 1<<16 - 1
	maxStatus    = 999
)

// fields returns a header in the order of its names.
func fields(hd http.Header) []*schema.HeaderField {
	names := make([]string, 0, len(hd))
	for name := range hd {
		names = append(names, name)
	}
	slices.Sort(names)
	list := make([]*schema.HeaderField, 0, len(hd))
	for _, name := range names {
		for _, value := range hd[name] {
			list = append(list, &schema.HeaderField{Name: name, Value: value})
		}
	}
	return list
}

// headerFrom returns the header of a message, which holds it as a block or as fields.
func headerFrom(list []*schema.HeaderField, block []byte) (http.Header, error) {
	if len(block) > 0 {
		return header.ParseBlock(block)
	}
	return headerOf(list), nil
}

// headerOf returns the header with the given fields.
func headerOf(list []*schema.HeaderField) http.Header {
	hd := make(http.Header, len(list))
	for _, field := range list {
		hd[field.GetName()] = append(hd[field.GetName()], field.GetValue())
	}
	return hd
}
