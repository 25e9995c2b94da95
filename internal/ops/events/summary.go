package events

import "time"

// Kinds of summaries.
const (
	// RequestSummary summarizes the results of the requests of one route in a second.
	RequestSummary Kind = "requests"
	// SlotSummary summarizes the use of the upstream beside the node in a second.
	SlotSummary Kind = "slots"
	// ProcessSummary summarizes the resource usage of the process in a second.
	ProcessSummary Kind = "process"
)

// Summary is the content of a summary: Traffic, SlotUsage or ProcessUsage.
type Summary interface{ kind() Kind }

// Traffic counts the requests of one route that ended within a second, by result, at the
// node that received them.
type Traffic struct {
	Class   string `json:"class"`
	Service string `json:"service"`
	// Total counts all requests, and Returning those of callers that had sent them before
	// and were refused or got no answer.
	Total     int `json:"asked"`
	Returning int `json:"returning,omitempty"`
	// Calls counts the requests that were taken for calls of the upstream, which are not
	// throttled.
	Calls int `json:"calls,omitempty"`
	// InTarget and Late count requests that were answered within the latency target of the
	// route and after it, counted from the first send of the caller.
	InTarget int `json:"in-target,omitempty"`
	Late     int `json:"late,omitempty"`
	// Throttled, RefusedForFailures and Refused count requests that did not run: refused
	// by the share of their route, by the failures of the route, and for another reason.
	Throttled          int `json:"throttled,omitempty"`
	RefusedForFailures int `json:"failing,omitempty"`
	Refused            int `json:"refused-otherwise,omitempty"`
	// Failed counts requests that ended with a failing answer or none, and CallerLeft those
	// that their callers gave up.
	Failed     int `json:"broken,omitempty"`
	CallerLeft int `json:"left,omitempty"`
	// Admitted counts the requests of callers that the throttle admitted, and Blocking those
	// that it refused in favor of others of the class, as requests behind them would have
	// waited past their deadlines. Losses counts the admitted ones that were not answered
	// within their target, by reason.
	Admitted int            `json:"admitted,omitempty"`
	Blocking int            `json:"blocking,omitempty"`
	Losses   map[string]int `json:"losses,omitempty"`
	// ReturningRefused counts the returning requests that did not run.
	ReturningRefused int `json:"returning-refused,omitempty"`
	// RetryTooLate counts requests that did not run and may be retried only after their
	// target.
	RetryTooLate int `json:"told-to-return-late,omitempty"`
	// MeanSharePercent is the mean admitted share, in percent.
	MeanSharePercent int `json:"mean-share-percent,omitempty"`
	// SlotTimeMS is the time for which a request occupies slots of each service, in
	// milliseconds.
	SlotTimeMS map[string]int64 `json:"needs-ms,omitempty"`
	// CallsPerRequest is the fan-out of a request over its call tree, for each service.
	CallsPerRequest map[string]float64 `json:"calls-of,omitempty"`
	// ServedPercent is the estimated part of the recent first sends that succeeded, and
	// SuccessPercent the part of the admitted requests that succeeded, in percent.
	ServedPercent  int `json:"first-sends-through-percent,omitempty"`
	SuccessPercent int `json:"yield-percent,omitempty"`
	// MinimumWanted is the number of requests per second that are to succeed whatever more
	// important ones demand, and Granted the number per second that the guards let the entry
	// admit. What is received is InTarget and Late.
	MinimumWanted float64 `json:"minimum-wanted,omitempty"`
	Granted       float64 `json:"granted,omitempty"`
	// GrantedPercent and GrantedLatePercent are the shares that guards let the entry admit, of
	// the requests that can be answered within their target and of the others, and OwnPercent
	// the share that the entry applies while no guard does, all in percent.
	GrantedPercent     int `json:"granted-percent,omitempty"`
	GrantedLatePercent int `json:"granted-late-percent,omitempty"`
	OwnPercent         int `json:"own-percent,omitempty"`
	// AdmittedBy and RefusedBy count the requests of callers by the rule that decided on them.
	AdmittedBy map[string]int `json:"admitted-by,omitempty"`
	RefusedBy  map[string]int `json:"refused-by,omitempty"`
	// MeanMS is the mean duration of the requests that succeeded, in milliseconds.
	MeanMS int64 `json:"mean-ms,omitempty"`
}

// SlotUsage summarizes how the slots of the upstream beside the node were used in a second.
type SlotUsage struct {
	Service string `json:"service"`
	// MeanSlots is the mean concurrency limit, MeanRunning the mean number of attempts that
	// ran, and MeanWaiting the mean number of attempts that waited.
	MeanSlots   float64 `json:"mean-slots"`
	MeanRunning float64 `json:"mean-running"`
	MeanWaiting float64 `json:"mean-waiting"`
	// Started counts the attempts that began to run, and Rejected those that were refused.
	Started  int `json:"started"`
	Rejected int `json:"rejected,omitempty"`
	// Failed counts the attempts that ran without a usable answer, and FailedMS is the slot
	// time that they took, in milliseconds.
	Failed   int   `json:"spoilt,omitempty"`
	FailedMS int64 `json:"spoilt-ms,omitempty"`
	// DemandSlots is the number of slots for the demand of all entries, and AllocatedPercent
	// the part that was allocated to them, in percent of the slots.
	DemandSlots      float64 `json:"wanted-slots,omitempty"`
	AllocatedPercent int     `json:"room-percent,omitempty"`
	// Ranks lists what was demanded and granted at the last allocation, by rank.
	Ranks []RankUsage `json:"ranks,omitempty"`
	// LagMS is the delay of the timer of the summary, in milliseconds. The runtime runs
	// timers before waiting goroutines, so this delay does not show how long those wait.
	LagMS int64 `json:"lag-ms"`
	// TurnaroundMeanUS is the mean turnaround of a slot, in microseconds: the time from the
	// end of an attempt until its slot is free, plus the time from the decision to start the
	// next attempt until it is sent. TurnaroundMaxUS is the sum of the longest of each.
	TurnaroundMeanUS int64 `json:"turnaround-mean-us"`
	TurnaroundMaxUS  int64 `json:"turnaround-most-us"`
	// ByKind splits the started attempts by kind, in the order in which kinds were first
	// seen in the second.
	ByKind []KindUsage `json:"calls,omitempty"`
}

// RankUsage is what the requests of one rank demanded of the upstream, and what it granted.
type RankUsage struct {
	Rank string `json:"rank"`
	// Slots is the number of slots that all requests would take, and SharePercent the part of
	// the requests that may be admitted, in percent.
	Slots        float64 `json:"slots"`
	SharePercent int     `json:"share-percent"`
	// Successes is the number of requests per second that would succeed, and FirstSends the
	// number of first sends per second.
	Successes  float64 `json:"successes,omitempty"`
	FirstSends float64 `json:"first-sends,omitempty"`
}

// KindUsage summarizes how the attempts of one kind used the slots.
type KindUsage struct {
	// Class is the kind. It is empty for the sum of the kinds that are not listed, and for
	// attempts without a kind.
	Class string `json:"class"`
	// Started counts the attempts that began to run, and MeanSlotUS is the mean time for
	// which one occupied its slot, in microseconds.
	Started    int   `json:"started"`
	MeanSlotUS int64 `json:"slot-us"`
}

// ProcessUsage summarizes the resources that the process used in a second, and the transit
// times to other nodes.
type ProcessUsage struct {
	// ProcessorMS is the processor time of the process, and CollectorMS that of the garbage
	// collector in the cycles that ended, in milliseconds. Collections is the number of
	// these cycles.
	ProcessorMS int64  `json:"processor-ms"`
	CollectorMS int64  `json:"collector-ms"`
	Collections uint64 `json:"collections"`
	// RunWaitMeanUS and RunWaitP99US are the mean and the 99th percentile of the time for
	// which goroutines waited to run, in microseconds.
	RunWaitMeanUS int64 `json:"run-wait-mean-us"`
	RunWaitP99US  int64 `json:"run-wait-high-us"`
	// HeapKB is the size of the objects on the heap, in KiB.
	HeapKB     uint64 `json:"heap-kb"`
	Goroutines uint64 `json:"goroutines"`
	// TransitMeanUS is the mean time that attempts and their answers spent between this node
	// and others. SlowestVM is the VM with the longest mean, and SlowestMeanUS that mean.
	// Both times are in microseconds.
	TransitMeanUS int64  `json:"transit-mean-us"`
	SlowestVM     string `json:"slowest-vm,omitempty"`
	SlowestMeanUS int64  `json:"slowest-mean-us,omitempty"`
}

func (Traffic) kind() Kind      { return RequestSummary }
func (SlotUsage) kind() Kind    { return SlotSummary }
func (ProcessUsage) kind() Kind { return ProcessSummary }

// SummaryHeader holds the first fields of the line of a summary.
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

// Summarize logs a summary. Summaries are never folded: callers write one in a second.
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

// enqueue adds a line to the queue. If the queue is full, the line is dropped and counted.
func (lg *Log) enqueue(ln line) {
	if !lg.lines.Offer(ln) {
		lg.dropped.Add(1)
	}
}
