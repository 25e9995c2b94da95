package soak

import (
	"fmt"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
	"camphortrail/platform/document"
)

// TestConfigCheck runs the scripts in testdata/config. The input of the command check is a record
// with a line for each event, and its output what breaks the rules. Four control replicas, c1 to
// c4, and the nodes n1 (of sportello) and n2 (of cassa) start at 0.
func TestConfigCheck(t *testing.T) {
	datadriven.Walk(t, "testdata/config", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			check := ConfigCheck{
				Controls: []call.VM{"c1", "c2", "c3", "c4"},
				Services: map[call.VM]call.Service{"n1": Sportello, "n2": Cassa},
			}
			var sc recordScript
			for _, vm := range []call.VM{"c1", "c2", "c3", "c4", "n1", "n2"} {
				sc.events = append(sc.events, Started{VM: vm})
			}
			for line := range strings.Lines(td.Input) {
				sc.add(t, strings.Fields(line))
			}
			var out strings.Builder
			for _, fi := range check.Check(sc.events) {
				fmt.Fprintf(&out, "%s: %s\n", fi.Rule, fi.Text)
			}
			if out.Len() == 0 {
				return "none\n"
			}
			return out.String()
		})
	})
}

// recordScript makes a record from a script.
type recordScript struct {
	events   []Event
	requests int
}

// moment returns a moment that is stated in seconds.
func moment(t *testing.T, text string) Moment {
	t.Helper()
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		t.Fatal(err)
	}
	return Moment(seconds * float64(time.Second))
}

func number(t *testing.T, text string) int {
	t.Helper()
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// add adds the events of a line:
//
//	change ID AT VERSION BASE [ROUTE=SERVICE | ROUTE=SERVICE:WEIGHT+SERVICE:WEIGHT | timeout=MS | fault]...
//	answer ID SENT AT STATUS [lost]
//	read VM SENT STATUS ID [final]
//	request COUNT NODE AT ROUTE [SERVICE@AT | STATUS@AT]...
//	signal VM AT kill | term | stop | cont | hup
//	start | impair | recover | remove VM AT
func (sc *recordScript) add(t *testing.T, words []string) {
	t.Helper()
	switch verb, args := words[0], words[1:]; verb {
	case "change":
		sc.events = append(sc.events, newChange(t, args))
	case "answer":
		sc.events = append(sc.events, ChangeAnswered{
			ID: ChangeID(number(t, args[0])), Sent: moment(t, args[1]), At: moment(t, args[2]), VM: "c1",
			Status: number(t, args[3]), Lost: len(args) > 4,
		})
	case "read":
		sc.events = append(sc.events, ConfigRead{
			VM: call.VM(args[0]), Sent: moment(t, args[1]), At: moment(t, args[1]), Status: number(t, args[2]),
			ID: ChangeID(number(t, args[3])), Final: len(args) > 4,
		})
	case "request":
		for range number(t, args[0]) {
			sc.addRequest(t, args[1:])
		}
	case "signal":
		sig := map[string]syscall.Signal{
			"kill": syscall.SIGKILL, "term": syscall.SIGTERM, "stop": syscall.SIGSTOP, "cont": syscall.SIGCONT, "hup": syscall.SIGHUP,
		}[args[2]]
		sc.events = append(sc.events, Signalled{VM: call.VM(args[0]), At: moment(t, args[1]), Signal: sig})
	case "start":
		sc.events = append(sc.events, Started{VM: call.VM(args[0]), At: moment(t, args[1])})
	case "impair", "recover":
		sc.events = append(sc.events, Impaired{VM: call.VM(args[0]), At: moment(t, args[1]), Over: verb == "recover"})
	case "remove":
		sc.events = append(sc.events, Impaired{VM: call.VM(args[0]), At: moment(t, args[1]), Cause: causeRemoved})
	default:
		t.Fatalf("unknown event %q", verb)
	}
}

func newChange(t *testing.T, args []string) ChangeSent {
	t.Helper()
	co := Configuration{Version: Version(number(t, args[2])), BaseVersion: Version(number(t, args[3]))}
	ch := ChangeSent{ID: ChangeID(number(t, args[0])), At: moment(t, args[1])}
	timeout := int64(6000)
	for _, word := range args[4:] {
		name, value, ok := strings.Cut(word, "=")
		switch {
		case !ok:
			ch.Fault = name
			continue
		case name == "timeout":
			timeout = int64(number(t, value))
			continue
		}
		ro := Route{Prefix: "/" + name + "/", TimeoutMS: timeout}
		for share := range strings.SplitSeq(value, "+") {
			service, weight, isShare := strings.Cut(share, ":")
			if !isShare {
				ro.Service = call.Service(service)
				break
			}
			ro.TrafficSplit = append(ro.TrafficSplit, Share{Service: call.Service(service), Weight: number(t, weight)})
		}
		co.Resources = append(co.Resources, document.NewRoute(name, ro))
	}
	ch.Configuration = co
	return ch
}

// addRequest adds a request and what became of it.
func (sc *recordScript) addRequest(t *testing.T, args []string) {
	t.Helper()
	sc.requests++
	id := RequestID(strconv.Itoa(sc.requests))
	sc.events = append(sc.events, Sent{
		ID: id, Node: call.VM(args[0]), At: moment(t, args[1]), Path: "/" + args[2] + "/x?work=1", Deadline: 5 * time.Second,
	})
	for _, word := range args[3:] {
		what, text, _ := strings.Cut(word, "@")
		at := moment(t, text)
		switch call.Service(what) {
		case Sportello:
			sc.events = append(sc.events, Arrived{ID: id, At: at, Upstream: "n1"})
		case Cassa:
			sc.events = append(sc.events, Arrived{ID: id, At: at, Upstream: "n2"})
		default:
			status := number(t, what)
			sc.events = append(sc.events, Answered{ID: id, At: at, Status: status, Signed: status == 200})
		}
	}
}
