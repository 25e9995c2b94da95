// Package events writes one JSON line for each decision that touches a request
// or changes what a process believes. It never blocks the decision: lines wait
// in a bounded ring, those beyond a rate for each kind, reason, route and service
// are folded into one line with their count and span, and what is dropped is
// counted and told. What became of all requests is summed up each second.
package events

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"camphortrail/queue"
)

const (
	// maxQueuedLines bounds the lines that wait for a slow reader.
	maxQueuedLines = 4096
	// maxLinesPerKey is the number of lines of one kind, reason, route and service in
	// each window; the others are folded.
	maxLinesPerKey = 5
	// maxKeys bounds the kinds, reasons, routes and services that are told
	// apart; beyond it routes and services are not.
	maxKeys = 256
	window  = time.Second
)

// Kind names what was decided or learned.
type Kind string

// The kinds.
const (
	// Refused ends a request or an attempt that has not run.
	Refused Kind = "refused"
	// GaveUp ends a request that may have run.
	GaveUp Kind = "gave-up"
	// Resent sends a request to another VM.
	Resent Kind = "resent"
	// Served is a request that an upstream answered. Only a sample is added.
	Served Kind = "served"
	// Failed is an answer of an upstream that cannot be passed on.
	Failed Kind = "failed"
)

// CallerLeft is the reason of what ended because its sender gave up before the
// deadline.
const CallerLeft = "caller-left"

// Event is one decision. Fields that do not apply are left out.
type Event struct {
	Kind Kind `json:"event"`
	// Request is the id by which the sender of the request knows it.
	Request string `json:"request,omitempty"`
	// Parent is the request that this one is a call of.
	Parent  string `json:"parent,omitempty"`
	Reason  string `json:"reason,omitempty"`
	Class   string `json:"class,omitempty"`
	Service string `json:"service,omitempty"`
	// VM is the one that was chosen.
	VM         string `json:"chosen-vm,omitempty"`
	Status     int    `json:"status,omitempty"`
	Importance int    `json:"importance,omitempty"`
	Attempts   int    `json:"attempts,omitempty"`
	// TookMS is the time since the request came, and LeftMS that until its
	// deadline.
	TookMS int64 `json:"took-ms"`
	LeftMS int64 `json:"left-ms"`
	// RetryAfterMS is what the sender was told.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Running, Waiting and Slots are the state of the guard, and Level that
	// of its admission, at the decision.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	Slots   int `json:"slots,omitempty"`
	Level   int `json:"level,omitempty"`
	// OccupancyPercent is the highest that the request met in its call tree, or that of
	// the guard, in percent.
	OccupancyPercent int `json:"occupancy-percent,omitempty"`
	// SharePercent is the part of the requests of the kind that the entry admits, in
	// percent.
	SharePercent int `json:"share-percent,omitempty"`
}

// Line is an event as it is written.
type Line struct {
	Time string `json:"timestamp"`
	Node string `json:"vm"`
	Event
	// Folded is the number of events that this line stands for besides its
	// own, SpanMS the time that they took.
	Folded int   `json:"folded,omitempty"`
	SpanMS int64 `json:"folded-span-ms,omitempty"`
	// Dropped is the number of lines lost so far because nobody read them.
	Dropped uint64 `json:"dropped,omitempty"`
}

func (Line) line() {}

// line is what is written at once: Line, or the line of a summary.
type line interface{ line() }

// foldKey tells events apart that are folded into different lines.
type foldKey struct {
	kind    Kind
	reason  string
	class   string
	service string
}

// foldWindow counts the events of one key in a window.
type foldWindow struct {
	start, last time.Time
	written    int
	folded     int
	lastEvent     Event
}

// Log writes events. A nil Log writes none. Its methods are safe for concurrent
// use.
type Log struct {
	node    string
	lines   *queue.Queue[line]
	dropped atomic.Uint64

	mu    sync.Mutex
	folds map[foldKey]*foldWindow
}

// New returns a log of a process.
func New(node string) *Log {
	return &Log{node: node, lines: queue.New[line](maxQueuedLines), folds: make(map[foldKey]*foldWindow)}
}

// Add takes an event.
func (lg *Log) Add(now time.Time, ev Event) {
	if lg == nil {
		return
	}
	if folded, ok := lg.reserveLine(now, ev); ok {
		lg.enqueueEvent(now, ev, folded)
	}
}

// reserveLine decides whether an event has a line of its own. It returns what the
// window before has folded, which is to be written too.
func (lg *Log) reserveLine(now time.Time, ev Event) (before foldWindow, ok bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	ky := foldKey{ev.Kind, ev.Reason, ev.Class, ev.Service}
	if len(lg.folds) >= maxKeys && lg.folds[ky] == nil {
		ky.class, ky.service = "", ""
	}
	fo := lg.folds[ky]
	if fo == nil {
		fo = &foldWindow{start: now}
		lg.folds[ky] = fo
	}
	if now.Sub(fo.start) >= window {
		before = *fo
		*fo = foldWindow{start: now}
	}
	if fo.written >= maxLinesPerKey {
		fo.folded++
		fo.last, fo.lastEvent = now, ev
		return foldWindow{}, false
	}
	fo.written++
	return before, true
}

func (lg *Log) enqueueEvent(now time.Time, ev Event, before foldWindow) {
	if before.folded > 0 {
		lg.enqueueLine(Line{
			Time: timestamp(before.last), Node: lg.node, Event: before.lastEvent, Folded: before.folded,
			SpanMS: before.last.Sub(before.start).Milliseconds(),
		})
	}
	lg.enqueueLine(Line{Time: timestamp(now), Node: lg.node, Event: ev})
}

func timestamp(now time.Time) string { return now.UTC().Format("2006-01-02T15:04:05.000Z") }

func (lg *Log) enqueueLine(ln Line) {
	ln.Dropped = lg.dropped.Load()
	lg.enqueue(ln)
}

// Run writes lines until ctx ends.
func (lg *Log) Run(ctx context.Context, out io.Writer) error {
	ticker := time.NewTicker(window)
	defer ticker.Stop()
	enc := json.NewEncoder(out)
	for {
		select {
		case <-ctx.Done():
			lg.flush(func(*foldWindow) bool { return true })
			lg.writeQueued(enc)
			return nil
		case now := <-ticker.C:
			lg.flush(func(fo *foldWindow) bool { return now.Sub(fo.start) >= window })
		case ln := <-lg.lines.Out():
			if err := enc.Encode(ln); err != nil {
				lg.dropped.Add(1)
			}
		}
	}
}

// flush writes what was folded in windows that are over.
func (lg *Log) flush(isOver func(*foldWindow) bool) {
	lg.mu.Lock()
	var over []foldWindow
	for ky, fo := range lg.folds {
		if !isOver(fo) {
			continue
		}
		if fo.folded > 0 {
			over = append(over, *fo)
		}
		delete(lg.folds, ky)
	}
	lg.mu.Unlock()
	for _, fo := range over {
		lg.enqueueLine(Line{
			Time: timestamp(fo.last), Node: lg.node, Event: fo.lastEvent, Folded: fo.folded,
			SpanMS: fo.last.Sub(fo.start).Milliseconds(),
		})
	}
}

// writeQueued writes what waits at the end.
func (lg *Log) writeQueued(enc *json.Encoder) {
	for {
		select {
		case ln := <-lg.lines.Out():
			if enc.Encode(ln) != nil {
				return
			}
		default:
			return
		}
	}
}
