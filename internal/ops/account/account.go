// Package account tells from logs why requests of callers were not served, second by second: how many
// had no room, as the slots of the service that binds all were at work for trees that came through,
// and how many were lost beside room, by cause. It reads the summaries of any number of processes.
package account

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/ops/events"
)

// ErrNoSummaries is returned by Print if no summaries were read.
var ErrNoSummaries = errors.New("account: no summaries of requests")

// maxLineBytes bounds the length of a line that can be read.
const maxLineBytes = 1 << 20

// Cause is the cause for which sends of callers were not served.
type Cause uint8

// The causes. All but NoRoom are losses beside room.
const (
	// NoRoom means that the slots were at work for trees that came through.
	NoRoom Cause = iota
	// EmptySlots means that the share of the class was used up while slots of the service that
	// binds were empty, and WastedSlots that they were at work for trees that did not come through.
	EmptySlots
	WastedSlots
	// NotNeeded means that the share was used up although the class does not call that service.
	NotNeeded
	// Broken means that the tree was admitted and failed, or that the request was refused as
	// earlier ones had failed.
	Broken
	// Unreachable means that no VM of a service of the tree could be reached.
	Unreachable
	// Blocked means that the caller left as another request behind the admitted one had expired.
	Blocked
	// Learning means that the calls of the class, or the capacity, were not known after a start.
	Learning
	// Other is any other cause.
	Other

	numCauses
)

var causeNames = [numCauses]string{
	"no-room", "empty", "wasted", "not-needed", "broken", "unreachable", "blocked", "learning", "other",
}

// String returns the name of the cause in reports.
func (ca Cause) String() string { return causeNames[min(ca, numCauses-1)] }

// ruleCauses and lossCauses give the causes of refusals by rule, and of losses of admitted requests by
// reason. Refusals by a share are divided further.
var (
	ruleCauses = map[string]Cause{
		"slow-start": Learning, "failures": Broken, "unreachable": Unreachable,
	}
	lossCauses = map[string]Cause{
		"call-overload": Broken, "upstream-failed": Broken, "deadline": Broken, "broken-answer": Broken, "answer-lost": Broken,
		"call-unreachable": Unreachable, "unreachable": Unreachable, "no-upstream": Unreachable, "blocked-expired": Blocked,
		"overload": Broken,
	}
)

// shareRules are the rules that refuse what is beyond the share of a class. Of these, blocking decides
// which of its requests that is.
var shareRules = []string{"grant", "own-share", "blocking"}

// notLost holds the reasons of answers that came late, and of callers that left by themselves.
var notLost = map[string]bool{"late": true, "caller-left": true}

// Account holds the summaries of logs by second. The zero value is empty.
type Account struct{ seconds map[int64]*second }

// second holds the summaries of one second.
type second struct {
	traffic []events.Traffic
	slots   map[string]*usage
}

// usage is the use of the slots of a service in a second, in slot seconds, and the number of calls
// that started.
type usage struct{ slots, empty, started, demand float64 }

// line is the part that all summaries have.
type line struct {
	Time time.Time   `json:"timestamp"`
	Kind events.Kind `json:"event"`
}

// Read reads the lines of a log. It ignores the text before the first brace of a line, and lines that
// are not summaries. It fails at a line of maxLineBytes or more.
func (ac *Account) Read(r io.Reader) error {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		begin := bytes.IndexByte(sc.Bytes(), '{')
		if begin < 0 {
			continue
		}
		text := sc.Bytes()[begin:]
		var ln line
		if json.Unmarshal(text, &ln) != nil || ln.Kind != events.RequestSummary && ln.Kind != events.SlotSummary {
			continue
		}
		ac.add(ln, text)
	}
	return errors.Wrap(sc.Err(), "account")
}

// add adds the text of a summary. Malformed ones are passed over.
func (ac *Account) add(ln line, text []byte) {
	// A line sums up the second before it, and those of nodes are written at different times.
	at := ln.Time.Add(-time.Second / 2).Unix()
	if ac.seconds == nil {
		ac.seconds = make(map[int64]*second)
	}
	se := ac.seconds[at]
	if se == nil {
		se = &second{slots: make(map[string]*usage)}
		ac.seconds[at] = se
	}
	if ln.Kind == events.RequestSummary {
		var tf events.Traffic
		if json.Unmarshal(text, &tf) == nil {
			se.traffic = append(se.traffic, tf)
		}
		return
	}
	var su events.SlotUsage
	if json.Unmarshal(text, &su) != nil || su.Service == "" {
		return
	}
	us := se.slots[su.Service]
	if us == nil {
		us = &usage{}
		se.slots[su.Service] = us
	}
	us.slots += su.MeanSlots
	us.empty += max(su.MeanSlots-su.MeanRunning, 0)
	us.started += float64(su.Started)
	us.demand += su.DemandSlots
}

// binding returns the service with the highest demand for slots relative to those it has, or "" if no
// service is short of slots.
func (se *second) binding() (name string) {
	most := 1.0
	for _, svc := range slices.Sorted(maps.Keys(se.slots)) {
		us := se.slots[svc]
		if ratio := us.demand / max(us.slots, 1); ratio > most {
			name, most = svc, ratio
		}
	}
	return name
}

// Row is the account of a second, or of several ones.
type Row struct {
	// Service is the service that binds, or "" if none does. Slots is the number of its slots, and
	// Empty that of the empty ones.
	Service      string
	Slots, Empty float64
	// Sends counts the sends of callers, and Served those that were answered.
	Sends, Served int
	// Unserved counts the others by cause.
	Unserved [numCauses]float64
}

// row divides the sends of a second that were not served among the causes.
func (se *second) row() (rw Row) {
	rw.Service = se.binding()
	us := se.slots[rw.Service]
	if us == nil {
		us = &usage{}
	}
	rw.Slots, rw.Empty = us.slots, us.empty
	useful, byShare, slotTime, calls := 0.0, 0.0, 0.0, 0.0
	for i := range se.traffic {
		tf := &se.traffic[i]
		made := tf.CallsPerRequest[rw.Service]
		useful += made * float64(tf.InTarget+tf.Late)
		if 2*tf.Calls > tf.Total {
			continue
		}
		rw.Sends += tf.Total - tf.Calls
		rw.Served += max(tf.InTarget+tf.Late-tf.Calls, 0)
		refused := 0.0
		for _, rule := range shareRules {
			refused += float64(tf.RefusedBy[rule])
		}
		switch {
		case len(tf.CallsPerRequest) == 0:
			rw.Unserved[Learning] += refused
		case made == 0:
			rw.Unserved[NotNeeded] += refused
		default:
			byShare += refused
			slotTime += refused * float64(tf.SlotTimeMS[rw.Service]) / 1000
			calls += refused * made
		}
		rw.addCauses(tf)
	}
	if byShare > 0 {
		mean, madeMean := slotTime/byShare, calls/byShare
		if mean > 0 {
			rw.Unserved[EmptySlots] = min(us.empty/mean, byShare)
		}
		rw.Unserved[WastedSlots] = min(max(us.started-useful, 0)/madeMean, byShare-rw.Unserved[EmptySlots])
		rw.Unserved[NoRoom] = byShare - rw.Unserved[EmptySlots] - rw.Unserved[WastedSlots]
	}
	return rw
}

// addCauses adds the sends that were refused by another rule than a share, and those that were
// admitted and lost.
func (rw *Row) addCauses(tf *events.Traffic) {
	for rule, count := range tf.RefusedBy {
		if !slices.Contains(shareRules, rule) {
			rw.Unserved[causeOf(ruleCauses, rule)] += float64(count)
		}
	}
	for reason, count := range tf.Losses {
		if !notLost[reason] {
			rw.Unserved[causeOf(lossCauses, reason)] += float64(count)
		}
	}
}

// causeOf returns the cause with a name, or Other.
func causeOf(causes map[string]Cause, name string) Cause {
	if ca, ok := causes[name]; ok {
		return ca
	}
	return Other
}

// add adds the account of another second. The service is that of the last second in which one bound.
func (rw *Row) add(other Row) {
	if other.Service != "" {
		rw.Service = other.Service
	}
	rw.Slots += other.Slots
	rw.Empty += other.Empty
	rw.Sends += other.Sends
	rw.Served += other.Served
	for ca, count := range other.Unserved {
		rw.Unserved[ca] += count
	}
}

// BesideRoom returns the number of sends that were not served for another cause than NoRoom.
func (rw *Row) BesideRoom() (sum float64) {
	for _, count := range rw.Unserved[NoRoom+1:] {
		sum += count
	}
	return sum
}

// Total returns the account of all seconds.
func (ac *Account) Total() (total Row) {
	for _, at := range slices.Sorted(maps.Keys(ac.seconds)) {
		total.add(ac.seconds[at].row())
	}
	return total
}

// Print prints a row for each span of seconds, from the first one on, and the total. It returns
// ErrNoSummaries if nothing was read.
func (ac *Account) Print(w io.Writer, span int) error {
	times := slices.Sorted(maps.Keys(ac.seconds))
	if len(times) == 0 {
		return ErrNoSummaries
	}
	var out bytes.Buffer
	fmt.Fprintf(&out, "%6s %-10s %6s %6s %7s %7s", "second", "binds", "slots", "empty", "sends", "served")
	for _, name := range causeNames {
		fmt.Fprintf(&out, " %11s", name)
	}
	out.WriteByte('\n')
	for from := times[0]; from <= times[len(times)-1]; from += int64(span) {
		var rw Row
		for at := from; at < from+int64(span); at++ {
			if se := ac.seconds[at]; se != nil {
				rw.add(se.row())
			}
		}
		rw.print(&out, fmt.Sprint(from-times[0]))
	}
	total := ac.Total()
	total.print(&out, "all")
	fmt.Fprintf(&out, "not served: %.0f sends had no room, %.0f were lost beside room\n", total.Unserved[NoRoom], total.BesideRoom())
	_, err := w.Write(out.Bytes())
	return err
}

// print prints one row. Slots are slot seconds.
func (rw *Row) print(out *bytes.Buffer, name string) {
	service := rw.Service
	if service == "" {
		service = "-"
	}
	fmt.Fprintf(out, "%6s %-10s %6.0f %6.0f %7d %7d", name, service, rw.Slots, rw.Empty, rw.Sends, rw.Served)
	for _, count := range rw.Unserved {
		fmt.Fprintf(out, " %11.0f", count)
	}
	out.WriteByte('\n')
}
