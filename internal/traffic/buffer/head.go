package buffer

import (
	"bytes"
	"io"
	"math"
)

const (
	// freeHeadBytes and freeHeadLines are the part of a head that is not reserved. Most heads are
	// shorter.
	freeHeadBytes = 4 << 10
	freeHeadLines = 32
	// headFactor is the memory of a longer head relative to its length: its text is copied
	// while it is read, and again into a header.
	headFactor = 4
	// headLineBytes is the memory of a header line beside its text: an entry of a map that grows
	// by doubling, a slice and two strings, and two copies of the map. TestHeadCost measures it.
	headLineBytes = 256
)

// HeadCost returns the memory that a parsed head takes beyond that of a short one, from its size
// and its number of lines.
func HeadCost(size, lines int) int64 {
	return int64(max(0, size-freeHeadBytes))*headFactor + int64(max(0, lines-freeHeadLines))*headLineBytes
}

// HeadReader reads a stream of messages, and bounds the size and memory of their heads.
type HeadReader struct {
	r        io.Reader
	tooLarge error
	// remaining is the number of bytes that may still be read of the head.
	remaining int64
	// bytes and lines count the head so far, and reserved is its memory.
	bytes, lines int
	reserved     int64
	rs           *Reservation
}

// NewHeadReader returns a reader from r without a bound.
func NewHeadReader(r io.Reader, tooLarge error) *HeadReader {
	return &HeadReader{r: r, tooLarge: tooLarge, remaining: math.MaxInt64}
}

// BeginHead begins a head. Read returns the error that was passed to NewHeadReader after limit
// bytes. What is read is added to the reservation, if that is not nil.
func (hr *HeadReader) BeginHead(limit int64, rs *Reservation) {
	hr.remaining, hr.bytes, hr.lines, hr.reserved, hr.rs = limit, 0, 0, 0, rs
}

// AddBuffered adds the part of the head that was read before BeginHead. It returns ErrNoMemory if
// the budget of the reservation is used up.
func (hr *HeadReader) AddBuffered(data []byte) error { return hr.reserve(data) }

// EndHead ends the head. What follows is not bounded.
func (hr *HeadReader) EndHead() { hr.remaining, hr.rs = math.MaxInt64, nil }

// Exceeded reports whether the head is longer than its limit.
func (hr *HeadReader) Exceeded() bool { return hr.remaining <= 0 }

// Read implements io.Reader. It returns ErrNoMemory if the budget of the reservation is used up.
func (hr *HeadReader) Read(p []byte) (int, error) {
	if hr.remaining <= 0 {
		return 0, hr.tooLarge
	}
	if int64(len(p)) > hr.remaining {
		p = p[:hr.remaining]
	}
	n, err := hr.r.Read(p)
	hr.remaining -= int64(n)
	if noMemory := hr.reserve(p[:n]); noMemory != nil {
		return n, noMemory
	}
	return n, err
}

// reserve adds bytes that were read to the reservation, before they are parsed. They may belong to
// a body that follows the head.
func (hr *HeadReader) reserve(data []byte) error {
	if hr.rs == nil {
		return nil
	}
	hr.bytes += len(data)
	hr.lines += bytes.Count(data, newline)
	cost := HeadCost(hr.bytes, hr.lines)
	if cost == hr.reserved {
		return nil
	}
	err := hr.rs.Grow(cost - hr.reserved)
	hr.reserved = cost
	return err
}

var newline = []byte{'\n'}
