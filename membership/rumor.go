package membership

import (
	"math/bits"
	"slices"

	"camphortrail/schema"
)

const (
	// An update is first sent at once to initialCopies members, then every gossip
	// interval until it has been sent urgentCopies times, and after that with the probes.
	initialCopies = 4
	urgentCopies  = 8
	// An update is sent transmissionFactor times the binary logarithm of the number of
	// members.
	transmissionFactor = 3

	// Each copy of an update received from another member counts as heardWeight
	// transmissions, so that updates that others spread already stop early.
	heardWeight = 8

	// minRecordBytes is the smallest remaining size for which another record is tried.
	minRecordBytes = 24
)

// rumor is the state of spreading the record of a member.
type rumor struct {
	// generation distinguishes the queue entries of this rumor from those of earlier
	// ones.
	generation uint32
	// active is set while the record is being spread.
	active bool
	// full is set if the whole record is spread, and not only its liveness.
	full bool
	// heard counts the copies received from others since the rumor was last sent here.
	heard int
}

func (rm *rumor) stop() {
	rm.generation++
	rm.active = false
	rm.full = false
	rm.heard = 0
}

// entry is a queue entry of a rumor.
type entry struct {
	rec        *record
	generation uint32
}

// valid reports whether the rumor is still being spread and was not queued again since.
func (en entry) valid() bool {
	return en.rec.rumor.active && en.rec.rumor.generation == en.generation
}

// rumors holds the updates to spread. levels is indexed by the number of times that they
// have been sent.
type rumors struct {
	levels [][]entry
}

// queue starts to spread the record, or only its liveness if full is false.
func (rs *rumors) queue(rec *record, full bool) {
	rec.rumor.generation++
	rec.rumor.active = true
	rec.rumor.full = rec.rumor.full || full
	rec.rumor.heard = 0
	rs.push(rec, 0)
}

// push adds a rumor that has been sent the given number of times.
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

// isUnsent reports whether the record is queued and has not been sent.
func (rs *rumors) isUnsent(rec *record) bool {
	en := entry{rec: rec, generation: rec.rumor.generation}
	return rec.rumor.active && len(rs.levels) > 0 && slices.Contains(rs.levels[0], en)
}

// pending reports whether there is a rumor that has been sent at least low and less than
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

// fill adds rumors of at most the given bytes in total to a datagram that goes to copies
// members. Those that have been sent least often come first. A rumor ends once it has
// been sent limit times.
func (rs *rumors) fill(dg *schema.Datagram, space, copies, limit int) {
	type move struct {
		rec  *record
		sent int
	}
	var moves []move
	for sent := 0; sent < len(rs.levels) && space >= minRecordBytes; sent++ {
		taken := 0
		for _, en := range rs.levels[sent] {
			if !en.valid() {
				taken++
				continue
			}
			msg := encodeMember(en.rec.advertised(), en.rec.rumor.full)
			size := recordSize(msg)
			if size > space {
				break
			}
			taken++
			space -= size
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
