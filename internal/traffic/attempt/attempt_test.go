package attempt

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
	"camphortrail/withdrawal"
)

func example() *Attempt {
	return &Attempt{
		ID: call.AttemptID{1}, Request: call.RequestID{2}, Service: "cassa", Importance: 7, Depth: 3,
		RetryBudget: 2, Idempotent: true, MaxAnswerBytes: 100, Stamp: withdrawal.Stamp{Incarnation: 9, Uptime: 10 * time.Second},
		Method: http.MethodPost, Host: "tags.example", URI: "/cassa/charges?x=1", Header: http.Header{"Accept": {"text/plain"}}, Body: []byte("body"),
	}
}

// sent marshals a frame and returns it as the receiver unmarshals it.
func sent(t *testing.T, fr *schema.Frame) *schema.Frame {
	t.Helper()
	data, err := proto.Marshal(fr)
	if err != nil {
		t.Fatal(err)
	}
	got := new(schema.Frame)
	if err := proto.Unmarshal(data, got); err != nil {
		t.Fatal(err)
	}
	return got
}

func TestAttemptRoundTrip(t *testing.T) {
	now := time.Now()
	want := example()
	want.Deadline = now.Add(1500 * time.Millisecond)
	want.Label, want.Class = "label", "counter"
	want.RepeatedSend, want.CallsDone = true, 5
	arrived := *want
	arrived.ReturnMargin = returnMargin
	for _, blocks := range []bool{false, true} {
		got, err := FromFrame(sent(t, want.Frame(now, blocks)).GetAttempt(), now)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, &arrived) {
			t.Errorf("FromFrame = %+v, want %+v", got, &arrived)
		}
	}
}

func TestFromFrameRefusesBadFields(t *testing.T) {
	for field, corrupt := range map[string]func(msg *schema.Attempt){
		"attempt_id":       func(msg *schema.Attempt) { msg.AttemptId = msg.AttemptId[1:] },
		"request_id":       func(msg *schema.Attempt) { msg.RequestId = nil },
		"importance":       func(msg *schema.Attempt) { msg.Importance = uint32(call.MaxImportance) + 1 },
		"depth":            func(msg *schema.Attempt) { msg.Depth = 256 },
		"deadline_us":      func(msg *schema.Attempt) { msg.DeadlineUs = 1 << 62 },
		"allowance":        func(msg *schema.Attempt) { msg.Allowance = 1 << 31 },
		"max_answer_bytes": func(msg *schema.Attempt) { msg.MaxAnswerBytes = -1 },
		"stamp":            func(msg *schema.Attempt) { msg.Stamp = "-1x" },
		"header_block":     func(msg *schema.Attempt) { msg.HeaderBlock = []byte{9} },
	} {
		msg := example().Frame(time.Now(), true).GetAttempt()
		corrupt(msg)
		if _, err := FromFrame(msg, time.Now()); !errors.Is(err, ErrBadFrame) || !strings.Contains(err.Error(), field) {
			t.Errorf("wrong %s: error %v, want ErrBadFrame with its name", field, err)
		}
	}
}

func TestAnswerRoundTrip(t *testing.T) {
	at := example()
	want := &Answer{
		Outcome: call.Done, Reason: "reason", Status: 201, Header: http.Header{"Etag": {"a", "b"}}, Body: []byte("whole"),
		Level: call.LevelOf(3, 4), DelayedLevel: call.LevelOf(5, 6), UnusedRetries: 1, Overload: true, UpstreamRefused: true, Unreachable: true, UpstreamFault: true,
		Load:       &Load{Ahead: 3 * time.Millisecond, Slowness: 1.25, Age: 40 * time.Millisecond, Own: 12 * time.Millisecond},
		RetryAfter: 30 * time.Millisecond, UpstreamTime: time.Millisecond, GuardTime: 2 * time.Millisecond,
	}
	for _, blocks := range []bool{false, true} {
		an := *want
		msg := sent(t, an.Frame(at.ID, "7.1", blocks)).GetAnswer()
		got, err := FromAnswerFrame(msg)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) || string(msg.GetAttemptId()) != string(at.ID[:]) || msg.GetStamp() != "7.1" {
			t.Errorf("FromAnswerFrame = %+v, want %+v", got, want)
		}
	}
}

func TestFromAnswerFrameRefusesBadFields(t *testing.T) {
	for field, corrupt := range map[string]func(msg *schema.AttemptAnswer){
		"level":        func(msg *schema.AttemptAnswer) { msg.Level = 1 << 16 },
		"pressure":     func(msg *schema.AttemptAnswer) { msg.Pressure = 1 << 16 },
		"unused":       func(msg *schema.AttemptAnswer) { msg.Unused = 1 << 31 },
		"held_us":      func(msg *schema.AttemptAnswer) { msg.HeldUs = 1 << 62 },
		"work_us":      func(msg *schema.AttemptAnswer) { msg.WorkUs = 1 << 62 },
		"status":       func(msg *schema.AttemptAnswer) { msg.Answer = nil },
		"header_block": func(msg *schema.AttemptAnswer) { msg.Answer.HeaderBlock = []byte{9} },
	} {
		msg := (&Answer{Outcome: call.Done, Status: 200}).Frame(call.AttemptID{1}, "7.1", true).GetAnswer()
		corrupt(msg)
		if _, err := FromAnswerFrame(msg); !errors.Is(err, ErrBadFrame) || !strings.Contains(err.Error(), field) {
			t.Errorf("wrong %s: error %v, want ErrBadFrame with its name", field, err)
		}
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
		body, err := ReadBody(nil, strings.NewReader(tt.body), tt.stated, tt.limit)
		if !errors.Is(err, tt.err) {
			t.Errorf("%s: error %v, want %v", tt.name, err, tt.err)
		}
		if err == nil && string(body) != tt.body {
			t.Errorf("%s: body %q, want %q", tt.name, body, tt.body)
		}
	}
}

func TestStripHeadersDropsHopByHopHeaders(t *testing.T) {
	got := StripHeaders(http.Header{
		"Connection": {"X-Hop"}, "X-Hop": {"1"}, "Transfer-Encoding": {"chunked"}, header.Attempt: {"1"}, "Accept": {"a"},
	})
	if len(got) != 1 || got.Get("Accept") != "a" {
		t.Errorf("StripHeaders = %v, want only Accept", got)
	}
}

func TestRecordRoundTrip(t *testing.T) {
	want := &Answer{Outcome: call.Done, Status: 200, Header: http.Header{"B": {"1", "2"}, "A": {"3"}}, Body: []byte("x")}
	expanded, err := ExpandRecord(want.CompactRecord())
	if err != nil {
		t.Fatal(err)
	}
	for form, rec := range map[string]*schema.RecordedAnswer{"fields": want.Record(), "block": want.CompactRecord(), "expanded": expanded} {
		got, err := FromRecord(rec)
		if err != nil || got.Outcome != want.Outcome || got.Status != 200 || string(got.Body) != "x" || len(got.Header["B"]) != 2 || got.Header.Get("A") != "3" {
			t.Errorf("%s: FromRecord = %+v, %v", form, got, err)
		}
	}
}

// TestTextOfFrames guards against a request that another node smuggles to the upstream within the
// method, host or path of an attempt.
func TestTextOfFrames(t *testing.T) {
	id := make([]byte, 16)
	now := time.UnixMilli(1_700_000_000_000)
	frame := func(method, host, uri string) error {
		_, err := FromFrame(&schema.Attempt{AttemptId: id, RequestId: id, Stamp: withdrawal.Stamp{}.String(), Method: method, Host: host, Uri: uri}, now)
		return err
	}
	if err := frame("GET", "h.example", "/caf\xe9?q=%20"); err != nil {
		t.Error(err)
	}
	for _, text := range []string{"x\r\ny", "x y", "x\x00", "\x7f", "x\ty"} {
		for field, err := range map[string]error{"method": frame(text, "h", "/"), "host": frame("GET", text, "/"), "uri": frame("GET", "h", "/"+text)} {
			if !errors.Is(err, ErrBadFrame) {
				t.Errorf("%s %q: error %v", field, text, err)
			}
		}
	}
}

// TestStatusOfRecords guards against a recorded answer without a status of HTTP being sent to a
// caller.
func TestStatusOfRecords(t *testing.T) {
	for status, valid := range map[uint32]bool{0: false, 99: false, 100: true, 200: true, 999: true, 1000: false, 1<<32 - 1: false} {
		if _, err := FromRecord(&schema.RecordedAnswer{Status: status}); valid != (err == nil) || err != nil && !errors.Is(err, ErrBadFrame) {
			t.Errorf("status %d: error %v", status, err)
		}
	}
}
