package control

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/schema"
)

// TestOneReplica applies a version twice and restarts the only replica.
func TestOneReplica(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 1)
	first := fl.mustAccept(configuration(1, "sportello"))
	if again := fl.mustAccept(configuration(1, "sportello")); again != first {
		t.Fatalf("same apply got revision %d, want %d", again, first)
	}
	fl.stop(0)
	fl.start(0)
	if got := fl.version(); got != 1 {
		t.Fatalf("version %d after a restart, want 1", got)
	}
}

// TestOtherReplicasAreRefused opens the data folder of one replica with settings that list
// others.
func TestOtherReplicasAreRefused(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 1)
	fl.mustAccept(configuration(1, "sportello"))
	fl.stop(0)
	for name, replicas := range map[string][]*schema.ControlReplica{
		"more":  {{Name: "control-1"}, {Name: "control-2"}, {Name: "control-3"}},
		"other": {{Name: "control-4"}},
	} {
		_, err := New(&schema.Settings{
			Name: replicas[0].GetName(), DataFolder: fl.folders[0], ControlReplicas: replicas,
		}, Options{})
		if !errors.Is(err, ErrReplicaMismatch) {
			t.Errorf("%s replicas: New error = %v, want ErrReplicaMismatch", name, err)
		}
	}
}

// TestLogClockAdvancesByMonotonicTime checks that the clock advances by the local time since
// the last entry, and never goes back.
func TestLogClockAdvancesByMonotonicTime(t *testing.T) {
	t.Parallel()
	var ck logClock
	begin := time.Now()
	if got := ck.now(begin); got != begin.UnixMilli() {
		t.Fatalf("first time %d, want the wall time %d", got, begin.UnixMilli())
	}
	for _, tc := range []struct {
		entry        int64
		applied, ask time.Duration
		want         int64
	}{
		{5000, 0, 2 * time.Second, 7000},
		{4000, time.Second, 3 * time.Second, 8000},
		{9000, 3 * time.Second, 3 * time.Second, 9000},
	} {
		ck.advance(begin.Add(tc.applied), tc.entry)
		if got := ck.now(begin.Add(tc.ask)); got != tc.want {
			t.Errorf("entry at %d: time %d after %v, want %d", tc.entry, got, tc.ask, tc.want)
		}
	}
}

// TestAcceptedVersionSurvivesLeaders stops or kills the leader after each accepted version, and
// at last stops all replicas. The version must stay in force.
func TestAcceptedVersionSurvivesLeaders(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	var first uint64
	for version := uint64(1); version <= 4; version++ {
		revision := fl.mustAccept(configuration(version, "cassa"))
		if version == 1 {
			first = revision
		}
		leader := fl.leader()
		if version%2 == 0 {
			fl.kill(leader)
		} else {
			fl.stop(leader)
		}
		if got := fl.version(); got != version {
			t.Fatalf("version %d in force after %d was accepted", got, version)
		}
		fl.start(leader)
	}
	if again := fl.mustAccept(configuration(1, "cassa")); again != first {
		t.Fatalf("resent apply got revision %d, want %d", again, first)
	}
	if rs := fl.applyAnywhere(configuration(1, "other")); rs.GetResult() != schema.ApplyResult_APPLY_RESULT_STALE {
		t.Fatalf("lower version with other content: %v", rs)
	}
	for i := range fl.clients {
		fl.stop(i)
	}
	for i := range fl.clients {
		fl.start(i)
	}
	if got := fl.version(); got != 4 {
		t.Fatalf("version %d after all restarted, want 4", got)
	}
}

// TestConcurrentApplyAcceptsOne applies different configurations with the same version at the
// same time. One must be accepted, and the others must be conflicts.
func TestConcurrentApplyAcceptsOne(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	fl.leader()
	const clients = 8
	responses := make([]*schema.ApplyResponse, clients)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() { responses[i] = fl.applyAnywhere(configuration(7, fmt.Sprint("racer-", i))) })
	}
	group.Wait()
	accepted := 0
	for _, rs := range responses {
		switch rs.GetResult() {
		case schema.ApplyResult_APPLY_RESULT_ACCEPTED:
			accepted++
		case schema.ApplyResult_APPLY_RESULT_CONFLICT:
			if rs.GetReason() == "" || rs.GetVersionInForce() != 7 {
				t.Fatalf("conflict does not name the winner: %v", rs)
			}
		default:
			t.Fatalf("unexpected answer: %v", rs)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d clients accepted, want 1", accepted)
	}
}

// TestIsolatedLeaderRefuses isolates the leader. Once another one leads, the old one must refuse
// fetches and applies, since its configuration may be outdated.
func TestIsolatedLeaderRefuses(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	fl.mustAccept(configuration(1, "entrega"))
	oldLeader := fl.leader()
	fl.isolated[oldLeader].Store(true)
	begin := time.Now()
	fl.until("another leader", func() bool { return fl.leader() != oldLeader })
	fl.mustAccept(configuration(2, "entrega"))
	t.Logf("accepted again %v after the leader was isolated", time.Since(begin))
	if rs, err := fl.fetch(oldLeader); connect.CodeOf(err) != connect.CodeUnavailable {
		t.Fatalf("Fetch at the isolated replica = %v, %v; want unavailable", rs, err)
	}
	switch rs := fl.apply(oldLeader, configuration(3, "entrega")); rs.GetResult() {
	case schema.ApplyResult_APPLY_RESULT_NOT_LEADER, schema.ApplyResult_APPLY_RESULT_UNKNOWN:
	default:
		t.Fatalf("Apply at the isolated replica = %v", rs)
	}
	fl.isolated[oldLeader].Store(false)
	want := fl.mustAccept(configuration(4, "entrega"))
	fl.until("healed replica", func() bool { return fl.status(oldLeader).GetRevision() == want })
}

// damage changes a byte near the beginning of the log file.
func damage(t *testing.T, folder string) {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(folder, "log-*"))
	if err != nil || len(names) != 1 {
		t.Fatalf("log files %v, %v; want one", names, err)
	}
	data, err := os.ReadFile(names[0])
	if err != nil {
		t.Fatal(err)
	}
	data[20] ^= 1
	if err := os.WriteFile(names[0], data, 0o600); err != nil {
		t.Fatal(err)
	}
}

// TestLostDiskIsRepaired stops one replica after the other and restarts it with an empty data
// folder or a damaged log. The replica must become a voter again.
func TestLostDiskIsRepaired(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	for round := range 3 {
		version := uint64(round + 1)
		fl.mustAccept(configuration(version, "fichas"))
		fl.stop(round)
		if round == 1 {
			damage(t, fl.folders[round])
		} else {
			fl.folders[round] = t.TempDir()
		}
		fl.start(round)
		if _, err := os.Stat(filepath.Join(fl.folders[round], "damaged-log")); (err == nil) != (round == 1) {
			t.Fatalf("damaged log set aside in round %d: %v", round, err)
		}
		fl.waitForVoters()
		if got := fl.version(); got != version {
			t.Fatalf("version %d in force, want %d", got, version)
		}
	}
}

// TestHundredsOfChangesThenRestart restarts a replica whose log holds many changes.
func TestHundredsOfChangesThenRestart(t *testing.T) {
	t.Parallel()
	const changes = 500
	fl := newFleet(t, 1)
	for version := range uint64(changes) {
		fl.mustAccept(configuration(version+1, "consulta"))
	}
	fl.stop(0)
	begin := time.Now()
	fl.start(0)
	if got := fl.version(); got != changes {
		t.Fatalf("version %d after the restart, want %d", got, changes)
	}
	t.Logf("current again %v after the restart with %d changes", time.Since(begin), changes)
}
