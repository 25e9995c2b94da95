package store

import (
	"fmt"
	"io/fs"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// errDamaged means that the log or its snapshot is unusable: data that was synced cannot be
// read back.
var errDamaged = errors.New("store: damaged")

const (
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	damagedPrefix   = "damaged-"
)

func logName(number uint64) string { return fmt.Sprintf("%s%020d", logPrefix, number) }

func snapshotName(i quorum.Index) string { return fmt.Sprintf("%s%020d", snapshotPrefix, i) }

// recoveredLog is the state read from a log file and its snapshot.
type recoveredLog struct {
	state quorum.State
	// logNumber is the number of the log file, recordCount the number of its records and
	// validBytes their total size. truncatedBytes is the size of an incomplete record at
	// the end.
	logNumber      uint64
	recordCount    uint64
	validBytes     int
	truncatedBytes int
}

// recover reads the latest log file and its snapshot. The error wraps errDamaged if data
// that was synced cannot be read back completely.
func (st *Store) recover() (recoveredLog, error) {
	names, err := st.folder.List()
	if err != nil {
		return recoveredLog{}, errors.Wrap(err, "store: list")
	}
	latest := ""
	for _, name := range names {
		if strings.HasPrefix(name, logPrefix) && !strings.HasSuffix(name, temporarySuffix) {
			latest = max(latest, name)
		}
	}
	if latest == "" {
		return recoveredLog{}, nil
	}
	var rl recoveredLog
	if _, err := fmt.Sscanf(latest, logPrefix+"%d", &rl.logNumber); err != nil {
		return recoveredLog{}, errors.Wrapf(err, "store: file name %s", latest)
	}
	data, err := st.folder.Read(latest)
	if err != nil {
		return rl, errors.Wrap(err, "store: read log")
	}
	if err := rl.readLog(data); err != nil {
		return rl, err
	}
	return rl, st.readSnapshot(&rl)
}

// readLog applies the records of a log file. Invalid bytes at the end come from a write that
// was interrupted before it was synced, so no Save has returned for it, and they are dropped.
// Invalid bytes before a valid record are damage.
func (rl *recoveredLog) readLog(data []byte) error {
	for rl.validBytes < len(data) {
		rec := new(schema.LogRecord)
		size, ok := decodeRecord(data[rl.validBytes:], rec)
		if !ok {
			if rl.recordCount == 0 || containsRecord(data[rl.validBytes+1:]) {
				return errors.Wrapf(errDamaged, "record %d at byte %d", rl.recordCount, rl.validBytes)
			}
			rl.truncatedBytes = len(data) - rl.validBytes
			return nil
		}
		if err := rl.applyRecord(rec); err != nil {
			return err
		}
		rl.validBytes += size
	}
	if rl.recordCount == 0 {
		return errors.Wrap(errDamaged, "empty log")
	}
	return nil
}

// applyRecord updates the state with one record. The first record sets the incarnation and
// snapshot. Entries replace those from the same index on.
func (rl *recoveredLog) applyRecord(rec *schema.LogRecord) error {
	if rec.GetNumber() != rl.recordCount {
		return errors.Wrapf(errDamaged, "record %d where %d is due", rec.GetNumber(), rl.recordCount)
	}
	if rl.recordCount == 0 {
		rl.state.Incarnation = quorum.Incarnation(rec.GetIncarnation())
		rl.state.Snapshot = quorum.Snapshot{
			Index:  quorum.Index(rec.GetSnapshotIndex()),
			Term:   quorum.Term(rec.GetSnapshotTerm()),
			Voters: quorum.DecodeVoters(rec.GetSnapshotVoters()),
		}
	}
	rl.recordCount++
	rl.state.HardState = quorum.HardState{
		Term:   quorum.Term(rec.GetTerm()),
		Vote:   quorum.Replica(rec.GetVote()),
		Commit: quorum.Index(rec.GetCommit()),
	}
	if rec.GetFrom() == 0 {
		return nil
	}
	first := rl.state.Snapshot.Index + 1
	from := quorum.Index(rec.GetFrom())
	if from < first || from > first+quorum.Index(len(rl.state.Entries)) {
		return errors.Wrapf(errDamaged, "entries from %d", from)
	}
	list, err := quorum.DecodeEntries(rec.GetEntries(), from)
	if err != nil {
		return errors.Wrapf(errDamaged, "entries from %d", from)
	}
	rl.state.Entries = append(rl.state.Entries[:from-first], list...)
	return nil
}

// readSnapshot reads the snapshot that the log follows, if there is one.
func (st *Store) readSnapshot(rl *recoveredLog) error {
	i := rl.state.Snapshot.Index
	if i == 0 {
		return nil
	}
	data, err := st.folder.Read(snapshotName(i))
	if errors.Is(err, fs.ErrNotExist) {
		return errors.Wrapf(errDamaged, "no snapshot at %d", i)
	}
	if err != nil {
		return errors.Wrap(err, "store: read snapshot")
	}
	rec := new(schema.SnapshotRecord)
	if size, ok := decodeRecord(data, rec); !ok || size != len(data) || quorum.Index(rec.GetIndex()) != i {
		return errors.Wrapf(errDamaged, "snapshot at %d", i)
	}
	rl.state.Snapshot.Data = rec.GetData()
	return nil
}

// removeUnneeded removes the log and snapshot files that the current log does not need.
// Errors are ignored, because the next Open tries again.
func (st *Store) removeUnneeded() {
	names, err := st.folder.List()
	if err != nil {
		return
	}
	st.mu.Lock()
	preparing := snapshotName(st.preparing)
	st.mu.Unlock()
	needed := []string{logName(st.logNumber), snapshotName(st.snapshotIndex), preparing, preparing + temporarySuffix}
	for _, name := range names {
		isStoreFile := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if isStoreFile && !slices.Contains(needed, name) {
			_ = st.folder.Remove(name)
		}
	}
}

// renameDamaged renames the files of a damaged log, so that they remain for inspection.
func (st *Store) renameDamaged(rl recoveredLog) error {
	for from, to := range map[string]string{
		logName(rl.logNumber):                 damagedPrefix + "log",
		snapshotName(rl.state.Snapshot.Index): damagedPrefix + "snapshot",
	} {
		if err := st.folder.Rename(from, to); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return errors.Wrap(err, "store: rename damaged file")
		}
	}
	return errors.Wrap(st.folder.SyncFolder(), "store: sync folder")
}
