package measure

import "time"

// SpreadFigures holds the results of the scenario spread for one number of nodes. Figures
// of a node are those of the whole process, minus those of the control replicas without
// nodes, divided by the number of nodes. They include the stand-in upstreams, the
// measurement itself, and the load that nodes cause on the control replicas.
type SpreadFigures struct {
	Scenario string `json:"scenario"`
	Nodes    int    `json:"nodes"`
	Changes  int    `json:"changes"`
	Drains   int    `json:"drains"`
	// JoinMS is the time from the start of the added nodes until every node knows the
	// upstreams of all other nodes.
	JoinMS float64 `json:"join-ms"`
	// InForceP50MS and InForceP100MS are times from the accepted answer until the last node
	// has the revision in force.
	InForceP50MS  float64 `json:"in-force-p50-ms"`
	InForceP100MS float64 `json:"in-force-p100-ms"`
	// DrainP100MS is the longest time from a drain request until the routing of the last
	// other node avoids the upstream. DrainUnaware counts the other nodes, and
	// DrainOwnUnaware the nodes beside a drained upstream, that do not avoid it within 2 s,
	// summed over all drains.
	DrainP100MS     float64 `json:"drain-p100-ms"`
	DrainUnaware    int     `json:"drain-unaware"`
	DrainOwnUnaware int     `json:"drain-own-unaware"`
	// UDPIdle and TCPIdle are the bytes that a node sends per second without changes.
	// UDPChange and TCPChange are the bytes that one change adds for each node. UDP includes
	// 28 bytes of headers for each datagram, TCP excludes headers.
	UDPIdle   float64 `json:"udp-bytes-per-node-s-rest"`
	TCPIdle   float64 `json:"tcp-bytes-per-node-s-rest"`
	UDPChange float64 `json:"udp-bytes-per-node-change"`
	TCPChange float64 `json:"tcp-bytes-per-node-change"`
	// BytesPerSecond is computed from these four for designChangesPerDay changes per day.
	BytesPerSecond float64 `json:"bytes-per-node-s"`
	// CPUIdle is the share of one core without changes, and CPUChangeMS the processor time
	// that one change adds for each node. CPU is computed from both for designChangesPerDay
	// changes per day.
	CPUIdle     float64 `json:"cpu-share-per-node-rest"`
	CPUChangeMS float64 `json:"cpu-ms-per-node-change"`
	CPU         float64 `json:"cpu-share-per-node"`
	HeapMB      float64 `json:"heap-mb-per-node"`
	// ControlCPU and ControlHeapMB are the figures of the control replicas without nodes and
	// changes.
	ControlCPU    float64 `json:"control-replicas-cpu-share"`
	ControlHeapMB float64 `json:"control-replicas-heap-mb"`
}

const (
	bytesPerMB    = 1e6
	changesPerSec = designChangesPerDay / (24 * 3600.0)
)

// figures computes the figures of a number of nodes, without JoinMS. controls is the
// measurement of the control replicas without nodes.
func (sa *spreadSample) figures(nodes int, controls idleUse) SpreadFigures {
	perNode := 1 / float64(nodes)
	idle, controlRates := sa.idle.rates(), controls.rates()
	change := sa.changeUse.above(idle).dividedBy(float64(sa.changeCount) * float64(nodes))
	fg := SpreadFigures{
		Scenario: spreadScenario, Nodes: nodes, Changes: sa.changeCount, Drains: len(sa.drains),
		InForceP50MS: milliseconds(quantileOf(sa.inForce, p50)), InForceP100MS: milliseconds(quantileOf(sa.inForce, 1)),
		DrainP100MS: milliseconds(quantileOf(sa.drains, 1)), DrainUnaware: sa.unaware, DrainOwnUnaware: sa.ownUnaware,
		UDPIdle: roundTo4(idle.udp * perNode), TCPIdle: roundTo4(idle.tcp * perNode),
		UDPChange: roundTo4(change.udp), TCPChange: roundTo4(change.tcp),
		CPUIdle:     roundTo6((idle.processor - controlRates.processor) * perNode),
		CPUChangeMS: roundTo4(change.processor * float64(time.Second/time.Millisecond)),
		HeapMB:      roundTo4((float64(sa.idle.heap) - float64(controls.heap)) / bytesPerMB * perNode),
		ControlCPU:  roundTo4(controlRates.processor), ControlHeapMB: roundTo4(float64(controls.heap) / bytesPerMB),
	}
	fg.BytesPerSecond = roundTo4(fg.UDPIdle + fg.TCPIdle + changesPerSec*(fg.UDPChange+fg.TCPChange))
	fg.CPU = roundTo6(fg.CPUIdle + changesPerSec*change.processor)
	return fg
}

// amounts holds bytes sent and seconds of processor time, in total, per second or per
// change.
type amounts struct{ udp, tcp, processor float64 }

// amounts returns the total amounts.
func (ru resourceUse) amounts() amounts {
	return amounts{udp: float64(ru.sent.udp), tcp: float64(ru.sent.tcp), processor: ru.processor.Seconds()}
}

// rates returns the amounts per second.
func (ru resourceUse) rates() amounts { return ru.amounts().dividedBy(ru.length.Seconds()) }

// above returns the amounts in excess of the given idle rates.
func (ru resourceUse) above(idle amounts) amounts {
	am, seconds := ru.amounts(), ru.length.Seconds()
	return amounts{
		udp: am.udp - idle.udp*seconds, tcp: am.tcp - idle.tcp*seconds,
		processor: am.processor - idle.processor*seconds,
	}
}

// dividedBy returns the amounts for each of a number of parts.
func (am amounts) dividedBy(parts float64) amounts {
	return amounts{udp: am.udp / parts, tcp: am.tcp / parts, processor: am.processor / parts}
}

// SpreadFit holds the least-squares lines through the figures of all numbers of nodes.
type SpreadFit struct {
	Scenario string `json:"scenario"`
	// Nodes is the number of nodes for which the lines are extrapolated.
	Nodes int                   `json:"worked-out-for-nodes"`
	Lines map[string]SpreadLine `json:"lines"`
}

// SpreadLine is the line through one figure. Value is its value at SpreadFit.Nodes.
type SpreadLine struct {
	SlopePerNode float64 `json:"slope-per-node"`
	Intercept    float64 `json:"base"`
	Value        float64 `json:"value"`
}

// fitSpread computes a line for each figure.
func fitSpread(all []SpreadFigures) SpreadFit {
	ft := SpreadFit{Scenario: spreadScenario, Nodes: designNodes, Lines: make(map[string]SpreadLine)}
	for name, figure := range map[string]func(SpreadFigures) float64{
		"join-ms":                   func(fg SpreadFigures) float64 { return fg.JoinMS },
		"in-force-p50-ms":           func(fg SpreadFigures) float64 { return fg.InForceP50MS },
		"in-force-p100-ms":          func(fg SpreadFigures) float64 { return fg.InForceP100MS },
		"drain-p100-ms":             func(fg SpreadFigures) float64 { return fg.DrainP100MS },
		"udp-bytes-per-node-s-rest": func(fg SpreadFigures) float64 { return fg.UDPIdle },
		"tcp-bytes-per-node-s-rest": func(fg SpreadFigures) float64 { return fg.TCPIdle },
		"udp-bytes-per-node-change": func(fg SpreadFigures) float64 { return fg.UDPChange },
		"tcp-bytes-per-node-change": func(fg SpreadFigures) float64 { return fg.TCPChange },
		"bytes-per-node-s":          func(fg SpreadFigures) float64 { return fg.BytesPerSecond },
		"cpu-share-per-node":        func(fg SpreadFigures) float64 { return fg.CPU },
		"cpu-ms-per-node-change":    func(fg SpreadFigures) float64 { return fg.CPUChangeMS },
		"heap-mb-per-node":          func(fg SpreadFigures) float64 { return fg.HeapMB },
	} {
		var counts, values []float64
		for _, fg := range all {
			counts, values = append(counts, float64(fg.Nodes)), append(values, figure(fg))
		}
		rl := fitLine(counts, values)
		ft.Lines[name] = SpreadLine{SlopePerNode: roundTo6(rl.slope), Intercept: roundTo6(rl.intercept), Value: roundTo6(rl.valueAt(designNodes))}
	}
	return ft
}
