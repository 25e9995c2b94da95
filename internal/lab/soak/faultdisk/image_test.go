package faultdisk

import (
	"bytes"
	"errors"
	"io/fs"
	"math/rand/v2"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

// seeds is the number of losses of power that a test plays of the same folder.
const seeds = 400

// losses returns the files after a loss of power by each seed.
func losses(list []op) []map[string][]byte {
	var all []map[string][]byte
	for seed := range uint64(seeds) {
		files, _ := replay(list).losePower(rand.New(rand.NewPCG(seed, 0)))
		all = append(all, files)
	}
	return all
}

func create(id fileID, name string) op { return op{Kind: opCreate, File: id, Name: name} }

func write(id fileID, at int64, data []byte) op {
	return op{Kind: opWrite, File: id, At: at, data: data}
}

func fsync(id fileID) op { return op{Kind: opSync, File: id} }

func rename(id fileID, from, to string) op {
	return op{Kind: opRename, File: id, Name: from, To: to}
}

func remove(id fileID, name string) op { return op{Kind: opRemove, File: id, Name: name} }

var syncFolder = op{Kind: opSyncFolder}

// TestSyncedContentSurvives loses later writes of a synced file: it must contain what its sync
// covered, under its name, and of the later write all, nothing or a part.
func TestSyncedContentSurvives(t *testing.T) {
	first, later := bytes.Repeat([]byte("a"), 700), bytes.Repeat([]byte("b"), 3000)
	var present, missing, prefix, holes int
	for seed, files := range losses([]op{create(1, "x"), write(1, 0, first), fsync(1), write(1, 700, later)}) {
		data, ok := files["x"]
		if !ok || !bytes.HasPrefix(data, first) {
			t.Fatalf("seed %d: file is there: %v; its synced part is lost", seed, ok)
		}
		rest := data[len(first):]
		switch {
		case bytes.Equal(rest, later):
			present++
		case len(rest) == 0:
			missing++
		case bytes.HasPrefix(later, rest):
			prefix++
		case len(bytes.Trim(rest, "b\x00")) == 0:
			holes++
		default:
			t.Fatalf("seed %d: the file has bytes that were not written", seed)
		}
	}
	if min(present, missing, prefix, holes) < seeds/40 {
		t.Fatalf("write present %d times, missing %d, torn at the end %d, torn elsewhere %d", present, missing, prefix, holes)
	}
}

// TestAllLaterWritesAreGoneAtSomeLosses plays twenty writes without a sync. At some losses all must
// be there.
func TestAllLaterWritesAreGoneAtSomeLosses(t *testing.T) {
	list := []op{create(1, "x"), fsync(1)}
	for i := range 20 {
		list = append(list, write(1, int64(i), []byte("a")))
	}
	all, none := 0, 0
	for _, files := range losses(list) {
		switch bytes.Count(files["x"], []byte("a")) {
		case 0:
			none++
		case 20:
			all++
		}
	}
	if none < seeds/8 || none > seeds/2 || all < seeds/8 {
		t.Fatalf("all writes gone at %d of %d losses, all there at %d", none, seeds, all)
	}
}

// TestNamesAreKeptOrLost plays operations on names. Each outcome in want must be seen, and no
// other.
func TestNamesAreKeptOrLost(t *testing.T) {
	for _, tc := range []struct {
		title string
		list  []op
		want  []string
	}{
		{"new file", []op{create(1, "x")}, []string{"", "x"}},
		{"synced new file", []op{create(1, "x"), fsync(1)}, []string{"x"}},
		{"new file in a synced folder", []op{create(1, "x"), syncFolder}, []string{"x"}},
		{"rename", []op{create(1, "x"), fsync(1), rename(1, "x", "y")}, []string{"x", "y"}},
		{"synced rename", []op{create(1, "x"), fsync(1), rename(1, "x", "y"), syncFolder}, []string{"y"}},
		{"rename of an unsynced file", []op{create(1, "x"), rename(1, "x", "y")}, []string{"", "x", "y"}},
		{"removal", []op{create(1, "x"), fsync(1), remove(1, "x")}, []string{"", "x"}},
		{"synced removal", []op{create(1, "x"), fsync(1), remove(1, "x"), syncFolder}, []string{""}},
		{
			"two renames",
			[]op{create(1, "a"), fsync(1), create(2, "b"), fsync(2), rename(1, "a", "c"), rename(2, "b", "d")},
			[]string{"ab", "ad", "bc", "cd"},
		},
		{
			"new file after a removal of its name",
			[]op{create(1, "x"), fsync(1), remove(1, "x"), create(2, "x"), fsync(2)},
			[]string{"x"},
		},
		{
			"synced new file after an unsynced one of its name",
			[]op{create(1, "x"), remove(1, "x"), create(2, "x"), fsync(2)},
			[]string{"x"},
		},
	} {
		seen := make(map[string]bool)
		for _, files := range losses(tc.list) {
			names := ""
			for _, name := range []string{"a", "b", "c", "d", "x", "y"} {
				if _, ok := files[name]; ok {
					names += name
				}
			}
			seen[names] = true
		}
		for _, names := range tc.want {
			if !seen[names] {
				t.Errorf("%s: never left %q", tc.title, names)
			}
		}
		if len(seen) != len(tc.want) {
			t.Errorf("%s: left %v, want %q", tc.title, seen, tc.want)
		}
	}
}

// TestReplacedFileIsThereUntilTheFolderIsSynced renames a file to the name of another.
func TestReplacedFileIsThereUntilTheFolderIsSynced(t *testing.T) {
	seen := make(map[string]bool)
	for _, files := range losses([]op{
		create(1, "x"), write(1, 0, []byte("old")), fsync(1), create(2, "new"), write(2, 0, []byte("new")), fsync(2),
		rename(2, "new", "x"),
	}) {
		seen[string(files["x"])] = true
	}
	if !seen["old"] || !seen["new"] || len(seen) != 2 {
		t.Fatalf("x is %v, want old or new", seen)
	}
}

// TestLosePowerRemovesLostNames loses a file that was not synced.
func TestLosePowerRemovesLostNames(t *testing.T) {
	removed := 0
	for seed := range uint64(20) {
		path := t.TempDir()
		if err := os.Mkdir(filepath.Join(path, faultsName), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := writeJournal(filepath.Join(path, faultsName, journalName), []op{create(1, "x")}); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(path, "x"), nil, 0o600); err != nil {
			t.Fatal(err)
		}
		ls, err := LosePower(path, seed)
		if err != nil {
			t.Fatal(err)
		}
		_, err = os.Stat(filepath.Join(path, "x"))
		if lost := errors.Is(err, fs.ErrNotExist); lost != (ls.LostNames == 1) {
			t.Fatalf("seed %d: file is gone: %v, with %+v", seed, lost, ls)
		}
		removed += ls.LostNames
	}
	if removed == 0 {
		t.Fatal("no name was lost")
	}
}

// TestTruncationIsKeptOrLost truncates a synced file.
func TestTruncationIsKeptOrLost(t *testing.T) {
	list := []op{create(1, "x"), write(1, 0, []byte("abc")), fsync(1), {Kind: opTruncate, File: 1, At: 1}}
	seen := make(map[string]bool)
	for _, files := range losses(list) {
		seen[string(files["x"])] = true
	}
	if !seen["abc"] || !seen["a"] || len(seen) != 2 {
		t.Fatalf("x is %v, want abc or a", seen)
	}
}

// TestCutJournalIsReadToItsLastWholeOperation cuts a journal at each byte.
func TestCutJournalIsReadToItsLastWholeOperation(t *testing.T) {
	list := []op{create(1, "x"), write(1, 0, []byte("a\nb")), fsync(1), write(1, 3, []byte("c"))}
	path := filepath.Join(t.TempDir(), journalName)
	if err := writeJournal(path, list); err != nil {
		t.Fatal(err)
	}
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	whole := 0
	for size := range len(data) + 1 {
		if err := os.WriteFile(path, data[:size], 0o600); err != nil {
			t.Fatal(err)
		}
		got, err := readJournal(path)
		if err != nil {
			t.Fatalf("%d bytes: %v", size, err)
		}
		for i := range got {
			got[i].Bytes = 0
		}
		if len(got) < whole || !slices.EqualFunc(got, list[:len(got)], func(a, b op) bool {
			return a.Kind == b.Kind && a.At == b.At && reflect.DeepEqual(append([]byte{}, a.data...), append([]byte{}, b.data...))
		}) {
			t.Fatalf("%d bytes: read %v", size, got)
		}
		whole = len(got)
	}
	if whole != len(list) {
		t.Fatalf("read %d operations, want %d", whole, len(list))
	}
}
