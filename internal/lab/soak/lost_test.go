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
			ID: id, Begun: at, At: at, Node: call.VM(values["node"]), Kept: !flags["new"], Behind: flags["behind"], Crossed: flags["crossed"],
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

// The report of a run says how much was served, what was at work at a SIGTERM, and which requests got an
// answer of the system's own before they were due, at any node.
func TestServedAndOwnAnswersAreReported(t *testing.T) {
	var events []Event
	for _, line := range []string{
		"10 signalled a SIGTERM",
		"9 sent r1 node=a timeout=3s",
		"9.1 arrived r1 upstream=b",
		"10.5 ran r1 upstream=b",
		"10.6 answered r1 status=200 signed",
		"9 sent r2 node=a timeout=3s",
		"9.1 arrived r2 upstream=b",
		"9.5 answered r2 status=502",
		"20 sent r3 node=b timeout=3s",
		"20.1 arrived r3 upstream=c",
		"21 answered r3 status=504",
		"20 sent r4 node=b timeout=3s",
		"20.1 arrived r4 upstream=c",
		"23 answered r4 status=504",
		"20 sent r5 node=b timeout=3s",
		"20.1 answered r5 status=503",
	} {
		events = append(events, parseEvent(t, line))
	}
	hi := newHistory(events, nil)
	if got := hi.servedShare(); got != 0.2 {
		t.Errorf("served %v, want 0.2", got)
	}
	if got := hi.atWorkAtStops(); got != 1 {
		t.Errorf("%d at work at the SIGTERM, want r1", got)
	}
	if texts, count := hi.ownAnswers(); count != 2 {
		t.Errorf("%d own answers, want r2 and r3: %q", count, texts)
	}
}
