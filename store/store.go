// Package store persists the replicated log and its snapshot of a control replica, as
// checksummed files in a data folder.
//
// The folder contains one log file and the snapshot that precedes it. The first record of
// the log file holds the complete state at the time when the file was created. Each new
// snapshot starts a new log file. All data is synced to the disk before Save returns.
package store

import (
	"sync"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// Errors of a Store.
var (
	// ErrInUse means that another process uses the data folder.
	ErrInUse = errors.New("store: data folder is in use")
	// ErrWriteFailed means that a write or sync failed. What was written by it is unknown until
	// a complete state is saved or the store is opened again.
	ErrWriteFailed = errors.New("store: write failed")
	// ErrClosed means that the store is closed.
	ErrClosed = errors.New("store: closed")
)

// OpenReport describes what Open found in the data folder.
type OpenReport struct {
	// Empty is set if the folder contained no log.
	Empty bool
	// Damage is the reason why the log was discarded, or empty. If it is set, the state is
	// empty, with a new incarnation, and the damaged files were renamed for inspection.
	Damage string
	// TruncatedBytes is the length of an incomplete record that was removed from the end of
	// the log.
	TruncatedBytes int
	// Records is the number of log records read.
	Records int
	// WriteFailure is set if the folder was read but cannot be written, for example because
	// the disk is full. It wraps ErrWriteFailed, and Save returns it until a complete state is
	// saved.
	WriteFailure error
}

// Store owns a data folder. Only one goroutine may use it, except that PrepareSnapshot may
// run concurrently.
type Store struct {
	folder        Folder
	incarnation   quorum.Incarnation
	logFile       File
	logNumber     uint64
	recordCount   uint64 // in logFile
	snapshotIndex quorum.Index
	// failure is the result of the last write. While it is set, the end of the log file is
	// unknown, and nothing is appended to it.
	failure error
	closed  bool

	// mu guards preparing and prepared: the index of the last snapshot that was passed to
	// PrepareSnapshot, and of the last one that it wrote.
	mu                  sync.Mutex
	preparing, prepared quorum.Index
}

// Open takes ownership of the folder at path, which is created if it does not exist, and
// returns the state found in it. If the folder contains no log or a damaged one, the state is
// empty and its incarnation is at least inc. The error wraps ErrInUse if another process uses
// the folder.
func Open(path string, inc quorum.Incarnation) (*Store, quorum.State, OpenReport, error) {
	return OpenWrapped(path, inc, nil)
}

// OpenWrapped is Open with a wrapper for the folder, or nil.
func OpenWrapped(path string, inc quorum.Incarnation, wrap WrapFolder) (*Store, quorum.State, OpenReport, error) {
	df, err := openFolder(path)
	if err != nil {
		return nil, quorum.State{}, OpenReport{}, err
	}
	if wrap == nil {
		return open(df, inc)
	}
	fo, err := wrap(path, df)
	if err != nil {
		_ = df.Close()
		return nil, quorum.State{}, OpenReport{}, errors.Wrap(err, "store: data folder")
	}
	return open(fo, inc)
}

// open is Open for a folder that is already locked.
func open(fo Folder, inc quorum.Incarnation) (*Store, quorum.State, OpenReport, error) {
	st := &Store{folder: fo}
	state, re, err := st.open(inc)
	if err != nil {
		_ = st.Close()
		return nil, quorum.State{}, re, err
	}
	st.removeUnneeded()
	return st, state, re, nil
}

// open recovers the state, or creates a log if there is none or it is damaged. A folder that
// cannot be written is no error: its state is still known.
func (st *Store) open(inc quorum.Incarnation) (quorum.State, OpenReport, error) {
	rl, err := st.recover()
	if errors.Is(err, errDamaged) {
		if err := st.renameDamaged(rl); err != nil {
			return quorum.State{}, OpenReport{}, err
		}
		state := st.createLog(rl.logNumber, max(inc, rl.state.Incarnation+1))
		return state, OpenReport{Damage: err.Error(), WriteFailure: st.failure}, nil
	}
	if err != nil {
		return quorum.State{}, OpenReport{}, err
	}
	if rl.recordCount == 0 {
		state := st.createLog(0, inc)
		return state, OpenReport{Empty: true, WriteFailure: st.failure}, nil
	}
	st.setFailure(st.resumeLog(rl))
	return rl.state, OpenReport{
		TruncatedBytes: rl.truncatedBytes, Records: int(rl.recordCount), WriteFailure: st.failure,
	}, nil
}

// createLog starts the log of a new incarnation, with the number after log. If that fails, it
// sets st.failure.
func (st *Store) createLog(log uint64, inc quorum.Incarnation) quorum.State {
	st.incarnation, st.logNumber = inc, log
	st.setFailure(st.startLog(quorum.Persist{From: 1}))
	return quorum.State{Incarnation: inc}
}

// setFailure records the result of a write.
func (st *Store) setFailure(err error) {
	st.failure = nil
	if err != nil {
		st.failure = errors.Wrap(ErrWriteFailed, err.Error())
	}
}

// resumeLog opens a recovered log for further records. An incomplete record at its end is
// removed first.
func (st *Store) resumeLog(rl recoveredLog) error {
	st.incarnation, st.snapshotIndex = rl.state.Incarnation, rl.state.Snapshot.Index
	st.logNumber, st.recordCount = rl.logNumber, rl.recordCount
	fi, err := st.folder.Append(logName(rl.logNumber))
	if err != nil {
		return errors.Wrap(err, "store: open log")
	}
	st.logFile = fi
	if rl.truncatedBytes == 0 {
		return nil
	}
	if err := fi.Truncate(int64(rl.validBytes)); err != nil {
		return errors.Wrap(err, "store: truncate log")
	}
	return errors.Wrap(fi.Sync(), "store: sync log")
}

// Save writes pe and syncs it to the disk. An error wraps ErrWriteFailed, or is ErrClosed. After
// a failed write every later Save returns the same error until a complete state is saved: a
// later sync may succeed although earlier data is lost. A complete state is written to a new
// file, and does not rely on the file in which the write failed.
func (st *Store) Save(pe quorum.Persist) error {
	switch {
	case st.closed:
		return ErrClosed
	case pe.Complete || pe.Snapshot != nil && st.failure == nil:
		st.setFailure(st.replaceLog(pe))
	case st.failure == nil:
		st.setFailure(st.appendRecord(pe))
	}
	return st.failure
}

// PrepareSnapshot writes the snapshot at index i in advance, so that a later Save of that
// snapshot does not write its data. It may run concurrently with Save, so that a large
// snapshot does not delay the log. An error wraps ErrWriteFailed; the call may be repeated.
func (st *Store) PrepareSnapshot(i quorum.Index, data []byte) error {
	st.mu.Lock()
	st.preparing = i
	st.mu.Unlock()
	if err := st.writeSnapshot(i, data); err != nil {
		return errors.Wrap(ErrWriteFailed, err.Error())
	}
	st.mu.Lock()
	st.prepared = i
	st.mu.Unlock()
	return nil
}

// writeSnapshot writes and syncs the snapshot file of index i.
func (st *Store) writeSnapshot(i quorum.Index, data []byte) error {
	fi, err := st.writeFile(snapshotName(i), &schema.SnapshotRecord{Index: uint64(i), Data: data})
	if err != nil {
		return err
	}
	return fi.Close()
}

// isPrepared reports whether PrepareSnapshot has written the snapshot at index i.
func (st *Store) isPrepared(i quorum.Index) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.prepared == i
}

// newRecord returns the next log record.
func (st *Store) newRecord(pe quorum.Persist) *schema.LogRecord {
	return &schema.LogRecord{
		Number:        st.recordCount,
		Incarnation:   uint64(st.incarnation),
		Term:          uint64(pe.HardState.Term),
		Vote:          string(pe.HardState.Vote),
		Commit:        uint64(pe.HardState.Commit),
		From:          uint64(pe.From),
		Entries:       quorum.EncodeEntries(pe.Entries),
		SnapshotIndex: uint64(st.snapshotIndex),
	}
}

// appendRecord appends a record to the log file and syncs it.
func (st *Store) appendRecord(pe quorum.Persist) error {
	if err := writeRecord(st.logFile, st.newRecord(pe)); err != nil {
		return err
	}
	st.recordCount++
	return nil
}

// replaceLog starts a new log file, and removes the previous one. If the log follows a
// snapshot, it writes that first, unless the snapshot is on the disk already.
func (st *Store) replaceLog(pe quorum.Persist) error {
	if sn := pe.Snapshot; sn == nil {
		st.snapshotIndex = 0
	} else if sn.Index != st.snapshotIndex {
		if !st.isPrepared(sn.Index) {
			if err := st.writeSnapshot(sn.Index, sn.Data); err != nil {
				return err
			}
		}
		st.snapshotIndex = sn.Index
	}
	if err := st.startLog(pe); err != nil {
		return err
	}
	st.removeUnneeded()
	return nil
}

// startLog writes the next log file, whose first record holds the complete state. Later
// records are appended to it.
func (st *Store) startLog(pe quorum.Persist) error {
	st.recordCount = 0
	rec := st.newRecord(pe)
	if sn := pe.Snapshot; sn != nil {
		rec.SnapshotTerm, rec.SnapshotVoters = uint64(sn.Term), quorum.EncodeVoters(sn.Voters)
	}
	fi, err := st.writeFile(logName(st.logNumber+1), rec)
	if err != nil {
		return err
	}
	if st.logFile != nil {
		_ = st.logFile.Close()
	}
	st.logFile, st.logNumber, st.recordCount = fi, st.logNumber+1, 1
	return nil
}

// writeFile atomically creates a file with one record: it writes and syncs a temporary file,
// renames it and syncs the folder. It returns the file open for writing. If the write fails, it
// removes the temporary file, because the disk may be full.
func (st *Store) writeFile(name string, msg proto.Message) (File, error) {
	fi, err := st.folder.Create(name + temporarySuffix)
	if err != nil {
		return nil, err
	}
	if err := writeRecord(fi, msg); err != nil {
		_ = fi.Close()
		_ = st.folder.Remove(name + temporarySuffix)
		return nil, err
	}
	err = st.folder.Rename(name+temporarySuffix, name)
	if err == nil {
		err = st.folder.SyncFolder()
	}
	if err != nil {
		_ = fi.Close()
		return nil, err
	}
	return fi, nil
}

// writeRecord writes and syncs one record.
func writeRecord(fi File, msg proto.Message) error {
	data, err := encodeRecord(msg)
	if err != nil {
		return err
	}
	if _, err := fi.Write(data); err != nil {
		return err
	}
	return fi.Sync()
}

// Close releases the folder. A later Save returns ErrClosed.
func (st *Store) Close() error {
	st.closed = true
	if st.logFile != nil {
		_ = st.logFile.Close()
	}
	return st.folder.Close()
}
