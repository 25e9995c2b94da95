package faultdisk

import (
	"maps"
	"math/rand/v2"
	"slices"
)

// sectorBytes is the unit in which a torn write reaches the disk.
const sectorBytes = 512

// fileID identifies a file whatever its name.
type fileID uint64

// opKind says what an operation changes.
type opKind string

const (
	opCreate     opKind = "create"
	opWrite      opKind = "write"
	opTruncate   opKind = "truncate"
	opSync       opKind = "sync"
	opRename     opKind = "rename"
	opRemove     opKind = "remove"
	opSyncFolder opKind = "sync-folder"
)

// op is one operation on a folder.
type op struct {
	Kind opKind `json:"do"`
	File fileID `json:"file,omitempty"`
	// Name is the name created or removed, or the old one of a rename, whose new one is To.
	Name string `json:"name,omitempty"`
	To   string `json:"to,omitempty"`
	// At is the offset of a write or the new size of a truncation, in bytes.
	At int64 `json:"at,omitempty"`
	// Bytes is the length of data.
	Bytes int `json:"bytes,omitempty"`
	data  []byte
}

// content is the content of a file: what is durable, and the operations since then.
type content struct {
	durable []byte
	pending []op
}

// whole returns the content as the process sees it.
func (co *content) whole() []byte {
	data := slices.Clone(co.durable)
	for _, op := range co.pending {
		data = op.changeContent(data)
	}
	return data
}

// image is a folder as the process sees it, and what of it is durable.
type image struct {
	files map[fileID]*content
	// now holds the names that the process sees, durable those that survive a loss of power,
	// and names the operations on names since then.
	now, durable map[string]fileID
	names        []op
}

func newImage() *image {
	return &image{files: make(map[fileID]*content), now: make(map[string]fileID), durable: make(map[string]fileID)}
}

// apply adds an operation.
func (im *image) apply(op op) {
	co := im.files[op.File]
	if co == nil {
		co = new(content)
		im.files[op.File] = co
	}
	switch op.Kind {
	case opCreate, opRename, opRemove:
		op.changeNames(im.now)
		im.names = append(im.names, op)
	case opWrite, opTruncate:
		co.pending = append(co.pending, op)
	case opSync:
		for _, op := range co.pending {
			co.durable = op.changeContent(co.durable)
		}
		co.pending = nil
		im.syncCreation(op.File)
	case opSyncFolder:
		im.durable, im.names = maps.Clone(im.now), nil
		used := slices.Collect(maps.Values(im.now))
		maps.DeleteFunc(im.files, func(id fileID, _ *content) bool { return !slices.Contains(used, id) })
	}
}

// syncCreation makes the creation of a file durable, and with it the end of earlier files of that
// name.
func (im *image) syncCreation(id fileID) {
	i := slices.IndexFunc(im.names, func(op op) bool { return op.Kind == opCreate && op.File == id })
	if i < 0 {
		return
	}
	created := im.names[i]
	created.changeNames(im.durable)
	var names []op
	for _, op := range im.names[:i] {
		switch {
		case op.Kind == opCreate && op.Name == created.Name:
			continue
		case op.Kind == opRename && op.To == created.Name:
			op.Kind, op.To = opRemove, ""
		}
		names = append(names, op)
	}
	im.names = append(names, im.names[i+1:]...)
}

// contents returns the files by name as the process sees them.
func (im *image) contents() map[string][]byte {
	files := make(map[string][]byte)
	for name, id := range im.now {
		files[name] = im.files[id].whole()
	}
	return files
}

// Loss counts what was pending at a loss of power: writes and truncations of files, and
// creations, renames and removals of names.
type Loss struct {
	KeptWrites, TornWrites, LostWrites int
	KeptNames, LostNames               int
}

// Add adds the counts of other.
func (ls *Loss) Add(other Loss) {
	ls.KeptWrites += other.KeptWrites
	ls.TornWrites += other.TornWrites
	ls.LostWrites += other.LostWrites
	ls.KeptNames += other.KeptNames
	ls.LostNames += other.LostNames
}

// losePower returns the files that are on the disk after a loss of power. Of what was not
// synced, all is lost in one case of four, all is kept in one, and otherwise each operation has
// its own fate.
func (im *image) losePower(rng *rand.Rand) (map[string][]byte, Loss) {
	var ls Loss
	isKept := func() bool { return rng.IntN(2) == 0 }
	isTorn := func() bool { return rng.IntN(2) == 0 }
	switch rng.IntN(4) {
	case 0:
		isKept = func() bool { return false }
		isTorn = isKept
	case 1:
		isKept = func() bool { return true }
	}
	names := maps.Clone(im.durable)
	for _, op := range im.names {
		if isKept() {
			op.changeNames(names)
			ls.KeptNames++
		} else {
			ls.LostNames++
		}
	}
	files := make(map[string][]byte)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		co := im.files[names[name]]
		data := slices.Clone(co.durable)
		for _, op := range co.pending {
			switch {
			case isKept():
				data = op.changeContent(data)
				ls.KeptWrites++
			case op.Kind == opWrite && isTorn():
				data = op.tear(data, rng)
				ls.TornWrites++
			default:
				ls.LostWrites++
			}
		}
		files[name] = data
	}
	return files, ls
}

// changeNames applies an operation on names.
func (op op) changeNames(names map[string]fileID) {
	if op.Kind == opCreate {
		names[op.Name] = op.File
		return
	}
	if names[op.Name] == op.File {
		delete(names, op.Name)
	}
	if op.Kind == opRename {
		names[op.To] = op.File
	}
}

// changeContent applies a write or truncation to data, and returns the result.
func (op op) changeContent(data []byte) []byte {
	if op.Kind == opTruncate {
		return resize(data, op.At)
	}
	data = resize(data, max(int64(len(data)), op.At+int64(len(op.data))))
	copy(data[op.At:], op.data)
	return data
}

// tear applies a part of a write: its beginning, or some of its sectors.
func (op op) tear(data []byte, rng *rand.Rand) []byte {
	part := op
	if rng.IntN(2) == 0 {
		part.data = op.data[:rng.IntN(len(op.data)+1)]
		return part.changeContent(data)
	}
	for from := int64(0); from < int64(len(op.data)); {
		to := min(from+sectorBytes-(op.At+from)%sectorBytes, int64(len(op.data)))
		if rng.IntN(2) == 0 {
			part.At, part.data = op.At+from, op.data[from:to]
			data = part.changeContent(data)
		}
		from = to
	}
	return data
}

// resize returns data with the given length, filled with zeros.
func resize(data []byte, size int64) []byte {
	if size <= int64(len(data)) {
		return data[:size]
	}
	return append(data, make([]byte, size-int64(len(data)))...)
}
