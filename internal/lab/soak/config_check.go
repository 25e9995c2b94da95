package soak

import (
	"cmp"
	"fmt"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/platform/document"
)

// Rules that a ConfigCheck finds broken besides Config.
const (
	Denied     Rule = "DENIED"
	OtherRoute Rule = "ROUTE"
	Acks       Rule = "Acks"
)

const (
	// slowedFactor stretches RollbackSlack on a machine that was not in touch.
	slowedFactor = 8
	// answerSlack is the time after the timeout of a route within which a request must be answered.
	answerSlack = 500 * time.Millisecond
	// minLate is the number of requests beyond their timeout from which a quarter without an answer
	// breaks the rule.
	minLate = 8
	// minAdded and minSplit are the numbers of requests from which the service of added routes and the
	// shares of a split are judged, and maxShareError bounds the error of a share.
	minAdded, minSplit = 20, 200
	maxShareError      = 0.2
	// freeDenials, and one of requestsPerDenial, may be refused although all changes allow them.
	freeDenials, requestsPerDenial = 5, 500
	// ackPerRoute is added to AckTime for each route of a change.
	ackPerRoute = 3 * time.Millisecond
)

// ChangeID numbers the changes of an operator. Two changes may have the same version.
type ChangeID int

type (
	// ChangeSent is a change that the operator begins to send, for the first time or again.
	ChangeSent struct {
		ID            ChangeID
		At            Moment
		Configuration Configuration
		// Fault says why the change is invalid. It is empty for a valid one.
		Fault string
	}
	// ChangeAnswered is the answer to a change that was sent at the moment Sent. Status is 0 if
	// there was none.
	ChangeAnswered struct {
		ID       ChangeID
		Sent, At Moment
		VM       call.VM
		Status   int
		// Lost says that the answer was lost on its way: it is no acknowledgement.
		Lost bool
	}
	// ConfigRead is a read of the configuration at a control replica.
	ConfigRead struct {
		Sent, At Moment
		VM       call.VM
		Status   int
		// ID is that of the change with exactly this content, or 0 if none was sent.
		ID ChangeID
		// Final says that the read is one of those at the end.
		Final bool
	}
)

func (ChangeSent) event()     {}
func (ChangeAnswered) event() {}
func (ConfigRead) event()     {}

// causeRemoved is the cause of the Impaired of a machine that is removed for good.
const causeRemoved = "removed"

// change is what is known of a change.
type change struct {
	ChangeSent
	// acked is the moment of its first acknowledgement, and accepted the same with those that were
	// lost. They are forever if there is none.
	acked, accepted Moment
	// tried is the moment of its last answer, or of the last time that there was none.
	tried   Moment
	refused bool
	routes  map[string]Resource // by prefix
}

// checkedRequest is what is known of a request.
type checkedRequest struct {
	Sent
	arrived  []Arrived
	answered *Answered
	cut      bool
	// incarnation is the number of the process of the node that took the request.
	incarnation int
}

// ConfigCheck checks a record against the rule CONFIG.
type ConfigCheck struct {
	// Controls are the machines of the control replicas, and Services the services of the upstreams
	// beside nodes.
	Controls []call.VM
	Services map[call.VM]call.Service

	changes  []*change // in the order of their versions
	requests []*checkedRequest
	reads    []ConfigRead
	answers  []ChangeAnswered
	// impaired are the spans in which something was done to a machine, and down those of them in which
	// its process did not run. The core is unstable in the spans unstable, ContactWindow included.
	impaired map[call.VM][]span
	down     map[call.VM][]span
	unstable []span
	starts   map[call.VM][]Moment
	removed  map[call.VM]Moment
	end      Moment
	denied   []string
	findings []Finding
}

// Check returns all findings of a record.
func (cc *ConfigCheck) Check(events []Event) []Finding {
	cc.load(events)
	cc.checkAnswers()
	cc.checkReads()
	cc.checkRequests()
	cc.checkAdded()
	cc.checkSplits()
	cc.checkTimeouts()
	return cc.findings
}

func (cc *ConfigCheck) find(ru Rule, format string, args ...any) {
	cc.findings = append(cc.findings, Finding{ru, fmt.Sprintf(format, args...)})
}

// load sorts the events by what they are about.
func (cc *ConfigCheck) load(events []Event) {
	cc.impaired, cc.down = make(map[call.VM][]span), make(map[call.VM][]span)
	cc.starts, cc.removed = make(map[call.VM][]Moment), make(map[call.VM]Moment)
	byID, changes := make(map[RequestID]*checkedRequest), make(map[ChangeID]*change)
	for _, ev := range events {
		switch ev := ev.(type) {
		case ChangeSent:
			if changes[ev.ID] == nil {
				ch := &change{ChangeSent: ev, acked: forever, accepted: forever, routes: routesOf(ev.Configuration)}
				changes[ev.ID] = ch
				cc.changes = append(cc.changes, ch)
			}
		case ChangeAnswered:
			ch := changes[ev.ID]
			cc.answers = append(cc.answers, ev)
			ch.tried = ev.At
			if ev.Status == http.StatusOK {
				ch.accepted = min(ch.accepted, ev.At)
			}
			if ev.Status == http.StatusOK && !ev.Lost {
				ch.acked = min(ch.acked, ev.At)
			}
			ch.refused = ch.refused || isRefusal(ev.Status) && !ev.Lost && ch.accepted == forever
		case ConfigRead:
			cc.reads = append(cc.reads, ev)
		case Sent:
			rq := &checkedRequest{Sent: ev, incarnation: len(cc.starts[ev.Node])}
			byID[ev.ID] = rq
			cc.requests = append(cc.requests, rq)
		case Arrived:
			if rq := byID[ev.ID]; rq != nil {
				rq.arrived = append(rq.arrived, ev)
			}
		case Answered:
			if rq := byID[ev.ID]; rq != nil {
				rq.answered = &ev
			}
		case Cut:
			if rq := byID[ev.ID]; rq != nil {
				rq.cut = true
			}
		default:
			cc.loadImpairment(ev)
		}
		cc.end = max(cc.end, momentOf(ev))
	}
	slices.SortStableFunc(cc.changes, func(a, b *change) int {
		return cmp.Compare(a.Configuration.Version, b.Configuration.Version)
	})
	cc.loadUnstable()
}

// loadImpairment records impairments. A SIGHUP is none, and neither is a process that ends by itself.
func (cc *ConfigCheck) loadImpairment(ev Event) {
	switch ev := ev.(type) {
	case Signalled:
		switch ev.Signal.String() {
		case "killed", "terminated", "stopped (signal)":
			cc.begin(ev.VM, ev.At)
			cc.down[ev.VM] = append(cc.down[ev.VM], span{ev.At, forever})
		case "continued":
			cc.finish(ev.VM, ev.At)
		}
	case Started:
		cc.starts[ev.VM] = append(cc.starts[ev.VM], ev.At)
		cc.begin(ev.VM, ev.At)
		cc.finish(ev.VM, ev.At)
	case Impaired:
		switch {
		case ev.Cause == causeRemoved:
			cc.removed[ev.VM] = ev.At
			cc.finish(ev.VM, ev.At)
		case ev.Over:
			cc.finish(ev.VM, ev.At)
		default:
			cc.begin(ev.VM, ev.At)
		}
	}
}

func (cc *ConfigCheck) begin(vm call.VM, at Moment) {
	cc.impaired[vm] = append(cc.impaired[vm], span{at, forever})
}

func (cc *ConfigCheck) finish(vm call.VM, at Moment) {
	for _, list := range [][]span{cc.impaired[vm], cc.down[vm]} {
		for i := range list {
			list[i].end = min(list[i].end, at)
		}
	}
}

// loadUnstable finds the spans in which the core is unstable: a control replica stops or comes back,
// is impaired while it runs, or half of them do not run.
func (cc *ConfigCheck) loadUnstable() {
	for _, vm := range cc.Controls {
		for _, sp := range cc.impaired[vm] {
			switch {
			case !slices.Contains(cc.down[vm], sp):
				cc.addUnstable(sp)
			case cc.clearControls(span{sp.begin, sp.begin}) <= cc.presentControls(sp.begin)/2:
				cc.addUnstable(sp)
			default:
				cc.addUnstable(span{sp.begin, sp.begin})
				cc.addUnstable(span{sp.end, sp.end})
			}
		}
	}
	slices.SortFunc(cc.unstable, func(a, b span) int { return cmp.Compare(a.begin, b.begin) })
}

func (cc *ConfigCheck) addUnstable(sp span) {
	if sp.end < forever {
		sp.end = sp.end.Add(ContactWindow)
	}
	cc.unstable = append(cc.unstable, sp)
}

func momentOf(ev Event) Moment {
	switch ev := ev.(type) {
	case Sent:
		return ev.At
	case Answered:
		return ev.At
	case ConfigRead:
		return ev.At
	case ChangeAnswered:
		return ev.At
	}
	return 0
}

// isRefusal reports whether a status ends a call of the operator with a refusal.
func isRefusal(status int) bool {
	return status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests
}

// routesOf returns the routes of a configuration by prefix. All have the same host.
func routesOf(co Configuration) map[string]Resource {
	routes := make(map[string]Resource)
	for _, rs := range co.Resources {
		if ro, ok := rs.Spec.(Route); ok {
			routes[ro.Prefix] = rs
		}
	}
	return routes
}

// route returns the route of a path, or false if there is none.
func (ch *change) route(path string) (Route, bool) {
	path, _, _ = strings.Cut(path, "?")
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if rs, ok := ch.routes[path[:end+1]]; ok {
			ro, isRoute := rs.Spec.(Route)
			return ro, isRoute
		}
	}
	return Route{}, false
}

// weights returns the weight of each service of a route, and their sum.
func weights(ro Route) (map[call.Service]int, int) {
	if ro.Service != "" {
		return map[call.Service]int{ro.Service: 1}, 1
	}
	sum, by := 0, make(map[call.Service]int)
	for _, sh := range ro.TrafficSplit {
		by[sh.Service] += sh.Weight
		sum += sh.Weight
	}
	return by, sum
}

// handling is how a request was handled: run by a service, or refused with 404 if it is empty.
type handling struct {
	service call.Service
	at      Moment
}

func (ha handling) String() string {
	if ha.service == "" {
		return "refused with 404"
	}
	return "run by " + string(ha.service)
}

// allows reports whether a change allows that a request is handled so.
func (ch *change) allows(path string, ha handling) bool {
	ro, ok := ch.route(path)
	if ha.service == "" || !ok {
		return ha.service == "" && !ok
	}
	by, _ := weights(ro)
	return by[ha.service] > 0
}

// handlings returns how a request was handled. Other refusals and failures show nothing.
func (cc *ConfigCheck) handlings(rq *checkedRequest) []handling {
	var list []handling
	for _, ar := range rq.arrived {
		if !ar.NotRun {
			list = append(list, handling{cc.Services[ar.Upstream], ar.At})
		}
	}
	if an := rq.answered; an != nil && an.Status == http.StatusNotFound && !an.Signed {
		list = append(list, handling{"", an.At})
	}
	return list
}

// newestAcked returns the newest change that was acknowledged at a moment, or nil.
func (cc *ConfigCheck) newestAcked(at Moment) *change {
	for _, ch := range slices.Backward(cc.changes) {
		if ch.acked <= at && ch.Fault == "" {
			return ch
		}
	}
	return nil
}

// possible returns the changes that may be in force for a request sent at a moment and handled at
// another: the newest that was acknowledged longer than bound before, and all that build on it.
func (cc *ConfigCheck) possible(sent, handled Moment, bound time.Duration) []*change {
	first := cc.newestAcked(sent.Add(-bound))
	var list []*change
	bases := make(map[Version]bool)
	for _, ch := range cc.changes {
		switch {
		case ch.refused || ch.Fault != "" || ch.At > handled:
		case ch == first, first == nil, ch.Configuration.Version > first.Configuration.Version && bases[ch.Configuration.BaseVersion]:
			list = append(list, ch)
			bases[ch.Configuration.Version] = true
		}
	}
	return list
}

// clear reports whether nothing was done to a machine in a span.
func (cc *ConfigCheck) clear(vm call.VM, sp span) bool {
	return !slices.ContainsFunc(cc.impaired[vm], func(im span) bool { return im.meets(sp) })
}

// presentControls returns the number of control replicas that are there at a moment.
func (cc *ConfigCheck) presentControls(at Moment) int {
	count := 0
	for _, vm := range cc.Controls {
		removed := cc.removed[vm]
		count += btoi(len(cc.starts[vm]) > 0 && cc.starts[vm][0] <= at && (removed == 0 || removed >= at))
	}
	return count
}

// clearControls returns the number of control replicas to which nothing was done in a span.
func (cc *ConfigCheck) clearControls(sp span) int {
	count := 0
	for _, vm := range cc.Controls {
		started := len(cc.starts[vm]) > 0 && cc.starts[vm][0] <= sp.begin
		count += btoi(started && cc.removed[vm] == 0 && cc.clear(vm, sp))
	}
	return count
}

// inTouch reports whether a machine was in touch in a span.
func (cc *ConfigCheck) inTouch(vm call.VM, from, to Moment) bool {
	return cc.clear(vm, span{from.Add(-ContactWindow), to}) &&
		!slices.ContainsFunc(cc.unstable, func(sp span) bool { return sp.meets(span{from, to}) })
}

// bound returns the time after an acknowledgement from which a machine must use the change, or false
// if it has none.
func (cc *ConfigCheck) bound(vm call.VM, from, to Moment) (time.Duration, bool) {
	stretched := ConfigApply + MaxSkew
	switch {
	case cc.inTouch(vm, from, to):
		return ConfigApply, true
	case cc.clear(vm, span{from.Add(-ContactWindow), to}) &&
		cc.clearControls(span{from.Add(-ContactWindow - stretched), to}) > cc.presentControls(to)/2:
		return stretched, true
	}
	return 0, false
}

// checkAnswers checks what was acknowledged and refused, and when.
func (cc *ConfigCheck) checkAnswers() {
	byBase := make(map[Version]*change)
	for _, ch := range cc.changes {
		switch other := byBase[ch.Configuration.BaseVersion]; {
		case ch.acked == forever:
			cc.checkAckTime(ch)
			continue
		case ch.Fault != "":
			cc.find(Config, "invalid change %d (%s) was acknowledged at %v", ch.ID, ch.Fault, ch.acked)
		case other != nil:
			cc.find(Config, "changes %d and %d on version %d were both acknowledged", other.ID, ch.ID, ch.Configuration.BaseVersion)
		}
		byBase[ch.Configuration.BaseVersion] = ch
		cc.checkAckTime(ch)
	}
	for _, an := range cc.answers {
		i := slices.IndexFunc(cc.changes, func(ch *change) bool { return ch.ID == an.ID })
		if ch := cc.changes[i]; isRefusal(an.Status) && ch.accepted < an.Sent && !cc.changedSince(ch, an.At) {
			cc.find(Config, "change %d was accepted at %v, sent again at %v and refused by %s with status %d",
				ch.ID, ch.accepted, an.Sent, an.VM, an.Status)
		}
	}
}

// changedSince reports whether a newer change may have been accepted before a moment.
func (cc *ConfigCheck) changedSince(ch *change, at Moment) bool {
	return slices.ContainsFunc(cc.changes, func(other *change) bool {
		return other.Configuration.Version > ch.Configuration.Version && other.Fault == "" && !other.refused && other.At <= at
	})
}

// checkAckTime checks that a valid change that was not refused was acknowledged in time, in each
// stretch in which the control replicas were stable.
func (cc *ConfigCheck) checkAckTime(ch *change) {
	limit := AckTime + time.Duration(len(ch.routes))*ackPerRoute
	to := min(ch.acked, ch.tried)
	if ch.Fault != "" || ch.refused {
		return
	}
	calm := ch.At
	for _, sp := range cc.unstable {
		if min(sp.begin, to).Sub(calm) > limit {
			break
		}
		calm = max(calm, sp.end)
	}
	if to.Sub(calm) > limit {
		cc.find(Acks, "change %d, sent at %v, had no acknowledgement from %v until %v", ch.ID, ch.At, calm, to)
	}
}

// checkReads checks the reads during the run and at its end.
func (cc *ConfigCheck) checkReads() {
	final, good := false, false
	for _, re := range cc.reads {
		final = final || re.Final
		if re.Status != http.StatusOK {
			continue
		}
		good = good || re.Final
		i := slices.IndexFunc(cc.changes, func(ch *change) bool { return ch.ID == re.ID })
		if i < 0 {
			cc.find(Config, "%s answered the read of %v with what nobody sent", re.VM, re.Sent)
			continue
		}
		ch := cc.changes[i]
		if ch.Fault != "" || ch.refused {
			cc.find(Config, "%s answered the read of %v with change %d, which was refused or invalid", re.VM, re.Sent, ch.ID)
			continue
		}
		bound := ConfigApply
		if re.Final {
			bound = 0
		}
		if first := cc.newestAcked(re.Sent.Add(-bound)); first != nil && ch.Configuration.Version < first.Configuration.Version {
			cc.find(Config, "%s answered the read of %v with version %d; version %d was acknowledged at %v",
				re.VM, re.Sent, ch.Configuration.Version, first.Configuration.Version, first.acked)
		}
	}
	if final && !good {
		cc.find(Config, "the configuration could not be read back")
	}
}

// effect is the oldest version that a request has shown to be in force at a node.
type effect struct {
	at      Moment
	version Version
}

// incarnation is one run of the process of a node.
type incarnation struct {
	node   call.VM
	number int
}

// checkRequests checks how each request was handled.
func (cc *ConfigCheck) checkRequests() {
	effects := make(map[incarnation][]effect)
	for _, rq := range cc.requests {
		for _, ha := range cc.handlings(rq) {
			cc.checkHandling(rq, ha)
			if oldest, _, ok := cc.versionsFor(rq, ha); ok && ha.service != "" {
				in := incarnation{rq.Node, rq.incarnation}
				effects[in] = append(effects[in], effect{ha.at, oldest})
			}
		}
	}
	if allowed := freeDenials + len(cc.requests)/requestsPerDenial; len(cc.denied) > allowed {
		cc.find(Denied, "%d requests were refused with 404, which no accepted change allows: %s",
			len(cc.denied), strings.Join(cc.denied, ", "))
	}
	for _, rq := range cc.requests {
		for _, ha := range cc.handlings(rq) {
			cc.checkRegress(rq, ha, effects[incarnation{rq.Node, rq.incarnation}])
		}
	}
}

// versionsFor returns the oldest and the newest version that allow a handling, or false if there is
// none.
func (cc *ConfigCheck) versionsFor(rq *checkedRequest, ha handling) (oldest, newest Version, ok bool) {
	for _, ch := range cc.changes {
		if !ch.refused && ch.Fault == "" && ch.At <= ha.at && ch.allows(rq.Path, ha) {
			if !ok {
				oldest = ch.Configuration.Version
			}
			newest, ok = ch.Configuration.Version, true
		}
	}
	return oldest, newest, ok
}

// checkHandling checks a handling against the changes that may be in force.
func (cc *ConfigCheck) checkHandling(rq *checkedRequest, ha handling) {
	_, newest, valid := cc.versionsFor(rq, ha)
	if !valid {
		ru := OtherRoute
		if slices.ContainsFunc(cc.changes, func(ch *change) bool { return ch.At <= ha.at && ch.allows(rq.Path, ha) }) {
			ru = Config // a change that was refused or invalid is in force
		}
		if ha.service == "" && ru != Config {
			cc.denied = append(cc.denied, fmt.Sprintf("%s for %s at %s at %v", rq.ID, rq.Path, rq.Node, rq.At))
			return
		}
		cc.find(ru, "%s: request %s of %v for %s was %v, which no accepted change allows", rq.Node, rq.ID, rq.At, rq.Path, ha)
		return
	}
	bound, ok := cc.bound(rq.Node, rq.At, ha.at)
	if !ok {
		return
	}
	possible := cc.possible(rq.At, ha.at, bound)
	if !slices.ContainsFunc(possible, func(ch *change) bool { return ch.allows(rq.Path, ha) }) {
		first := cc.newestAcked(rq.At.Add(-bound))
		cc.find(Config, "%s: request %s of %v for %s was %v, as version %d allows; version %d was acknowledged at %v (bound %v)",
			rq.Node, rq.ID, rq.At, rq.Path, ha, newest, first.Configuration.Version, first.acked, bound)
	}
}

// checkRegress checks that a node has not gone back to an older version.
func (cc *ConfigCheck) checkRegress(rq *checkedRequest, ha handling, effects []effect) {
	_, newest, ok := cc.versionsFor(rq, ha)
	if !ok {
		return
	}
	slack := RollbackSlack
	if !cc.clear(rq.Node, span{rq.At.Add(-ContactWindow), ha.at}) {
		slack *= slowedFactor
	}
	for _, ef := range effects {
		if ef.at.Add(slack) < rq.At && ef.version > newest {
			cc.find(Config, "%s: request %s of %v for %s was %v, as version %d allows; version %d had an effect at %v",
				rq.Node, rq.ID, rq.At, rq.Path, ha, newest, ef.version, ef.at)
			return
		}
	}
}

// steadyRoute returns the route of a request in steady state, if all changes that may be in force
// agree on it. When is the end of the request.
func (cc *ConfigCheck) steadyRoute(rq *checkedRequest, when Moment) (ro Route, ok bool) {
	if !cc.inTouch(rq.Node, rq.At, when) {
		return Route{}, false
	}
	for i, ch := range cc.possible(rq.At, when, ConfigApply) {
		other, found := ch.route(rq.Path)
		if !found || i > 0 && string(document.Encode(other)) != string(document.Encode(ro)) {
			return Route{}, false
		}
		ro, ok = other, true
	}
	return ro, ok
}

// end returns the moment at which the last thing was seen of a request.
func (rq *checkedRequest) end() Moment {
	if rq.answered != nil {
		return rq.answered.At
	}
	return rq.At
}

// checkAdded checks that added routes are served as those of the first change are.
func (cc *ConfigCheck) checkAdded() {
	var sent, served [2]int // of the first routes and of those that were added
	for _, rq := range cc.requests {
		if _, ok := cc.steadyRoute(rq, rq.end()); !ok {
			continue
		}
		kind := 0
		if _, first := cc.changes[0].route(rq.Path); !first {
			kind = 1
		}
		sent[kind]++
		if rq.answered != nil && rq.answered.Signed && rq.answered.Status/100 == 2 {
			served[kind]++
		}
	}
	if sent[1] >= minAdded && 4*served[1]*sent[0] < served[0]*sent[1] {
		cc.find(Config, "of requests for added routes %d of %d are served, of those for the first routes %d of %d",
			served[1], sent[1], served[0], sent[0])
	}
}

// checkSplits checks the shares of the services of each split.
func (cc *ConfigCheck) checkSplits() {
	type group struct {
		ro    Route
		total int
		by    map[call.Service]int
	}
	groups := make(map[string]*group)
	for _, rq := range cc.requests {
		if len(rq.arrived) == 0 {
			continue
		}
		ro, ok := cc.steadyRoute(rq, rq.arrived[0].At)
		if !ok || len(ro.TrafficSplit) == 0 {
			continue
		}
		key := string(document.Encode(ro))
		if groups[key] == nil {
			groups[key] = &group{ro: ro, by: make(map[call.Service]int)}
		}
		groups[key].total++
		groups[key].by[cc.Services[rq.arrived[0].Upstream]]++
	}
	for _, gr := range groups {
		wanted, sum := weights(gr.ro)
		for _, sh := range gr.ro.TrafficSplit {
			want, got := float64(wanted[sh.Service])/float64(sum), float64(gr.by[sh.Service])/float64(gr.total)
			if gr.total >= minSplit && math.Abs(got-want) > maxShareError {
				cc.find(Config, "%s has %.2f of %d requests for %s instead of %.2f", sh.Service, got, gr.total, gr.ro.Prefix, want)
			}
		}
	}
}

// checkTimeouts checks that requests are answered soon after the timeout of their route.
func (cc *ConfigCheck) checkTimeouts() {
	open, late := 0, 0
	for _, rq := range cc.requests {
		ro, ok := cc.steadyRoute(rq, rq.end())
		if !ok {
			continue
		}
		timeout := time.Duration(ro.TimeoutMS) * time.Millisecond
		limit := rq.At.Add(timeout + answerSlack)
		answered := forever
		if rq.answered != nil {
			answered = rq.answered.At
		}
		if rq.Deadline <= timeout+answerSlack || limit > cc.end || answered <= rq.At.Add(timeout) ||
			!cc.inTouch(rq.Node, rq.At, limit) {
			continue
		}
		open++
		if answered > limit {
			late++
		}
	}
	if 2*late > open || late >= minLate && 4*late > open {
		cc.find(Config, "%d of %d requests that were open at the timeout of their route had no answer %v later", late, open, answerSlack)
	}
}
