package measure

import "time"

// SpreadFigures are what the scenario spread showed with one count of nodes.
// Figures of a node are those of the process over the count, without what the
// control replicas took when they ran at rest alone. They hold the stand-in
// upstreams, the measuring, and what nodes cause at the control replicas.
type SpreadFigures struct {
	Scenario string `json:"scenario"`
	Nodes    int    `json:"nodes"`
	Changes  int    `json:"changes"`
	Drains   int    `json:"drains"`
	// JoinMS is the time from the start of the nodes that were added until
	// every node knows the upstreams of all others.
	JoinMS float64 `json:"join-ms"`
	// InForceP50MS and InForceP100MS are times from the accepted answer until
	// the last node has the revision in force.
	InForceP50MS  float64 `json:"in-force-p50-ms"`
	InForceP100MS float64 `json:"in-force-p100-ms"`
	// DrainP100MS is the longest time from the request until the routing of
	// the last other node knows. DrainUnaware counts other nodes, and
	// DrainOwnUnaware nodes beside the upstream, that do not know within 2 s,
	// over all drains.
	DrainP100MS     float64 `json:"drain-p100-ms"`
	DrainUnaware    int     `json:"drain-unaware"`
	DrainOwnUnaware int     `json:"drain-own-unaware"`
	// UDPIdle and TCPRest are bytes sent by a node in a second without
	// changes, UDPChange and TCPChange those that one change adds. UDP
	// counts with 28 bytes of headers for each datagram, TCP without headers.
	UDPIdle   float64 `json:"udp-bytes-per-node-s-rest"`
	TCPIdle   float64 `json:"tcp-bytes-per-node-s-rest"`
	UDPChange float64 `json:"udp-bytes-per-node-change"`
	TCPChange float64 `json:"tcp-bytes-per-node-change"`
	// BytesPerSecond is worked out from the four above for the changes of the size to
	// design for.
	BytesPerSecond float64 `json:"bytes-per-node-s"`
	// CPUIdle is the share of one core, CPUChangeMS the processor time that
	// one change adds, and CPU worked out as Bytes.
	CPUIdle     float64 `json:"cpu-share-per-node-rest"`
	CPUChangeMS float64 `json:"cpu-ms-per-node-change"`
	CPU         float64 `json:"cpu-share-per-node"`
	HeapMB      float64 `json:"heap-mb-per-node"`
	// ControlCPU and AloneHeapMB are the control replicas at rest alone.
	ControlCPU    float64 `json:"control-replicas-cpu-share"`
	ControlHeapMB float64 `json:"control-replicas-heap-mb"`
}

const (
	bytesPerMB    = 1e6
	changesPerSec = designChangesPerDay / (24 * 3600.0)
)

func (sa *spreadSample) figures(nodes int, alone spreadRest) SpreadFigures {
	perNode := 1 / float64(nodes)
	rest, alonePart := sa.rest.rates(), alone.rates()
	change := sa.changes.added(rest).over(float64(sa.count) * float64(nodes))
	fg := SpreadFigures{
		Scenario: spreadScenario, Nodes: nodes, Changes: sa.count, Drains: len(sa.drains),
		InForceP50MS: milliseconds(quantileOf(sa.inForce, p50)), InForceP100MS: milliseconds(quantileOf(sa.inForce, 1)),
		DrainP100MS: milliseconds(quantileOf(sa.drains, 1)), DrainUnaware: sa.unaware, DrainOwnUnaware: sa.ownUnaware,
		UDPIdle: round(rest.udp * perNode), TCPIdle: round(rest.tcp * perNode),
		UDPChange: round(change.udp), TCPChange: round(change.tcp),
		CPUIdle:     round6((rest.processor - alonePart.processor) * perNode),
		CPUChangeMS: round(change.processor * float64(time.Second/time.Millisecond)),
		HeapMB:      round((float64(sa.rest.heap) - float64(alone.heap)) / bytesPerMB * perNode),
		ControlCPU:  round(alonePart.processor), ControlHeapMB: round(float64(alone.heap) / bytesPerMB),
	}
	fg.BytesPerSecond = round(fg.UDPIdle + fg.TCPIdle + changesPerSec*(fg.UDPChange+fg.TCPChange))
	fg.CPU = round6(fg.CPUIdle + changesPerSec*change.processor)
	return fg
}

// amounts are bytes and seconds of processor time, or their rates.
type amounts struct{ udp, tcp, processor float64 }

func (us use) amounts() amounts {
	return amounts{udp: float64(us.sent.udp), tcp: float64(us.sent.tcp), processor: us.processor.Seconds()}
}

// rates returns the amounts in a second.
func (us use) rates() amounts { return us.amounts().over(us.length.Seconds()) }

// added returns what was used beyond the rates of rest.
func (us use) added(rest amounts) amounts {
	am, seconds := us.amounts(), us.length.Seconds()
	return amounts{
		udp: am.udp - rest.udp*seconds, tcp: am.tcp - rest.tcp*seconds,
		processor: am.processor - rest.processor*seconds,
	}
}

func (am amounts) over(parts float64) amounts {
	return amounts{udp: am.udp / parts, tcp: am.tcp / parts, processor: am.processor / parts}
}

// SpreadFit are the lines of least squares through the figures.
type SpreadFit struct {
	Scenario string `json:"scenario"`
	// Nodes is the count for which values are worked out.
	Nodes int                   `json:"worked-out-for-nodes"`
	Lines map[string]SpreadLine `json:"lines"`
}

// SpreadLine is the line through one figure.
type SpreadLine struct {
	SlopePerNode float64 `json:"slope-per-node"`
	Intercept    float64 `json:"base"`
	Value        float64 `json:"value"`
}

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
		var at, values []float64
		for _, fg := range all {
			at, values = append(at, float64(fg.Nodes)), append(values, figure(fg))
		}
		tr := fit(at, values)
		ft.Lines[name] = SpreadLine{SlopePerNode: round6(tr.slope), Intercept: round6(tr.base), Value: round6(tr.value(designNodes))}
	}
	return ft
}
