package standin

import (
	"slices"
	"sync"
	"time"

	"camphortrail/call"
)

// RootID identifies a root: one request of a caller, with all of its sends.
type RootID uint64

// RunID identifies one run of a request on an upstream. As a parent, 0 means the caller.
type RunID uint64

// Run is one run of a request on an upstream.
type Run struct {
	ID      RunID
	Service call.Service
	// VM is the name of the upstream.
	VM   string
	Root RootID
	// Send is the number, from 1, of the caller's send that led to the run.
	Send int
	// Parent is the run whose call this run serves, and Call the index of that call.
	Parent RunID
	Call   int
	// Key is the idempotency key, or empty.
	Key string
	// Attempt is the attempt id that the node sent, or empty.
	Attempt    string
	Idempotent bool
	Started    time.Time
}

// Send is one HTTP request by which a caller sent a root, and its result.
type Send struct {
	Root RootID
	// Number counts the sends of a root from 1.
	Number     int
	Class      call.Class
	Importance call.Importance
	Sent       time.Time
	Ended      time.Time
	// Status is 0 when no answer arrived.
	Status  int
	Outcome call.Outcome
	// Reason is the refusal reason in the answer's header, or empty.
	Reason  string
	Verdict Verdict
}

// Root is one request of a caller, which it may send several times.
type Root struct {
	ID         RootID
	Class      call.Class
	Importance call.Importance
	Arrived    time.Time
	// Ended is the time when the complete answer arrived or the caller gave up.
	Ended time.Time
	// Succeeded says that the complete answer to this request arrived in time.
	Succeeded bool
}

// Recorder collects the runs of upstreams and the sends and roots of callers,
// independently of the system under test. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	lastRun RunID
	runs    []Run
	sends   []Send
	roots   []Root
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{} }

// addRun records a run, without its ID, and returns the ID that it got.
func (rc *Recorder) addRun(rn Run) RunID {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.lastRun++
	rn.ID = rc.lastRun
	rc.runs = append(rc.runs, rn)
	return rn.ID
}

func (rc *Recorder) addSend(sn Send) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.sends = append(rc.sends, sn)
}

func (rc *Recorder) addRoot(rt Root) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	rc.roots = append(rc.roots, rt)
}

// Log is the content of a Recorder.
type Log struct {
	Runs  []Run
	Sends []Send
	Roots []Root
}

// Log returns the content collected so far. It shares memory with the Recorder and must
// not be changed: a copy under the lock would block upstreams and callers.
func (rc *Recorder) Log() Log {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return Log{Runs: slices.Clip(rc.runs), Sends: slices.Clip(rc.sends), Roots: slices.Clip(rc.roots)}
}
