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

// File is an open file of a data folder.
type File interface {
	io.WriteCloser
	// Truncate sets the size in bytes.
	Truncate(size int64) error
	// Sync makes the content durable, and the name of a new file.
	Sync() error
}

// Folder is the folder that holds the files of a Store. Tests replace the disk by
// memory, or wrap it to inject faults.
type Folder interface {
	// List returns the names of the files.
	List() ([]string, error)
	// Read returns the content of a file. The error wraps fs.ErrNotExist if there is none.
	Read(name string) ([]byte, error)
	// Create opens an empty file for writing; Append opens an existing file for appending.
	Create(name string) (File, error)
	Append(name string) (File, error)
	// Rename replaces the file at to, if there is one.
	Rename(from, to string) error
	Remove(name string) error
	// SyncFolder makes earlier renames and removals durable.
	SyncFolder() error
	// Close releases the folder.
	Close() error
}

// WrapFolder returns a Folder that stands in front of the one at path.
type WrapFolder func(path string, fo Folder) (Folder, error)

// diskFolder is a Folder on a disk, locked by this process.
type diskFolder struct {
	root *os.Root
	lock *os.File
}

// openFolder creates the folder if it does not exist, and locks it. The error wraps ErrInUse
// if another process holds the lock.
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

// makeFolder creates the folder if it does not exist, and syncs its parent.
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

func (df *diskFolder) List() ([]string, error) {
	entries, err := fs.ReadDir(df.root.FS(), ".")
	if err != nil {
		return nil, err
	}
	names := make([]string, len(entries))
	for i, en := range entries {
		names[i] = en.Name()
	}
	return names, nil
}

func (df *diskFolder) Read(name string) ([]byte, error) { return df.root.ReadFile(name) }

func (df *diskFolder) Create(name string) (File, error) {
	return df.root.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

func (df *diskFolder) Append(name string) (File, error) {
	return df.root.OpenFile(name, os.O_APPEND|os.O_WRONLY, 0o600)
}

func (df *diskFolder) Rename(from, to string) error { return df.root.Rename(from, to) }

func (df *diskFolder) Remove(name string) error { return df.root.Remove(name) }

func (df *diskFolder) SyncFolder() error {
	dir, err := df.root.Open(".")
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		_ = dir.Close()
		return err
	}
	return dir.Close()
}

func (df *diskFolder) Close() error {
	err := df.lock.Close()
	if rootErr := df.root.Close(); err == nil {
		err = rootErr
	}
	return err
}
