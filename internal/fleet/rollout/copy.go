package rollout

import (
	"encoding/binary"
	"io/fs"
	"os"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

const (
	copyName     = "configuration.copy"
	copyTempName = "configuration.copy.tmp"
	// copyHeaderBytes is the size of the checksum and the revision, which are 8 bytes
	// each.
	copyHeaderBytes = 16

	folderMode = 0o755
	fileMode   = 0o644
)

// ErrDamaged is returned for a local copy that is incomplete or was changed after it was
// written.
var ErrDamaged = errors.New("rollout: local copy is damaged")

// localCopy is a file with the last configuration in force. It holds a checksum of all
// that follows, the revision, and the encoded configuration.
type localCopy struct{ root *os.Root }

// openCopy opens the data folder, and creates it if it does not exist.
func openCopy(folder string) (*localCopy, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "rollout: data folder")
	}
	root, err := os.OpenRoot(folder)
	if err != nil {
		return nil, errors.Wrap(err, "rollout: data folder")
	}
	return &localCopy{root: root}, nil
}

func (lc *localCopy) close() error { return lc.root.Close() }

// read returns the revision and the configuration of the copy, or 0 and nil if there is
// no copy.
func (lc *localCopy) read() (uint64, *schema.Configuration, error) {
	data, err := lc.root.ReadFile(copyName)
	if errors.Is(err, fs.ErrNotExist) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, errors.Wrap(err, "rollout: read local copy")
	}
	if len(data) < copyHeaderBytes || binary.BigEndian.Uint64(data) != xxhash.Sum64(data[8:]) {
		return 0, nil, ErrDamaged
	}
	cfg := new(schema.Configuration)
	if err := proto.Unmarshal(data[copyHeaderBytes:], cfg); err != nil {
		return 0, nil, ErrDamaged
	}
	return binary.BigEndian.Uint64(data[8:]), cfg, nil
}

// write replaces the copy. After a crash, the file holds either the old copy or the new
// one.
func (lc *localCopy) write(revision uint64, cfg *schema.Configuration) error {
	data := make([]byte, copyHeaderBytes)
	binary.BigEndian.PutUint64(data[8:], revision)
	data, err := proto.MarshalOptions{}.MarshalAppend(data, cfg)
	if err != nil {
		return errors.Wrap(err, "rollout: encode local copy")
	}
	binary.BigEndian.PutUint64(data, xxhash.Sum64(data[8:]))
	if err := lc.writeTemp(data); err != nil {
		return errors.Wrap(err, "rollout: write local copy")
	}
	if err := lc.root.Rename(copyTempName, copyName); err != nil {
		return errors.Wrap(err, "rollout: rename local copy")
	}
	return errors.Wrap(lc.syncFolder(), "rollout: sync data folder")
}

// writeTemp writes data to the temporary file and syncs it to disk.
func (lc *localCopy) writeTemp(data []byte) error {
	file, err := lc.root.OpenFile(copyTempName, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return err
	}
	if _, err = file.Write(data); err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncFolder syncs the data folder, so that the rename is on disk.
func (lc *localCopy) syncFolder() error {
	dir, err := lc.root.Open(".")
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
