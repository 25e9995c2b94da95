package faultdisk

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"camphortrail/quorum"
	"camphortrail/store"
)

// openStore opens a store on a disk with faults.
func openStore(t *testing.T, path string) (*store.Store, quorum.State) {
	t.Helper()
	st, state, re, err := store.OpenWrapped(path, 1, Wrap)
	if err != nil || re.Damage != "" || re.WriteFailure != nil {
		t.Fatalf("open: %v, %+v", err, re)
	}
	return st, state
}

// entry returns a Persist that appends an entry at index i, with a number of bytes.
func entry(i quorum.Index, bytes int) quorum.Persist {
	en := quorum.Entry{Index: i, Term: 1, Kind: quorum.DataEntry, Data: make([]byte, bytes)}
	return quorum.Persist{HardState: quorum.HardState{Term: 1, Commit: i - 1}, From: i, Entries: []quorum.Entry{en}}
}

// lastIndex returns the index of the last entry of a state.
func lastIndex(state quorum.State) quorum.Index {
	return state.Snapshot.Index + quorum.Index(len(state.Entries))
}

// TestStoreSurvivesLossOfPowerAtAnyOperation saves entries and snapshots, and loses power after
// each operation of the disk. Each entry whose Save had returned by then must be there. With the
// syncs left out of the journal, some must be missing, so that the test can see a loss.
func TestStoreSurvivesLossOfPowerAtAnyOperation(t *testing.T) {
	for _, tc := range []struct {
		title    string
		withSync bool
	}{{"synced", true}, {"without syncs", false}} {
		path := filepath.Join(t.TempDir(), "data")
		st, _ := openStore(t, path)
		journal := filepath.Join(path, faultsName, journalName)
		rng := rand.New(rand.NewPCG(7, 0))
		// saved maps the length of the journal to the last index saved by then.
		saved := make(map[int]quorum.Index)
		for i := quorum.Index(1); i <= 24; i++ {
			pe := entry(i, rng.IntN(2000))
			if i%8 == 0 {
				pe.Snapshot = &quorum.Snapshot{Index: i - 1, Term: 1, Voters: quorum.Voters{"a": 1}, Data: make([]byte, 3000)}
				if i%16 == 0 {
					if err := st.PrepareSnapshot(i-1, pe.Snapshot.Data); err != nil {
						t.Fatal(err)
					}
				}
			}
			if err := st.Save(pe); err != nil {
				t.Fatal(err)
			}
			list, err := readJournal(journal)
			if err != nil {
				t.Fatal(err)
			}
			saved[len(list)] = i
		}
		list, err := readJournal(journal)
		if err != nil {
			t.Fatal(err)
		}
		if err := st.Close(); err != nil {
			t.Fatal(err)
		}
		var acked quorum.Index
		lost, pending := 0, 0
		for end := slices.Min(slices.Collect(maps.Keys(saved))); end <= len(list); end++ {
			acked = max(acked, saved[end])
			for seed := range uint64(12) {
				part := slices.DeleteFunc(slices.Clone(list[:end]), func(op op) bool { return op.Kind == opSync && !tc.withSync })
				files, ls := replay(part).losePower(rand.New(rand.NewPCG(seed, uint64(end))))
				if ls != (Loss{}) {
					pending++
				}
				if got := recovered(t, files); got < acked || got > acked+1 {
					if lost++; tc.withSync {
						t.Fatalf("power lost after operation %d with seed %d: last index %d, acknowledged %d", end, seed, got, acked)
					}
				}
			}
		}
		if pending == 0 || lost == 0 && !tc.withSync {
			t.Errorf("%s: %d losses with something pending, %d that lost an entry", tc.title, pending, lost)
		}
	}
}

// recovered returns the last index that a store finds in a folder with the given files.
func recovered(t *testing.T, files map[string][]byte) quorum.Index {
	t.Helper()
	path := t.TempDir()
	for name, data := range files {
		if err := os.WriteFile(filepath.Join(path, name), data, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	st, state, _, err := store.Open(path, 1)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	return lastIndex(state)
}

// TestDeathOfTheProcessLosesNothing reopens a store after failed syncs without a loss of power, and
// after a change that only the journal has. Files that others have changed must be refused.
func TestDeathOfTheProcessLosesNothing(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	st, _ := openStore(t, path)
	if err := st.Save(entry(1, 100)); err != nil {
		t.Fatal(err)
	}
	if err := SetMode(path, Failing); err != nil {
		t.Fatal(err)
	}
	if err := st.Save(entry(2, 100)); !errors.Is(err, store.ErrWriteFailed) {
		t.Fatalf("Save error = %v, want ErrWriteFailed", err)
	}
	_ = st.Close()
	if err := SetMode(path, Sound); err != nil {
		t.Fatal(err)
	}
	st, state := openStore(t, path)
	if lastIndex(state) != 2 {
		t.Fatalf("last index %d after the death of the process, want 2", lastIndex(state))
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	journal, err := os.OpenFile(filepath.Join(path, faultsName, journalName), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	data, err := write(1, 9999, []byte("x")).encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := journal.Write(data); err != nil {
		t.Fatal(err)
	}
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	st, state = openStore(t, path)
	if lastIndex(state) != 2 {
		t.Fatalf("last index %d after a change that only the journal has, want 2", lastIndex(state))
	}
	_ = st.Close()
	logs, err := filepath.Glob(filepath.Join(path, "log-*"))
	if err != nil || len(logs) != 1 {
		t.Fatalf("logs %v, %v", logs, err)
	}
	for _, name := range []string{logs[0], filepath.Join(path, "log-1")} {
		before, _ := os.ReadFile(name) // the second file does not exist yet
		if err := os.WriteFile(name, append(before, 1), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, _, _, err := store.OpenWrapped(path, 1, Wrap); !errors.Is(err, ErrMismatch) {
			t.Fatalf("open error = %v after a change of %s, want ErrMismatch", err, name)
		}
		if err := os.WriteFile(name, before, 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// TestLosePowerLeavesAFolderThatOpens loses power after failed syncs, again and again, with the
// entries of the failed saves there or not, and replaces the disk at the end.
func TestLosePowerLeavesAFolderThatOpens(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	acked, kept, dropped := quorum.Index(0), 0, 0
	for seed := range uint64(40) {
		st, state := openStore(t, path)
		last := lastIndex(state)
		switch last {
		case acked:
			dropped++
		case acked + 1:
			kept++
		default:
			t.Fatalf("seed %d: last index %d, acknowledged %d", seed, last, acked)
		}
		if err := st.Save(entry(last+1, 1200)); err != nil {
			t.Fatal(err)
		}
		acked = last + 1
		if err := SetMode(path, Failing); err != nil {
			t.Fatal(err)
		}
		if err := st.Save(entry(acked+1, 1200)); !errors.Is(err, store.ErrWriteFailed) {
			t.Fatalf("Save error = %v, want ErrWriteFailed", err)
		}
		_ = st.Close()
		if _, err := LosePower(path, seed); err != nil {
			t.Fatal(err)
		}
		if err := SetMode(path, Sound); err != nil {
			t.Fatal(err)
		}
	}
	if kept == 0 || dropped == 0 {
		t.Fatalf("entry without a sync kept %d times, lost %d times", kept, dropped)
	}
	if err := Replace(path); err != nil {
		t.Fatal(err)
	}
	st, state := openStore(t, path)
	if lastIndex(state) != 0 {
		t.Fatalf("last index %d on an empty disk", lastIndex(state))
	}
	_ = st.Close()
}

// TestModes saves while the disk is full, stalled and slow.
func TestModes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "data")
	st, _ := openStore(t, path)
	defer func() { _ = st.Close() }()
	mode := func(mode Mode) {
		if err := SetMode(path, mode); err != nil {
			t.Fatal(err)
		}
	}
	mode(Full)
	if err := st.Save(entry(1, 100)); !errors.Is(err, store.ErrWriteFailed) {
		t.Fatalf("Save error on a full disk = %v, want ErrWriteFailed", err)
	}
	mode(Stalled)
	done := make(chan error)
	pe := entry(1, 100)
	pe.Complete = true
	go func() { done <- st.Save(pe) }()
	select {
	case err := <-done:
		t.Fatalf("saved on a stalled disk: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	mode(Sound)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	const delay = 20 * time.Millisecond
	mode(Mode(fmt.Sprint(delay)))
	begin := time.Now()
	if err := st.Save(entry(2, 100)); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(begin); took < 2*delay {
		t.Fatalf("write and sync on a slow disk took %v, want %v at least", took, 2*delay)
	}
}
