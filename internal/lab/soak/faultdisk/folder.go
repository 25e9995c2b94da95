// Package faultdisk is a disk that loses what was not synced when its machine loses power, and
// that can be full, slow, stalled or refuse to sync.
//
// The files of the data folder are as a process sees them. In its folder .faults, which the process
// does not see, a journal holds the order of all changes and syncs. After the death of the process
// the files remain as they were. LosePower then turns them into what the disk holds after a loss of
// power.
package faultdisk

import (
	"bytes"
	"io/fs"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/store"
)

const (
	faultsName  = ".faults"
	journalName = "journal"
	modeName    = "mode"
	// lockName is the file with which a process locks the folder. It is not part of the data.
	lockName = "lock"
	// stallPoll is the interval at which a stalled operation looks whether the disk goes on.
	stallPoll = 2 * time.Millisecond
)

// ErrMismatch means that a data folder was changed by others than its journal says.
var ErrMismatch = errors.New("faultdisk: data folder does not match its journal")

// Mode is the state of a disk: Sound, Full, Stalled, Failing, or the duration by which each
// operation is delayed, such as "20ms".
type Mode string

// Modes of a disk.
const (
	Sound   Mode = ""
	Full    Mode = "full"    // refuses writes
	Stalled Mode = "stalled" // operations wait until the mode changes
	Failing Mode = "failing" // refuses syncs; what they should cover remains pending
)

// SetMode sets the mode of the disk with the given data folder, at once.
func SetMode(path string, mode Mode) error {
	faults := filepath.Join(path, faultsName)
	if err := os.MkdirAll(faults, 0o700); err != nil {
		return err
	}
	name := filepath.Join(faults, modeName)
	if err := os.WriteFile(name+".tmp", []byte(mode), 0o600); err != nil {
		return err
	}
	return os.Rename(name+".tmp", name)
}

// LosePower changes the data folder of a process that has died into what the disk holds after a
// loss of power. The seed decides over all that was not synced.
func LosePower(path string, seed uint64) (Loss, error) {
	journal := filepath.Join(path, faultsName, journalName)
	list, err := readJournal(journal)
	if err != nil || len(list) == 0 {
		return Loss{}, err
	}
	files, ls := replay(list).losePower(rand.New(rand.NewPCG(seed, 0)))
	if err := clearFolder(path); err != nil {
		return ls, err
	}
	var after []op
	for i, name := range slices.Sorted(maps.Keys(files)) {
		if err := os.WriteFile(filepath.Join(path, name), files[name], 0o600); err != nil {
			return ls, err
		}
		id := fileID(i + 1)
		after = append(after, op{Kind: opCreate, File: id, Name: name},
			op{Kind: opWrite, File: id, data: files[name]}, op{Kind: opSync, File: id})
	}
	return ls, writeJournal(journal, after)
}

// Replace replaces the disk of a process that has died by an empty one.
func Replace(path string) error {
	if err := clearFolder(path); err != nil {
		return err
	}
	return os.RemoveAll(filepath.Join(path, faultsName))
}

// clearFolder removes all files of a folder, but not its folders.
func clearFolder(path string) error {
	entries, err := os.ReadDir(path)
	if err != nil && !errors.Is(err, fs.ErrNotExist) {
		return err
	}
	for _, en := range entries {
		if en.IsDir() {
			continue
		}
		if err := os.Remove(filepath.Join(path, en.Name())); err != nil {
			return err
		}
	}
	return nil
}

// folder is a store.Folder that keeps a journal.
type folder struct {
	store.Folder
	faults string

	// mu guards all that follows.
	mu      sync.Mutex
	journal *os.File
	ids     map[string]fileID
	last    fileID
}

// Wrap implements store.WrapFolder. The error wraps ErrMismatch if the folder is not as the
// journal beside it says.
func Wrap(path string, fo store.Folder) (store.Folder, error) {
	fa := &folder{Folder: fo, faults: filepath.Join(path, faultsName)}
	if err := os.MkdirAll(fa.faults, 0o700); err != nil {
		return nil, err
	}
	journal := filepath.Join(fa.faults, journalName)
	list, err := readJournal(journal)
	if err != nil {
		return nil, err
	}
	im := replay(list)
	if err := fa.check(im); err != nil {
		if len(list) == 0 {
			return nil, err
		}
		// The process may have died between the last entry of the journal and its change.
		list = list[:len(list)-1]
		im = replay(list)
		if err := fa.check(im); err != nil {
			return nil, err
		}
	}
	fa.ids = im.now
	for _, op := range list {
		fa.last = max(fa.last, op.File)
	}
	if err := writeJournal(journal, list); err != nil {
		return nil, err
	}
	fa.journal, err = os.OpenFile(journal, os.O_APPEND|os.O_WRONLY, 0o600)
	return fa, err
}

// check compares the files with an image.
func (fa *folder) check(im *image) error {
	names, err := fa.List()
	if err != nil {
		return err
	}
	names = slices.DeleteFunc(names, func(name string) bool { return name == lockName })
	if len(names) != len(im.now) {
		return errors.Wrapf(ErrMismatch, "%v, want %v", names, slices.Sorted(maps.Keys(im.now)))
	}
	for name, want := range im.contents() {
		data, err := fa.Read(name)
		if err != nil {
			return errors.Wrap(ErrMismatch, err.Error())
		}
		if !bytes.Equal(data, want) {
			return errors.Wrapf(ErrMismatch, "%s has %d bytes, want %d", name, len(data), len(want))
		}
	}
	return nil
}

// add appends to the journal. The caller holds mu.
func (fa *folder) add(op op) error {
	data, err := op.encode()
	if err != nil {
		return err
	}
	_, err = fa.journal.Write(data)
	return err
}

// change appends to the journal, and then changes the files.
func (fa *folder) change(op op, change func() error) error {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	if err := fa.add(op); err != nil {
		return err
	}
	return change()
}

// wait delays an operation as the mode demands, and returns the mode.
func (fa *folder) wait() Mode {
	for {
		data, _ := os.ReadFile(filepath.Join(fa.faults, modeName))
		mode := Mode(strings.TrimSpace(string(data)))
		if mode != Stalled {
			if delay, err := time.ParseDuration(string(mode)); err == nil {
				time.Sleep(delay)
			}
			return mode
		}
		time.Sleep(stallPoll)
	}
}

// Create implements store.Folder.
func (fa *folder) Create(name string) (store.File, error) {
	fa.wait()
	fa.mu.Lock()
	defer fa.mu.Unlock()
	id, exists := fa.ids[name]
	next := op{Kind: opTruncate, File: id}
	if !exists {
		fa.last++
		id = fa.last
		next = op{Kind: opCreate, File: id, Name: name}
	}
	if err := fa.add(next); err != nil {
		return nil, err
	}
	fa.ids[name] = id
	fi, err := fa.Folder.Create(name)
	return &file{File: fi, folder: fa, id: id}, err
}

// Append implements store.Folder.
func (fa *folder) Append(name string) (store.File, error) {
	data, err := fa.Read(name)
	if err != nil {
		return nil, err
	}
	fi, err := fa.Folder.Append(name)
	if err != nil {
		return nil, err
	}
	fa.mu.Lock()
	defer fa.mu.Unlock()
	return &file{File: fi, folder: fa, id: fa.ids[name], size: int64(len(data))}, nil
}

// Rename implements store.Folder.
func (fa *folder) Rename(from, to string) error {
	fa.wait()
	id, err := fa.idOf(from)
	if err != nil {
		return err
	}
	return fa.change(op{Kind: opRename, File: id, Name: from, To: to}, func() error {
		delete(fa.ids, from)
		fa.ids[to] = id
		return fa.Folder.Rename(from, to)
	})
}

// Remove implements store.Folder.
func (fa *folder) Remove(name string) error {
	fa.wait()
	id, err := fa.idOf(name)
	if err != nil {
		return err
	}
	return fa.change(op{Kind: opRemove, File: id, Name: name}, func() error {
		delete(fa.ids, name)
		return fa.Folder.Remove(name)
	})
}

// List implements store.Folder.
func (fa *folder) List() ([]string, error) {
	names, err := fa.Folder.List()
	return slices.DeleteFunc(names, func(name string) bool { return name == faultsName }), err
}

// idOf returns the file with a name. The error wraps fs.ErrNotExist.
func (fa *folder) idOf(name string) (fileID, error) {
	fa.mu.Lock()
	defer fa.mu.Unlock()
	id, ok := fa.ids[name]
	if !ok {
		return 0, &fs.PathError{Op: "find", Path: name, Err: fs.ErrNotExist}
	}
	return id, nil
}

// SyncFolder implements store.Folder.
func (fa *folder) SyncFolder() error {
	if fa.wait() == Failing {
		return syscall.EIO
	}
	if err := fa.Folder.SyncFolder(); err != nil {
		return err
	}
	return fa.change(op{Kind: opSyncFolder}, func() error { return nil })
}

// Close implements store.Folder.
func (fa *folder) Close() error {
	err := fa.journal.Close()
	if folderErr := fa.Folder.Close(); err == nil {
		err = folderErr
	}
	return err
}

// file is a store.File of a folder. One goroutine may use it.
type file struct {
	store.File
	folder *folder
	id     fileID
	size   int64 // bytes
}

// Write implements io.Writer.
func (fi *file) Write(data []byte) (int, error) {
	if fi.folder.wait() == Full {
		return 0, syscall.ENOSPC
	}
	written := 0
	err := fi.folder.change(op{Kind: opWrite, File: fi.id, At: fi.size, data: data}, func() (err error) {
		written, err = fi.File.Write(data)
		return err
	})
	fi.size += int64(written)
	return written, err
}

// Truncate implements store.File.
func (fi *file) Truncate(size int64) error {
	fi.folder.wait()
	fi.size = size
	return fi.folder.change(op{Kind: opTruncate, File: fi.id, At: size}, func() error { return fi.File.Truncate(size) })
}

// Sync implements store.File.
func (fi *file) Sync() error {
	if fi.folder.wait() == Failing {
		return syscall.EIO
	}
	if err := fi.File.Sync(); err != nil {
		return err
	}
	return fi.folder.change(op{Kind: opSync, File: fi.id}, func() error { return nil })
}
