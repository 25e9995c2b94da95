package events

import "time"

// Kinds of summaries.
const (
	// RequestSummary sums up what became of the requests of one route in a second.
	RequestSummary Kind = "requests"
	// SlotSummary sums up the use of the upstream beside the node in a second.
	SlotSummary Kind = "slots"
	// ProcessSummary sums up what the process took of its machine in a second.
	ProcessSummary Kind = "process"
)

// Summary is what a process sums up each second: Traffic, Usage or Process.
type Summary interface{ kind() Kind }

// Traffic says what became of the requests of one route that ended within a
// second, at the node that took them from their senders.
type Traffic struct {
	Class   string `json:"class"`
	Service string `json:"service"`
	// Total counts all of them, and Returning those of callers that had sent them
	// before and were refused or had no answer.
	Total     int `json:"asked"`
	Returning int `json:"returning,omitempty"`
	// InTarget and Late are answered within the target of the route, and later,
	// counted from the caller's first send.
	InTarget int `json:"in-target,omitempty"`
	Late     int `json:"late,omitempty"`
	// Throttled, Failing and Refused have not run: refused by the share of their
	// route, by its failures, and for any other reason.
	Throttled int `json:"throttled,omitempty"`
	RefusedForFailures   int `json:"failing,omitempty"`
	Refused   int `json:"refused-otherwise,omitempty"`
	// Failed ended with a failing answer or none, and Left by their callers.
	Failed int `json:"broken,omitempty"`
	CallerLeft   int `json:"left,omitempty"`
	// ReturningRefused counts the refused that had come back already.
	ReturningRefused int `json:"returning-refused,omitempty"`
	// RetryTooLate counts those that were told to return after their target.
	RetryTooLate int `json:"told-to-return-late,omitempty"`
	// MeanSharePercent is the mean share that was admitted, in percent.
	MeanSharePercent int `json:"mean-share-percent,omitempty"`
	// SlotTimeMS is the slot time that a request takes of each service, in
	// milliseconds.
	SlotTimeMS map[string]int64 `json:"needs-ms,omitempty"`
	// CallsPerRequest is the number of calls that a request makes of each service over its tree.
	CallsPerRequest map[string]float64 `json:"calls-of,omitempty"`
	// ServedPercent is the part of the first sends that came through lately, as
	// estimated from tries, and YieldPercent that of the admitted requests.
	ServedPercent int `json:"first-sends-through-percent,omitempty"`
	SuccessPercent   int `json:"yield-percent,omitempty"`
}

// SlotUsage says how the slots of the upstream beside the node were used.
type SlotUsage struct {
	Service string `json:"service"`
	// MeanSlots is the number of attempts that could run at once, MeanRunning of
	// those that ran, and MeanWaiting of those that waited, over the second.
	MeanSlots   float64 `json:"mean-slots"`
	MeanRunning float64 `json:"mean-running"`
	MeanWaiting float64 `json:"mean-waiting"`
	// Started counts the attempts that began to run, and Rejected those refused.
	Started  int `json:"started"`
	Rejected int `json:"rejected,omitempty"`
	// Failed counts the attempts that ran and brought no answer of use, and
	// SpoiltMS the slot time that they took.
	Failed   int   `json:"spoilt,omitempty"`
	FailedMS int64 `json:"spoilt-ms,omitempty"`
	// DemandSlots is the number of slots that the arrivals at all entries would take,
	// and RoomPercent what was given to them, relative to the slots.
	DemandSlots      float64 `json:"wanted-slots,omitempty"`
	AllocatedPercent int     `json:"room-percent,omitempty"`
	// LagMS is the time by which the timer of the summary was late. Timers run
	// before goroutines that wait, so that it does not show a queue of those.
	LagMS int64 `json:"lag-ms"`
	// TurnaroundMeanUS and TurnaroundMostUS are the mean and the longest time from
	// the end of an attempt until its slot was free for another one, and from the
	// decision to start one until it was sent, in microseconds.
	TurnaroundMeanUS int64 `json:"turnaround-mean-us"`
	TurnaroundMaxUS int64 `json:"turnaround-most-us"`
	// ByKind tells the started attempts apart by kind, in the order in which they
	// were first seen in the second.
	ByKind []KindUsage `json:"calls,omitempty"`
}

// KindUsage says how attempts of one kind used the slots.
type KindUsage struct {
	// Class is the kind, or empty for those that are summed up and those without one.
	Class string `json:"class"`
	// Started counts the attempts that began to run, and SlotUS is the mean time for
	// which one took its slot, in microseconds.
	Started int   `json:"started"`
	MeanSlotUS  int64 `json:"slot-us"`
}

// ProcessUsage says what the process took of its machine, and how long others took to
// answer it.
type ProcessUsage struct {
	// ProcessorMS is the processor time of the process, and CollectorMS that of
	// its collector in the cycles that ended, of which there were Collections.
	ProcessorMS int64  `json:"processor-ms"`
	CollectorMS int64  `json:"collector-ms"`
	Collections uint64 `json:"collections"`
	// RunWaitMeanUS and RunWaitHighUS are the mean time that goroutines waited to
	// run, and the one that 1 in 100 exceeded, in microseconds.
	RunWaitMeanUS int64 `json:"run-wait-mean-us"`
	RunWaitP99US int64 `json:"run-wait-high-us"`
	// HeapKB is the size of the objects on the heap.
	HeapKB     uint64 `json:"heap-kb"`
	Goroutines uint64 `json:"goroutines"`
	// TransitMeanUS is the mean time that attempts and their answers took between
	// this node and others, and Slowest the VM with the longest mean, SlowestUS.
	TransitMeanUS int64  `json:"transit-mean-us"`
	SlowestVM       string `json:"slowest-vm,omitempty"`
	SlowestMeanUS     int64  `json:"slowest-mean-us,omitempty"`
}

func (Traffic) kind() Kind { return RequestSummary }
func (SlotUsage) kind() Kind   { return SlotSummary }
func (ProcessUsage) kind() Kind { return ProcessSummary }

// SummaryHeader begins the line of a summary.
type SummaryHeader struct {
	Time string `json:"timestamp"`
	Node string `json:"vm"`
	Kind Kind   `json:"event"`
}

type trafficLine struct {
	SummaryHeader
	Traffic
}

type usageLine struct {
	SummaryHeader
	SlotUsage
}

type processLine struct {
	SummaryHeader
	ProcessUsage
}

func (trafficLine) line() {}
func (usageLine) line()   {}
func (processLine) line() {}

// Summarize writes a summary. It is not folded: the sender bounds the rate.
func (lg *Log) Summarize(now time.Time, sm Summary) {
	if lg == nil {
		return
	}
	hd := SummaryHeader{Time: timestamp(now), Node: lg.node, Kind: sm.kind()}
	switch sm := sm.(type) {
	case Traffic:
		lg.enqueue(trafficLine{hd, sm})
	case SlotUsage:
		lg.enqueue(usageLine{hd, sm})
	case ProcessUsage:
		lg.enqueue(processLine{hd, sm})
	}
}

func (lg *Log) enqueue(ln line) {
	if !lg.lines.Offer(ln) {
		lg.dropped.Add(1)
	}
}
