package withdrawal_test

import (
	"errors"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/withdrawal"
)

func TestAnswersAreBoundedInBytesAndTime(t *testing.T) {
	type reg = withdrawal.Registry[string]
	run := func(rg *reg, name string, bytes int) {
		id := attempt(name)
		rg.Step(epoch, withdrawal.Arrive[string]{Attempt: id, Stamp: rg.Stamp(epoch)})
		rg.Step(epoch, withdrawal.Start[string]{Attempt: id})
		rg.Step(epoch, withdrawal.Finish[string]{Attempt: id, Answer: name, Bytes: bytes})
	}
	lim := withdrawal.Limits{Attempts: 10, AnswerBytes: 10, AnswerRetention: time.Second, StampLifetime: time.Minute}
	rg := withdrawal.NewRegistry[string](1, epoch, lim)
	run(rg, "a", 6)
	run(rg, "b", 6)
	run(rg, "c", 11)
	for _, tc := range []struct {
		name string
		at   time.Time
		kept bool
	}{
		{"a", epoch, false},
		{"b", epoch, true},
		{"c", epoch, false},
		{"b", epoch.Add(time.Second), false},
	} {
		stamp := withdrawal.Stamp{Incarnation: 1}
		res := rg.Step(tc.at, withdrawal.Withdraw[string]{Attempt: attempt(tc.name), Stamp: stamp})
		if res.State != withdrawal.Finished || res.HasAnswer != tc.kept || res.HasAnswer && res.Answer != tc.name {
			t.Errorf("Withdraw(%s) at %v = %+v, want finished, kept %v", tc.name, tc.at.Sub(epoch), res, tc.kept)
		}
	}
}

func TestFullOfRunningAttempts(t *testing.T) {
	lim := withdrawal.Limits{Attempts: 1, AnswerBytes: 10, AnswerRetention: time.Second, StampLifetime: time.Minute}
	rg := withdrawal.NewRegistry[string](1, epoch, lim)
	sp := rg.Stamp(epoch)
	rg.Step(epoch, withdrawal.Arrive[string]{Attempt: attempt("a"), Stamp: sp})
	if res := rg.Step(epoch, withdrawal.Arrive[string]{Attempt: attempt("b"), Stamp: sp}); res.Decision != withdrawal.Full {
		t.Errorf("second attempt: decision %v, want Full", res.Decision)
	}
	if res := rg.Step(epoch, withdrawal.Withdraw[string]{Attempt: attempt("b"), Stamp: sp}); res.State != withdrawal.Unknown {
		t.Errorf("withdrawal without room for a fence: state %v, want Unknown", res.State)
	}
}

func TestStampText(t *testing.T) {
	sp := withdrawal.Stamp{Incarnation: 1 << 63, Uptime: time.Hour}
	if got, err := withdrawal.ParseStamp(sp.String()); err != nil || got != sp {
		t.Errorf("ParseStamp(%q) = %v, %v", sp, got, err)
	}
	for _, bad := range []string{"", "00", sp.String() + "00", "zz" + sp.String()[2:]} {
		if _, err := withdrawal.ParseStamp(bad); !errors.Is(err, withdrawal.ErrBadStamp) {
			t.Errorf("ParseStamp(%q) error = %v, want ErrBadStamp", bad, err)
		}
	}
}

func TestHistory(t *testing.T) {
	for _, tc := range []struct {
		name               string
		idempotent, resent bool
		states             []withdrawal.State
		kept               bool
		advice             withdrawal.RetryDecision
		outcome            call.Outcome
	}{
		{name: "nothing sent", advice: withdrawal.Retry, outcome: call.NotRun},
		{name: "nothing sent of a resend", resent: true, advice: withdrawal.Retry, outcome: call.Unknown},
		{name: "fenced", states: []withdrawal.State{withdrawal.Fenced}, advice: withdrawal.Retry, outcome: call.NotRun},
		{name: "running", states: []withdrawal.State{withdrawal.Running}, advice: withdrawal.Wait, outcome: call.Unknown},
		{name: "queued", states: []withdrawal.State{withdrawal.Queued}, advice: withdrawal.Wait, outcome: call.Unknown},
		{name: "unknown", states: []withdrawal.State{withdrawal.Unknown}, advice: withdrawal.GiveUp, outcome: call.Unknown},
		{
			name: "unknown, idempotent", idempotent: true, states: []withdrawal.State{withdrawal.Unknown},
			advice: withdrawal.Retry, outcome: call.Unknown,
		},
		{
			name: "not run after an unknown one", idempotent: true,
			states: []withdrawal.State{withdrawal.Unknown, withdrawal.Dequeued},
			advice: withdrawal.Retry, outcome: call.Unknown,
		},
		{name: "answer lost", states: []withdrawal.State{withdrawal.Finished}, advice: withdrawal.GiveUp, outcome: call.Unknown},
		{
			name: "answer kept", states: []withdrawal.State{withdrawal.Finished}, kept: true,
			advice: withdrawal.Deliver, outcome: call.Done,
		},
	} {
		hs := withdrawal.History{Idempotent: tc.idempotent, CallerResent: tc.resent}
		for i, st := range tc.states {
			id := call.AttemptID{byte(i)}
			hs.RecordSent(id)
			hs.RecordState(id, st, tc.kept)
		}
		if hs.Decide() != tc.advice || hs.Outcome() != tc.outcome {
			t.Errorf("%s: advice %v, outcome %v; want %v, %v", tc.name, hs.Decide(), hs.Outcome(), tc.advice, tc.outcome)
		}
	}
}
