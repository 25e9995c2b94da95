// Package store keeps the replicated log and its snapshot as synced,
// checksummed files in one data folder.
//
// The folder holds one log file, which begins with the state at the time it
// was made, and the snapshot that it follows. A snapshot makes a new log
// file. Everything is synced before Save returns.
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
	// ErrWriteFailed means that a write or sync failed. What the disk holds is
	// not known until the store is opened again.
	ErrWriteFailed = errors.New("store: write failed")
)

// OpenReport says what Open found in the data folder.
type OpenReport struct {
	// Empty is set when the folder held no log.
	Empty bool
	// Damage is the reason for which a log was set aside. The state is then
	// blank, with a new incarnation.
	Damage string
	// TruncatedBytes is the length of an unfinished record that was cut off the
	// end of the log.
	TruncatedBytes int
	// Records is the number of records read.
	Records int
}

// Store owns a data folder. It is used by one goroutine, except for Prepare.
type Store struct {
	folder        dataFolder
	incarnation   quorum.Incarnation
	logFile       file
	logNumber     uint64
	recordCount   uint64
	snapshotIndex quorum.Index
	failure       error

	// mu guards preparing, the last snapshot given to Prepare, and prepared,
	// the last one that it wrote.
	mu                  sync.Mutex
	preparing, prepared quorum.Index
}

// Open takes ownership of the folder, made if there is none, and returns the
// state found in it. If there is none or it is damaged, the state is blank,
// and its incarnation is inc or higher.
func Open(path string, inc quorum.Incarnation) (*Store, quorum.State, OpenReport, error) {
	fo, err := openFolder(path)
	if err != nil {
		return nil, quorum.State{}, OpenReport{}, err
	}
	return open(fo, inc)
}

func open(fs dataFolder, inc quorum.Incarnation) (*Store, quorum.State, OpenReport, error) {
	st := &Store{folder: fs}
	state, re, err := st.open(inc)
	if err != nil {
		_ = st.Close()
		return nil, quorum.State{}, re, err
	}
	st.removeUnneeded()
	return st, state, re, nil
}

func (st *Store) open(inc quorum.Incarnation) (quorum.State, OpenReport, error) {
	fo, err := st.recover()
	if errors.Is(err, errDamaged) {
		if err := st.renameDamaged(fo); err != nil {
			return quorum.State{}, OpenReport{}, err
		}
		state, createErr := st.createLog(fo.logNumber, max(inc, fo.state.Incarnation+1))
		return state, OpenReport{Damage: err.Error()}, createErr
	}
	if err != nil {
		return quorum.State{}, OpenReport{}, err
	}
	if fo.recordCount == 0 {
		state, err := st.createLog(0, inc)
		return state, OpenReport{Empty: true}, err
	}
	return fo.state, OpenReport{TruncatedBytes: fo.truncatedBytes, Records: int(fo.recordCount)}, st.resumeLog(fo)
}

// createLog begins the log of a new incarnation.
func (st *Store) createLog(log uint64, inc quorum.Incarnation) (quorum.State, error) {
	st.incarnation, st.logNumber = inc, log
	if err := st.startLog(quorum.Persist{From: 1}); err != nil {
		return quorum.State{}, err
	}
	return quorum.State{Incarnation: inc}, nil
}

// resumeLog opens a log to add records to it.
func (st *Store) resumeLog(fo recoveredLog) error {
	st.incarnation, st.snapshotIndex = fo.state.Incarnation, fo.state.Snapshot.Index
	st.logNumber, st.recordCount = fo.logNumber, fo.recordCount
	fi, err := st.folder.Append(logName(fo.logNumber))
	if err != nil {
		return errors.Wrap(err, "store: open log")
	}
	st.logFile = fi
	if fo.truncatedBytes == 0 {
		return nil
	}
	if err := fi.Truncate(int64(fo.validBytes)); err != nil {
		return errors.Wrap(err, "store: cut log")
	}
	return errors.Wrap(fi.Sync(), "store: sync log")
}

// Save writes and syncs. An error wraps ErrFailed; the store then refuses
// all further use, since a later sync may report success for data that is
// lost.
func (st *Store) Save(pe quorum.Persist) error {
	if st.failure != nil {
		return st.failure
	}
	var err error
	if pe.Snapshot != nil {
		err = st.saveSnapshot(pe)
	} else {
		err = st.appendRecord(pe)
	}
	if err != nil {
		st.failure = errors.Wrap(ErrWriteFailed, err.Error())
	}
	return st.failure
}

// PrepareSnapshot writes the content of a snapshot, so that a later Save of the
// snapshot at this index need not. It may run beside Save, so that a large
// snapshot doesn't hold up the log. An error wraps ErrFailed.
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

func (st *Store) writeSnapshot(i quorum.Index, data []byte) error {
	fi, err := st.writeFile(snapshotName(i), &schema.SnapshotRecord{Index: uint64(i), Data: data})
	if err != nil {
		return err
	}
	return fi.Close()
}

func (st *Store) isPrepared(i quorum.Index) bool {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.prepared == i
}

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

// appendRecord appends a record to the log file.
func (st *Store) appendRecord(pe quorum.Persist) error {
	if err := writeRecord(st.logFile, st.newRecord(pe)); err != nil {
		return err
	}
	st.recordCount++
	return nil
}

// saveSnapshot writes a snapshot and a log file that follows it.
func (st *Store) saveSnapshot(pe quorum.Persist) error {
	sn := pe.Snapshot
	if !st.isPrepared(sn.Index) {
		if err := st.writeSnapshot(sn.Index, sn.Data); err != nil {
			return err
		}
	}
	st.snapshotIndex = sn.Index
	if err := st.startLog(pe); err != nil {
		return err
	}
	st.removeUnneeded()
	return nil
}

// startLog writes the next log file, whose first record holds the whole state,
// and adds to it from then on.
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

// writeFile makes a file appear whole or not at all.
func (st *Store) writeFile(name string, msg proto.Message) (file, error) {
	fi, err := st.folder.Create(name + temporarySuffix)
	if err != nil {
		return nil, err
	}
	if err := writeRecord(fi, msg); err != nil {
		_ = fi.Close()
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

func writeRecord(fi file, msg proto.Message) error {
	data, err := encodeRecord(msg)
	if err != nil {
		return err
	}
	if _, err := fi.Write(data); err != nil {
		return err
	}
	return fi.Sync()
}

// Close gives up the folder.
func (st *Store) Close() error {
	if st.failure == nil {
		st.failure = errors.Wrap(ErrWriteFailed, "closed")
	}
	if st.logFile != nil {
		_ = st.logFile.Close()
	}
	return st.folder.Close()
}
