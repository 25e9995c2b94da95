package allowance

import "time"

const (
	// queryInterval is the mean interval of queries that are sent for waiting requests, and
	// queryGap the least time between two of them. After a pause up to queryBurst are sent at that
	// gap, as the nodes on the way to the leader may have to ask one after the other.
	queryInterval = 5 * time.Millisecond
	queryGap      = 2 * time.Millisecond
	queryBurst    = 4
	// ownInterval is the usual time after which a node asks again for its own waiting requests.
	// With 2 ms it asks more often, and tokens of nodes farther up are hardly there before.
	ownInterval = 4 * time.Millisecond
	// ownTries is the number of times that a request with a short wait asks again at least.
	ownTries = 6
)

// AskAgain returns the time after which the node asks again for a request that may wait for the
// given time, and asked tries times again so far.
func AskAgain(wait time.Duration, tries int) time.Duration {
	switch {
	case tries == 0:
		return queryGap // the parent often has its answer by then
	case tries > ownTries:
		return 2 * queryInterval
	}
	return max(queryGap, min(ownInterval, wait/ownTries))
}

// Pace bounds the queries that a node sends to its parent for waiting requests.
type Pace struct {
	sent time.Time
	// due is the time at which the next query could be sent if they had a fixed interval.
	due time.Time
}

// Next returns the time until the next query may be sent.
func (pa *Pace) Next(now time.Time) time.Duration {
	return max(0, pa.sent.Add(queryGap).Sub(now), pa.due.Add(-(queryBurst-1)*queryInterval).Sub(now))
}

// Sent notes that a query was sent.
func (pa *Pace) Sent(now time.Time) {
	pa.sent = now
	if pa.due.Before(now) {
		pa.due = now
	}
	pa.due = pa.due.Add(queryInterval)
}
