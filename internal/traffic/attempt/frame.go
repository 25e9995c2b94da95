package attempt

import (
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

// ErrBadFrame is returned for a message between nodes that lacks a field or
// holds a wrong one.
var ErrBadFrame = errors.New("attempt: bad frame")

// hopCost is taken off the remaining time on the way to another VM, so that
// the answer still has time to come back.
const hopCost = time.Millisecond

// Frame returns the form in which the attempt is sent to a guard.
func (at *Attempt) Frame(now time.Time) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_Attempt{Attempt: &schema.Attempt{
		AttemptId: at.ID[:], RequestId: at.Request[:], Service: string(at.Service),
		Importance: uint32(at.Importance), Depth: uint32(at.Depth),
		DeadlineUs: uint64(max(0, at.Deadline.Add(-hopCost).Sub(now).Microseconds())),
		Allowance:  uint32(max(0, at.Allowance)), Idempotent: at.Idempotent, MaxAnswerBytes: at.MaxAnswer,
		Stamp: at.Stamp.String(), Label: at.Label, Class: string(at.Class), Method: at.Method, Host: at.Host, Uri: at.URI,
		Header: fields(at.Header), Body: at.Body,
	}}}
}

// FromFrame returns the attempt that was sent. Its deadline is counted from
// now.
func FromFrame(msg *schema.Attempt, now time.Time) (*Attempt, error) {
	at := &Attempt{
		Service: call.Service(msg.GetService()), Importance: call.Importance(msg.GetImportance()), Depth: call.Depth(msg.GetDepth()),
		Deadline:  now.Add(time.Duration(msg.GetDeadlineUs()) * time.Microsecond),
		Allowance: int(msg.GetAllowance()), Idempotent: msg.GetIdempotent(), MaxAnswer: msg.GetMaxAnswerBytes(),
		Label: msg.GetLabel(), Class: call.Class(msg.GetClass()), Method: msg.GetMethod(), Host: msg.GetHost(), URI: msg.GetUri(),
		Header: headerOf(msg.GetHeader()), Body: msg.GetBody(),
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
	var err error
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
// the attempt with the given id. The stamp is that of the guard.
func (an *Answer) Frame(id call.AttemptID, stamp string) *schema.Frame {
	return &schema.Frame{Kind: &schema.Frame_Answer{Answer: &schema.AttemptAnswer{
		AttemptId: id[:], Stamp: stamp, Answer: an.Record(), Reason: an.Reason,
		Level: uint32(an.Level), Pressure: uint32(an.Pressure), Unused: uint32(max(0, an.Unused)),
		Overload: an.Overload, Offered: an.Offered, RetryAfterMs: uint32(an.RetryAfter.Milliseconds()),
		WorkUs:           uint64(max(0, an.Work.Microseconds())),
		OccupancyPercent: uint32(an.Occupancy), DownstreamPercent: uint32(an.Downstream), Needs: needFields(an.Needs),
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
	an := FromRecord(msg.GetAnswer())
	an.Needs = needs
	an.Reason, an.Overload, an.Offered = msg.GetReason(), msg.GetOverload(), msg.GetOffered()
	an.Level, an.Pressure, an.Unused = call.Level(msg.GetLevel()), call.Level(msg.GetPressure()), int(msg.GetUnused())
	an.RetryAfter = time.Duration(msg.GetRetryAfterMs()) * time.Millisecond
	an.Occupancy, an.Downstream = call.Occupancy(msg.GetOccupancyPercent()), call.Occupancy(msg.GetDownstreamPercent())
	an.Work = time.Duration(msg.GetWorkUs()) * time.Microsecond
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

// headerOf returns the header with the given fields.
func headerOf(list []*schema.HeaderField) http.Header {
	hd := make(http.Header, len(list))
	for _, field := range list {
		hd[field.GetName()] = append(hd[field.GetName()], field.GetValue())
	}
	return hd
}
