package events

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"maps"
	"strconv"
	"strings"
	"testing"
	"time"
)

// runAndRead returns the lines that the log writes when it stops.
func runAndRead(t *testing.T, lg *Log) []Line {
	t.Helper()
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var out bytes.Buffer
	if err := lg.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	var lines []Line
	for text := range strings.Lines(out.String()) {
		var ln Line
		if err := json.Unmarshal([]byte(text), &ln); err != nil {
			t.Fatalf("%q: %v", text, err)
		}
		lines = append(lines, ln)
	}
	return lines
}

// A flood of refusals must not flood the log: it writes a bounded number of lines, which
// stand for all events.
func TestFloodIsFolded(t *testing.T) {
	const flood = 100_000
	lg := New("a")
	begin := time.Now()
	for n := range flood {
		lg.Add(begin.Add(time.Duration(n)*50*time.Microsecond), Event{Kind: Refused, Reason: "overload", Request: "r"})
	}
	lg.Add(begin.Add(6*time.Second), Event{Kind: GaveUp, Reason: "deadline", Request: "q"})
	lines := runAndRead(t, lg)
	sum := 0
	for _, ln := range lines {
		// A line with folded events stands only for these, another line for its own event.
		sum += max(1, ln.Folded)
	}
	if sum != flood+1 {
		t.Errorf("lines stand for %d events, want %d", sum, flood+1)
	}
	if most := 6*(maxLinesPerKey+1) + 1; len(lines) > most {
		t.Errorf("%d lines, want at most %d", len(lines), most)
	}
}

// A reader that stopped must not block decisions. The lines that it misses are counted.
func TestBlockedReader(t *testing.T) {
	lg := New("a")
	begin := time.Now()
	for n := range 2 * maxQueuedLines {
		lg.Add(begin.Add(time.Duration(n)*window), Event{Kind: Refused, Reason: "overload"})
	}
	lost := lg.dropped.Load()
	if lost != maxQueuedLines {
		t.Errorf("%d lines dropped, want %d", lost, maxQueuedLines)
	}
	if got := len(runAndRead(t, lg)); got != maxQueuedLines {
		t.Errorf("%d lines written, want %d", got, maxQueuedLines)
	}
}

// A line with folded refusals of one route must not stand for refusals of another.
func TestRoutesAreFoldedApart(t *testing.T) {
	lg := New("a")
	begin := time.Now()
	count := map[string]int{"look-up": 300, "issue": 100}
	for n := range 400 {
		class := "look-up"
		if n%4 == 3 {
			class = "issue"
		}
		lg.Add(begin, Event{Kind: Refused, Reason: "overload", Class: class})
	}
	got := make(map[string]int)
	for _, ln := range runAndRead(t, lg) {
		got[ln.Class] += max(1, ln.Folded)
	}
	if !maps.Equal(got, count) {
		t.Errorf("lines stand for %v, want %v", got, count)
	}
}

// Many routes must not raise the number of windows beyond maxKeys and one.
func TestNumberOfFoldsIsBounded(t *testing.T) {
	lg := New("a")
	begin := time.Now()
	for n := range 100 * maxKeys {
		lg.Add(begin, Event{Kind: Refused, Reason: "overload", Class: strconv.Itoa(n)})
	}
	if len(lg.folds) > maxKeys+1 {
		t.Errorf("%d routes are told apart, want %d", len(lg.folds), maxKeys)
	}
}

// The fields of a summary are at the top level of its line, after time, VM and kind.
func TestSummary(t *testing.T) {
	lg := New("a")
	lg.Summarize(time.Unix(0, 0), Traffic{Class: "look-up", Total: 7, InTarget: 5})
	ctx, stop := context.WithCancel(t.Context())
	stop()
	var out bytes.Buffer
	if err := lg.Run(ctx, &out); err != nil {
		t.Fatal(err)
	}
	const want = `{"timestamp":"1970-01-01T00:00:00.000Z","vm":"a","event":"requests","class":"look-up","service":"","asked":7,"in-target":5}` + "\n"
	if out.String() != want {
		t.Errorf("line %s, want %s", out.String(), want)
	}
}

// BenchmarkAdd measures an event that is mostly folded.
func BenchmarkAdd(b *testing.B) {
	lg := New("a")
	now := time.Now()
	for b.Loop() {
		lg.Add(now, Event{Kind: Refused, Reason: "overload", Request: "r"})
	}
}

// BenchmarkWrite measures an event that gets a line of its own, and the encoding of the line.
func BenchmarkWrite(b *testing.B) {
	lg := New("a")
	now := time.Now()
	enc := json.NewEncoder(io.Discard)
	ev := Event{
		Kind: Refused, Reason: "guard-overload", Request: "57b54e8796f7c5f0.39e507f7d78680fb", Service: "cassa",
		Importance: 5, TookMS: 61, LeftMS: 186, Running: 17, Waiting: 13, Slots: 17, Level: 1281,
	}
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(window / maxLinesPerKey)
		lg.Add(now, ev)
		if err := enc.Encode(<-lg.lines.Out()); err != nil {
			b.Fatal(err)
		}
	}
}
