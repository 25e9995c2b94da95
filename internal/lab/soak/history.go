package soak

import (
	"slices"
	"syscall"
	"time"

	"camphortrail/call"
)

// history is a record, arranged by request and by machine.
type history struct {
	controls []call.VM
	fates    []*fate // in the order in which they were sent
	vms      map[call.VM]*vmHistory
	configs  map[Version]*configHistory
	begin    Moment
	end      Moment
}

// fate is what became of a request.
type fate struct {
	Sent
	arrivals []Arrived
	runs     []Ran
	answer   *Answered
	cut      *Cut
}

// vmHistory is what happened to the process of a machine.
type vmHistory struct {
	// terms are the SIGTERMs that began a stop. One more during a stop begins none: the grace time runs
	// from the first.
	terms, hangups []Moment
	// stopping says that a SIGTERM has come since the last start.
	stopping bool
	// disturbed are the spans for which a machine is not in touch, without the contact window.
	disturbed []span
	// unplanned are the unplanned impairments, and causes those of some of them, by their beginning.
	unplanned []span
	causes    map[Moment]string
	// down are the spans in which the process does not run and did not end by itself.
	down []span
}

// configHistory is what is known of a version.
type configHistory struct {
	sent, acked   Moment
	acks, refused int
}

// span is a time from begin to end, both included.
type span struct{ begin, end Moment }

// meets reports whether the spans share a moment.
func (sp span) meets(ot span) bool { return sp.begin <= ot.end && ot.begin <= sp.end }

// forever is the end of a span that has not ended.
const forever = Moment(1<<63 - 1)

// newHistory arranges a record.
func newHistory(events []Event, controls []call.VM) *history {
	hi := &history{controls: controls, vms: make(map[call.VM]*vmHistory), configs: make(map[Version]*configHistory)}
	byID := make(map[RequestID]*fate)
	for _, ev := range events {
		if se, ok := ev.(Sent); ok {
			fa := &fate{Sent: se}
			byID[se.ID] = fa
			hi.fates = append(hi.fates, fa)
		}
	}
	slices.SortStableFunc(hi.fates, func(a, b *fate) int { return int(a.At - b.At) })
	for _, ev := range events {
		switch ev := ev.(type) {
		case Answered:
			if fa := byID[ev.ID]; fa != nil {
				fa.answer = &ev
			}
		case Cut:
			if fa := byID[ev.ID]; fa != nil {
				fa.cut = &ev
				hi.end = max(hi.end, ev.At)
			}
		case Arrived:
			if fa := byID[ev.ID]; fa != nil {
				fa.arrivals = append(fa.arrivals, ev)
			}
		case Ran:
			if fa := byID[ev.ID]; fa != nil {
				fa.runs = append(fa.runs, ev)
			}
		case Sent:
			hi.end = max(hi.end, ev.At)
		case GaveUp:
		default:
			hi.addProcessEvent(ev)
		}
	}
	if len(hi.fates) > 0 {
		hi.begin = hi.fates[0].Begun
	}
	return hi
}

// addProcessEvent adds an event of a process or of a configuration.
func (hi *history) addProcessEvent(ev Event) {
	switch ev := ev.(type) {
	case Started:
		vh := hi.vm(ev.VM)
		vh.stopping = false
		vh.disturbed = append(vh.disturbed, span{ev.At, ev.At})
		closeSpan(vh.down, ev.At)
	case Ended:
		if vh := hi.vm(ev.VM); !ev.Own {
			vh.down = append(vh.down, span{ev.At, forever})
		}
	case Signalled:
		hi.addSignal(ev)
	case Impaired:
		vh := hi.vm(ev.VM)
		if ev.Over {
			closeSpan(vh.disturbed, ev.At)
			closeSpan(vh.unplanned, ev.At)
			return
		}
		vh.disturbed = append(vh.disturbed, span{ev.At, forever})
		vh.unplanned = append(vh.unplanned, span{ev.At, forever})
		if vh.causes == nil {
			vh.causes = make(map[Moment]string)
		}
		vh.causes[ev.At] = ev.Cause
	case ConfigSent:
		if hi.configs[ev.Version] == nil {
			hi.configs[ev.Version] = &configHistory{sent: ev.At}
		}
	case ConfigAnswered:
		ch := hi.configs[ev.Version]
		switch {
		case ch == nil:
		case ev.Status == 200:
			ch.acks++
			ch.acked = max(ch.acked, ev.At)
		default:
			ch.refused++
		}
	}
}

// addSignal adds a signal.
func (hi *history) addSignal(ev Signalled) {
	vh := hi.vm(ev.VM)
	switch ev.Signal {
	case syscall.SIGTERM:
		if !vh.stopping {
			vh.terms = append(vh.terms, ev.At)
		}
		vh.stopping = true
		vh.disturbed = append(vh.disturbed, span{ev.At, ev.At})
	case syscall.SIGHUP:
		vh.hangups = append(vh.hangups, ev.At)
	case syscall.SIGKILL:
		vh.disturbed = append(vh.disturbed, span{ev.At, ev.At})
		if te, ok := vh.lastTerm(ev.At); !ok || ev.At.Sub(te) < Grace {
			vh.unplanned = append(vh.unplanned, span{ev.At, ev.At})
		}
	case syscall.SIGSTOP:
		vh.disturbed = append(vh.disturbed, span{ev.At, forever})
		vh.unplanned = append(vh.unplanned, span{ev.At, forever})
	case syscall.SIGCONT:
		closeSpan(vh.disturbed, ev.At)
		closeSpan(vh.unplanned, ev.At)
	}
}

// closeSpan ends the last span that has not ended.
func closeSpan(spans []span, at Moment) {
	for i := len(spans) - 1; i >= 0; i-- {
		if spans[i].end == forever {
			spans[i].end = at
			return
		}
	}
}

func (hi *history) vm(name call.VM) *vmHistory {
	if hi.vms[name] == nil {
		hi.vms[name] = new(vmHistory)
	}
	return hi.vms[name]
}

// lastTerm returns the last SIGTERM that is not after the moment.
func (vh *vmHistory) lastTerm(at Moment) (Moment, bool) {
	for _, te := range slices.Backward(vh.terms) {
		if te <= at {
			return te, true
		}
	}
	return 0, false
}

// impaired reports whether a machine on the way of a request had an unplanned impairment: that of the node
// that took it, or one of those that it was passed on to.
func (hi *history) impaired(fa *fate, sp span) bool {
	return anyMeets(hi.vm(fa.Node).unplanned, sp) ||
		slices.ContainsFunc(fa.arrivals, func(ar Arrived) bool { return anyMeets(hi.vm(ar.Upstream).unplanned, sp) })
}

// inTouch reports whether a machine is in touch at a moment. That all links are sound is taken for
// granted where no impairment is recorded.
func (hi *history) inTouch(name call.VM, at Moment) bool {
	window := span{at.Add(-ContactWindow), at}
	if vh := hi.vm(name); anyMeets(vh.disturbed, window) || anyMeets(vh.down, window) {
		return false
	}
	running := 0
	for _, co := range hi.controls {
		vh := hi.vm(co)
		if anyMeets(vh.disturbed, window) {
			return false
		}
		if !anyMeets(vh.down, window) {
			running++
		}
	}
	return 2*running > len(hi.controls)
}

func anyMeets(spans []span, window span) bool {
	return slices.ContainsFunc(spans, window.meets)
}

// passedOn reports whether the request had reached an upstream by the moment.
func (fa *fate) passedOn(by Moment) bool {
	return slices.ContainsFunc(fa.arrivals, func(ar Arrived) bool { return ar.At <= by })
}

// time returns the time that the request has: up to its deadline or the timeout of its route.
func (fa *fate) time() time.Duration {
	if fa.Deadline == 0 {
		return fa.Timeout
	}
	return min(fa.Deadline, fa.Timeout)
}

// atWork reports whether an upstream was at work on the request at some moment of the span.
func (fa *fate) atWork(sp span) bool {
	for _, ar := range fa.arrivals {
		if ar.NotRun {
			continue
		}
		work := span{ar.At, forever}
		for _, ru := range fa.runs {
			if ru.Upstream == ar.Upstream && ru.At >= ar.At {
				work.end = min(work.end, ru.At)
			}
		}
		if work.meets(sp) {
			return true
		}
	}
	return false
}

// brokenOff reports whether a run of the request was broken off by the system, or lasted, when an
// answer that no upstream wrote came.
func (fa *fate) brokenOff() bool {
	if fa.answer == nil || fa.answer.Signed || len(fa.arrivals) == 0 {
		return false
	}
	last := fa.arrivals[len(fa.arrivals)-1]
	if last.NotRun || last.At > fa.answer.At {
		return false
	}
	for _, ru := range fa.runs {
		if ru.Upstream == last.Upstream && ru.At >= last.At {
			return ru.Dropped || ru.At > fa.answer.At
		}
	}
	return true
}
