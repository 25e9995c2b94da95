package membership

import (
	"math/bits"
	"slices"

	"camphortrail/schema"
)

const (
	// Updates are first sent at once, to initialCopies members, then every
	// gossip interval until they have been sent urgentCopies times, and after
	// that with the probes.
	initialCopies  = 4
	urgentCopies = 8
	// transmissionFactor times the binary logarithm of the number of members
	// is how often an update is sent.
	transmissionFactor = 3

	// An update that was heard from another member counts as if it had been
	// sent heardWeight times, so that old news end early.
	heardWeight = 8

	minRecordBytes = 24
)

// rumor says whether the record of a member is being spread.
type rumor struct {
	// generation tells the entries of a rumor from those of an earlier one.
	generation uint32
	active     bool
	full       bool
	// heard is how often others sent the same since it was last sent here.
	heard int
}

func (rm *rumor) stop() {
	rm.generation++
	rm.active = false
	rm.full = false
	rm.heard = 0
}

// entry is a place of a rumor in the queue.
type entry struct {
	rec        *record
	generation uint32
}

func (en entry) valid() bool {
	return en.rec.rumor.active && en.rec.rumor.generation == en.generation
}

// rumors holds the updates to spread, by the number of times that they have
// been sent.
type rumors struct {
	levels [][]entry
}

// queue starts to spread the record. Without full, only its liveness is
// spread.
func (rs *rumors) queue(rec *record, full bool) {
	rec.rumor.generation++
	rec.rumor.active = true
	rec.rumor.full = rec.rumor.full || full
	rec.rumor.heard = 0
	rs.push(rec, 0)
}

func (rs *rumors) push(rec *record, sent int) {
	for len(rs.levels) <= sent {
		rs.levels = append(rs.levels, nil)
	}
	rs.levels[sent] = append(rs.levels[sent], entry{rec: rec, generation: rec.rumor.generation})
}

// queueFirst starts to spread the record ahead of all others.
func (rs *rumors) queueFirst(rec *record, full bool) {
	rs.queue(rec, full)
	level := rs.levels[0]
	copy(level[1:], level)
	level[0] = entry{rec: rec, generation: rec.rumor.generation}
}

// isUnsent reports whether the record is to be spread and has not been sent.
func (rs *rumors) isUnsent(rec *record) bool {
	en := entry{rec: rec, generation: rec.rumor.generation}
	return rec.rumor.active && len(rs.levels) > 0 && slices.Contains(rs.levels[0], en)
}

// pending reports whether a rumor has been sent at least low and less than
// high times.
func (rs *rumors) pending(low, high int) bool {
	for sent := low; sent < min(high, len(rs.levels)); sent++ {
		for _, en := range rs.levels[sent] {
			if en.valid() {
				return true
			}
		}
		rs.levels[sent] = rs.levels[sent][:0]
	}
	return false
}

// fill adds rumors to a datagram that goes to copies members, those that have
// been sent least first, until room bytes are used.
func (rs *rumors) fill(dg *schema.Datagram, room, copies, limit int) {
	type move struct {
		rec  *record
		sent int
	}
	var moves []move
	for sent := 0; sent < len(rs.levels) && room >= minRecordBytes; sent++ {
		taken := 0
		for _, en := range rs.levels[sent] {
			if !en.valid() {
				taken++
				continue
			}
			msg := encodeMember(en.rec.advertised(), en.rec.rumor.full)
			size := recordSize(msg)
			if size > room {
				break
			}
			taken++
			room -= size
			dg.Members = append(dg.Members, msg)
			moves = append(moves, move{rec: en.rec, sent: sent + copies + heardWeight*en.rec.rumor.heard})
			en.rec.rumor.heard = 0
		}
		rs.levels[sent] = append(rs.levels[sent][:0], rs.levels[sent][taken:]...)
	}
	for _, mv := range moves {
		if mv.sent >= limit {
			mv.rec.rumor.stop()
			continue
		}
		rs.push(mv.rec, mv.sent)
	}
}

// transmissions returns how often an update is sent among n members.
func transmissions(n int) int {
	return max(initialCopies, transmissionFactor*bits.Len(uint(n)))
}
