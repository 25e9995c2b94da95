package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
)

const (
	// maxRecords and maxFailureDomains bound the table.
	maxRecords        = 4096
	maxFailureDomains = 24
	// partCount is the number of parts of a failure domain that have a digest of their
	// own.
	partCount = 32

	// deadRetention and leftRetention are the times for which the records of dead
	// members, and of members that left, are retained.
	deadRetention = 2 * time.Hour
	leftRetention = 10 * time.Minute
)

// record is a member with the bookkeeping of the local table.
type record struct {
	Member
	domain *domain
	// hash is the contribution of the record to the digests, 0 unless the member is
	// present.
	hash uint64
	// part is the part of the failure domain to which the record belongs, by the hash of
	// its name.
	part int
	// due is when a suspicion ends, or the retention of a member that is not present.
	due time.Time
	// inferred is set on a suspect that this process suspects because of failed probes of
	// other members of the failure domain.
	inferred bool
	// unspread is set on a suspect whose failed probe by this process was not spread.
	unspread bool
	// lastReminded is when the member was last notified that it is not considered alive.
	lastReminded time.Time
	// revivedAt is when the member last changed from dead to present.
	revivedAt time.Time
	rumor     rumor

	// These are the indexes of the record in the lists that hold it.
	all, present, domainPresent, suspects, gone int
}

// domain holds the records of one failure domain.
type domain struct {
	name    call.FailureDomain
	digest  uint64
	parts   [partCount]uint32
	all     recordList
	present recordList
	// recheck fires after a dead member came back, and explore after a member was
	// suspected.
	recheck cooldownTimer
	explore cooldownTimer
	// failures counts the failed probes since a member of the failure domain was last
	// heard from.
	failures int
	suspects int
}

// cooldownTimer is a timer for an action that is not repeated before a cooldown has
// passed. at is when the timer fires, and earliest when it can be scheduled again.
type cooldownTimer struct {
	at       time.Time
	earliest time.Time
}

// schedule makes the timer fire after the delay, unless the cooldown of an earlier call
// still runs.
func (ct *cooldownTimer) schedule(now time.Time, delay, interval time.Duration) {
	if now.Before(ct.earliest) {
		return
	}
	ct.at = now.Add(delay)
	ct.earliest = now.Add(interval)
}

// due returns true once when the timer has fired.
func (ct *cooldownTimer) due(now time.Time) bool {
	if ct.at.IsZero() || now.Before(ct.at) {
		return false
	}
	ct.at = time.Time{}
	return true
}

// recordList is an unordered set of records with constant-time removal. at returns the
// field of a record that holds its index in this list.
type recordList struct {
	recs []*record
	at   func(*record) *int
}

func (rl *recordList) add(rec *record) {
	*rl.at(rec) = len(rl.recs)
	rl.recs = append(rl.recs, rec)
}

func (rl *recordList) remove(rec *record) {
	index, last := *rl.at(rec), len(rl.recs)-1
	rl.recs[index] = rl.recs[last]
	*rl.at(rl.recs[index]) = index
	rl.recs[last] = nil
	rl.recs = rl.recs[:last]
}

func (rl *recordList) random(rng *rand.Rand) *record {
	if len(rl.recs) == 0 {
		return nil
	}
	return rl.recs[rng.IntN(len(rl.recs))]
}

func (rl *recordList) len() int { return len(rl.recs) }

// table holds all records. The lists leave out the record of this process, except for the
// list of all records of a failure domain.
type table struct {
	self    *record
	records map[call.VM]*record
	domains []*domain
	digest  uint64

	present  recordList
	suspects recordList
	gone     recordList
}

func newTable(self Member) table {
	tb := table{
		records:  make(map[call.VM]*record),
		present:  recordList{at: func(rec *record) *int { return &rec.present }},
		suspects: recordList{at: func(rec *record) *int { return &rec.suspects }},
		gone:     recordList{at: func(rec *record) *int { return &rec.gone }},
	}
	tb.self = &record{Member: self}
	tb.insert(tb.self)
	return tb
}

// findDomain returns the failure domain, or nil if it is unknown.
func (tb *table) findDomain(name call.FailureDomain) *domain {
	for _, dm := range tb.domains {
		if dm.name == name {
			return dm
		}
	}
	return nil
}

// ensureDomain returns the failure domain, and adds it if it is unknown.
func (tb *table) ensureDomain(name call.FailureDomain) *domain {
	if dm := tb.findDomain(name); dm != nil {
		return dm
	}
	dm := &domain{
		name:    name,
		all:     recordList{at: func(rec *record) *int { return &rec.all }},
		present: recordList{at: func(rec *record) *int { return &rec.domainPresent }},
	}
	tb.domains = append(tb.domains, dm)
	return dm
}

// acceptsDomain reports whether the failure domain is known or can be added.
func (tb *table) acceptsDomain(name call.FailureDomain) bool {
	return tb.findDomain(name) != nil || len(tb.domains) < maxFailureDomains
}

// ensureCapacity reports whether mb can be added. If the table is full it evicts the
// absent member whose retention ends first.
func (tb *table) ensureCapacity(mb Member) bool {
	if !tb.acceptsDomain(mb.FailureDomain) {
		return false
	}
	if len(tb.records) < maxRecords {
		return true
	}
	var oldest *record
	for _, rec := range tb.gone.recs {
		if oldest == nil || rec.due.Before(oldest.due) {
			oldest = rec
		}
	}
	if oldest == nil {
		return false
	}
	tb.delete(oldest)
	return true
}

// insert adds a record that is not in the table.
func (tb *table) insert(rec *record) {
	rec.part = int(xxhash.Sum64String(string(rec.Name)) % partCount)
	rec.domain = tb.ensureDomain(rec.FailureDomain)
	rec.domain.all.add(rec)
	tb.records[rec.Name] = rec
	tb.addToLists(rec)
}

// delete removes a record from the table, its lists and the rumors.
func (tb *table) delete(rec *record) {
	tb.removeFromLists(rec)
	rec.domain.all.remove(rec)
	rec.rumor.stop()
	delete(tb.records, rec.Name)
	tb.removeIfEmpty(rec.domain)
}

// removeIfEmpty removes a failure domain without records.
func (tb *table) removeIfEmpty(dm *domain) {
	if dm.all.len() > 0 {
		return
	}
	for i := range tb.domains {
		if tb.domains[i] == dm {
			tb.domains = append(tb.domains[:i], tb.domains[i+1:]...)
			return
		}
	}
}

// replace sets the content of a record, and updates the lists and digests.
func (tb *table) replace(rec *record, mb Member) {
	tb.removeFromLists(rec)
	rec.Member = mb
	if rec.domain.name != mb.FailureDomain {
		old := rec.domain
		old.all.remove(rec)
		rec.domain = tb.ensureDomain(mb.FailureDomain)
		rec.domain.all.add(rec)
		tb.removeIfEmpty(old)
	}
	tb.addToLists(rec)
}

// addToLists adds a record to the digests and to the lists of its state.
func (tb *table) addToLists(rec *record) {
	if rec.State.Present() {
		rec.hash = rec.digestHash()
		tb.toggleDigests(rec)
	}
	if rec == tb.self {
		return
	}
	if !rec.State.Present() {
		tb.gone.add(rec)
		return
	}
	tb.present.add(rec)
	rec.domain.present.add(rec)
	if rec.State == Suspect {
		tb.suspects.add(rec)
		rec.domain.suspects++
	}
}

// removeFromLists removes a record from the digests and from the lists of its state.
func (tb *table) removeFromLists(rec *record) {
	tb.toggleDigests(rec)
	rec.hash = 0
	if rec == tb.self {
		return
	}
	if !rec.State.Present() {
		tb.gone.remove(rec)
		return
	}
	tb.present.remove(rec)
	rec.domain.present.remove(rec)
	if rec.State == Suspect {
		tb.suspects.remove(rec)
		rec.domain.suspects--
	}
}

// toggleDigests adds the hash of rec to the digests, or removes it if it was added
// before.
func (tb *table) toggleDigests(rec *record) {
	tb.digest ^= rec.hash
	rec.domain.digest ^= rec.hash
	rec.domain.parts[rec.part] ^= uint32(rec.hash)
}

// digestHash returns a hash of the fields on which processes have to agree. The state is
// left out, since a suspicion ends by itself.
func (rec *record) digestHash() uint64 {
	buf := make([]byte, 0, 64+3*8)
	buf = binary.BigEndian.AppendUint64(buf, uint64(rec.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(rec.Refutation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(rec.Announcement))
	buf = append(buf, rec.Name...)
	return xxhash.Sum64(buf)
}
