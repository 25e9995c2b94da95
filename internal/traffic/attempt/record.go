package attempt

import (
	"camphortrail/call"
	"camphortrail/schema"
)

// Record returns the answer in the form in which it is kept.
func (an *Answer) Record() *schema.RecordedAnswer {
	return &schema.RecordedAnswer{
		Status: uint32(an.Status), Header: fields(an.Header), Body: an.Body, Outcome: an.Outcome.String(),
	}
}

// FromRecord returns the answer that was kept as rec.
func FromRecord(rec *schema.RecordedAnswer) *Answer {
	return &Answer{
		Outcome: call.ParseOutcome(rec.GetOutcome()),
		Status:  int(rec.GetStatus()),
		Header:  headerOf(rec.GetHeader()),
		Body:    rec.GetBody(),
	}
}
