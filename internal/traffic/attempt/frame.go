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

// ErrBadFrame is returned for a message between nodes with a missing or invalid field.
var ErrBadFrame = errors.New("attempt: bad frame")

// returnMargin is the time that an answer takes to return to the entry on another VM.
const returnMargin = time.Millisecond

// Frame converts the attempt to the frame that is sent to a guard. blocks says whether
// the guard understands header blocks; if not, the header is sent as fields.
func (at *Attempt) Frame(now time.Time, blocks bool) *schema.Frame {
	af := &attemptFrame{attempt: schema.Attempt{
		AttemptId: at.ID[:], RequestId: at.Request[:], Service: string(at.Service),
		Importance: uint32(at.Importance), Depth: uint32(at.Depth),
		DeadlineUs: uint64(max(0, ceilMicroseconds(at.Deadline.Sub(now)))),
		Allowance:  uint32(max(0, at.RetryBudget)), Idempotent: at.Idempotent, MaxAnswerBytes: at.MaxAnswerBytes,
		Stamp: at.Stamp.String(), Label: at.Label, Class: string(at.Class), Method: at.Method, Host: at.Host, Uri: at.URI,
		Body: at.Body, Customer: string(at.Customer), RepeatedSend: at.RepeatedSend, CallsDone: uint32(min(max(at.CallsDone, 0), maxCount)),
	}}
	if blocks {
		af.attempt.HeaderBlock = header.AppendBlock(make([]byte, 0, typicalHeaderBytes), at.Header)
	} else {
		af.attempt.Header = headerToFields(at.Header)
	}
	af.kind.Attempt, af.frame.Kind = &af.attempt, &af.kind
	return &af.frame
}

// ceilMicroseconds returns a duration in microseconds, rounded up.
func ceilMicroseconds(length time.Duration) int64 {
	return (length + time.Microsecond - 1).Microseconds()
}

// attemptFrame holds the parts of a frame with an attempt in one allocation.
type attemptFrame struct {
	frame   schema.Frame
	kind    schema.Frame_Attempt
	attempt schema.Attempt
}

// answerFrame holds the parts of a frame with an answer in one allocation.
type answerFrame struct {
	frame  schema.Frame
	kind   schema.Frame_Answer
	answer schema.AttemptAnswer
}

// FromFrame converts the message of an entry to an attempt. The message holds the time
// that is left, which counts from now. The error wraps ErrBadFrame and names the field.
func FromFrame(msg *schema.Attempt, now time.Time) (*Attempt, error) {
	at := &Attempt{
		Service: call.Service(msg.GetService()), Importance: call.Importance(msg.GetImportance()), Depth: call.Depth(msg.GetDepth()),
		Deadline: now.Add(time.Duration(msg.GetDeadlineUs()) * time.Microsecond), ReturnMargin: returnMargin,
		RetryBudget: int(msg.GetAllowance()), Idempotent: msg.GetIdempotent(), MaxAnswerBytes: msg.GetMaxAnswerBytes(),
		Label: msg.GetLabel(), Class: call.Class(msg.GetClass()), Method: msg.GetMethod(), Host: msg.GetHost(), URI: msg.GetUri(),
		Body: msg.GetBody(), Customer: call.Customer(msg.GetCustomer()), RepeatedSend: msg.GetRepeatedSend(),
		CallsDone: int(msg.GetCallsDone()),
	}
	var err error
	if at.Header, err = headerFromMessage(msg.GetHeader(), msg.GetHeaderBlock()); err != nil {
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
	case msg.GetDeadlineUs() > maxTimeUS:
		return nil, errors.Wrap(ErrBadFrame, "deadline_us")
	case msg.GetAllowance() > maxCount:
		return nil, errors.Wrap(ErrBadFrame, "allowance")
	case msg.GetCallsDone() > maxCount:
		return nil, errors.Wrap(ErrBadFrame, "calls_done")
	case msg.GetMaxAnswerBytes() < 0:
		return nil, errors.Wrap(ErrBadFrame, "max_answer_bytes")
	// These are written to the upstream as they are.
	case !header.IsToken(at.Method):
		return nil, errors.Wrap(ErrBadFrame, "method")
	case at.URI == "" || !header.IsTarget(at.URI):
		return nil, errors.Wrap(ErrBadFrame, "uri")
	case !header.IsTarget(at.Host):
		return nil, errors.Wrap(ErrBadFrame, "host")
	}
	copy(at.ID[:], msg.GetAttemptId())
	copy(at.Request[:], msg.GetRequestId())
	if at.Stamp, err = withdrawal.ParseStamp(msg.GetStamp()); err != nil {
		return nil, errors.Wrap(ErrBadFrame, "stamp")
	}
	return at, nil
}

// Upper bounds of the fields of a frame.
const (
	maxDepth = 255
	maxCount = 1 << 16
	// maxTimeUS is the longest duration, in microseconds: about twelve days.
	maxTimeUS = 1 << 40
)

// Frame converts the answer to the attempt id to the frame that is sent to its entry.
// The stamp is the guard's. blocks says whether the entry understands header blocks; if
// not, the header is sent as fields.
func (an *Answer) Frame(id call.AttemptID, stamp string, blocks bool) *schema.Frame {
	var rec *schema.RecordedAnswer
	if blocks {
		rec = an.CompactRecord()
	} else {
		rec = an.Record()
	}
	af := &answerFrame{answer: schema.AttemptAnswer{
		AttemptId: id[:], Stamp: stamp, Answer: rec, Reason: an.Reason,
		Level: uint32(an.Level), Pressure: uint32(an.DelayedLevel), Unused: uint32(max(0, an.UnusedRetries)),
		Overload: an.Overload, Offered: an.UpstreamRefused, RetryAfterMs: uint32(an.RetryAfter.Milliseconds()),
		WorkUs:           uint64(max(0, an.UpstreamTime.Microseconds())),
		HeldUs:           uint64(max(0, an.GuardTime.Microseconds())),
		OccupancyPercent: uint32(an.Occupancy), DownstreamPercent: uint32(an.DownstreamOccupancy), Needs: fanOutToFields(an.FanOut),
		Unreachable: an.Unreachable, UpstreamFault: an.UpstreamFault,
	}}
	if ld := an.Load; ld != nil {
		af.answer.Load = &schema.UpstreamLoad{
			AheadUs: uint64(max(0, ld.Ahead.Microseconds())), SlownessThousandths: uint32(min(max(ld.Slowness, 0), maxSlowness) * thousandths),
			AgeUs: uint64(max(0, ld.Age.Microseconds())), OwnUs: uint64(max(0, ld.Own.Microseconds())),
		}
	}
	af.kind.Answer, af.frame.Kind = &af.answer, &af.kind
	return &af.frame
}

// FromAnswerFrame converts the message of a guard to an answer. The error wraps
// ErrBadFrame and names the field.
func FromAnswerFrame(msg *schema.AttemptAnswer) (*Answer, error) {
	switch {
	case msg.GetLevel() > maxLevel:
		return nil, errors.Wrap(ErrBadFrame, "level")
	case msg.GetPressure() > maxLevel:
		return nil, errors.Wrap(ErrBadFrame, "pressure")
	case msg.GetUnused() > maxCount:
		return nil, errors.Wrap(ErrBadFrame, "unused")
	case msg.GetWorkUs() > maxTimeUS:
		return nil, errors.Wrap(ErrBadFrame, "work_us")
	case msg.GetHeldUs() > maxTimeUS:
		return nil, errors.Wrap(ErrBadFrame, "held_us")
	case msg.GetOccupancyPercent() > maxOccupancy:
		return nil, errors.Wrap(ErrBadFrame, "occupancy_percent")
	case msg.GetDownstreamPercent() > maxOccupancy:
		return nil, errors.Wrap(ErrBadFrame, "downstream_percent")
	case msg.GetAnswer().GetStatus() < http.StatusContinue || msg.GetAnswer().GetStatus() > maxStatus:
		return nil, errors.Wrap(ErrBadFrame, "status")
	}
	fanOut, err := fanOutFromFields(msg.GetNeeds())
	if err != nil {
		return nil, err
	}
	an, err := FromRecord(msg.GetAnswer())
	if err != nil {
		return nil, err
	}
	if an.Load, err = loadFromMessage(msg.GetLoad()); err != nil {
		return nil, err
	}
	an.FanOut = fanOut
	an.Reason, an.Overload, an.UpstreamRefused, an.Unreachable = msg.GetReason(), msg.GetOverload(), msg.GetOffered(), msg.GetUnreachable()
	an.UpstreamFault = msg.GetUpstreamFault()
	an.Level, an.DelayedLevel, an.UnusedRetries = call.Level(msg.GetLevel()), call.Level(msg.GetPressure()), int(msg.GetUnused())
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

// maxSlowness bounds the factor on the usual times of an upstream.
const maxSlowness = 1000

// loadFromMessage converts the load in an answer, which may be missing.
func loadFromMessage(msg *schema.UpstreamLoad) (*Load, error) {
	switch {
	case msg == nil:
		return nil, nil
	case msg.GetAheadUs() > maxTimeUS, msg.GetAgeUs() > maxTimeUS, msg.GetOwnUs() > maxTimeUS, msg.GetSlownessThousandths() > maxSlowness*thousandths:
		return nil, errors.Wrap(ErrBadFrame, "load")
	}
	return &Load{
		Ahead: time.Duration(msg.GetAheadUs()) * time.Microsecond, Slowness: float64(msg.GetSlownessThousandths()) / thousandths,
		Age: time.Duration(msg.GetAgeUs()) * time.Microsecond, Own: time.Duration(msg.GetOwnUs()) * time.Microsecond,
	}, nil
}

// headerToFields returns the fields of a header, sorted by name.
func headerToFields(hd http.Header) []*schema.HeaderField {
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

// headerFromMessage returns the header of a message that holds it as a block or, if the
// block is empty, as fields.
func headerFromMessage(list []*schema.HeaderField, block []byte) (http.Header, error) {
	if len(block) > 0 {
		return header.ParseBlock(block)
	}
	return headerFromFields(list), nil
}

// headerFromFields returns the header with the given fields.
func headerFromFields(list []*schema.HeaderField) http.Header {
	hd := make(http.Header, len(list))
	for _, field := range list {
		hd[field.GetName()] = append(hd[field.GetName()], field.GetValue())
	}
	return hd
}
