package buffer

import (
	"bytes"
	"io"
	"sync"
)

// segmentBytes is the size of the segments in which a message of unknown length is read.
const segmentBytes = 16 << 10

// segments holds unused segments.
var segments = sync.Pool{New: func() any { return new([segmentBytes]byte) }}

// ReadAll reads from r until the end or an error, but at most limit+1 bytes, so that a message
// longer than limit can be told from one of that length. stated is the length that the sender
// states, or -1. The reservation, if it is not nil, is grown by a stated length at once, and
// otherwise by what is read and by as much again at the end. The error is that of r, or
// ErrNoMemory.
func ReadAll(rs *Reservation, r io.Reader, stated, limit int64) ([]byte, error) {
	r = io.LimitReader(r, limit+1)
	if stated >= 0 && stated <= limit {
		return readExact(rs, r, stated)
	}
	var list []*[segmentBytes]byte
	defer func() {
		for _, seg := range list {
			segments.Put(seg)
		}
	}()
	for total := 0; ; {
		if err := rs.grow(segmentBytes); err != nil {
			return nil, err
		}
		seg := segments.Get().(*[segmentBytes]byte)
		list = append(list, seg)
		n, err := fill(r, seg[:])
		total += n
		switch {
		case err == io.EOF:
			return join(rs, list, total)
		case err != nil:
			return nil, err
		}
	}
}

// fill reads until buf is full or reading fails. Unlike io.ReadFull, it returns io.EOF only if
// the reader does, so that a message that breaks off is not taken for a whole one.
func fill(r io.Reader, buf []byte) (n int, err error) {
	for n < len(buf) && err == nil {
		var m int
		m, err = r.Read(buf[n:])
		n += m
	}
	return n, err
}

// readExact reads a message of the stated length. The buffer has room for one more byte, which
// shows that the message is longer.
func readExact(rs *Reservation, r io.Reader, stated int64) ([]byte, error) {
	if err := rs.grow(stated + 1); err != nil {
		return nil, err
	}
	buf := make([]byte, stated+1)
	n, err := io.ReadFull(r, buf)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		err = nil
	}
	return buf[:n:n], err
}

// join returns the first total bytes of the segments in one slice.
func join(rs *Reservation, list []*[segmentBytes]byte, total int) ([]byte, error) {
	if err := rs.grow(int64(total)); err != nil {
		return nil, err
	}
	var buf bytes.Buffer
	buf.Grow(total)
	for _, seg := range list {
		buf.Write(seg[:min(total-buf.Len(), segmentBytes)])
	}
	return buf.Bytes(), nil
}

// grow is Grow for a reservation that may be nil.
func (rs *Reservation) grow(bytes int64) error {
	if rs == nil {
		return nil
	}
	return rs.Grow(bytes)
}
