package standin

import (
	"slices"
	"sync"
	"time"

	"camphortrail/call"
)

// RootID identifies one request of a caller over all of its sends.
type RootID uint64

// RunID identifies one run of a request on an upstream. The zero RunID stands
// for the caller.
type RunID uint64

// Run is one run of a request on an upstream.
type Run struct {
	ID      RunID
	Service call.Service
	// VM is the name of the upstream.
	VM   string
	Root RootID
	// Send is the number of the caller's send that led to the run, from 1.
	Send int
	// Parent and Call say which call of which run the run serves.
	Parent RunID
	Call   int
	// Key is the idempotency key, or empty.
	Key        string
	Attempt    string
	Idempotent bool
	Started    time.Time
}

// Send is one request that a caller sent, and how it ended.
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
	// Reason is the reason that the answer states, or empty.
	Reason  string
	Verdict Verdict
}

// Root is one request of a caller over all its sends.
type Root struct {
	ID         RootID
	Class      call.Class
	Importance call.Importance
	Arrived    time.Time
	// Ended is the time of the whole answer, or when the caller gave up.
	Ended time.Time
	// Succeeded says that the complete answer to this request arrived in time.
	Succeeded bool
}

// Recorder collects what really happened. It is safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	lastRun RunID
	runs    []Run
	sends   []Send
	roots   []Root
}

// NewRecorder returns an empty Recorder.
func NewRecorder() *Recorder { return &Recorder{} }

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

// Log is what a Recorder has collected.
type Log struct {
	Runs  []Run
	Sends []Send
	Roots []Root
}

// Log returns what was collected so far. It must not be changed: nothing is
// copied, so that those who record do not wait for a reader.
func (rc *Recorder) Log() Log {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	return Log{Runs: slices.Clip(rc.runs), Sends: slices.Clip(rc.sends), Roots: slices.Clip(rc.roots)}
}
