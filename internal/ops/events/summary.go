package events

import "time"

// Kinds of summaries.
const (
	// Requests sums up what became of the requests of one route in a second.
	Requests Kind = "requests"
	// Slots sums up the use of the upstream beside the node in a second.
	Slots Kind = "slots"
	// Processes sums up what the process took of its machine in a second.
	Processes Kind = "process"
)

// Summary is what a process sums up each second: Traffic, Usage or Process.
type Summary interface{ kind() Kind }

// Traffic says what became of the requests of one route that ended within a
// second, at the node that took them from their senders.
type Traffic struct {
	Class   string `json:"class"`
	Service string `json:"service"`
	// Asked counts all of them, and Returning those of callers that had sent them
	// before and were refused or had no answer.
	Asked     int `json:"asked"`
	Returning int `json:"returning,omitempty"`
	// InTarget and Late are answered within the target of the route, and later,
	// counted from the caller's first send.
	InTarget int `json:"in-target,omitempty"`
	Late     int `json:"late,omitempty"`
	// Throttled, Failing and Refused have not run: refused by the share of their
	// route, by its failures, and for any other reason.
	Throttled int `json:"throttled,omitempty"`
	Failing   int `json:"failing,omitempty"`
	Refused   int `json:"refused-otherwise,omitempty"`
	// Broken ended with a failing answer or none, and Left by their callers.
	Broken int `json:"broken,omitempty"`
	Left   int `json:"left,omitempty"`
	// ReturnRefused counts the refused that had come back already.
	ReturnRefused int `json:"returning-refused,omitempty"`
	// TooLate counts those that were told to return after their target.
	TooLate int `json:"told-to-return-late,omitempty"`
	// MeanShare is the mean share that was admitted, in percent.
	MeanShare int `json:"mean-share-percent,omitempty"`
	// NeedsMS is the slot time that a request takes of each service, in
	// milliseconds.
	NeedsMS map[string]int64 `json:"needs-ms,omitempty"`
	// Calls is the number of calls that a request makes of each service over its tree.
	Calls map[string]float64 `json:"calls-of,omitempty"`
	// ThroughPercent is the part of the first sends that came through lately, as
	// estimated from tries, and YieldPercent that of the admitted requests.
	ThroughPercent int `json:"first-sends-through-percent,omitempty"`
	YieldPercent   int `json:"yield-percent,omitempty"`
}

// Usage says how the slots of the upstream beside the node were used.
type Usage struct {
	Service string `json:"service"`
	// MeanSlots is the number of attempts that could run at once, MeanRunning of
	// those that ran, and MeanWaiting of those that waited, over the second.
	MeanSlots   float64 `json:"mean-slots"`
	MeanRunning float64 `json:"mean-running"`
	MeanWaiting float64 `json:"mean-waiting"`
	// Started counts the attempts that began to run, and Rejected those refused.
	Started  int `json:"started"`
	Rejected int `json:"rejected,omitempty"`
	// Spoilt counts the attempts that ran and brought no answer of use, and
	// SpoiltMS the slot time that they took.
	Spoilt   int   `json:"spoilt,omitempty"`
	SpoiltMS int64 `json:"spoilt-ms,omitempty"`
	// Wanted is the number of slots that the arrivals at all entries would take,
	// and RoomPercent what was given to them, relative to the slots.
	Wanted      float64 `json:"wanted-slots,omitempty"`
	RoomPercent int     `json:"room-percent,omitempty"`
	// LagMS is the time by which the timer of the summary was late. Timers run
	// before goroutines that wait, so that it does not show a queue of those.
	LagMS int64 `json:"lag-ms"`
	// TurnaroundMeanUS and TurnaroundMostUS are the mean and the longest time from
	// the end of an attempt until its slot was free for another one, and from the
	// decision to start one until it was sent, in microseconds.
	TurnaroundMeanUS int64 `json:"turnaround-mean-us"`
	TurnaroundMostUS int64 `json:"turnaround-most-us"`
	// Calls tells the started attempts apart by kind, in the order in which they
	// were first seen in the second.
	Calls []KindUsage `json:"calls,omitempty"`
}

// KindUsage says how attempts of one kind used the slots.
type KindUsage struct {
	// Class is the kind, or empty for those that are summed up and those without one.
	Class string `json:"class"`
	// Started counts the attempts that began to run, and SlotUS is the mean time for
	// which one took its slot, in microseconds.
	Started int   `json:"started"`
	SlotUS  int64 `json:"slot-us"`
}

// Process says what the process took of its machine, and how long others took to
// answer it.
type Process struct {
	// ProcessorMS is the processor time of the process, and CollectorMS that of
	// its collector in the cycles that ended, of which there were Collections.
	ProcessorMS int64  `json:"processor-ms"`
	CollectorMS int64  `json:"collector-ms"`
	Collections uint64 `json:"collections"`
	// RunWaitMeanUS and RunWaitHighUS are the mean time that goroutines waited to
	// run, and the one that 1 in 100 exceeded, in microseconds.
	RunWaitMeanUS int64 `json:"run-wait-mean-us"`
	RunWaitHighUS int64 `json:"run-wait-high-us"`
	// HeapKB is the size of the objects on the heap.
	HeapKB     uint64 `json:"heap-kb"`
	Goroutines uint64 `json:"goroutines"`
	// TransitMeanUS is the mean time that attempts and their answers took between
	// this node and others, and Slowest the VM with the longest mean, SlowestUS.
	TransitMeanUS int64  `json:"transit-mean-us"`
	Slowest       string `json:"slowest-vm,omitempty"`
	SlowestUS     int64  `json:"slowest-mean-us,omitempty"`
}

func (Traffic) kind() Kind { return Requests }
func (Usage) kind() Kind   { return Slots }
func (Process) kind() Kind { return Processes }

// Heading begins the line of a summary.
type Heading struct {
	Time string `json:"timestamp"`
	Node string `json:"vm"`
	Kind Kind   `json:"event"`
}

type trafficLine struct {
	Heading
	Traffic
}

type usageLine struct {
	Heading
	Usage
}

type processLine struct {
	Heading
	Process
}

func (trafficLine) line() {}
func (usageLine) line()   {}
func (processLine) line() {}

// Summarize writes a summary. It is not folded: the sender bounds the rate.
func (lg *Log) Summarize(now time.Time, sm Summary) {
	if lg == nil {
		return
	}
	hd := Heading{Time: stamp(now), Node: lg.node, Kind: sm.kind()}
	switch sm := sm.(type) {
	case Traffic:
		lg.offerLine(trafficLine{hd, sm})
	case Usage:
		lg.offerLine(usageLine{hd, sm})
	case Process:
		lg.offerLine(processLine{hd, sm})
	}
}

func (lg *Log) offerLine(ln line) {
	if !lg.lines.Offer(ln) {
		lg.dropped.Add(1)
	}
}
