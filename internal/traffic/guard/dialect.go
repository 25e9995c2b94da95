package guard

import (
	"net/http"
	"slices"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/header"
)

// AnswerClass says what the header of an upstream's answer proves.
type AnswerClass uint8

// The verdicts.
const (
	// Unusable answers belong to another attempt, or cannot be told to be
	// the whole answer. The attempt may have run.
	Unusable AnswerClass = iota
	// Answered means that the answer is that of the attempt.
	Answered
	// Full means that the upstream did not begin, for want of room.
	Full
	// Misdirected means that the upstream did not begin because it is not
	// the one that the attempt was meant for.
	Misdirected
)

// Protocol holds the headers that the guard and the upstream beside it
// exchange.
type Protocol interface {
	// AddRequestHeaders adds what the system says to the upstream of that instance;
	// left is the time until the deadline.
	AddRequestHeaders(hd http.Header, at *attempt.Attempt, instance string, left time.Duration)
	// Classify reads the header of an answer. Full and Misdirected need an answer that
	// names the attempt, or none: one that names another says nothing of this one.
	Classify(res *http.Response, at *attempt.Attempt) AnswerClass
	// AnswersRequest reports whether an answer names the request that was sent with
	// the header asked.
	AnswersRequest(hd, asked http.Header) bool
}

// ownDialect is the interface that docs/CALLERS.md describes.
type ownDialect struct{}

// AddRequestHeaders implements Dialect.
func (ownDialect) AddRequestHeaders(hd http.Header, at *attempt.Attempt, _ string, left time.Duration) {
	hd.Set(header.Attempt, at.ID.String())
	hd.Set(header.Request, at.Request.String())
	hd.Set(header.DeadlineMS, attempt.FormatMilliseconds(left))
}

// Classify implements Dialect. An answer whose end cannot be told, or which names
// another attempt, is not usable.
func (ownDialect) Classify(res *http.Response, at *attempt.Attempt) AnswerClass {
	echo := res.Header.Get(header.Attempt)
	switch {
	case echo != "" && echo != at.ID.String(), !framed(res):
		return Unusable
	case echo != "" && res.Header.Get(header.Outcome) == call.NotRun.String():
		return Full
	}
	return Answered
}

// AnswersRequest implements Dialect.
func (ownDialect) AnswersRequest(hd, asked http.Header) bool {
	echo := hd.Get(header.Attempt)
	return echo != "" && echo == asked.Get(header.Attempt)
}

// framed reports whether the end of the body can be told from its message.
func framed(res *http.Response) bool {
	return res.ContentLength >= 0 || slices.Contains(res.TransferEncoding, "chunked")
}
