package freshness

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
)

// script runs the commands of a testdata file on one network.
type script struct {
	nt     *network
	cutOff map[call.VM]bool
	// begun is the time of the network at the start of the script, and counted that of the last
	// count of queries.
	begun, counted time.Time
}

// TestScripts runs the scripts in testdata.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		sc := &script{cutOff: make(map[call.VM]bool)}
		datadriven.RunTest(t, path, sc.command)
	})
}

// command runs one command of a script and returns its output.
func (sc *script) command(t *testing.T, td *datadriven.TestData) string {
	var n, position int
	var length string
	td.MaybeScanArgs(t, "n", &n)
	td.MaybeScanArgs(t, "position", &position)
	td.MaybeScanArgs(t, "time", &length)
	for _, arg := range td.CmdArgs {
		if arg.Key == "serving" {
			sc.each(func(nd *node) {
				nd.serving = true
				nd.machine.Used(nd.clock(sc.nt))
			})
		}
	}
	switch td.Cmd {
	case "network":
		sc.nt = newNetwork(1, n)
		sc.begun, sc.counted = sc.nt.now, sc.nt.now
		sc.nt.cut = func(from, to call.VM) bool { return sc.cutOff[from] != sc.cutOff[to] }
	case "run":
		d, err := time.ParseDuration(length)
		if err != nil {
			t.Fatal(err)
		}
		sc.nt.run(d)
	case "accept":
		return fmt.Sprintf("revision %d\n", sc.nt.accept())
	case "apply":
		sc.each(func(nd *node) { sc.nt.apply(nd, uint64(len(sc.nt.acknowledged))) })
	case "lease":
		sc.nt.leads = !sc.nt.leads
	case "cut":
		vm := sc.at(position)
		sc.cutOff[vm] = !sc.cutOff[vm]
	case "cut-control":
		sc.cutOff[Control] = !sc.cutOff[Control]
	case "suspend", "resume":
		sc.nt.node(sc.at(position)).suspended = td.Cmd == "suspend"
	case "restart":
		nd := sc.nt.node(sc.at(position))
		sc.nt.restart(nd, nd.revision)
	case "fresh":
		oldest := time.Duration(0)
		sc.each(func(nd *node) {
			if age, ok := nd.machine.ProofAge(nd.clock(sc.nt)); ok {
				oldest = max(oldest, age)
			}
		})
		return fmt.Sprintf("%v: %d of %d trust their keys, oldest proof %v\n", sc.nt.now.Sub(sc.begun), sc.nt.fresh(), len(sc.nt.nodes), oldest.Round(10*time.Millisecond))
	case "queries":
		passed := sc.nt.now.Sub(sc.counted).Seconds()
		most := 0
		for _, count := range sc.nt.nodeQueries {
			most = max(most, count)
		}
		control := sc.nt.controlQueries
		clear(sc.nt.nodeQueries)
		sc.nt.controlQueries, sc.counted = 0, sc.nt.now
		return fmt.Sprintf("per second: %.1f at control, at most %.1f at a node\n", float64(control)/passed, float64(most)/passed)
	default:
		t.Fatalf("unknown command %s", td.Cmd)
	}
	return ""
}

// each calls do for each node.
func (sc *script) each(do func(*node)) {
	for _, nd := range sc.nt.nodes {
		do(nd)
	}
}

// at returns the node at a position of the tree.
func (sc *script) at(position int) call.VM {
	var names []call.VM
	sc.each(func(nd *node) { names = append(names, nd.name) })
	Order(names)
	return names[position]
}
