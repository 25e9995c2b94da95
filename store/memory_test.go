package store

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// memory is a Folder in memory that simulates crashes and write faults.
type memory struct {
	rng *rand.Rand
	// now holds the files as the process sees them. disk holds the files whose names
	// survive a crash.
	now, disk map[string]*memoryFile
	// budget is the number of operations subject to fault until one fails, or 0 for never.
	budget int
	fault  fault
}

// fault is the way in which an operation fails.
type fault uint8

const (
	shortWrite fault = iota
	failedSync
	fullDisk
)

// memoryFile is a file in memory. synced is the part that survives a crash.
type memoryFile struct {
	me     *memory
	data   []byte
	synced []byte
}

func newMemory(seed uint64) *memory {
	return &memory{
		rng: rand.New(rand.NewPCG(seed, 0)),
		now: make(map[string]*memoryFile), disk: make(map[string]*memoryFile),
	}
}

// crash discards all, a part or none of the data and renames that were not synced.
func (me *memory) crash() {
	if me.rng.IntN(2) == 0 {
		me.now = maps.Clone(me.disk)
	}
	for _, mf := range me.now {
		if tail := len(mf.data) - len(mf.synced); tail > 0 {
			mf.data = mf.data[:len(mf.synced)+me.rng.IntN(tail+1)]
		}
		mf.synced = slices.Clone(mf.data)
	}
	me.disk = maps.Clone(me.now)
	me.budget = 0
}

// fails reports whether an operation fails, and counts it. The operation is subject to the
// given faults.
func (me *memory) fails(faults ...fault) bool {
	if me.budget == 0 || !slices.Contains(faults, me.fault) {
		return false
	}
	me.budget--
	return me.budget == 0
}

func (me *memory) List() ([]string, error) {
	return slices.Sorted(maps.Keys(me.now)), nil
}

func (me *memory) Read(name string) ([]byte, error) {
	mf, ok := me.now[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(mf.data), nil
}

func (me *memory) Create(name string) (File, error) {
	mf := &memoryFile{me: me}
	me.now[name] = mf
	return mf, nil
}

func (me *memory) Append(name string) (File, error) { return me.now[name], nil }

func (me *memory) Rename(from, to string) error {
	mf, ok := me.now[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(me.now, from)
	me.now[to] = mf
	return nil
}

func (me *memory) Remove(name string) error {
	delete(me.now, name)
	return nil
}

func (me *memory) SyncFolder() error {
	if me.fails(failedSync) {
		return syscall.EIO
	}
	me.disk = maps.Clone(me.now)
	return nil
}

func (me *memory) Close() error { return nil }

func (mf *memoryFile) Write(data []byte) (int, error) {
	if mf.me.fails(shortWrite, fullDisk) {
		written := mf.me.rng.IntN(len(data))
		mf.data = append(mf.data, data[:written]...)
		if mf.me.fault == fullDisk {
			return written, syscall.ENOSPC
		}
		return written, errors.New("short write")
	}
	mf.data = append(mf.data, data...)
	return len(data), nil
}

func (mf *memoryFile) Truncate(size int64) error {
	mf.data = mf.data[:size]
	return nil
}

func (mf *memoryFile) Sync() error {
	if mf.me.fails(failedSync) {
		return syscall.EIO
	}
	mf.synced = slices.Clone(mf.data)
	return nil
}

func (mf *memoryFile) Close() error { return nil }
