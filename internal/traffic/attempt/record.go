package attempt

import (
	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
)

// Record returns the answer in the form in which it is kept.
func (an *Answer) Record() *schema.RecordedAnswer {
	return &schema.RecordedAnswer{
		Status: uint32(an.Status), Header: fields(an.Header), Body: an.Body, Outcome: an.Outcome.String(),
	}
}

// CompactRecord returns the answer in a form that takes few pieces of memory.
func (an *Answer) CompactRecord() *schema.RecordedAnswer {
	return &schema.RecordedAnswer{
		Status: uint32(an.Status), HeaderBlock: header.AppendBlock(make([]byte, 0, headerBytes), an.Header),
		Body: an.Body, Outcome: an.Outcome.String(),
	}
}

// headerBytes is the size of most headers as a block, in bytes.
const headerBytes = 320

// ExpandRecord turns a compact answer into one as Record returns it.
func ExpandRecord(rec *schema.RecordedAnswer) (*schema.RecordedAnswer, error) {
	an, err := FromRecord(rec)
	if err != nil {
		return nil, err
	}
	return an.Record(), nil
}

// FromRecord returns the answer that was kept as rec.
func FromRecord(rec *schema.RecordedAnswer) (*Answer, error) {
	hd, err := headerFrom(rec.GetHeader(), rec.GetHeaderBlock())
	if err != nil {
		return nil, errors.Wrap(ErrBadFrame, "answer.header_block")
	}
	return &Answer{
		Outcome: call.ParseOutcome(rec.GetOutcome()),
		Status:  int(rec.GetStatus()),
		Header:  hd,
		Body:    rec.GetBody(),
	}, nil
}
