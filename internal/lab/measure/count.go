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
	// window is the length of the windows in which goodput is compared, and
	// the time after a refusal in which the order of importance must hold.
	window = 100 * time.Millisecond
	// normalShare is the share of the goodput before the trigger at which
	// goodput is back to normal.
	normalShare = 0.95
	// steady is the time at the end of a run in which goodput must be normal
	// for the run to count as recovered.
	steady = time.Second
	// neverRecovered stands for a recovery time that lies beyond the run.
	neverRecovered = -1
)

// timeline holds the times of one arm. Roots are counted from begin to end.
type timeline struct {
	begin, triggerStart, triggerEnd, end time.Time
}

// goodput returns the whole root requests that were completed in time during
// the trigger, over expected requests a second.
func goodput(lg *standin.Log, tl timeline, expected float64) float64 {
	whole := 0
	for _, rt := range lg.Roots {
		if rt.Succeeded && within(rt.Ended, tl.triggerStart, tl.triggerEnd) {
			whole++
		}
	}
	return float64(whole) / (expected * tl.triggerEnd.Sub(tl.triggerStart).Seconds())
}

// importantShare returns the share of the most important root requests that
// arrived during the trigger and were completed in time. It is 1 when there
// were none.
func importantShare(lg *standin.Log, tl timeline) float64 {
	return share(lg, tl.triggerStart, tl.triggerEnd, highestImportance(lg))
}

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

// failures counts the sends that did not bring the whole answer, by class and
// then by status, outcome and reason.
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

// share returns the share of the root requests of at least the importance
// least, arrived from begin to end, that were completed in time.
func share(lg *standin.Log, begin, end time.Time, least call.Importance) float64 {
	arrived, whole := 0, 0
	for _, rt := range lg.Roots {
		if rt.Importance < least || !within(rt.Arrived, begin, end) {
			continue
		}
		arrived++
		if rt.Succeeded {
			whole++
		}
	}
	if arrived == 0 {
		return 1
	}
	return float64(whole) / float64(arrived)
}

// recovery returns the time from the trigger's end to the end of the last
// window in which the share of root requests completed in time was below the
// normal one. The share is taken over the requests that arrived in a window,
// so that it does not follow the chance of arrivals. It is neverRecovered if
// there is such a window in the last second of the run.
func recovery(lg *standin.Log, tl timeline) int64 {
	normal := normalShare * share(lg, tl.begin, tl.triggerStart, call.MinImportance)
	last := tl.triggerEnd
	for begin := tl.triggerEnd; !begin.Add(window).After(tl.end); begin = begin.Add(window) {
		if share(lg, begin, begin.Add(window), call.MinImportance) < normal {
			last = begin.Add(window)
		}
	}
	if last.After(tl.end.Add(-steady)) {
		return neverRecovered
	}
	return last.Sub(tl.triggerEnd).Milliseconds()
}

// orderViolations counts refusals of the most important work that break the
// order of importance. A send of it that is answered with the status 503
// breaks the order if a run of less important work at the given service
// serves a send that left its caller later than the refused one did, and
// began at most one window after the refusal arrived.
func orderViolations(lg *standin.Log, service call.Service) int {
	sent := sendTimes(lg)
	importance := make(map[standin.RootID]call.Importance, len(lg.Roots))
	for _, sn := range lg.Sends {
		importance[sn.Root] = sn.Importance
	}
	highest := highestImportance(lg)
	var lesser []standin.Run
	for _, rn := range lg.Runs {
		if imp, ok := importance[rn.Root]; ok && rn.Service == service && imp < highest {
			lesser = append(lesser, rn)
		}
	}
	slices.SortFunc(lesser, func(a, b standin.Run) int { return a.Started.Compare(b.Started) })
	violations := 0
	for _, sn := range lg.Sends {
		if sn.Importance == highest && refused(sn) && overtaken(sn, lesser, sent) {
			violations++
		}
	}
	return violations
}

func refused(sn standin.Send) bool { return sn.Status == http.StatusServiceUnavailable }

// overtaken reports whether a later send led to one of the runs, which are
// sorted by their start, up to one window after sn was refused.
func overtaken(sn standin.Send, runs []standin.Run, sent map[sendID]time.Time) bool {
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

type sendID struct {
	root   standin.RootID
	number int
}

func sendTimes(lg *standin.Log) map[sendID]time.Time {
	sent := make(map[sendID]time.Time, len(lg.Sends))
	for _, sn := range lg.Sends {
		sent[sendID{sn.Root, sn.Number}] = sn.Sent
	}
	return sent
}

// maxRetries returns the highest number of runs beyond first sends that one
// root request led to. The first run for a call of one run, or for the root,
// is its first send; all others for the same call are retries.
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

// duplicateEffects counts the runs of non-idempotent work beyond the first at
// the same position of a root's call tree.
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

// mixedAnswers counts answers that were passed on as successful and are not
// the complete answer to the caller's own request.
func mixedAnswers(lg *standin.Log) int {
	count := 0
	for _, sn := range lg.Sends {
		if sn.Verdict == standin.Partial || sn.Verdict == standin.Foreign {
			count++
		}
	}
	return count
}

// falseNotRun counts sends that were answered as not run although an upstream
// ran that send, or an earlier one of the same root.
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

func within(at, begin, end time.Time) bool { return !at.Before(begin) && at.Before(end) }
