package buffer

import (
	"io"
	"math"
)

const (
	// freeHeadBytes is the part of a head that is not reserved. Most heads are shorter.
	freeHeadBytes = 8 << 10
	// headFactor is the memory of a longer head relative to its length: its text is copied
	// while it is read, and again into a header.
	headFactor = 4
)

// HeadReader reads a stream of messages, and bounds the size and memory of their heads.
type HeadReader struct {
	r        io.Reader
	tooLarge error
	// remaining is the number of bytes that may still be read of the head, and free the
	// number that are not reserved.
	remaining, free int64
	rs              *Reservation
}

// NewHeadReader returns a reader from r without a bound.
func NewHeadReader(r io.Reader, tooLarge error) *HeadReader {
	return &HeadReader{r: r, tooLarge: tooLarge, remaining: math.MaxInt64}
}

// BeginHead begins a head. Read returns the error that was passed to NewHeadReader after limit
// bytes. What is read is added to the reservation, if that is not nil.
func (hr *HeadReader) BeginHead(limit int64, rs *Reservation) {
	hr.remaining, hr.free, hr.rs = limit, freeHeadBytes, rs
}

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
	if hr.rs == nil {
		return n, err
	}
	if hr.free -= int64(n); hr.free >= 0 {
		return n, err
	}
	if noMemory := hr.rs.Grow(-hr.free * headFactor); noMemory != nil {
		return n, noMemory
	}
	hr.free = 0
	return n, err
}
