package events

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"
)

func written(t *testing.T, lg *Log) []Line {
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

// A flood of refusals stays within some lines and loses no count.
func TestFloodIsFolded(t *testing.T) {
	const flood = 100_000
	lg := New("a")
	begin := time.Now()
	for n := range flood {
		lg.Add(begin.Add(time.Duration(n)*50*time.Microsecond), Event{Kind: Refused, Reason: "overload", Request: "r"})
	}
	lg.Add(begin.Add(6*time.Second), Event{Kind: GaveUp, Reason: "deadline", Request: "q"})
	lines := written(t, lg)
	sum := 0
	for _, ln := range lines {
		// A line that folds stands for those events, another for its own.
		sum += max(1, ln.Folded)
	}
	if sum != flood+1 {
		t.Errorf("lines stand for %d events, want %d", sum, flood+1)
	}
	if most := 6*(maxLines+1) + 1; len(lines) > most {
		t.Errorf("%d lines, want at most %d", len(lines), most)
	}
}

// A reader that has stopped does not block the decision, and what it misses is
// counted.
func TestBlockedReader(t *testing.T) {
	lg := New("a")
	begin := time.Now()
	for n := range 2 * ringSize {
		lg.Add(begin.Add(time.Duration(n)*window), Event{Kind: Refused, Reason: "overload"})
	}
	lost := lg.dropped.Load()
	if lost != ringSize {
		t.Errorf("%d lines dropped, want %d", lost, ringSize)
	}
	if got := len(written(t, lg)); got != ringSize {
		t.Errorf("%d lines written, want %d", got, ringSize)
	}
}

func BenchmarkAdd(b *testing.B) {
	lg := New("a")
	now := time.Now()
	for b.Loop() {
		lg.Add(now, Event{Kind: Refused, Reason: "overload", Request: "r"})
	}
}

// BenchmarkWrite takes a line and writes it.
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
		now = now.Add(window / maxLines)
		lg.Add(now, ev)
		if err := enc.Encode(<-lg.lines.Out()); err != nil {
			b.Fatal(err)
		}
	}
}
