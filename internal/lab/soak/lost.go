package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"camphortrail/call"
)

// maxLostInTouch is the number of requests that machines in touch may lose.
const maxLostInTouch = 3

const (
	// termEnd is how long after a SIGTERM the rule LOST holds.
	termEnd = Grace + time.Second
	// excusedSend is how long after a SIGTERM a request may be sent whose long work may be cut.
	excusedSend = 3 * time.Second
	// lastPart is the part of the grace time in which such work may be cut.
	lastPart = Grace / 6
	// configEnd is how long after the ack of a configuration the rule LOST holds.
	configEnd = ConfigApply + time.Second
	// configRatio is how often a machine may cut requests beside a configuration, by how often it
	// does at other times.
	configRatio = 3
	// usedShare is the share of its time after which a request may be cut beside a configuration.
	usedShare = 0.7
)

// CheckLost checks the rule LOST: requests from kept connections at machines in touch, and all
// requests around planned work. The events need not be in order.
func CheckLost(events []Event, controls []call.VM) []Finding {
	hi := newHistory(events, controls)
	var findings []Finding
	var inTouch []string
	besideConfigs := make(map[call.VM][]*fate)
	for _, fa := range hi.fates {
		end, ok := hi.lossAt(fa)
		if !ok {
			continue
		}
		if fa.cut != nil && fa.Kept && fa.passedOn(end) && !fa.upstreamBrokeOff() && hi.inTouchThrough(fa, end) {
			inTouch = append(inTouch, hi.describe(fa, end))
		}
		if fa.excused(end) || anyMeets(hi.unplanned, span{fa.Begun.Add(-ContactWindow), end}) {
			continue
		}
		term, planned := hi.vm(fa.Node).lastTerm(end)
		switch {
		case planned && end.Sub(term) <= termEnd:
			if !fa.workMayBeCut(term) {
				findings = append(findings, Finding{Lost, "around a SIGTERM: " + hi.describe(fa, end)})
			}
		case fa.cut == nil:
		case hi.besideHangup(fa, end):
			findings = append(findings, Finding{Lost, "around a SIGHUP: " + hi.describe(fa, end)})
		case end.Sub(fa.Begun) < time.Duration(usedShare*float64(fa.time())):
			besideConfigs[fa.Node] = append(besideConfigs[fa.Node], fa)
		}
	}
	if len(inTouch) > maxLostInTouch {
		findings = append(findings, Finding{Lost, fmt.Sprintf("%d requests from kept connections at machines in touch: %s", len(inTouch), strings.Join(inTouch, "; "))})
	}
	return append(findings, hi.checkConfigs(besideConfigs)...)
}

// lossAt returns the moment at which a request lost its answer: its connection ended after it had
// been passed on, or later than the loss slack after its last byte; or an answer of the system's own
// took the place of that of an upstream at work. A process that resets a connection has not read
// what was sent last.
func (hi *history) lossAt(fa *fate) (Moment, bool) {
	switch {
	case fa.cut != nil && fa.passedOn(fa.cut.At):
		return fa.cut.At, true
	case fa.cut != nil:
		return fa.cut.At, !fa.Behind && !fa.cut.Reset && fa.cut.At.Sub(fa.At) > LossSlack
	case fa.brokenOff():
		return fa.answer.At, true
	}
	return 0, false
}

// excused reports whether the upstream broke off or the request had used up its time.
func (fa *fate) excused(end Moment) bool {
	return fa.upstreamBrokeOff() || end.Sub(fa.Begun) >= fa.time()
}

func (fa *fate) upstreamBrokeOff() bool {
	return slices.ContainsFunc(fa.runs, func(ru Ran) bool { return ru.BrokeOff })
}

// workMayBeCut reports whether an upstream was at work on the request in the last part of the grace
// time after a SIGTERM, and it was sent soon enough after that.
func (fa *fate) workMayBeCut(term Moment) bool {
	return fa.At.Sub(term) <= excusedSend && fa.atWork(span{term.Add(Grace - lastPart), term.Add(Grace)})
}

// inTouchThrough reports whether the machine was in touch from when it passed the request on.
func (hi *history) inTouchThrough(fa *fate, end Moment) bool {
	return hi.inTouch(fa.Node, fa.arrivals[0].At) && hi.inTouch(fa.Node, end)
}

// besideHangup reports whether a request was sent up to the apply time after a SIGHUP of its machine,
// and cut after that.
func (hi *history) besideHangup(fa *fate, end Moment) bool {
	return slices.ContainsFunc(hi.vm(fa.Node).hangups, func(hu Moment) bool { return fa.At <= hu.Add(ConfigApply) && end > hu })
}

// checkConfigs returns findings for the machines that cut requests more often beside configurations
// that may be in force than at other times.
func (hi *history) checkConfigs(cuts map[call.VM][]*fate) []Finding {
	windows := hi.configWindows()
	var within time.Duration
	for _, sp := range windows {
		within += sp.end.Sub(sp.begin)
	}
	var findings []Finding
	for name, fates := range cuts {
		var beside []string
		for _, fa := range fates {
			if anyMeets(windows, span{fa.cut.At, fa.cut.At}) {
				beside = append(beside, hi.describe(fa, fa.cut.At))
			}
		}
		others := float64(len(fates) - len(beside))
		// Compares rates without a division by a time that may be 0.
		if elsewhere := hi.end.Sub(hi.begin) - within; float64(len(beside))*elsewhere.Seconds() > configRatio*others*within.Seconds() {
			findings = append(findings, Finding{Lost, fmt.Sprintf("%d beside configurations at %s: %s", len(beside), name, strings.Join(beside, "; "))})
		}
	}
	slices.SortFunc(findings, func(a, b Finding) int { return strings.Compare(a.Text, b.Text) })
	return findings
}

// configWindows returns the spans, apart from each other, from the sending of each configuration that
// may be in force until configEnd after its ack.
func (hi *history) configWindows() []span {
	var spans []span
	for _, ch := range hi.configs {
		switch {
		case ch.acks > 0:
			spans = append(spans, span{ch.sent, min(hi.end, ch.acked.Add(configEnd))})
		case ch.refused == 0:
			spans = append(spans, span{ch.sent, hi.end})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return int(a.begin - b.begin) })
	var apart []span
	for _, sp := range spans {
		if last := len(apart) - 1; last >= 0 && sp.begin <= apart[last].end {
			apart[last].end = max(apart[last].end, sp.end)
			continue
		}
		apart = append(apart, sp)
	}
	return apart
}

// describe says what was seen of a request that lost its answer.
func (hi *history) describe(fa *fate, end Moment) string {
	text := fmt.Sprintf("%s (%s, %s) at %s, sent at %s", fa.ID, fa.Kind, fa.time(), fa.Node, fa.At)
	if fa.Behind {
		text += " behind another"
	}
	since := func(name call.VM) string {
		if te, ok := hi.vm(name).lastTerm(end); ok && end.Sub(te) <= termEnd {
			return fmt.Sprintf(", %s after the SIGTERM of %s", fa.At-te, name)
		}
		return ""
	}
	text += since(fa.Node)
	for _, ar := range fa.arrivals {
		text += fmt.Sprintf(", passed on to %s at %s", ar.Upstream, ar.At)
		if ar.Upstream != fa.Node {
			text += since(ar.Upstream)
		}
		for _, ru := range fa.runs {
			if ru.Upstream == ar.Upstream && ru.At >= ar.At && !ru.Dropped {
				text += fmt.Sprintf(", run by %s", ru.At)
				break
			}
		}
	}
	if fa.cut != nil {
		return text + fmt.Sprintf(", cut at %s, %.3f s after it was sent: %s", end, end.Sub(fa.At).Seconds(), fa.cut.Cause)
	}
	return text + fmt.Sprintf(", answered %d by the system at %s, %.3f s after it was sent", fa.answer.Status, end, end.Sub(fa.At).Seconds())
}
