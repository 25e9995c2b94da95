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

// errDamaged is the cause of a log being set aside.
var errDamaged = errors.New("store: damaged")

const (
	logPrefix       = "log-"
	snapshotPrefix  = "snapshot-"
	temporarySuffix = ".tmp"
	damagedPrefix   = "damaged-"
)

func logName(number uint64) string { return fmt.Sprintf("%s%020d", logPrefix, number) }

func snapshotName(i quorum.Index) string { return fmt.Sprintf("%s%020d", snapshotPrefix, i) }

// recoveredLog is what recovery read.
type recoveredLog struct {
	state quorum.State
	// logNumber is the number of the logNumber file, and records and end what it holds.
	logNumber      uint64
	recordCount    uint64
	validBytes     int
	truncatedBytes int
}

// recover reads the latest log file and its snapshot. The error wraps
// errDamaged if what was synced can't be read back whole.
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
	var fo recoveredLog
	if _, err := fmt.Sscanf(latest, logPrefix+"%d", &fo.logNumber); err != nil {
		return recoveredLog{}, errors.Wrapf(err, "store: file name %s", latest)
	}
	data, err := st.folder.Read(latest)
	if err != nil {
		return fo, errors.Wrap(err, "store: read log")
	}
	if err := fo.readLog(data); err != nil {
		return fo, err
	}
	return fo, st.readSnapshot(&fo)
}

// readLog applies the records of a log file. Invalid bytes at the end are a
// write that was not synced, and so was never answered; followed by valid
// records they are damage.
func (fo *recoveredLog) readLog(data []byte) error {
	for fo.validBytes < len(data) {
		rec := new(schema.LogRecord)
		size, ok := decodeRecord(data[fo.validBytes:], rec)
		if !ok {
			if fo.recordCount == 0 || containsRecord(data[fo.validBytes+1:]) {
				return errors.Wrapf(errDamaged, "record %d at byte %d", fo.recordCount, fo.validBytes)
			}
			fo.truncatedBytes = len(data) - fo.validBytes
			return nil
		}
		if err := fo.applyRecord(rec); err != nil {
			return err
		}
		fo.validBytes += size
	}
	if fo.recordCount == 0 {
		return errors.Wrap(errDamaged, "empty log")
	}
	return nil
}

func (fo *recoveredLog) applyRecord(rec *schema.LogRecord) error {
	if rec.GetNumber() != fo.recordCount {
		return errors.Wrapf(errDamaged, "record %d where %d is due", rec.GetNumber(), fo.recordCount)
	}
	if fo.recordCount == 0 {
		fo.state.Incarnation = quorum.Incarnation(rec.GetIncarnation())
		fo.state.Snapshot = quorum.Snapshot{
			Index:  quorum.Index(rec.GetSnapshotIndex()),
			Term:   quorum.Term(rec.GetSnapshotTerm()),
			Voters: quorum.DecodeVoters(rec.GetSnapshotVoters()),
		}
	}
	fo.recordCount++
	fo.state.HardState = quorum.HardState{
		Term:   quorum.Term(rec.GetTerm()),
		Vote:   quorum.Replica(rec.GetVote()),
		Commit: quorum.Index(rec.GetCommit()),
	}
	if rec.GetFrom() == 0 {
		return nil
	}
	first := fo.state.Snapshot.Index + 1
	from := quorum.Index(rec.GetFrom())
	if from < first || from > first+quorum.Index(len(fo.state.Entries)) {
		return errors.Wrapf(errDamaged, "entries from %d", from)
	}
	list, err := quorum.DecodeEntries(rec.GetEntries(), from)
	if err != nil {
		return errors.Wrapf(errDamaged, "entries from %d", from)
	}
	fo.state.Entries = append(fo.state.Entries[:from-first], list...)
	return nil
}

func (st *Store) readSnapshot(fo *recoveredLog) error {
	i := fo.state.Snapshot.Index
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
	fo.state.Snapshot.Data = rec.GetData()
	return nil
}

// removeUnneeded removes the files that the present log does not need. Failure to do
// so is no harm; the next Open tries again.
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
		ours := strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
		if ours && !slices.Contains(needed, name) {
			_ = st.folder.Remove(name)
		}
	}
}

// renameDamaged renames the files of a damaged log, for inspection.
func (st *Store) renameDamaged(fo recoveredLog) error {
	for from, to := range map[string]string{
		logName(fo.logNumber):                 damagedPrefix + "log",
		snapshotName(fo.state.Snapshot.Index): damagedPrefix + "snapshot",
	} {
		if err := st.folder.Rename(from, to); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return errors.Wrap(err, "store: set aside")
		}
	}
	return errors.Wrap(st.folder.SyncFolder(), "store: sync folder")
}
