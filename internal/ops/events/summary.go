package events

import "time"

// Kinds of summaries.
const (
	// Requests sums up what became of the requests of one route in a second.
	Requests Kind = "requests"
	// Slots sums up the use of the upstream beside the node in a second.
	Slots Kind = "slots"
)

// Summary is what a process sums up each second: Traffic or Usage.
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
	// LagMS is the time by which the timer of the summary was late: the delay of
	// the process itself.
	LagMS int64 `json:"lag-ms"`
}

func (Traffic) kind() Kind { return Requests }
func (Usage) kind() Kind   { return Slots }

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

func (trafficLine) line() {}
func (usageLine) line()   {}

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
	}
}

func (lg *Log) offerLine(ln line) {
	if !lg.lines.Offer(ln) {
		lg.dropped.Add(1)
	}
}
