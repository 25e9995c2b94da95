package soak

import (
	"cmp"
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

// LossVerdict says what a request that had no whole answer of an upstream counts as under the rule LOST.
type LossVerdict string

// The verdicts. The first two break the rule. The third breaks it beside a configuration, if the
// machine cuts more often then. The others are excuses, in the order in which they are tried.
const (
	LostAtTerm   LossVerdict = "lost-around-sigterm"
	LostAtHangup LossVerdict = "lost-around-sighup"
	CutByRate    LossVerdict = "cut-by-rate"

	ExcusedNotPassedOn LossVerdict = "behind-another-and-not-passed-on"
	ExcusedCrossed     LossVerdict = "crossed-the-close-and-not-passed-on"
	ExcusedNotRead     LossVerdict = "reset-and-not-passed-on"
	ExcusedSlack       LossVerdict = "within-the-loss-slack"
	ExcusedBrokeOff    LossVerdict = "upstream-broke-off"
	ExcusedTimeOver    LossVerdict = "deadline-or-timeout-reached"
	ExcusedImpairment  LossVerdict = "unplanned-impairment"
	ExcusedLongWork    LossVerdict = "at-work-in-the-last-sixth"
	ExcusedTimeUsed    LossVerdict = "seven-tenths-of-its-time-used"
	ExcusedOwnAnswer   LossVerdict = "own-answer-without-sigterm"
)

// CheckLost checks the rule LOST: requests from kept connections at machines in touch, and all
// requests around planned work. The events need not be in order. It also counts the verdicts.
func CheckLost(events []Event, controls []call.VM) ([]Finding, map[LossVerdict]int) {
	hi := newHistory(events, controls)
	var findings []Finding
	var inTouch []string
	byRate := make(map[call.VM][]*fate)
	verdicts := make(map[LossVerdict]int)
	for _, fa := range hi.fates {
		if hi.lostInTouch(fa) {
			inTouch = append(inTouch, hi.describe(fa))
		}
		lv := hi.verdict(fa)
		if lv == "" {
			continue
		}
		verdicts[lv]++
		switch lv {
		case LostAtTerm, LostAtHangup:
			findings = append(findings, Finding{Lost, string(lv) + ": " + hi.describe(fa)})
		case CutByRate:
			byRate[fa.Node] = append(byRate[fa.Node], fa)
		}
	}
	if len(inTouch) > maxLostInTouch {
		findings = append(findings, Finding{Lost, fmt.Sprintf("%d requests from kept connections at machines in touch: %s", len(inTouch), strings.Join(inTouch, "; "))})
	}
	return append(findings, hi.checkConfigs(byRate)...), verdicts
}

// maxOwnAnswers bounds the own answers that a report describes.
const maxOwnAnswers = 20

// ownAnswers counts the requests that got an own answer before they were due while an upstream worked, at
// all nodes, and describes the first of them.
func (hi *history) ownAnswers() (texts []string, count int) {
	for _, fa := range hi.fates {
		if lv := hi.verdict(fa); fa.cut != nil || lv != ExcusedOwnAnswer && lv != LostAtTerm && lv != ExcusedImpairment {
			continue
		}
		if count++; len(texts) < maxOwnAnswers {
			texts = append(texts, hi.describe(fa))
		}
	}
	return texts, count
}

// servedShare returns the share of the requests of callers that an upstream answered with 200.
func (hi *history) servedShare() float64 {
	served, all := 0, 0
	for _, fa := range hi.fates {
		if fa.Call {
			continue
		}
		all++
		if fa.answer != nil && fa.answer.Signed && fa.answer.Status == 200 {
			served++
		}
	}
	return float64(served) / float64(max(all, 1))
}

// atWorkAtStops returns the number of requests of callers on which an upstream was at work when their node
// got a SIGTERM.
func (hi *history) atWorkAtStops() (count int) {
	for _, fa := range hi.fates {
		open := func(te Moment) bool {
			return fa.At <= te && (fa.answer == nil || te < fa.answer.At) && (fa.cut == nil || te < fa.cut.At) && fa.atWork(span{te, te})
		}
		if !fa.Call && slices.ContainsFunc(hi.vm(fa.Node).terms, open) {
			count++
		}
	}
	return count
}

// lostInTouch reports whether a machine in touch passed a request from a kept connection on to a
// sound upstream, and closed that connection without an answer.
func (hi *history) lostInTouch(fa *fate) bool {
	return fa.cut != nil && fa.Kept && fa.passedOn(fa.cut.At) && !fa.upstreamBrokeOff() &&
		hi.inTouch(fa.Node, fa.arrivals[0].At) && hi.inTouch(fa.Node, fa.cut.At)
}

// verdict returns what a request counts as around planned work, or "" if it kept its answer.
func (hi *history) verdict(fa *fate) LossVerdict {
	end, ok := fa.end()
	if !ok {
		return ""
	}
	if fa.cut != nil && !fa.passedOn(end) {
		switch {
		case fa.Behind:
			return ExcusedNotPassedOn
		case fa.Crossed:
			return ExcusedCrossed
		case fa.cut.Reset:
			return ExcusedNotRead
		case end.Sub(fa.At) <= LossSlack:
			return ExcusedSlack
		}
	}
	switch {
	case fa.upstreamBrokeOff():
		return ExcusedBrokeOff
	case end.Sub(fa.Begun) >= fa.time():
		return ExcusedTimeOver
	case hi.impaired(fa, span{fa.Begun.Add(-ContactWindow), end}):
		return ExcusedImpairment
	}
	if term, ok := hi.vm(fa.Node).lastTerm(end); ok && end.Sub(term) <= termEnd {
		if fa.workMayBeCut(term, end) {
			return ExcusedLongWork
		}
		return LostAtTerm
	}
	switch {
	case fa.cut == nil:
		return ExcusedOwnAnswer
	case hi.besideHangup(fa):
		return LostAtHangup
	case end.Sub(fa.Begun) >= time.Duration(usedShare*float64(fa.time())):
		return ExcusedTimeUsed
	}
	return CutByRate
}

// end returns when a request lost its answer: its connection ended, or an answer of the system's own
// took the place of that of an upstream at work.
func (fa *fate) end() (Moment, bool) {
	switch {
	case fa.cut != nil:
		return fa.cut.At, true
	case fa.brokenOff():
		return fa.answer.At, true
	}
	return 0, false
}

func (fa *fate) upstreamBrokeOff() bool {
	return slices.ContainsFunc(fa.runs, func(ru Ran) bool { return ru.BrokeOff })
}

// workMayBeCut reports whether an upstream was at work on the request in the last part of the grace
// time after a SIGTERM, up to when it was cut, and it was sent soon enough after that.
func (fa *fate) workMayBeCut(term, end Moment) bool {
	last := span{term.Add(Grace - lastPart), min(end, term.Add(Grace))}
	return fa.At.Sub(term) <= excusedSend && last.begin <= last.end && fa.atWork(last)
}

// besideHangup reports whether a request was sent up to the apply time after a SIGHUP of its machine,
// and cut after that.
func (hi *history) besideHangup(fa *fate) bool {
	return slices.ContainsFunc(hi.vm(fa.Node).hangups, func(hu Moment) bool {
		return fa.At <= hu.Add(ConfigApply) && fa.cut.At > hu
	})
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
				beside = append(beside, hi.describe(fa))
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

// describe says what was seen of a request.
func (hi *history) describe(fa *fate) string {
	end := hi.end
	if fa.cut != nil {
		end = fa.cut.At
	} else if fa.answer != nil {
		end = fa.answer.At
	}
	text := fmt.Sprintf("%s (%s, due at %s) at %s, sent at %s", fa.ID, fa.Kind, fa.Begun.Add(fa.time()), fa.Node, fa.At)
	if fa.Behind {
		text += " behind another"
	}
	since := func(name call.VM) string {
		if te, ok := hi.vm(name).lastTerm(end); ok && end.Sub(te) <= termEnd {
			return fmt.Sprintf(", %s after the SIGTERM of %s", fa.At-te, name)
		}
		return ""
	}
	impaired := func(name call.VM) (text string) {
		for _, sp := range hi.vm(name).unplanned {
			if sp.meets(span{fa.Begun.Add(-ContactWindow), end}) {
				text += fmt.Sprintf(", %s impaired at %s: %s", name, sp.begin, cmp.Or(hi.vm(name).causes[sp.begin], "a signal"))
			}
		}
		return text
	}
	text += since(fa.Node) + impaired(fa.Node)
	for _, ar := range fa.arrivals {
		text += fmt.Sprintf(", passed on to %s at %s", ar.Upstream, ar.At)
		if ar.Upstream != fa.Node {
			text += since(ar.Upstream) + impaired(ar.Upstream)
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
	if fa.answer != nil {
		text += fmt.Sprintf(", answered %d at %s, %s before it was due", fa.answer.Status, fa.answer.At, fa.Begun.Add(fa.time()).Sub(fa.answer.At))
	}
	return text
}
