package claim

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"camphortrail/call"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/encoding/protowire"
)

// ErrBadSnapshot is returned by Restore for data that is not a valid snapshot of a Table.
var ErrBadSnapshot = errors.New("claim: not a snapshot of a table")

// Field numbers of a snapshot, which is encoded as a protobuf message. Times are in
// Unix nanoseconds.
const (
	fieldNow   protowire.Number = 1
	fieldEpoch protowire.Number = 2
	fieldEntry protowire.Number = 3
)

// Field numbers of an entry in a snapshot.
const (
	fieldTenant     protowire.Number = 1
	fieldKey        protowire.Number = 2
	fieldDigest     protowire.Number = 3
	fieldPhase      protowire.Number = 4
	fieldCompleted  protowire.Number = 5
	fieldEntryEpoch protowire.Number = 6
	fieldHolder     protowire.Number = 7
	fieldRetention  protowire.Number = 8
	fieldAnswer     protowire.Number = 9
	fieldReleased   protowire.Number = 10
	fieldExpiry     protowire.Number = 11
)

// Snapshot encodes the table. Equal tables give equal bytes, because the entries are
// sorted by epoch.
func (tb *Table) Snapshot() []byte {
	all := slices.SortedFunc(maps.Values(tb.entries), func(a, b *entry) int {
		return cmp.Compare(a.epoch, b.epoch)
	})
	data := appendVarint(nil, fieldNow, uint64(unixNano(tb.now)))
	data = appendVarint(data, fieldEpoch, uint64(tb.epoch))
	var buf []byte
	for _, en := range all {
		buf = en.encode(buf[:0])
		data = appendBytes(data, fieldEntry, buf)
	}
	return data
}

// Restore decodes a snapshot into a new table. The limits must equal those of the table
// from which the snapshot was taken. It returns ErrBadSnapshot if the data is invalid.
func Restore(data []byte, lim Limits) (*Table, error) {
	tb := New(lim)
	ok := visitFields(data, func(num protowire.Number, n uint64, b []byte) bool {
		switch num {
		case fieldNow:
			tb.now = fromUnixNano(int64(n))
		case fieldEpoch:
			tb.epoch = Epoch(n)
		case fieldEntry:
			return tb.restore(b)
		}
		return true
	})
	if !ok || len(data) == 0 {
		return nil, errors.WithStack(ErrBadSnapshot)
	}
	return tb, nil
}

// restore decodes an entry and adds it to the table. It reports whether the entry is
// valid: decodable, of a known phase, not a duplicate, and not newer than the table's epoch.
func (tb *Table) restore(data []byte) bool {
	en := &entry{}
	if !en.decode(data) || tb.entries[en.id] != nil || en.phase > finished || en.epoch > tb.epoch {
		return false
	}
	tb.insert(en)
	tb.scheduleExpiry(en, en.expires)
	return true
}

// encode appends the encoded entry to data.
func (en *entry) encode(data []byte) []byte {
	data = appendBytes(data, fieldTenant, []byte(en.id.tenant))
	data = appendBytes(data, fieldKey, []byte(en.id.key))
	data = appendBytes(data, fieldDigest, []byte(en.digest))
	data = appendVarint(data, fieldPhase, uint64(en.phase))
	data = appendVarint(data, fieldCompleted, protowire.EncodeBool(en.completed))
	data = appendVarint(data, fieldEntryEpoch, uint64(en.epoch))
	data = appendBytes(data, fieldHolder, en.holder[:])
	data = appendVarint(data, fieldRetention, uint64(en.retention))
	if en.answer != nil {
		data = appendBytes(data, fieldAnswer, en.answer)
	}
	for _, at := range en.releasedBy {
		data = appendBytes(data, fieldReleased, at[:])
	}
	return appendVarint(data, fieldExpiry, uint64(unixNano(en.expires)))
}

// decode sets the entry from its encoding and reports whether that is well formed.
func (en *entry) decode(data []byte) bool {
	return visitFields(data, func(num protowire.Number, n uint64, b []byte) bool {
		switch num {
		case fieldTenant:
			en.id.tenant = call.Deployment(b)
		case fieldKey:
			en.id.key = Key(b)
		case fieldDigest:
			en.digest = Digest(b)
		case fieldPhase:
			en.phase = phase(n)
		case fieldCompleted:
			en.completed = protowire.DecodeBool(n)
		case fieldEntryEpoch:
			en.epoch = Epoch(n)
		case fieldHolder:
			return copy(en.holder[:], b) == len(en.holder)
		case fieldRetention:
			en.retention = time.Duration(n)
		case fieldAnswer:
			en.answer = slices.Clone(b)
		case fieldReleased:
			var at call.AttemptID
			en.releasedBy = append(en.releasedBy, at)
			return copy(en.releasedBy[len(en.releasedBy)-1][:], b) == len(at)
		case fieldExpiry:
			en.expires = fromUnixNano(int64(n))
		}
		return true
	})
}

func appendVarint(data []byte, num protowire.Number, n uint64) []byte {
	data = protowire.AppendTag(data, num, protowire.VarintType)
	return protowire.AppendVarint(data, n)
}

func appendBytes(data []byte, num protowire.Number, b []byte) []byte {
	data = protowire.AppendTag(data, num, protowire.BytesType)
	return protowire.AppendBytes(data, b)
}

// visitFields calls visit for each field of a protobuf message. It reports whether the
// message is well formed and visit returned true for every field.
func visitFields(data []byte, visit func(num protowire.Number, n uint64, b []byte) bool) bool {
	for len(data) > 0 {
		num, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return false
		}
		data = data[size:]
		var n uint64
		var b []byte
		switch kind {
		case protowire.VarintType:
			n, size = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			b, size = protowire.ConsumeBytes(data)
		default:
			return false
		}
		if size < 0 || !visit(num, n, b) {
			return false
		}
		data = data[size:]
	}
	return true
}

// unixNano returns the time in Unix nanoseconds, or zero for the zero time.
func unixNano(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

// fromUnixNano is the inverse of unixNano.
func fromUnixNano(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
