package soak

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
)

// TestLost runs testdata/lost. Each line of a record is `SECONDS EVENT SUBJECT [FLAG] [KEY=VALUE]`.
// The output holds the verdict of each request that had no whole answer, and the findings by rule.
func TestLost(t *testing.T) {
	datadriven.RunTest(t, "testdata/lost", func(t *testing.T, td *datadriven.TestData) string {
		var events []Event
		for line := range strings.Lines(td.Input) {
			events = append(events, parseEvent(t, strings.TrimSpace(line)))
		}
		controls := []call.VM{"core-1", "core-2", "core-3", "core-4"}
		hi := newHistory(events, controls)
		var out strings.Builder
		for _, fa := range hi.fates {
			if lv := hi.verdict(fa); lv != "" {
				fmt.Fprintf(&out, "%s: %s\n", fa.ID, lv)
			}
		}
		findings, _ := CheckLost(events, controls)
		for _, fi := range append(findings, CheckPromises(events)...) {
			text, _, _ := strings.Cut(fi.Text, ": ")
			text, _, _ = strings.Cut(text, " (")
			fmt.Fprintf(&out, "%s %s\n", fi.Rule, text)
		}
		return out.String()
	})
}

// parseEvent reads a line of a record. Names of signals are those of package syscall. Requests have
// a deadline and a timeout of 6 s, are safe, and come on a connection that is kept, unless the line
// says otherwise.
func parseEvent(t *testing.T, line string) Event {
	t.Helper()
	words := strings.Fields(line)
	if len(words) < 3 {
		t.Fatalf("%q: too short", line)
	}
	at, subject := parseMoment(t, words[0]), words[2]
	flags, values := make(map[string]bool), map[string]string{"deadline": "6s", "timeout": "6s", "kind": string(Safe)}
	for _, word := range words[3:] {
		if key, value, ok := strings.Cut(word, "="); ok {
			values[key] = value
			continue
		}
		flags[word] = true
	}
	id, vm := RequestID(subject), call.VM(subject)
	length := func(key string) time.Duration {
		le, err := time.ParseDuration(values[key])
		if err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		return le
	}
	status, _ := strconv.Atoi(values["status"])
	switch words[1] {
	case "sent":
		se := Sent{
			ID: id, Begun: at, At: at, Node: call.VM(values["node"]), Kept: !flags["new"], Behind: flags["behind"],
			Deadline: length("deadline"), Timeout: length("timeout"), Kind: Kind(values["kind"]),
		}
		if begun := values["begun"]; begun != "" {
			se.Begun = parseMoment(t, begun)
		}
		return se
	case "arrived":
		return Arrived{ID: id, At: at, Upstream: call.VM(values["upstream"]), NotRun: flags["not-run"]}
	case "ran":
		return Ran{ID: id, At: at, Upstream: call.VM(values["upstream"]), Dropped: flags["dropped"], BrokeOff: flags["broke-off"]}
	case "answered":
		return Answered{ID: id, At: at, Status: status, Signed: flags["signed"]}
	case "cut":
		return Cut{ID: id, At: at, Reset: flags["reset"]}
	case "gave-up":
		return GaveUp{id, at}
	case "signalled":
		signals := map[string]syscall.Signal{
			"SIGTERM": syscall.SIGTERM, "SIGKILL": syscall.SIGKILL, "SIGHUP": syscall.SIGHUP, "SIGSTOP": syscall.SIGSTOP, "SIGCONT": syscall.SIGCONT,
		}
		name := slices.Collect(maps.Keys(flags))
		if len(name) != 1 || signals[name[0]] == 0 {
			t.Fatalf("%q: unknown signal", line)
		}
		return Signalled{vm, at, signals[name[0]]}
	case "started":
		return Started{vm, at}
	case "ended":
		return Ended{VM: vm, At: at, Own: flags["own"]}
	case "impaired":
		return Impaired{VM: vm, At: at, Over: flags["over"]}
	case "config-sent":
		return ConfigSent{parseVersion(t, subject), at}
	case "config-answered":
		return ConfigAnswered{parseVersion(t, subject), at, status}
	}
	t.Fatalf("%q: unknown event", line)
	return nil
}

func parseMoment(t *testing.T, text string) Moment {
	t.Helper()
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return Moment(seconds * float64(time.Second))
}

func parseVersion(t *testing.T, text string) Version {
	t.Helper()
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return Version(number)
}
