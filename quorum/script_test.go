package quorum_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/quorum"
)

// TestScripts runs the scripts in testdata. A command acts on the replicas that it names,
// or on the leader. The command status prints all replicas.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var nw *network
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			if td.Cmd == "new" {
				var size int
				td.ScanArgs(t, "size", &size)
				nw = newNetwork(t, size, 1)
				return ""
			}
			return nw.command(t, td)
		})
	})
}

// command runs one command of a script and returns its output.
func (nw *network) command(t *testing.T, td *datadriven.TestData) string {
	t.Helper()
	var ids []quorum.Replica
	for _, arg := range td.CmdArgs {
		id := quorum.Replica(arg.Key)
		if arg.Key == "leader" {
			id, _ = nw.leader()
		}
		ids = append(ids, id)
	}
	switch td.Cmd {
	case "run":
		dur, err := time.ParseDuration(td.CmdArgs[0].Key)
		if err != nil {
			td.Fatalf(t, "%v", err)
		}
		nw.run(dur)
	case "heal":
		nw.heal()
	case "status":
		return nw.print()
	default:
		for _, id := range ids {
			nw.act(t, td, id)
		}
	}
	return ""
}

// act runs a command for one replica.
func (nw *network) act(t *testing.T, td *datadriven.TestData, id quorum.Replica) {
	t.Helper()
	switch td.Cmd {
	case "propose":
		nw.propose(id)
	case "stop":
		nw.stop(id)
	case "start":
		nw.start(id)
	case "lose-disk":
		nw.stop(id)
		nw.loseDisk(id)
	case "cut":
		nw.cut[id] = true
	case "compact":
		nw.compact(id)
	case "fill-disk":
		nw.hosts[id].failing = true
	case "fail-disk":
		nw.step(id, quorum.PersistFailed{})
	case "free-disk":
		nw.hosts[id].failing = false
	case "transfer":
		nw.step(id, quorum.Transfer{})
	default:
		td.Fatalf(t, "unknown command %s", td.Cmd)
	}
}

// print returns one line for each replica, and one with the accepted entries.
func (nw *network) print() string {
	var out strings.Builder
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		if !ho.up {
			fmt.Fprintf(&out, "%s: down\n", id)
			continue
		}
		st := ho.ma.Status()
		fmt.Fprintf(&out, "%s: %v, term +%d, commit %d, current %v\n",
			id, st.Role, st.Term%1000, st.Commit, ho.ma.HasLease(nw.clock(ho)))
	}
	fmt.Fprintf(&out, "accepted: %v, rejected: %d, open: %d", nw.applied, nw.rejected, len(nw.openProposals))
	return out.String()
}
