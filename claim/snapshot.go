package claim

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"camphortrail/call"

	"github.com/pkg/errors"
)

// ErrBadSnapshot is returned for data that is not a snapshot of a table.
var ErrBadSnapshot = errors.New("claim: not a snapshot of a table")

// image is the form of a table in a snapshot. Times are Unix nanoseconds.
type image struct {
	Now     int64        `json:"now"`
	Epoch   Epoch        `json:"epoch"`
	Entries []entryImage `json:"entries"`
}

// entryImage is the form of an entry in a snapshot. Keys and digests are
// bytes, since they need not be UTF-8.
type entryImage struct {
	Tenant    []byte           `json:"tenant"`
	Key       []byte           `json:"key"`
	Digest    []byte           `json:"digest"`
	Phase     phase            `json:"phase"`
	Answered  bool             `json:"answered,omitempty"`
	Epoch     Epoch            `json:"epoch"`
	Holder    []byte           `json:"holder"`
	Retention time.Duration    `json:"retention-ns,omitempty"`
	Answer    []byte           `json:"answer"`
	Past      []call.AttemptID `json:"past,omitempty"`
	Wake      int64            `json:"wake"`
}

// Snapshot returns the table as bytes. Equal tables give equal bytes.
func (tb *Table) Snapshot() []byte {
	all := slices.SortedFunc(maps.Values(tb.entries), func(a, b *entry) int {
		return cmp.Or(
			cmp.Compare(a.name.tenant, b.name.tenant),
			cmp.Compare(a.name.key, b.name.key),
		)
	})
	img := image{Now: unixNano(tb.now), Epoch: tb.epoch}
	for _, en := range all {
		img.Entries = append(img.Entries, en.image())
	}
	data, err := json.Marshal(img)
	if err != nil {
		panic(err)
	}
	return data
}

// Restore returns the table of a snapshot. The limits must be those of the
// table that the snapshot was taken of. It fails with ErrBadSnapshot.
func Restore(data []byte, lim Limits) (*Table, error) {
	var img image
	if err := json.Unmarshal(data, &img); err != nil {
		return nil, errors.Wrap(ErrBadSnapshot, err.Error())
	}
	tb := New(lim)
	tb.now = fromUnixNano(img.Now)
	tb.epoch = img.Epoch
	for _, ei := range img.Entries {
		en := ei.entry()
		if tb.entries[en.name] != nil || en.phase > finished || en.epoch > tb.epoch {
			return nil, errors.Wrapf(ErrBadSnapshot, "entry %q", en.name.key)
		}
		tb.insert(en)
		tb.wake(en, fromUnixNano(ei.Wake))
	}
	return tb, nil
}

func (en *entry) image() entryImage {
	return entryImage{
		Tenant:    []byte(en.name.tenant),
		Key:       []byte(en.name.key),
		Digest:    []byte(en.digest),
		Phase:     en.phase,
		Answered:  en.answered,
		Epoch:     en.epoch,
		Holder:    en.holder[:],
		Retention: en.retention,
		Answer:    en.answer,
		Past:      en.past,
		Wake:      unixNano(en.wake),
	}
}

func (ei *entryImage) entry() *entry {
	en := &entry{
		name:      name{call.Tenant(ei.Tenant), Key(ei.Key)},
		digest:    Digest(ei.Digest),
		phase:     ei.Phase,
		answered:  ei.Answered,
		epoch:     ei.Epoch,
		retention: ei.Retention,
		answer:    ei.Answer,
		past:      ei.Past,
	}
	copy(en.holder[:], ei.Holder)
	return en
}

// unixNano returns the time in nanoseconds, and zero for the zero time.
func unixNano(at time.Time) int64 {
	if at.IsZero() {
		return 0
	}
	return at.UnixNano()
}

func fromUnixNano(ns int64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, ns)
}
