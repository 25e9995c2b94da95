// Package explain puts the log lines of a request, and of the calls made for it,
// in causal order.
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

// ErrUnknown is returned for a request of which no line was read.
var ErrUnknown = errors.New("story: no line names the request")

// maxLineBytes bounds a line of a log, in bytes. Longer ones are no decisions.
const maxLineBytes = 1 << 20

// Decisions holds the decisions that were read. The zero value holds none.
type Decisions struct {
	byRequest  map[string][]events.Line
	callsOf  map[string][]string
	foldedLines  []events.Line
	parentOf map[string]string
	// skipped counts the lines that are no decisions.
	skipped int
}

// Read takes in the lines of a log. Text before the first brace of a line is
// passed over, and so are lines that are no decisions.
func (st *Decisions) Read(r io.Reader) error {
	if st.byRequest == nil {
		st.byRequest, st.callsOf, st.parentOf = make(map[string][]events.Line), make(map[string][]string), make(map[string]string)
	}
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		var ln events.Line
		begin := bytes.IndexByte(sc.Bytes(), '{')
		if begin < 0 || json.Unmarshal(sc.Bytes()[begin:], &ln) != nil || ln.Kind == "" {
			st.skipped++
			continue
		}
		st.add(ln)
	}
	return errors.Wrap(sc.Err(), "story")
}

// Skipped returns the number of lines that were no decisions.
func (st *Decisions) Skipped() int { return st.skipped }

func (st *Decisions) add(ln events.Line) {
	if ln.Folded > 0 {
		st.foldedLines = append(st.foldedLines, ln)
		return
	}
	st.byRequest[ln.Request] = append(st.byRequest[ln.Request], ln)
	if ln.Parent != "" && st.parentOf[ln.Request] == "" {
		st.parentOf[ln.Request] = ln.Parent
		st.callsOf[ln.Parent] = append(st.callsOf[ln.Parent], ln.Request)
	}
}

// Explain prints what is known of a request and of the calls made for it.
func (st *Decisions) Explain(w io.Writer, request string) error {
	if len(st.byRequest[request]) == 0 && len(st.callsOf[request]) == 0 {
		if len(st.foldedLines) > 0 {
			return errors.Wrapf(ErrUnknown, "%q (lines stand for %d further decisions that have none of their own)", request, st.foldedCount())
		}
		return errors.Wrapf(ErrUnknown, "%q", request)
	}
	var out strings.Builder
	if parent := st.parentOf[request]; parent != "" {
		fmt.Fprintf(&out, "call of %s\n", parent)
	}
	st.printRequest(&out, request, 0, make(map[string]bool))
	st.printFolded(&out, request)
	_, err := io.WriteString(w, out.String())
	return err
}

func (st *Decisions) foldedCount() int {
	sum := 0
	for _, ln := range st.foldedLines {
		sum += ln.Folded
	}
	return sum
}

// printRequest prints the lines of a request and, below, those of its calls.
func (st *Decisions) printRequest(out *strings.Builder, request string, depth int, told map[string]bool) {
	if told[request] {
		return
	}
	told[request] = true
	indent := strings.Repeat("  ", depth)
	lines := st.byRequest[request]
	slices.SortStableFunc(lines, func(a, b events.Line) int { return strings.Compare(a.Time, b.Time) })
	fmt.Fprintf(out, "%srequest %s%s\n", indent, request, kindAndService(lines))
	for _, ln := range lines {
		fmt.Fprintf(out, "%s  %s %s: %s\n", indent, timeOfDay(ln.Time), ln.Node, describe(ln))
	}
	for _, call := range st.callsOf[request] {
		st.printRequest(out, call, depth+1, told)
	}
}

// kindAndService returns the kind and the service of a request.
func kindAndService(lines []events.Line) string {
	for _, ln := range lines {
		if ln.Class != "" {
			return fmt.Sprintf(" of kind %s to %s", ln.Class, ln.Service)
		}
	}
	return ""
}

// timeOfDay returns the time of day of a timestamp.
func timeOfDay(stamp string) string {
	_, text, ok := strings.Cut(strings.TrimSuffix(stamp, "Z"), "T")
	if !ok {
		return stamp
	}
	return text
}

// describe says what was decided, and from what.
func describe(ln events.Line) string {
	parts := []string{string(ln.Kind)}
	add := func(format string, args ...any) { parts = append(parts, fmt.Sprintf(format, args...)) }
	if ln.Reason != "" {
		add("for %s", ln.Reason)
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
	return strings.Join(parts, " ")
}

// printFolded prints the lines that stand for several decisions, of the VMs that
// the request's lines name and of its time: it may have met one of them.
func (st *Decisions) printFolded(out *strings.Builder, request string) {
	vms := make(map[string]bool)
	var from, until time.Time
	for _, ln := range st.byRequest[request] {
		vms[ln.Node] = true
		begun, ended := interval(ln.Time, ln.TookMS)
		if from.IsZero() || begun.Before(from) {
			from = begun
		}
		if ended.After(until) {
			until = ended
		}
	}
	for _, ln := range st.foldedLines {
		begun, ended := interval(ln.Time, ln.SpanMS)
		if vms[ln.Node] && !ended.Before(from) && !begun.After(until) {
			fmt.Fprintf(out, "until %s, for %d ms, %s also decided %d times without a line each: %s for %s\n",
				timeOfDay(ln.Time), ln.SpanMS, ln.Node, ln.Folded, ln.Kind, ln.Reason)
		}
	}
}

// interval returns the time that ends with a timestamp, which is zero if that cannot
// be read.
func interval(stamp string, ms int64) (begun, ended time.Time) {
	ended, err := time.Parse(time.RFC3339, stamp)
	if err != nil {
		return time.Time{}, time.Time{}
	}
	return ended.Add(-time.Duration(ms) * time.Millisecond), ended
}
