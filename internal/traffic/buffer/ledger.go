package buffer

// Ledger decides how much memory each connection may hold, of a limit for all of them. It is a
// state machine without locks or I/O, and not safe for concurrent use; Budget adds these.
//
// A connection holds memory in two parts. What is being read is returned soon after the read is
// aborted. What is kept, whole requests and answers, is returned when the requests are answered.
//
// A charge that exceeds the limit evicts the holder of most memory, if that holds more than the
// one which asks. Otherwise the charge is refused. A part of the limit is reserved for holders of
// up to smallBytes. They also evict the kept memory of larger ones, so that ordinary requests are
// admitted beside connections that hold as much as they can.
type Ledger struct {
	limit, reserve int64
	used           int64
	// returning is the part of used that evicted holders return.
	returning int64
	holders   map[*Holder]struct{}
}

const (
	// smallBytes is the memory up to which a holder uses the reserve. An ordinary request
	// takes 24 to 40 KiB with its connection.
	smallBytes = 64 << 10
	// ReserveDivisor is the part of the limit that is reserved for small holders.
	ReserveDivisor = 16
)

// Holder is the memory of one connection. The zero Holder holds nothing.
type Holder struct {
	reading, kept int64
	// aborted says that the part being read is on its way back, and cancelled that the part
	// kept is.
	aborted, cancelled bool
	// stalled says that the other end does not read its answers.
	stalled bool
	// owner is the reservation that the holder is part of, if any.
	owner *Reservation
}

// total returns all memory of the holder.
func (h *Holder) total() int64 { return h.reading + h.kept }

// Part is a part of the memory of a holder.
type Part uint8

// The parts.
const (
	Reading Part = iota
	Kept
)

// Decision is the answer to a charge.
type Decision uint8

// The decisions.
const (
	// Granted means that the memory is charged.
	Granted Decision = iota
	// Wait means that memory is on its way back, after which the charge is to be repeated.
	Wait
	// Refused means that no memory is left for this holder.
	Refused
)

// Victim is a holder that gives up memory.
type Victim struct {
	Holder *Holder
	// Abort says that its read is aborted, and Cancel that its requests are cancelled, or that
	// its connection is closed if it is stalled.
	Abort, Cancel bool
}

// NewLedger returns a ledger for limit bytes, with the reserve.
func NewLedger(limit int64) *Ledger {
	return &Ledger{limit: limit, reserve: limit / ReserveDivisor, holders: make(map[*Holder]struct{})}
}

// Used returns the memory that is charged, in bytes.
func (ld *Ledger) Used() int64 { return ld.used }

// Charge asks for bytes in a part of a holder. With Wait it returns the holder that gives up
// memory, if there is a new one.
func (ld *Ledger) Charge(h *Holder, part Part, bytes int64) (Decision, Victim) {
	if part == Reading && h.aborted {
		return Refused, Victim{}
	}
	total := h.total() + bytes
	limit, small := ld.limit, total <= smallBytes
	if !small {
		limit -= ld.reserve
	}
	switch {
	case ld.used+bytes <= limit:
		ld.add(h, part, bytes)
		return Granted, Victim{}
	case ld.used-ld.returning+bytes <= limit:
		return Wait, Victim{}
	}
	vi, ok := ld.largest(total, small)
	if !ok {
		return Refused, Victim{}
	}
	ld.evict(vi)
	return Wait, vi
}

// largest returns the holder of most memory that can give some up, among those that hold more
// than total. For a small holder, that is also memory that is kept.
func (ld *Ledger) largest(total int64, small bool) (vi Victim, ok bool) {
	for h := range ld.holders {
		abort := h.reading > 0 && !h.aborted
		cancel := h.kept > 0 && !h.cancelled && (small || h.stalled)
		if held := h.total(); held > total && (abort || cancel) {
			vi, total, ok = Victim{h, abort, cancel}, held, true
		}
	}
	return vi, ok
}

// evict marks the memory that a victim gives up.
func (ld *Ledger) evict(vi Victim) {
	if vi.Abort {
		vi.Holder.aborted = true
		ld.returning += vi.Holder.reading
	}
	if vi.Cancel {
		vi.Holder.cancelled = true
		ld.returning += vi.Holder.kept
	}
}

// Abort marks the part of a holder that is being read as on its way back.
func (ld *Ledger) Abort(h *Holder) {
	if !h.aborted {
		ld.evict(Victim{Holder: h, Abort: true})
	}
}

// add changes a part of a holder.
func (ld *Ledger) add(h *Holder, part Part, bytes int64) {
	ld.used += bytes
	if part == Reading {
		h.reading += bytes
		if h.aborted {
			ld.returning += bytes
		}
	} else {
		h.kept += bytes
		if h.cancelled {
			ld.returning += bytes
		}
		// Later requests of the connection are not cancelled.
		h.cancelled = h.cancelled && h.kept > 0
	}
	if h.total() == 0 {
		delete(ld.holders, h)
	} else {
		ld.holders[h] = struct{}{}
	}
}

// Release returns bytes of a part of a holder, at most what that part has.
func (ld *Ledger) Release(h *Holder, part Part, bytes int64) {
	have := h.kept
	if part == Reading {
		have = h.reading
	}
	ld.add(h, part, -min(bytes, have))
}

// ReleaseReading returns the whole part of a holder that is being read.
func (ld *Ledger) ReleaseReading(h *Holder) { ld.Release(h, Reading, h.reading) }

// Keep moves up to bytes from the part that is being read to the part that is kept, and returns
// the rest of the former. It returns what is kept of it.
func (ld *Ledger) Keep(h *Holder, bytes int64) int64 {
	bytes = min(bytes, h.reading)
	if bytes > 0 {
		ld.add(h, Kept, bytes)
	}
	if h.reading > 0 {
		ld.add(h, Reading, -h.reading)
	}
	return bytes
}

// SetStalled says whether the other end of a connection has stopped reading its answers.
func (ld *Ledger) SetStalled(h *Holder, stalled bool) { h.stalled = stalled }

// MayRead reports whether another request may be read from a connection that keeps memory: if it
// keeps no more than is free. So each of n connections that send ahead gets 1/(n+1) of the limit,
// and as much remains free for others.
func (ld *Ledger) MayRead(h *Holder) bool {
	return h.kept <= smallBytes || h.kept <= ld.limit-ld.used
}
