package soak

import (
	"fmt"
	"slices"
	"sync"
	"syscall"
	"time"

	"camphortrail/call"
)

// Moment is a time since the record began, on the steady clock.
type Moment time.Duration

// Sub returns the time from the moment ea to mo.
func (mo Moment) Sub(ea Moment) time.Duration { return time.Duration(mo - ea) }

// Add returns the moment that is after mo by length.
func (mo Moment) Add(length time.Duration) Moment { return mo + Moment(length) }

func (mo Moment) String() string { return fmt.Sprintf("%.3f", time.Duration(mo).Seconds()) }

type (
	// RequestID is the id of one send of a caller.
	RequestID string
	// ConnID numbers the connections of callers.
	ConnID uint64
	// Rule is the name of a rule, as the users write it.
	Rule string
)

// The rules that are checked.
const (
	Lost    Rule = "LOST"
	Config  Rule = "CONFIG"
	Drain   Rule = "DRAIN"
	Mixed   Rule = "MIXED"
	Twice   Rule = "TWICE"
	Refused Rule = "REFUSED"
	Fault   Rule = "Fault"
)

// Event is what an actor did or saw.
type Event interface{ event() }

type (
	// Sent is a request that a caller or an upstream has sent whole.
	Sent struct {
		ID RequestID
		// Begun and At are the moments of the first and the last byte.
		Begun, At Moment
		Node      call.VM
		Conn      ConnID
		// Kept says that the connection is kept for many requests, and Behind that an earlier request
		// on it had no whole answer yet.
		Kept, Behind bool
		Kind         Kind
		// Deadline is the time for which the sender waits, 0 if it does not say so, and Timeout that of the route.
		Deadline, Timeout time.Duration
		Path              string
		// Call says that an upstream sent the request.
		Call bool
	}
	// Answered is a whole answer that a caller received.
	Answered struct {
		ID     RequestID
		At     Moment
		Status int
		// Signed says that an upstream wrote the answer.
		Signed bool
	}
	// Cut is a connection that ended before the whole answer to a request. Reset says that it was
	// reset, as a process does that has not read all that was sent.
	Cut struct {
		ID    RequestID
		At    Moment
		Reset bool
		Cause string
	}
	// GaveUp is a caller that waits no more.
	GaveUp struct {
		ID RequestID
		At Moment
	}
	// Arrived is a request that reached an upstream, which began to work on it unless NotRun is set.
	Arrived struct {
		ID       RequestID
		At       Moment
		Upstream call.VM
		NotRun   bool
		Path     string
	}
	// Ran is the end of the work of an upstream on a request.
	Ran struct {
		ID       RequestID
		At       Moment
		Upstream call.VM
		// Dropped says that its connection ended first, and BrokeOff that the upstream ended it.
		Dropped, BrokeOff bool
		Status            int
	}
	// ConfigSent is a configuration that an operator begins to send.
	ConfigSent struct {
		Version Version
		At      Moment
	}
	// ConfigAnswered is the clear answer to a configuration: 200 acknowledges it.
	ConfigAnswered struct {
		Version Version
		At      Moment
		Status  int
	}
	// Impaired is the start of an unplanned impairment other than a signal, or its end.
	Impaired struct {
		VM    call.VM
		At    Moment
		Cause string
		Over  bool
	}
	// Signalled is a signal that the rig sent to a process.
	Signalled struct {
		VM     call.VM
		At     Moment
		Signal syscall.Signal
	}
	// Started is a process that the rig started.
	Started struct {
		VM call.VM
		At Moment
	}
	// Ended is the end of a process. Own says that the rig had not ended it.
	Ended struct {
		VM    call.VM
		At    Moment
		Own   bool
		Cause string
	}
)

func (Sent) event()           {}
func (Answered) event()       {}
func (Cut) event()            {}
func (GaveUp) event()         {}
func (Arrived) event()        {}
func (Ran) event()            {}
func (Signalled) event()      {}
func (ConfigSent) event()     {}
func (ConfigAnswered) event() {}
func (Impaired) event()       {}
func (Started) event()        {}
func (Ended) event()          {}

// Finding is a rule that was broken.
type Finding struct {
	Rule Rule   `json:"rule"`
	Text string `json:"text"`
}

// Recorder keeps events in the order in which they were added. It is safe for concurrent use.
type Recorder struct {
	begun time.Time

	mu       sync.Mutex
	events   []Event
	findings []Finding
}

// NewRecorder returns an empty recorder, whose record begins now.
func NewRecorder() *Recorder { return &Recorder{begun: time.Now()} }

// Now returns the present moment.
func (rc *Recorder) Now() Moment { return Moment(time.Since(rc.begun)) }

// Add adds an event.
func (rc *Recorder) Add(ev Event) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.events = append(rc.events, ev)
}

// Events returns a copy of the record.
func (rc *Recorder) Events() []Event {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return slices.Clone(rc.events)
}

// Find adds a finding.
func (rc *Recorder) Find(ru Rule, format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.findings = append(rc.findings, Finding{ru, fmt.Sprintf(format, args...)})
}

// Findings returns a copy of the findings.
func (rc *Recorder) Findings() []Finding {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return slices.Clone(rc.findings)
}
