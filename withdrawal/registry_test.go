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
		name      string
		at        time.Time
		hasAnswer bool
	}{
		{"a", epoch, false},
		{"b", epoch, true},
		{"c", epoch, false},
		{"b", epoch.Add(time.Second), false},
	} {
		stamp := withdrawal.Stamp{Incarnation: 1}
		res := rg.Step(tc.at, withdrawal.Withdraw[string]{Attempt: attempt(tc.name), Stamp: stamp})
		if res.State != withdrawal.Finished || res.HasAnswer != tc.hasAnswer || res.HasAnswer && res.Answer != tc.name {
			t.Errorf("Withdraw(%s) at %v = %+v, want finished, answer stored: %v", tc.name, tc.at.Sub(epoch), res, tc.hasAnswer)
		}
	}
}

// TestFullOfRunningAttempts checks that a registry full of live attempts neither accepts
// another attempt nor reports a withdrawn one as fenced.
func TestFullOfRunningAttempts(t *testing.T) {
	lim := withdrawal.Limits{Attempts: 1, AnswerBytes: 10, AnswerRetention: time.Second, StampLifetime: time.Minute}
	rg := withdrawal.NewRegistry[string](1, epoch, lim)
	sp := rg.Stamp(epoch)
	rg.Step(epoch, withdrawal.Arrive[string]{Attempt: attempt("a"), Stamp: sp})
	if res := rg.Step(epoch, withdrawal.Arrive[string]{Attempt: attempt("b"), Stamp: sp}); res.Decision != withdrawal.Full {
		t.Errorf("second attempt: decision %v, want Full", res.Decision)
	}
	if res := rg.Step(epoch, withdrawal.Withdraw[string]{Attempt: attempt("b"), Stamp: sp}); res.State != withdrawal.Unknown {
		t.Errorf("withdrawal from a full registry: state %v, want Unknown", res.State)
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
		hasAnswer          bool
		decision           withdrawal.RetryDecision
		outcome            call.Outcome
	}{
		{name: "nothing sent", decision: withdrawal.Retry, outcome: call.NotRun},
		{name: "nothing sent of a resend", resent: true, decision: withdrawal.Retry, outcome: call.Unknown},
		{name: "fenced", states: []withdrawal.State{withdrawal.Fenced}, decision: withdrawal.Retry, outcome: call.NotRun},
		{name: "running", states: []withdrawal.State{withdrawal.Running}, decision: withdrawal.Wait, outcome: call.Unknown},
		{name: "queued", states: []withdrawal.State{withdrawal.Queued}, decision: withdrawal.Wait, outcome: call.Unknown},
		{name: "unknown", states: []withdrawal.State{withdrawal.Unknown}, decision: withdrawal.GiveUp, outcome: call.Unknown},
		{
			name: "unknown, idempotent", idempotent: true, states: []withdrawal.State{withdrawal.Unknown},
			decision: withdrawal.Retry, outcome: call.Unknown,
		},
		{
			name: "not run after an unknown one", idempotent: true,
			states:   []withdrawal.State{withdrawal.Unknown, withdrawal.Dequeued},
			decision: withdrawal.Retry, outcome: call.Unknown,
		},
		{name: "answer lost", states: []withdrawal.State{withdrawal.Finished}, decision: withdrawal.GiveUp, outcome: call.Unknown},
		{
			name: "answer kept", states: []withdrawal.State{withdrawal.Finished}, hasAnswer: true,
			decision: withdrawal.Deliver, outcome: call.Done,
		},
	} {
		hs := withdrawal.History{Idempotent: tc.idempotent, CallerResent: tc.resent}
		for i, st := range tc.states {
			id := call.AttemptID{byte(i)}
			hs.RecordSent(id)
			hs.RecordState(id, st, tc.hasAnswer)
		}
		if hs.Decide() != tc.decision || hs.Outcome() != tc.outcome {
			t.Errorf("%s: decision %v, outcome %v; want %v, %v", tc.name, hs.Decide(), hs.Outcome(), tc.decision, tc.outcome)
		}
	}
}
