package store

import (
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/pkg/errors"
)

const lockName = "lock"

// file is an open file.
type file interface {
	io.WriteCloser
	Truncate(size int64) error
	Sync() error
}

// dataFolder is the part of a file system that a Store uses: one folder.
type dataFolder interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	// Create opens a new file, and Append one that exists.
	Create(name string) (file, error)
	Append(name string) (file, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes renames and removals last.
	SyncFolder() error
	Close() error
}

// diskFolder is a diskFolder on a disk, locked for this process.
type diskFolder struct {
	root *os.Root
	lock *os.File
}

// openFolder makes the folder if there is none, and locks it.
func openFolder(path string) (*diskFolder, error) {
	if err := makeFolder(path); err != nil {
		return nil, err
	}
	root, err := os.OpenRoot(path)
	if err != nil {
		return nil, errors.Wrap(err, "store: data folder")
	}
	lock, err := root.OpenFile(lockName, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		_ = root.Close()
		return nil, errors.Wrap(err, "store: lock")
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		_ = root.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return nil, errors.Wrap(ErrInUse, path)
		}
		return nil, errors.Wrap(err, "store: lock")
	}
	return &diskFolder{root: root, lock: lock}, nil
}

func makeFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if err := os.MkdirAll(path, 0o700); err != nil {
		return errors.Wrap(err, "store: data folder")
	}
	parent, err := os.Open(filepath.Dir(path))
	if err != nil {
		return errors.Wrap(err, "store: data folder")
	}
	defer func() { _ = parent.Close() }()
	return errors.Wrap(parent.Sync(), "store: data folder")
}

func (fo *diskFolder) List() ([]string, error) {
	entries, err := fs.ReadDir(fo.root.FS(), ".")
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, en := range entries {
		names[i] = en.Name()
	}
	return names, nil
}

func (fo *diskFolder) Read(name string) ([]byte, error) { return fo.root.ReadFile(name) }

func (fo *diskFolder) Create(name string) (file, error) {
	return fo.root.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (fo *diskFolder) Append(name string) (file, error) {
	return fo.root.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0o600)
}

func (fo *diskFolder) Rename(from, to string) error { return fo.root.Rename(from, to) }

func (fo *diskFolder) Remove(name string) error { return fo.root.Remove(name) }

func (fo *diskFolder) SyncFolder() error {
	dir, err := fo.root.Open(".")
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return err
	}
	return dir.Close()
}

func (fo *diskFolder) Close() error {
	err := fo.lock.Close()
	if rootErr := fo.root.Close(); err == nil {
		err = rootErr
	}
	return err
}
