package gossip

import (
	"github.com/VictoriaMetrics/metrics"

	"camphortrail/membership"
)

// counters are the counters of this package. Those of the state machine are read from it.
type counters struct {
	bytesReceived   *metrics.Counter
	bytesSent       *metrics.Counter
	refusedEncoding *metrics.Counter
	refusedFull     *metrics.Counter
	readErrors      *metrics.Counter
	sendErrors      *metrics.Counter
	hintsDropped    *metrics.Counter
}

// registerMetrics creates the metrics in set, or in a new set if it is nil.
func (gs *Gossip) registerMetrics(set *metrics.Set) {
	if set == nil {
		set = metrics.NewSet()
	}
	gs.counters = counters{
		bytesReceived:   set.NewCounter("camphortrail_gossip_received_bytes_total"),
		bytesSent:       set.NewCounter("camphortrail_gossip_sent_bytes_total"),
		refusedEncoding: set.NewCounter(`camphortrail_gossip_refused_total{reason="encoding"}`),
		refusedFull:     set.NewCounter(`camphortrail_gossip_refused_total{reason="inbox-full"}`),
		readErrors:      set.NewCounter("camphortrail_gossip_read_errors_total"),
		sendErrors:      set.NewCounter("camphortrail_gossip_send_errors_total"),
		hintsDropped:    set.NewCounter("camphortrail_gossip_hints_dropped_total"),
	}
	for name, value := range map[string]func(ct membership.Counters) uint64{
		`camphortrail_gossip_refused_total{reason="deployment"}`: func(ct membership.Counters) uint64 { return ct.RefusedDeployment },
		`camphortrail_gossip_refused_total{reason="malformed"}`:  func(ct membership.Counters) uint64 { return ct.RefusedMalformed },
		`camphortrail_gossip_refused_total{reason="record"}`:     func(ct membership.Counters) uint64 { return ct.RefusedRecords },
		`camphortrail_gossip_refused_total{reason="target"}`:     func(ct membership.Counters) uint64 { return ct.RefusedTarget },
		`camphortrail_gossip_refused_total{reason="table-full"}`: func(ct membership.Counters) uint64 { return ct.RefusedTableFull },
		"camphortrail_gossip_suspicions_total":                   func(ct membership.Counters) uint64 { return ct.Suspicions },
		"camphortrail_gossip_refutations_total":                  func(ct membership.Counters) uint64 { return ct.Refutations },
		"camphortrail_gossip_conflicts_total":                    func(ct membership.Counters) uint64 { return ct.Conflicts },
	} {
		set.NewGauge(name, func() float64 { return float64(value(gs.machineCounters())) })
	}
	for state := membership.Alive; state <= membership.Left; state++ {
		set.NewGauge(`camphortrail_gossip_members{state="`+state.String()+`"}`, func() float64 {
			return float64(gs.countMembers(state))
		})
	}
}

// machineCounters returns the counters of the state machine.
func (gs *Gossip) machineCounters() membership.Counters {
	gs.mu.Lock()
	defer gs.mu.Unlock()
	return gs.machine.Counters()
}

// countMembers returns the number of members in a state.
func (gs *Gossip) countMembers(state membership.State) int {
	n := 0
	for _, mb := range gs.Members() {
		if mb.State == state {
			n++
		}
	}
	return n
}
