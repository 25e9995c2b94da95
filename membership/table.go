package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
)

const (
	maxRecords        = 4096
	maxFailureDomains = 24
	partCount         = 32

	deadRetention = 2 * time.Hour
	leftRetention = 10 * time.Minute
)

// record is a member with the bookkeeping of the local table.
type record struct {
	Member
	domain *domain
	// hash is the share of the record in the digests, 0 unless present.
	hash uint64
	part int
	// due is the end of a suspicion, or of the retention of a member that is
	// not present.
	due time.Time
	// inferred is set on a suspect that was not probed itself.
	inferred bool
	// unspread is set on a suspect that failed a probe of this process, but
	// was not spread.
	unspread bool
	// lastReminded is when the member was last lastReminded that it is not taken as alive.
	lastReminded time.Time
	// revivedAt is when the member was last found not to be dead.
	revivedAt time.Time
	rumor   rumor

	all, present, domainPresent, suspects, gone int
}

// domain holds the records of one failure domain.
type domain struct {
	name    call.FailureDomain
	digest  uint64
	parts   [partCount]uint32
	all     recordList
	present recordList
	// recheck is due when a dead member came back, and explore when a member
	// is suspected.
	recheck cooldownTimer
	explore cooldownTimer
	// failures counts the members that failed a probe since one of the
	// failure domain was last heard of.
	failures int
	suspects int
}

// cooldownTimer is something to do once, soon, and not again for a while.
type cooldownTimer struct {
	at       time.Time
	earliest time.Time
}

// schedule sets the time, unless that was done within the interval.
func (oc *cooldownTimer) schedule(now time.Time, delay, interval time.Duration) {
	if now.Before(oc.earliest) {
		return
	}
	oc.at = now.Add(delay)
	oc.earliest = now.Add(interval)
}

// due reports once that the time has come.
func (oc *cooldownTimer) due(now time.Time) bool {
	if oc.at.IsZero() || now.Before(oc.at) {
		return false
	}
	oc.at = time.Time{}
	return true
}

// recordList is an unordered set of records with constant-time removal. at returns
// the place of a record in this recordList.
type recordList struct {
	recs []*record
	at   func(*record) *int
}

func (ls *recordList) add(rec *record) {
	*ls.at(rec) = len(ls.recs)
	ls.recs = append(ls.recs, rec)
}

func (ls *recordList) remove(rec *record) {
	place, last := *ls.at(rec), len(ls.recs)-1
	ls.recs[place] = ls.recs[last]
	*ls.at(ls.recs[place]) = place
	ls.recs[last] = nil
	ls.recs = ls.recs[:last]
}

func (ls *recordList) random(rng *rand.Rand) *record {
	if len(ls.recs) == 0 {
		return nil
	}
	return ls.recs[rng.IntN(len(ls.recs))]
}

func (ls *recordList) len() int { return len(ls.recs) }

// table holds all records. The lists leave out the process itself, except for
// the list of all records of a failure domain.
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

func (tb *table) findDomain(name call.FailureDomain) *domain {
	for _, dm := range tb.domains {
		if dm.name == name {
			return dm
		}
	}
	return nil
}

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

// ensureCapacity reports whether mb can be added, and evicts the absent member whose
// retention ends first when the table is full.
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

// delete removes a record and all of its traces.
func (tb *table) delete(rec *record) {
	tb.removeFromLists(rec)
	rec.domain.all.remove(rec)
	rec.rumor.stop()
	delete(tb.records, rec.Name)
	tb.removeIfEmpty(rec.domain)
}

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

// replace gives a record the content mb, and keeps the lists and digests.
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

// toggleDigests adds the share of rec to the digests, or takes it out again.
func (tb *table) toggleDigests(rec *record) {
	tb.digest ^= rec.hash
	rec.domain.digest ^= rec.hash
	rec.domain.parts[rec.part] ^= uint32(rec.hash)
}

// digestHash is a hash of what processes have to agree on. Suspicion is left
// out, since it ends by itself.
func (rec *record) digestHash() uint64 {
	buf := make([]byte, 0, 64+3*8)
	buf = binary.BigEndian.AppendUint64(buf, uint64(rec.Incarnation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(rec.Refutation))
	buf = binary.BigEndian.AppendUint64(buf, uint64(rec.Announcement))
	buf = append(buf, rec.Name...)
	return xxhash.Sum64(buf)
}
