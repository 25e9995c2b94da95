package store

import (
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"camphortrail/internal/lab/fuzzing"
	"camphortrail/quorum"
)

func init() {
	fuzzing.SetFlags(0, 0)
}

var voters = quorum.Voters{"a": 1, "b": 2}

func entries(from quorum.Index, count int, term quorum.Term) []quorum.Entry {
	var list []quorum.Entry
	for i := range count {
		en := quorum.Entry{Index: from + quorum.Index(i), Term: term, Kind: quorum.DataEntry}
		en.Data = fmt.Appendf(nil, "entry %d of term %d", en.Index, term)
		list = append(list, en)
	}
	return list
}

// save returns the state that follows from st by pe. It is the oracle of the tests.
func save(st quorum.State, pe quorum.Persist) quorum.State {
	st.HardState = pe.HardState
	if pe.Complete {
		st.Snapshot, st.Entries = quorum.Snapshot{}, nil
	}
	if pe.Snapshot != nil {
		st.Snapshot, st.Entries = *pe.Snapshot, nil
	}
	if pe.From != 0 {
		st.Entries = append(slices.Clone(st.Entries[:pe.From-st.Snapshot.Index-1]), pe.Entries...)
	}
	return st
}

func equal(a, b quorum.State) bool {
	if len(a.Entries) == 0 && len(b.Entries) == 0 {
		a.Entries, b.Entries = nil, nil
	}
	return reflect.DeepEqual(a, b)
}

// complete returns a Persist that holds the complete state.
func complete(st quorum.State) quorum.Persist {
	pe := quorum.Persist{Complete: true, HardState: st.HardState, From: st.Snapshot.Index + 1, Entries: st.Entries}
	if st.Snapshot.Index > 0 {
		pe.Snapshot = &st.Snapshot
	}
	return pe
}

// TestSavedStateSurvivesCrashes saves random states, with write faults and crashes. The
// recovered state must be the last one saved or one whose Save failed after that. After a
// failure, only a complete state can be saved.
func TestSavedStateSurvivesCrashes(t *testing.T) {
	var crashes, faults, repaired int
	rapid.Check(t, func(t *rapid.T) {
		me := newMemory(rapid.Uint64().Draw(t, "seed"))
		st, saved, _, err := open(me, 1)
		if err != nil {
			t.Fatal(err)
		}
		var tried []quorum.State
		reopen := func() {
			me.crash()
			crashes++
			var state quorum.State
			var re OpenReport
			if st, state, re, err = open(me, 99); err != nil {
				t.Fatal(err)
			}
			isTried := slices.ContainsFunc(tried, func(st quorum.State) bool { return equal(state, st) })
			if !equal(state, saved) && !isTried || re.Damage != "" || re.Empty || re.WriteFailure != nil {
				t.Fatalf("found %+v with %+v, saved %+v, tried %+v", state, re, saved, tried)
			}
			saved, tried = state, nil
		}
		put := func(pe quorum.Persist) {
			state := save(saved, pe)
			if len(tried) > 0 {
				if err := st.Save(pe); !errors.Is(err, ErrWriteFailed) {
					t.Fatalf("Save error = %v, want ErrWriteFailed for a part of the state", err)
				}
				pe = complete(state)
			}
			err := st.Save(pe)
			if err == nil {
				repaired += len(tried)
				saved, tried = state, nil
				return
			}
			if !errors.Is(err, ErrWriteFailed) {
				t.Fatalf("Save error = %v, want ErrWriteFailed", err)
			}
			faults++
			tried = append(tried, state)
			if rapid.Bool().Draw(t, "crash") {
				reopen()
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"save": func(t *rapid.T) {
				pe := quorum.Persist{HardState: saved.HardState}
				pe.HardState.Term++
				if rapid.Bool().Draw(t, "entries") {
					kept := rapid.IntRange(0, len(saved.Entries)).Draw(t, "kept")
					pe.From = saved.Snapshot.Index + quorum.Index(kept) + 1
					pe.Entries = entries(pe.From, rapid.IntRange(0, 4).Draw(t, "count"), pe.HardState.Term)
				}
				put(pe)
			},
			"snapshot": func(t *rapid.T) {
				if len(saved.Entries) == 0 {
					t.Skip("nothing to compact")
				}
				kept := rapid.IntRange(0, len(saved.Entries)-1).Draw(t, "kept")
				at := len(saved.Entries) - kept
				last := saved.Entries[at-1]
				if rapid.Bool().Draw(t, "prepared") {
					if err := st.PrepareSnapshot(last.Index, last.Data); err != nil {
						faults++
						if rapid.Bool().Draw(t, "crash") {
							reopen()
						}
						return
					}
				}
				if rapid.IntRange(0, 3).Draw(t, "stop") == 0 {
					reopen()
					return
				}
				put(quorum.Persist{
					HardState: saved.HardState,
					From:      last.Index + 1,
					Entries:   saved.Entries[at:],
					Snapshot:  &quorum.Snapshot{Index: last.Index, Term: last.Term, Voters: voters, Data: last.Data},
				})
			},
			"crash": func(*rapid.T) { reopen() },
			"fault": func(t *rapid.T) {
				me.budget = rapid.IntRange(1, 6).Draw(t, "budget")
				me.fault = rapid.SampledFrom([]fault{shortWrite, failedSync, fullDisk}).Draw(t, "fault")
			},
		})
	})
	if crashes == 0 || faults == 0 || repaired == 0 {
		t.Fatalf("%d crashes, %d faults and %d failed states replaced, want some of each", crashes, faults, repaired)
	}
}

// TestOpenOnFullDisk opens a folder while the disk is full: a new one, and one whose log ends
// with an incomplete record. Once there is room, a complete state can be saved and is found
// again.
func TestOpenOnFullDisk(t *testing.T) {
	for _, name := range []string{"empty", "incomplete"} {
		t.Run(name, func(t *testing.T) {
			me := newMemory(1)
			want := quorum.State{Incarnation: 7}
			if name == "incomplete" {
				st, _, _, err := open(me, 7)
				if err != nil {
					t.Fatal(err)
				}
				pe := quorum.Persist{From: 1, Entries: entries(1, 2, 3), HardState: quorum.HardState{Term: 3}}
				if err := st.Save(pe); err != nil {
					t.Fatal(err)
				}
				want = save(want, pe)
				mf := me.now[logName(1)]
				mf.data = append(mf.data, mf.data[:9]...)
				me.budget, me.fault = 1, failedSync
			} else {
				me.budget, me.fault = 1, fullDisk
			}
			st, state, re, err := open(me, 7)
			if err != nil || !errors.Is(re.WriteFailure, ErrWriteFailed) || !equal(state, want) {
				t.Fatalf("open = %+v, %+v, %v; want %+v and a write failure", state, re, err, want)
			}
			if err := st.Save(quorum.Persist{HardState: quorum.HardState{Term: 4}}); !errors.Is(err, ErrWriteFailed) {
				t.Fatalf("Save error = %v, want ErrWriteFailed", err)
			}
			want.HardState.Term = 4
			if err := st.Save(complete(want)); err != nil {
				t.Fatal(err)
			}
			me.crash()
			if _, state, re, err = open(me, 9); err != nil || !equal(state, want) || re.WriteFailure != nil {
				t.Fatalf("open = %+v, %+v, %v; want %+v", state, re, err, want)
			}
		})
	}
}

// written creates a folder whose log has an initial record and three more. It returns the
// content of the log, the end offset of each record and the state at that offset.
func written(t *testing.T) (path string, data []byte, offsets []int, states []quorum.State) {
	t.Helper()
	path = t.TempDir()
	st, state, re, err := Open(path, 7)
	if err != nil || !re.Empty {
		t.Fatalf("Open = %+v, %v; want a fresh folder", re, err)
	}
	for i := range 3 {
		data, err = os.ReadFile(filepath.Join(path, logName(1)))
		if err != nil {
			t.Fatal(err)
		}
		offsets, states = append(offsets, len(data)), append(states, state)
		pe := quorum.Persist{From: quorum.Index(2*i + 1), HardState: quorum.HardState{Term: 3, Vote: "a"}}
		pe.Entries = entries(pe.From, 2, 3)
		if err := st.Save(pe); err != nil {
			t.Fatal(err)
		}
		state = save(state, pe)
	}
	if data, err = os.ReadFile(filepath.Join(path, logName(1))); err != nil {
		t.Fatal(err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	return path, data, append(offsets, len(data)), append(states, state)
}

// reopen replaces the content of the log file by data and opens the folder.
func reopen(t *testing.T, path string, data []byte) (quorum.State, OpenReport) {
	t.Helper()
	if err := os.WriteFile(filepath.Join(path, logName(1)), data, 0o600); err != nil {
		t.Fatal(err)
	}
	st, state, re, err := Open(path, 8)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	return state, re
}

// TestIncompleteRecordIsTruncated shortens or changes the last record at each of its bytes.
// The record must be dropped and the state before it recovered.
func TestIncompleteRecordIsTruncated(t *testing.T) {
	path, data, offsets, states := written(t)
	last := offsets[2]
	for end := last; end < len(data); end++ {
		state, re := reopen(t, path, data[:end])
		if !equal(state, states[2]) || re.TruncatedBytes != end-last || re.Damage != "" {
			t.Fatalf("cut at %d: found %+v with %+v", end, state, re)
		}
		broken := slices.Clone(data)
		broken[end] ^= 0x40
		state, re = reopen(t, path, broken)
		if !equal(state, states[2]) || re.TruncatedBytes != len(data)-last {
			t.Fatalf("byte %d changed: found %+v with %+v", end, state, re)
		}
	}
	if state, re := reopen(t, path, data); !equal(state, states[3]) || re.TruncatedBytes != 0 || re.Records != 4 {
		t.Fatalf("whole log: found %+v with %+v", state, re)
	}
}

// TestDamageBeforeLastRecordResetsState changes each byte before the last record. The log is
// damaged then: the state must be empty, with a new incarnation.
func TestDamageBeforeLastRecordResetsState(t *testing.T) {
	_, data, offsets, _ := written(t)
	for at := range offsets[2] {
		broken := slices.Clone(data)
		broken[at] ^= 0x01
		state, re := reopen(t, t.TempDir(), broken)
		if re.Damage == "" || state.Incarnation < 8 || len(state.Entries) != 0 || state.HardState.Term != 0 {
			t.Fatalf("byte %d changed: found %+v with %+v", at, state, re)
		}
	}
	if _, re := reopen(t, t.TempDir(), nil); re.Damage == "" {
		t.Fatalf("empty log: %+v, want damage", re)
	}
}

// TestLostSnapshotResetsState removes the snapshot that the log follows. The state must be
// empty, with a new incarnation.
func TestLostSnapshotResetsState(t *testing.T) {
	path := t.TempDir()
	st, _, _, err := Open(path, 7)
	if err != nil {
		t.Fatal(err)
	}
	if err := st.Save(quorum.Persist{From: 1, Entries: entries(1, 3, 1)}); err != nil {
		t.Fatal(err)
	}
	sn := &quorum.Snapshot{Index: 3, Term: 1, Voters: voters, Data: []byte("content")}
	if err := st.Save(quorum.Persist{From: 4, Snapshot: sn}); err != nil {
		t.Fatal(err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
	if err := os.Remove(filepath.Join(path, snapshotName(3))); err != nil {
		t.Fatal(err)
	}
	st, state, re, err := Open(path, 7)
	if err != nil || re.Damage == "" || state.Incarnation != 8 {
		t.Fatalf("Open = %+v, %+v, %v; want damage and incarnation 8", state, re, err)
	}
	if _, _, _, err := Open(path, 9); !errors.Is(err, ErrInUse) {
		t.Fatalf("second Open error = %v, want ErrInUse", err)
	}
	if err := st.Close(); err != nil {
		t.Fatal(err)
	}
}

func ExampleOpen() {
	path, err := os.MkdirTemp("", "store")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer func() { _ = os.RemoveAll(path) }()
	st, _, re, _ := Open(path, 1)
	fmt.Println("fresh:", re.Empty)
	_ = st.Save(quorum.Persist{From: 1, Entries: entries(1, 2, 1)})
	_ = st.Close()
	st, state, _, _ := Open(path, 2)
	fmt.Println("entries:", len(state.Entries))
	_ = st.Close()
	// Output:
	// fresh: true
	// entries: 2
}
