package attempt

import (
	"net/http"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// Record returns the answer with its header as fields. It is stored for an idempotency
// key, and sent to nodes that do not understand header blocks.
func (an *Answer) Record() *schema.RecordedAnswer {
	return &schema.RecordedAnswer{
		Status: uint32(an.Status), Header: headerToFields(an.Header), Body: an.Body, Outcome: an.Outcome.String(),
	}
}

// CompactRecord returns the answer with its header as one block, which takes fewer
// allocations than the fields of Record. The outcome, status, header and body of the answer must
// not change afterwards.
func (an *Answer) CompactRecord() *schema.RecordedAnswer {
	if an.compact == nil {
		an.compact = &schema.RecordedAnswer{
			Status: uint32(an.Status), HeaderBlock: header.AppendBlock(make([]byte, 0, typicalHeaderBytes), an.Header),
			Body: an.Body, Outcome: an.Outcome.String(),
		}
	}
	return an.compact
}

// typicalHeaderBytes is the initial capacity of a header block, enough for most headers.
const typicalHeaderBytes = 320

// ExpandRecord converts the result of CompactRecord to that of Record, for receivers
// that may not understand header blocks.
func ExpandRecord(rec *schema.RecordedAnswer) (*schema.RecordedAnswer, error) {
	an, err := FromRecord(rec)
	if err != nil {
		return nil, err
	}
	return an.Record(), nil
}

// FromRecord returns the answer that rec holds, in either form. The error wraps
// ErrBadFrame.
func FromRecord(rec *schema.RecordedAnswer) (*Answer, error) {
	hd, err := headerFromMessage(rec.GetHeader(), rec.GetHeaderBlock())
	if err != nil {
		return nil, errors.Wrap(ErrBadFrame, "answer.header_block")
	}
	if rec.GetStatus() < http.StatusContinue || rec.GetStatus() > maxStatus {
		return nil, errors.Wrap(ErrBadFrame, "answer.status")
	}
	return &Answer{
		Outcome: call.ParseOutcome(rec.GetOutcome()),
		Status:  int(rec.GetStatus()),
		Header:  hd,
		Body:    rec.GetBody(),
	}, nil
}
