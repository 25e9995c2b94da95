package attempt

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/header"
	"camphortrail/withdrawal"
)

func example() *Attempt {
	return &Attempt{
		ID: call.AttemptID{1}, Request: call.RequestID{2}, Service: "cassa", Importance: 7, Depth: 3,
		Allowance: 2, Idempotent: true, MaxAnswer: 100, Stamp: withdrawal.Stamp{Incarnation: 9, Since: 10 * time.Second},
		Method: http.MethodPost, Host: "tags.example", URI: "/cassa/charges?x=1", Header: http.Header{"Accept": {"text/plain"}}, Body: []byte("body"),
	}
}

func TestAttemptRoundTrip(t *testing.T) {
	now := time.Now()
	want := example()
	want.Deadline = now.Add(1500 * time.Millisecond)
	out, err := want.NewRequest(t.Context(), now, "127.0.0.1:1")
	if err != nil {
		t.Fatal(err)
	}
	in := httptest.NewRequest(out.Method, out.URL.RequestURI(), out.Body)
	in.Header, in.Host = out.Header, out.Host
	got, err := FromRequest(in, now)
	if err != nil {
		t.Fatal(err)
	}
	if got.ID != want.ID || got.Request != want.Request || got.Service != want.Service || got.Importance != want.Importance ||
		got.Depth != want.Depth || got.Allowance != want.Allowance || got.Idempotent != want.Idempotent ||
		got.MaxAnswer != want.MaxAnswer || got.Stamp != want.Stamp || got.Method != want.Method || got.URI != want.URI ||
		got.Host != want.Host || !got.Deadline.Equal(want.Deadline.Add(-hopCost)) {
		t.Fatalf("FromRequest = %+v, want %+v", got, want)
	}
	if len(got.Header) != 1 || got.Header.Get("Accept") != "text/plain" {
		t.Errorf("header = %v, want only Accept", got.Header)
	}
}

func TestFromRequestRefusesBadHeaders(t *testing.T) {
	for _, name := range []string{
		header.Attempt, header.Request, header.Importance, header.Depth, header.DeadlineMS, header.Allowance,
		header.MaxAnswer, header.Stamp,
	} {
		out, err := example().NewRequest(t.Context(), time.Now(), "127.0.0.1:1")
		if err != nil {
			t.Fatal(err)
		}
		out.Header.Set(name, "-1x")
		out.RequestURI = out.URL.RequestURI()
		if _, err := FromRequest(out, time.Now()); !errors.Is(err, ErrBadHeader) || !strings.Contains(err.Error(), name) {
			t.Errorf("wrong %s: error %v, want ErrBadHeader with its name", name, err)
		}
	}
}

func TestAnswerRoundTrip(t *testing.T) {
	at := example()
	want := &Answer{
		Outcome: call.Done, Status: 201, Header: http.Header{"Etag": {"a"}}, Body: []byte("whole"),
		Level: call.LevelOf(3, 4), Pressure: call.LevelOf(5, 6), Unused: 1, Overload: true, RetryAfter: 30 * time.Millisecond, Work: time.Millisecond,
	}
	rr := httptest.NewRecorder()
	if err := want.Write(rr, at.ID); err != nil {
		t.Fatal(err)
	}
	got, err := FromResponse(rr.Result(), at)
	if err != nil {
		t.Fatal(err)
	}
	if got.Outcome != want.Outcome || got.Status != want.Status || string(got.Body) != "whole" || got.Level != want.Level || got.Pressure != want.Pressure ||
		got.Unused != want.Unused || !got.Overload || got.RetryAfter != want.RetryAfter || got.Work != want.Work {
		t.Fatalf("FromResponse = %+v, want %+v", got, want)
	}
	other := example()
	other.ID = call.AttemptID{7}
	if _, err := FromResponse(rr.Result(), other); !errors.Is(err, ErrBadHeader) {
		t.Errorf("answer to another attempt: error %v, want ErrBadHeader", err)
	}
}

func TestReadBody(t *testing.T) {
	for _, tt := range []struct {
		name, body    string
		stated, limit int64
		err           error
	}{
		{"whole", "abc", 3, 3, nil},
		{"unknown length", "abc", -1, 3, nil},
		{"short", "ab", 3, 3, ErrIncomplete},
		{"long", "abcd", 3, 10, ErrIncomplete},
		{"stated over the limit", "abcd", 4, 3, ErrTooLarge},
		{"unknown length over the limit", "abcd", -1, 3, ErrTooLarge},
	} {
		body, err := ReadBody(strings.NewReader(tt.body), tt.stated, tt.limit)
		if !errors.Is(err, tt.err) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.err)
		}
		if err == nil && string(body) != tt.body {
			t.Errorf("%s: body %q, want %q", tt.name, body, tt.body)
		}
	}
}

func TestPassOnDropsHopHeaders(t *testing.T) {
	got := PassOn(http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"}, header.Attempt: {"1"}, "Accept": {"a"},
	})
	if len(got) != 1 || got.Get("Accept") != "a" {
		t.Errorf("PassOn = %v, want only Accept", got)
	}
}

func TestRecordRoundTrip(t *testing.T) {
	want := &Answer{Outcome: call.Done, Status: 200, Header: http.Header{"B": {"1", "2"}, "A": {"3"}}, Body: []byte("x")}
	got := FromRecord(want.Record())
	if got.Outcome != want.Outcome || got.Status != 200 || string(got.Body) != "x" || len(got.Header["B"]) != 2 || got.Header.Get("A") != "3" {
		t.Errorf("FromRecord(Record) = %+v", got)
	}
}
