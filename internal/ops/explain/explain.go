// Package explain prints the logged decisions about a request, and about the calls made for
// it, in causal order. It reads the logs of any number of processes.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/ops/events"
)

// ErrUnknown is returned for a request that no line names.
var ErrUnknown = errors.New("story: no line names the request")

// maxLineBytes bounds the length of a line that can be read. Decisions are much shorter.
const maxLineBytes = 1 << 20

// Decisions holds the decisions read from logs. The zero value is empty.
type Decisions struct {
	// byRequest holds the decisions about each request.
	byRequest map[string][]events.Line
	// callsOf holds the calls made for each request.
	callsOf map[string][]string
	// foldedLines holds the lines that stand for several decisions.
	foldedLines []events.Line
	// parentOf holds the request for which each call was made.
	parentOf map[string]string
	// skipped counts the lines that are not decisions.
	skipped int
}

// Read reads the lines of a log. It ignores the text before the first brace of a line, and skips
// lines that are not decisions. It fails at a line of maxLineBytes or more.
func (de *Decisions) Read(r io.Reader) error {
	if de.byRequest == nil {
		de.byRequest, de.callsOf, de.parentOf = make(map[string][]events.Line), make(map[string][]string), make(map[string]string)
	}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		var ln events.Line
		begin := bytes.IndexByte(sc.Bytes(), '{')
		if begin < 0 || json.Unmarshal(sc.Bytes()[begin:], &ln) != nil || ln.Kind == "" {
			de.skipped++
			continue
		}
		de.add(ln)
	}
	return errors.Wrap(sc.Err(), "story")
}

// Skipped returns the number of lines that are not decisions.
func (de *Decisions) Skipped() int { return de.skipped }

// add records one decision.
func (de *Decisions) add(ln events.Line) {
	if ln.Folded > 0 {
		de.foldedLines = append(de.foldedLines, ln)
		return
	}
	de.byRequest[ln.Request] = append(de.byRequest[ln.Request], ln)
	if ln.Parent != "" && de.parentOf[ln.Request] == "" {
		de.parentOf[ln.Request] = ln.Parent
		de.callsOf[ln.Parent] = append(de.callsOf[ln.Parent], ln.Request)
	}
}

// Explain prints the decisions about a request and about the calls made for it, and then the
// folded lines that may stand for more of them. It returns ErrUnknown for an unknown request.
func (de *Decisions) Explain(w io.Writer, request string) error {
	if len(de.byRequest[request]) == 0 && len(de.callsOf[request]) == 0 {
		if len(de.foldedLines) > 0 {
			return errors.Wrapf(ErrUnknown, "%q (lines stand for %d further decisions that have none of their own)", request, de.foldedCount())
		}
		return errors.Wrapf(ErrUnknown, "%q", request)
	}
	var out strings.Builder
	if parent := de.parentOf[request]; parent != "" {
		fmt.Fprintf(&out, "call of %s\n", parent)
	}
	de.printRequest(&out, request, 0, make(map[string]bool))
	de.printFolded(&out, request)
	_, err := io.WriteString(w, out.String())
	return err
}

// foldedCount returns the number of decisions for which the folded lines stand.
func (de *Decisions) foldedCount() int {
	sum := 0
	for _, ln := range de.foldedLines {
		sum += ln.Folded
	}
	return sum
}

// printRequest prints the decisions about a request by time and, indented below, those about
// its calls. It skips the requests in printed, so that a cycle of parents ends.
func (de *Decisions) printRequest(out *strings.Builder, request string, depth int, printed map[string]bool) {
	if printed[request] {
		return
	}
	printed[request] = true
	indent := strings.Repeat("  ", depth)
	lines := de.byRequest[request]
	slices.SortStableFunc(lines, func(a, b events.Line) int { return strings.Compare(a.Time, b.Time) })
	fmt.Fprintf(out, "%srequest %s%s\n", indent, request, kindAndService(lines))
	for _, ln := range lines {
		fmt.Fprintf(out, "%s  %s %s: %s\n", indent, timeOfDay(ln.Time), ln.Node, describe(ln))
	}
	for _, call := range de.callsOf[request] {
		de.printRequest(out, call, depth+1, printed)
	}
}

// kindAndService returns a phrase with the kind and the service of a request, or "".
func kindAndService(lines []events.Line) string {
	for _, ln := range lines {
		if ln.Class != "" {
			return fmt.Sprintf(" of kind %s to %s", ln.Class, ln.Service)
		}
	}
	return ""
}

// timeOfDay returns the time of day of a timestamp, or the whole text if it is malformed.
func timeOfDay(timestamp string) string {
	_, text, ok := strings.Cut(strings.TrimSuffix(timestamp, "Z"), "T")
	if !ok {
		return timestamp
	}
	return text
}

// describe returns a decision and the values on which it was based, as a phrase.
func describe(ln events.Line) string {
	parts := []string{string(ln.Kind)}
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	if ln.Reason != "" {
		add("for %s", ln.Reason)
	}
	if ln.Customer != "" {
		add("(customer %s)", ln.Customer)
	}
	if ln.VM != "" {
		add("by way of %s", ln.VM)
	}
	if ln.Status != 0 {
		add("with status %d", ln.Status)
	}
	add("after %d ms, %d ms left", ln.TookMS, ln.LeftMS)
	if ln.Attempts > 1 {
		add("(%d attempts)", ln.Attempts)
	}
	if ln.RetryAfterMS > 0 {
		add("(may come back after %d ms)", ln.RetryAfterMS)
	}
	if ln.Importance > 0 {
		add("(importance %d)", ln.Importance)
	}
	if ln.Slots > 0 {
		add("(%d of %d slots taken, %d waited, level %d)", ln.Running, ln.Slots, ln.Waiting, ln.Level)
	}
	if ln.OccupancyPercent > 0 {
		add("(occupancy %d %%)", ln.OccupancyPercent)
	}
	if ln.SharePercent > 0 {
		add("(%d %% of its kind admitted)", ln.SharePercent)
	}
	if ln.Rule == events.FairShare {
		add("(%s: %.2f of %.2f requests a second owed)", ln.Rule, ln.OwedPerS, ln.AskedPerS)
	}
	return strings.Join(parts, " ")
}

// printFolded prints the folded lines whose time span overlaps that of the request's
// decisions, on the same VMs: they may stand for further decisions about the request.
func (de *Decisions) printFolded(out *strings.Builder, request string) {
	vms := make(map[string]bool)
	var from, until time.Time
	for _, ln := range de.byRequest[request] {
		vms[ln.Node] = true
		begun, ended := interval(ln.Time, ln.TookMS)
		if from.IsZero() || begun.Before(from) {
			from = begun
		}
		if ended.After(until) {
			until = ended
		}
	}
	for _, ln := range de.foldedLines {
		begun, ended := interval(ln.Time, ln.SpanMS)
		if vms[ln.Node] && !ended.Before(from) && !begun.After(until) {
			fmt.Fprintf(out, "until %s, for %d ms, %s also decided %d times without a line each: %s for %s\n",
				timeOfDay(ln.Time), ln.SpanMS, ln.Node, ln.Folded, ln.Kind, ln.Reason)
		}
	}
}

// interval returns the interval of the given length that ends at a timestamp. Both times are
// zero if the timestamp is malformed.
func interval(timestamp string, ms int64) (begun, ended time.Time) {
	ended, err := time.Parse(time.RFC3339, timestamp)
	if err != nil {
		return time.Time{}, time.Time{}
	}
	return ended.Add(-time.Duration(ms) * time.Millisecond), ended
}
