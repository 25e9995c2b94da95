package guard

import (
	"net/http"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/attempt"
	"camphortrail/internal/header"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

// maxBody bounds the body of an attempt, in bytes; the entry applies the bound
// of the configuration.
const maxBody = 1 << 30

// ServeHTTP acknowledges an attempt of another entry, runs it and answers.
func (gd *Guard) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at, err := attempt.FromRequest(r, time.Now())
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.Header().Set(header.Stamp, gd.Stamp().String())
	// With a length in the header, the HTTP/2 server writes the
	// acknowledgement from a copy. It may still be writing when WriteHeader
	// returns for a stream that was cancelled.
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(http.StatusProcessing)
	if r.Context().Err() != nil {
		return
	}
	at.Body, err = attempt.ReadBody(r.Body, r.ContentLength, maxBody)
	an := attempt.Refusal("request-incomplete", 0)
	an.Unused = at.Allowance
	if err == nil {
		an = gd.Handle(r.Context(), at)
	}
	w.Header().Set(header.Stamp, gd.Stamp().String())
	// An answer that is not taken is found by withdrawal.
	_ = an.Write(w, at.ID)
}

// AnswerWithdraw answers the question of an entry about an attempt. Without a
// stamp it answers only with the guard's.
func (gd *Guard) AnswerWithdraw(rq *schema.WithdrawRequest) (*schema.WithdrawResponse, error) {
	rs := &schema.WithdrawResponse{Stamp: gd.Stamp().String()}
	if rq.GetStamp() == "" {
		return rs, nil
	}
	if len(rq.GetAttemptId()) != len(call.AttemptID{}) {
		return nil, errors.Wrap(call.ErrBadID, "withdraw")
	}
	sp, err := withdrawal.ParseStamp(rq.GetStamp())
	if err != nil {
		return nil, errors.Wrap(err, "withdraw")
	}
	res := gd.Withdraw(call.AttemptID(rq.GetAttemptId()), sp, rq.GetInspect())
	rs.State = schema.AttemptState(res.State)
	if res.Kept {
		rs.Answer = res.Answer.Record()
	}
	return rs, nil
}
