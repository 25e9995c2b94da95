package measure

import (
	"cmp"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
)

const (
	// window is the length of the periods whose goodput recovery compares, and the time
	// after a refusal in which less important work must not start.
	window = 100 * time.Millisecond
	// normalShare is the share of the success ratio before the trigger from which on goodput
	// is normal again.
	normalShare = 0.95
	// steadyTime is the time at the end of a run in which goodput must be normal for the run
	// to count as recovered.
	steadyTime = time.Second
	// neverRecovered is the recovery time of a run that has not recovered at its end.
	neverRecovered = -1
)

// timeline holds the times of one arm. Roots are counted from begin to end.
type timeline struct {
	begin, triggerStart, triggerEnd, end time.Time
}

// goodput returns the number of root requests that were completed in time during the
// trigger, divided by the number for expected root requests per second.
func goodput(lg *standin.Log, tl timeline, expected float64) float64 {
	succeeded := 0
	for _, rt := range lg.Roots {
		if rt.Succeeded && within(rt.Ended, tl.triggerStart, tl.triggerEnd) {
			succeeded++
		}
	}
	return float64(succeeded) / (expected * tl.triggerEnd.Sub(tl.triggerStart).Seconds())
}

// importantShare returns the share of the most important root requests of the trigger
// that were completed in time. It is 1 if there were none.
func importantShare(lg *standin.Log, tl timeline) float64 {
	return completedShare(lg, tl.triggerStart, tl.triggerEnd, highestImportance(lg))
}

// highestImportance returns the highest importance of all roots and sends.
func highestImportance(lg *standin.Log) call.Importance {
	highest := call.Importance(0)
	for _, rt := range lg.Roots {
		highest = max(highest, rt.Importance)
	}
	for _, sn := range lg.Sends {
		highest = max(highest, sn.Importance)
	}
	return highest
}

// failures counts the sends that did not get the complete answer, by class and then by
// status, outcome and reason.
func failures(lg *standin.Log) map[call.Class]map[string]int {
	counts := make(map[call.Class]map[string]int)
	for _, sn := range lg.Sends {
		if sn.Verdict == standin.Complete {
			continue
		}
		if counts[sn.Class] == nil {
			counts[sn.Class] = make(map[string]int)
		}
		counts[sn.Class][strings.TrimSpace(fmt.Sprintf("%d %v %s", sn.Status, sn.Outcome, sn.Reason))]++
	}
	return counts
}

// completedShare returns the share of the root requests that were completed in time, of
// those with at least the given importance that arrived from begin to end. It is 1 if
// there were none.
func completedShare(lg *standin.Log, begin, end time.Time, least call.Importance) float64 {
	arrived, succeeded := 0, 0
	for _, rt := range lg.Roots {
		if rt.Importance < least || !within(rt.Arrived, begin, end) {
			continue
		}
		arrived++
		if rt.Succeeded {
			succeeded++
		}
	}
	if arrived == 0 {
		return 1
	}
	return float64(succeeded) / float64(arrived)
}

// recovery returns the time in milliseconds from the end of the trigger to the end of the
// last window whose share of completed root requests was below normal. The share refers
// to the requests that arrived in the window, so random changes of the arrival rate do
// not count as a loss of goodput. The result is neverRecovered if such a window ends in
// the last steadyTime of the run.
func recovery(lg *standin.Log, tl timeline) int64 {
	normal := normalShare * completedShare(lg, tl.begin, tl.triggerStart, call.MinImportance)
	last := tl.triggerEnd
	for begin := tl.triggerEnd; !begin.Add(window).After(tl.end); begin = begin.Add(window) {
		if completedShare(lg, begin, begin.Add(window), call.MinImportance) < normal {
			last = begin.Add(window)
		}
	}
	if last.After(tl.end.Add(-steadyTime)) {
		return neverRecovered
	}
	return last.Sub(tl.triggerEnd).Milliseconds()
}

// orderViolations counts refusals of the most important work that violate the order of
// importance: answers with the status 503 although less important work, which its caller
// sent later, started at the given service before one window after the refusal had
// passed.
func orderViolations(lg *standin.Log, service call.Service) int {
	sent := sendTimes(lg)
	importance := make(map[standin.RootID]call.Importance, len(lg.Roots))
	for _, sn := range lg.Sends {
		importance[sn.Root] = sn.Importance
	}
	highest := highestImportance(lg)
	var lessImportant []standin.Run
	for _, rn := range lg.Runs {
		if imp, ok := importance[rn.Root]; ok && rn.Service == service && imp < highest {
			lessImportant = append(lessImportant, rn)
		}
	}
	slices.SortFunc(lessImportant, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
	violations := 0
	for _, sn := range lg.Sends {
		if sn.Importance == highest && refused(sn) && servedLaterSend(sn, lessImportant, sent) {
			violations++
		}
	}
	return violations
}

// refused reports whether a send was answered with the status 503.
func refused(sn standin.Send) bool { return sn.Status == http.StatusServiceUnavailable }

// servedLaterSend reports whether one of the runs, which are sorted by their start,
// started between the time when sn was sent and one window after it was refused, and
// serves a send that is later than sn.
func servedLaterSend(sn standin.Send, runs []standin.Run, sent map[sendID]time.Time) bool {
	first, _ := slices.BinarySearchFunc(runs, sn.Sent, func(rn standin.Run, at time.Time) int {
		return rn.Started.Compare(at)
	})
	for _, rn := range runs[first:] {
		if rn.Started.After(sn.Ended.Add(window)) {
			return false
		}
		if sent[sendID{rn.Root, rn.Send}].After(sn.Sent) {
			return true
		}
	}
	return false
}

// sendID identifies a send of a root.
type sendID struct {
	root   standin.RootID
	number int
}

// sendTimes returns the time at which each send left its caller.
func sendTimes(lg *standin.Log) map[sendID]time.Time {
	sent := make(map[sendID]time.Time, len(lg.Sends))
	for _, sn := range lg.Sends {
		sent[sendID{sn.Root, sn.Number}] = sn.Sent
	}
	return sent
}

// maxRetries returns the highest number of retries that a root request led to. The first
// run for the root, or for a call of a run, is no retry; each further run for the same
// call is.
func maxRetries(lg *standin.Log) int {
	type callID struct {
		root   standin.RootID
		parent standin.RunID
		call   int
	}
	first := make(map[callID]bool, len(lg.Runs))
	retries := make(map[standin.RootID]int)
	most := 0
	for _, rn := range lg.Runs {
		id := callID{rn.Root, rn.Parent, rn.Call}
		if !first[id] {
			first[id] = true
			continue
		}
		retries[rn.Root]++
		most = max(most, retries[rn.Root])
	}
	return most
}

// duplicateEffects counts the runs of non-idempotent work beyond the first at the same
// position of a call tree.
func duplicateEffects(lg *standin.Log) int {
	type position struct {
		root standin.RootID
		path string
	}
	paths := make(map[standin.RunID]string, len(lg.Runs))
	seen := make(map[position]bool, len(lg.Runs))
	duplicates := 0
	runs := slices.Clone(lg.Runs)
	slices.SortFunc(runs, func(a, b standin.Run) int { return cmp.Compare(a.ID, b.ID) })
	for _, rn := range runs {
		paths[rn.ID] = paths[rn.Parent] + "/" + string(rn.Service) + "." + strconv.Itoa(rn.Call)
		if rn.Idempotent {
			continue
		}
		at := position{rn.Root, paths[rn.ID]}
		if seen[at] {
			duplicates++
		}
		seen[at] = true
	}
	return duplicates
}

// mixedAnswers counts successful answers that are not the complete answer to the caller's
// own request.
func mixedAnswers(lg *standin.Log) int {
	count := 0
	for _, sn := range lg.Sends {
		if sn.Verdict == standin.Partial || sn.Verdict == standin.Foreign {
			count++
		}
	}
	return count
}

// falseNotRun counts sends that were answered as not-run although an upstream ran that
// send, or an earlier one of the same root.
func falseNotRun(lg *standin.Log) int {
	first := make(map[standin.RootID]int)
	for _, rn := range lg.Runs {
		if number, ok := first[rn.Root]; !ok || rn.Send < number {
			first[rn.Root] = rn.Send
		}
	}
	count := 0
	for _, sn := range lg.Sends {
		if number, ok := first[sn.Root]; ok && sn.Outcome == call.NotRun && number <= sn.Number {
			count++
		}
	}
	return count
}

// within reports whether a time lies in the period from begin, inclusive, to end,
// exclusive.
func within(at, begin, end time.Time) bool { return !at.Before(begin) && at.Before(end) }
