package attempt

import (
	"net/http"
	"slices"

	"camphortrail/call"
	"camphortrail/schema"
)

// Record returns the answer in the form in which it is kept.
func (an *Answer) Record() *schema.RecordedAnswer {
	rec := &schema.RecordedAnswer{Status: uint32(an.Status), Body: an.Body, Outcome: an.Outcome.String()}
	names := make([]string, 0, len(an.Header))
	for name := range an.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range an.Header[name] {
			rec.Header = append(rec.Header, &schema.HeaderField{Name: name, Value: value})
		}
	}
	return rec
}

// FromRecord returns the answer that was kept as rec.
func FromRecord(rec *schema.RecordedAnswer) *Answer {
	an := &Answer{
		Outcome: call.ParseOutcome(rec.GetOutcome()),
		Status:  int(rec.GetStatus()),
		Header:  make(http.Header, len(rec.GetHeader())),
		Body:    rec.GetBody(),
	}
	for _, field := range rec.GetHeader() {
		an.Header.Add(field.GetName(), field.GetValue())
	}
	return an
}
