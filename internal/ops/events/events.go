// Package events writes one JSON line for each decision about a request. It never blocks the
// caller: lines wait in a bounded queue. A line is dropped if the queue is full, and later lines
// contain the number of dropped ones. Beyond a rate for each kind, reason, route and service,
// events are folded into one line with their number and time span. Summaries of all requests
// are written each second.
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
	// maxQueuedLines bounds the number of lines that wait for a slow reader.
	maxQueuedLines = 4096
	// maxLinesPerKey is the number of lines of one kind, reason, route and service in each
	// window. Further events are folded.
	maxLinesPerKey = 5
	// maxEarlyLinesPerKey is maxLinesPerKey for answers of the node itself before their requests were
	// due. Each may break a promise, so that it should have a line of its own.
	maxEarlyLinesPerKey = 50
	// maxKeys bounds the number of combinations of kind, reason, route and service with a
	// line of their own. Events of further combinations are folded by kind and reason alone.
	maxKeys = 256
	// window is the time over which events of one key are counted.
	window = time.Second
)

// Kind is the kind of a decision or of a summary.
type Kind string

// The kinds of events.
const (
	// Refused is a request or an attempt that ended and did not run.
	Refused Kind = "refused"
	// GaveUp is a request that ended without an answer and may have run.
	GaveUp Kind = "gave-up"
	// Resent is a request that the entry sends to another VM after an attempt that did not succeed.
	Resent Kind = "resent"
	// Served is a request that an upstream answered. Only a sample of these is logged.
	Served Kind = "served"
	// Accepted is a request that the entry lets in although its node stops. TookMS is the time since
	// the entry stopped.
	Accepted Kind = "accepted"
	// Failed is a request that the upstream answered with a status of 500 or more, an attempt
	// that may have run without a usable answer, or a recorded answer that is unreadable.
	Failed Kind = "failed"
)

// CallerLeft is the reason of a request that ended because its sender gave up before the
// deadline.
const CallerLeft = "caller-left"

// FairShare is the rule of requests that were refused since their customers are beyond their fair
// shares.
const FairShare = "fair-share"

// Clock says which bound on the time of a request comes first.
type Clock string

// The bounds on the time of a request.
const (
	// CallerClock is the deadline that the sender stated.
	CallerClock Clock = "caller"
	// TimeoutClock is the time-out of the route.
	TimeoutClock Clock = "timeout"
	// EntryClock is the deadline that an entry sent to the guard of another VM, or of its own.
	EntryClock Clock = "entry"
)

// Event is one decision. Zero fields are left out of the line, except the two times.
type Event struct {
	Kind Kind `json:"event"`
	// Request is the id that the sender of the request gave it.
	Request string `json:"request,omitempty"`
	// Parent is the request for which an upstream makes this request as a call.
	Parent string `json:"parent,omitempty"`
	Reason string `json:"reason,omitempty"`
	// EarlyUS is the time, in microseconds, from an answer of the node itself until the request was
	// due, where an upstream may still be at work. Clock says which bound made it due.
	EarlyUS int64 `json:"early-us,omitempty"`
	// Ends names the attempts of a request that brought no answer of an upstream, in their order: for
	// each "step+time@VM", with the step that ended it and the time since the request arrived, in
	// milliseconds. It stands early in the line, as records may be cut short.
	Ends  string `json:"ends,omitempty"`
	Clock Clock  `json:"clock,omitempty"`
	// Customer is the customer of the request, or of the request that it is a call of.
	Customer string `json:"customer,omitempty"`
	Class    string `json:"class,omitempty"`
	Service  string `json:"service,omitempty"`
	// VM is the VM to which the last attempt was sent; for Resent, the one before the resend.
	VM         string `json:"chosen-vm,omitempty"`
	Status     int    `json:"status,omitempty"`
	Importance int    `json:"importance,omitempty"`
	Attempts   int    `json:"attempts,omitempty"`
	// Sends is the number of times that the guard sent the attempt to the upstream.
	Sends int `json:"sends,omitempty"`
	// TookMS is the time since the request arrived, and LeftMS the time until its deadline,
	// in milliseconds.
	TookMS int64 `json:"took-ms"`
	LeftMS int64 `json:"left-ms"`
	// RetryAfterMS is the backoff that the answer asks of the sender, in milliseconds.
	RetryAfterMS int64 `json:"retry-after-ms,omitempty"`
	// Running, Waiting and Slots are the attempts that run, those that wait and the
	// concurrency limit at the guard when it decided. Level is its admission level.
	Running int `json:"running,omitempty"`
	Waiting int `json:"waiting,omitempty"`
	Slots   int `json:"slots,omitempty"`
	Level   int `json:"level,omitempty"`
	// OccupancyPercent is the highest occupancy in the call tree of the request, or the
	// occupancy of the guard, in percent.
	OccupancyPercent int `json:"occupancy-percent,omitempty"`
	// SharePercent is the share of the requests of the kind that the entry admits, in
	// percent.
	SharePercent int `json:"share-percent,omitempty"`
	// Rule is the rule of customers that refused the request.
	Rule string `json:"rule,omitempty"`
	// AskedPerS and OwedPerS are the recent requests of the customer at this node in a second, and
	// those of them that its fair share allows, for the rule fair-share.
	AskedPerS float64 `json:"asked-per-s,omitempty"`
	OwedPerS  float64 `json:"owed-per-s,omitempty"`
	// Allowance is the number of requests that the entry might still start of a customer that it
	// refuses by its usage cap, and AllowanceAgeMS the time since its latest allowance was issued,
	// in milliseconds.
	Allowance      int   `json:"allowance,omitempty"`
	AllowanceAgeMS int64 `json:"allowance-age-ms,omitempty"`
}

// Line is the log line of an event.
type Line struct {
	Time string `json:"timestamp"`
	Node string `json:"vm"`
	Event
	// Folded is the number of folded events for which this line stands, or 0 if it is the line
	// of a single event that was not folded. SpanMS is the time between the start of their
	// window and the last of them, in milliseconds.
	Folded int   `json:"folded,omitempty"`
	SpanMS int64 `json:"folded-span-ms,omitempty"`
	// Dropped is the number of lines that were dropped so far because the queue was full or
	// the output failed.
	Dropped uint64 `json:"dropped,omitempty"`
}

func (Line) line() {}

// line is a value that is written as one line: Line or the line of a summary.
type line interface{ line() }

// foldKey identifies the events that are folded into the same line.
type foldKey struct {
	kind    Kind
	reason  string
	class   string
	service string
	// early is true for answers of the node itself before their requests were due.
	early bool
}

// foldWindow counts the events of one key in one window.
type foldWindow struct {
	// start is the time of the first event of the window, last that of the last folded one.
	start, last time.Time
	// written is the number of events with a line of their own, and folded that of the
	// others. lastEvent is the last folded event, which represents them in their line.
	written   int
	folded    int
	lastEvent Event
}

// Log writes events. Methods that add to a nil Log do nothing. All methods are safe for
// concurrent use.
type Log struct {
	node    string
	lines   *queue.Queue[line]
	dropped atomic.Uint64

	mu    sync.Mutex
	folds map[foldKey]*foldWindow
}

// New returns a log of the process on the node. Run writes its lines.
func New(node string) *Log {
	return &Log{node: node, lines: queue.New[line](maxQueuedLines), folds: make(map[foldKey]*foldWindow)}
}

// Add logs an event, or folds it into a line of its window.
func (lg *Log) Add(now time.Time, ev Event) {
	if lg == nil {
		return
	}
	if folded, ok := lg.reserveLine(now, ev); ok {
		lg.enqueueEvent(now, ev, folded)
	}
}

// reserveLine reports whether an event has a line of its own, and folds it otherwise. If the
// event starts a new window, before is the previous one, whose folded events must be written.
func (lg *Log) reserveLine(now time.Time, ev Event) (before foldWindow, ok bool) {
	lg.mu.Lock()
	defer lg.mu.Unlock()
	fk, limit := foldKey{ev.Kind, ev.Reason, ev.Class, ev.Service, ev.EarlyUS > 0}, maxLinesPerKey
	if fk.early {
		limit = maxEarlyLinesPerKey
	}
	if len(lg.folds) >= maxKeys && lg.folds[fk] == nil {
		fk.class, fk.service = "", ""
	}
	fw := lg.folds[fk]
	if fw == nil {
		fw = &foldWindow{start: now}
		lg.folds[fk] = fw
	}
	if now.Sub(fw.start) >= window {
		before = *fw
		*fw = foldWindow{start: now}
	}
	if fw.written >= limit {
		fw.folded++
		fw.last, fw.lastEvent = now, ev
		return foldWindow{}, false
	}
	fw.written++
	return before, true
}

// enqueueEvent adds the line of an event to the queue, after the line of the folded events of
// the window before.
func (lg *Log) enqueueEvent(now time.Time, ev Event, before foldWindow) {
	if before.folded > 0 {
		lg.enqueueLine(Line{
			Time: timestamp(before.last), Node: lg.node, Event: before.lastEvent, Folded: before.folded,
			SpanMS: before.last.Sub(before.start).Milliseconds(),
		})
	}
	lg.enqueueLine(Line{Time: timestamp(now), Node: lg.node, Event: ev})
}

// timestamp formats a time in UTC, in milliseconds.
func timestamp(now time.Time) string { return now.UTC().Format("2006-01-02T15:04:05.000Z") }

// enqueueLine sets the number of dropped lines and adds the line to the queue.
func (lg *Log) enqueueLine(ln Line) {
	ln.Dropped = lg.dropped.Load()
	lg.enqueue(ln)
}

// Run writes lines until ctx ends, and then those that are still queued.
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
			lg.flush(func(fw *foldWindow) bool { return now.Sub(fw.start) >= window })
		case ln := <-lg.lines.Out():
			if err := enc.Encode(ln); err != nil {
				lg.dropped.Add(1)
			}
		}
	}
}

// flush adds a line to the queue for the folded events of each window that is over, and
// removes these windows.
func (lg *Log) flush(isOver func(*foldWindow) bool) {
	lg.mu.Lock()
	var over []foldWindow
	for fk, fw := range lg.folds {
		if !isOver(fw) {
			continue
		}
		if fw.folded > 0 {
			over = append(over, *fw)
		}
		delete(lg.folds, fk)
	}
	lg.mu.Unlock()
	for _, fw := range over {
		lg.enqueueLine(Line{
			Time: timestamp(fw.last), Node: lg.node, Event: fw.lastEvent, Folded: fw.folded,
			SpanMS: fw.last.Sub(fw.start).Milliseconds(),
		})
	}
}

// writeQueued writes the queued lines without waiting for more.
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
