package membership_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/schema"
)

// script runs the commands of a testdata file on one network. changes counts the changes
// by kind.
type script struct {
	*network
	changes map[membership.ChangeKind]int
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{network: newNetwork(1), changes: make(map[membership.ChangeKind]int)}
		sc.check = func(_ *process, ch membership.Changed) { sc.changes[ch.Kind]++ }
		datadriven.RunTest(t, path, sc.command)
	})
}

// command runs one command of a script and returns its output.
func (sc *script) command(t *testing.T, td *datadriven.TestData) string {
	var vm, domain, service, state, instance string
	var n, domains, from, loss, born int
	td.MaybeScanArgs(t, "instance", &instance)
	td.MaybeScanArgs(t, "born", &born)
	td.MaybeScanArgs(t, "vm", &vm)
	td.MaybeScanArgs(t, "domain", &domain)
	td.MaybeScanArgs(t, "service", &service)
	td.MaybeScanArgs(t, "state", &state)
	td.MaybeScanArgs(t, "n", &n)
	td.MaybeScanArgs(t, "domains", &domains)
	td.MaybeScanArgs(t, "from", &from)
	td.MaybeScanArgs(t, "loss-percent", &loss)
	limit := scanTime(t, td)
	switch td.Cmd {
	case "cluster":
		sc.loss = float64(loss) / 100
		sc.cluster(n, domains)
	case "run":
		sc.run(limit)
	case "settle":
		return sc.reportSettled(limit)
	case "cut":
		fd := call.FailureDomain(domain)
		sc.cut = func(a, b *process) bool { return (a.set.FailureDomain == fd) != (b.set.FailureDomain == fd) }
	case "cut-pair":
		a, b := sc.process(t, vm), sc.procs[address(from)]
		sc.cut = func(x, y *process) bool { return x == a && y == b || x == b && y == a }
	case "heal":
		sc.cut = func(_, _ *process) bool { return false }
	case "pause":
		sc.process(t, vm).paused = true
	case "resume":
		sc.process(t, vm).paused = false
	case "crash":
		sc.stop(sc.process(t, vm).set.Address)
	case "start":
		sc.start(call.VM(vm), address(n), call.FailureDomain(domain), address(0), address(1))
	case "leave":
		sc.step(sc.process(t, vm), membership.Leave{})
	case "announce":
		sc.step(sc.process(t, vm), membership.AnnounceUpstreams{Upstreams: []membership.Upstream{{
			Service: call.Service(service), Slots: 35, Draining: td.HasArg("draining"),
		}}})
	case "depart":
		return sc.depart(t, vm, instance, born)
	case "recalled":
		return sc.reportRecalled(t, vm)
	case "revision":
		sc.step(sc.process(t, vm), membership.SetRevision{Revision: uint64(n)})
	case "hints":
		return sc.reportHinted(uint64(n))
	case "claim":
		sc.claim(t, vm, from, state)
	case "view":
		return sc.view(t, from, vm)
	case "died":
		defer clear(sc.changes)
		return fmt.Sprint(sc.changes[membership.Died])
	case "changes":
		return sc.reportChanges()
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	return ""
}

// scanTime returns the argument time of a command, or 0.
func scanTime(t *testing.T, td *datadriven.TestData) time.Duration {
	var text string
	td.MaybeScanArgs(t, "time", &text)
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// process returns the process of a VM.
func (sc *script) process(t *testing.T, vm string) *process {
	t.Helper()
	for _, addr := range sc.order {
		if pr := sc.procs[addr]; string(pr.set.Name) == vm {
			return pr
		}
	}
	t.Fatalf("no process %s", vm)
	return nil
}

// depart announces a departure, and returns how long it took until others hold it, rounded up to
// 100 ms, or that they do not after a second.
func (sc *script) depart(t *testing.T, vm, instance string, born int) string {
	pr := sc.process(t, vm)
	dp := membership.Departure{Instance: membership.HashInstance(instance), At: sc.now}
	if born > 0 {
		dp.StartTime = time.UnixMilli(int64(born))
	}
	sc.step(pr, membership.AnnounceDepartures{Departures: []membership.Departure{dp}})
	for waited := 0; waited <= 1000; waited += 100 {
		if pr.DeparturesConfirmed() {
			return fmt.Sprintf("confirmed within %d ms", waited)
		}
		sc.run(100 * time.Millisecond)
	}
	return "not confirmed"
}

// recallQuestions are the instances, with their starts, that reportRecalled asks for.
var recallQuestions = []struct {
	instance string
	born     int64
}{{"i-1", 10}, {"i-1", 20}, {"i-2", 10}, {"i-2", 20}, {"i-2", 30}}

// reportRecalled returns which runs of upstreams have left by what a process has recalled.
func (sc *script) reportRecalled(t *testing.T, vm string) string {
	rc := sc.process(t, vm).recalled
	if rc == nil {
		return "pending"
	}
	text := "complete"
	if !rc.Complete {
		text = "no answer"
	}
	for _, qu := range recallQuestions {
		for _, dp := range rc.Departures {
			if dp.Covers(qu.instance, time.UnixMilli(qu.born)) {
				text += fmt.Sprintf(", %s of %d left", qu.instance, qu.born)
				break
			}
		}
	}
	return text
}

// reportSettled runs until all views are correct or the limit is over, and returns which.
func (sc *script) reportSettled(limit time.Duration) string {
	for end := sc.now.Add(limit); ; sc.run(100 * time.Millisecond) {
		n, example := sc.differences()
		if n == 0 {
			return "settled"
		}
		if !sc.now.Before(end) {
			return fmt.Sprintf("%d views differ, such as %s", n, example)
		}
	}
}

// claim passes a claim about vm to the process at address number to, as if from vm-0001.
func (sc *script) claim(t *testing.T, vm string, to int, state string) {
	self := sc.process(t, vm).Self()
	value := schema.Member_State_value["STATE_"+strings.ToUpper(state)]
	sc.step(sc.procs[address(to)], membership.Receive{Datagram: &schema.Datagram{
		Deployment: "test", From: "vm-0001", FromAddress: address(1).String(),
		Kind: schema.Datagram_KIND_UPDATES,
		Members: []*schema.Member{{
			Name: vm, Incarnation: uint64(self.Incarnation), State: schema.Member_State(value),
		}},
	}})
}

// view returns what the process at address number from knows of vm.
func (sc *script) view(t *testing.T, from int, vm string) string {
	pr := sc.procs[address(from)]
	if pr == nil {
		t.Fatalf("no process at address %d", from)
	}
	for mb := range pr.Members {
		if string(mb.Name) != vm {
			continue
		}
		text := fmt.Sprintf("%s at %s refutation=%d announcement=%d", mb.State, mb.Address, mb.Refutation, mb.Announcement)
		for _, up := range mb.Upstreams {
			text += fmt.Sprintf(" %s slots=%d draining=%t", up.Service, up.Slots, up.Draining)
		}
		return text
	}
	return "unknown"
}

// reportChanges returns the number of changes since the last call, by kind.
func (sc *script) reportChanges() string {
	var text []string
	for kind := membership.Joined; kind <= membership.Departed; kind++ {
		if sc.changes[kind] > 0 {
			text = append(text, fmt.Sprintf("%s %d", kind, sc.changes[kind]))
		}
	}
	clear(sc.changes)
	return strings.Join(text, "\n")
}

// reportHinted returns whether at least as many processes have a hint of the revision as
// it is sent to directly (urgentCopies).
func (sc *script) reportHinted(revision uint64) string {
	n := 0
	sc.each(func(pr *process) {
		for _, hint := range pr.hints {
			if hint.Revision == revision {
				n++
				break
			}
		}
	})
	return fmt.Sprint(n >= 8)
}
