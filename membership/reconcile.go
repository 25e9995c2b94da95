package membership

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/schema"
)

const (
	// compareInterval is the minimum time between two comparisons of views that a process
	// starts, and joinCompareInterval that of a joining process.
	compareInterval     = time.Second
	joinCompareInterval = 250 * time.Millisecond
	// maxReconcileDatagrams bounds the datagrams with records that answer one comparison.
	maxReconcileDatagrams = 4

	// contactInterval is the interval at which a process without members tries to join
	// through up to maxContactsAtATime contacts. Once it has members, all of them
	// together try contacts that are not present contactsPerSecond times a second.
	contactInterval    = 500 * time.Millisecond
	contactsPerSecond  = 1.0
	maxContactsAtATime = 3
	// introductions is the number of other members that a joining process is introduced
	// to.
	introductions = 8
)

// joinContacts joins through the contacts, and occasionally tries those that are not
// present.
func (mc *Machine) joinContacts() {
	if len(mc.set.Contacts) == 0 {
		return
	}
	if mc.table.present.len() > 0 {
		if mc.chance(contactsPerSecond / float64(mc.table.present.len()+1) * TickInterval.Seconds()) {
			mc.sendJoins(1)
		}
		return
	}
	if mc.now.Before(mc.nextContact) {
		return
	}
	mc.nextContact = mc.now.Add(contactInterval)
	mc.sendJoins(maxContactsAtATime)
}

// sendJoins introduces this process to up to n contacts that are not present.
func (mc *Machine) sendJoins(n int) {
	for _, index := range mc.rng.Perm(len(mc.set.Contacts)) {
		addr := mc.set.Contacts[index]
		if n == 0 || addr == mc.table.self.Address || mc.isPresent(addr) {
			continue
		}
		n--
		dg := mc.datagram(schema.Datagram_KIND_JOIN)
		dg.Members = append(dg.Members, encodeMember(mc.table.self.Member, true))
		dg.Digests = mc.domainDigests()
		mc.send(addr, dg)
	}
}

func (mc *Machine) isPresent(addr netip.AddrPort) bool {
	return slices.ContainsFunc(mc.table.present.recs, func(rec *record) bool { return rec.Address == addr })
}

// answerJoin introduces a joining process to some other members, so that it does not
// depend on its contacts alone, and compares views with it.
func (mc *Machine) answerJoin(dg *schema.Datagram, from netip.AddrPort) {
	answer := mc.datagram(schema.Datagram_KIND_UPDATES)
	answer.Reconcile = true
	packRecords(answer, append([]*record{mc.table.self}, mc.pickMembers(introductions, nil)...))
	mc.send(from, answer)
	mc.compareDigests(dg, from)
}

// catchUp compares views with random members while this process is joining.
func (mc *Machine) catchUp() {
	if rec := mc.table.present.random(mc.rng); mc.joining && rec != nil {
		mc.compareViews(rec.Address)
	}
}

// compareViews starts a comparison of views with another process, if the interval and the
// budget allow it.
func (mc *Machine) compareViews(to netip.AddrPort) {
	if mc.now.Before(mc.nextCompare) || !mc.budget.available() {
		return
	}
	interval := compareInterval
	if mc.joining {
		interval = joinCompareInterval
	}
	mc.nextCompare = mc.now.Add(interval)
	dg := mc.datagram(schema.Datagram_KIND_DIGEST)
	dg.Digests = mc.domainDigests()
	mc.send(to, dg)
}

// domainDigests returns the digest of each failure domain.
func (mc *Machine) domainDigests() []*schema.DomainDigest {
	dds := make([]*schema.DomainDigest, 0, len(mc.table.domains))
	for _, dm := range mc.table.domains {
		dds = append(dds, &schema.DomainDigest{FailureDomain: string(dm.name), Digest: dm.digest})
	}
	return dds
}

// compareDigests handles each step of a comparison. Digests of failure domains are
// answered with the digests of the parts of one that differs, and digests of parts are
// answered with the records of the parts that differ.
func (mc *Machine) compareDigests(dg *schema.Datagram, from netip.AddrPort) {
	dds := dg.GetDigests()
	if len(dds) == 0 || len(dds[0].GetParts()) == 0 {
		mc.answerDomains(dds, from)
		return
	}
	mc.answerParts(dds[0], from)
}

// answerDomains sends the digests of the parts of a failure domain that differs.
func (mc *Machine) answerDomains(dds []*schema.DomainDigest, from netip.AddrPort) {
	differing := mc.differing(dds)
	if len(differing) == 0 {
		return
	}
	dg := mc.datagram(schema.Datagram_KIND_DIGEST)
	dg.Digests = append(dg.Digests, mc.partDigests(differing[0], false))
	mc.send(from, dg)
}

// differing returns the failure domains whose digests differ, the own one first and the
// others in random order.
func (mc *Machine) differing(dds []*schema.DomainDigest) []call.FailureDomain {
	theirs := make(map[call.FailureDomain]uint64, len(dds))
	var names []call.FailureDomain
	for _, dd := range dds {
		name := call.FailureDomain(dd.GetFailureDomain())
		theirs[name] = dd.GetDigest()
		if dm := mc.table.findDomain(name); dm == nil && dd.GetDigest() != 0 {
			names = append(names, name)
		}
	}
	for _, dm := range mc.table.domains {
		if theirs[dm.name] != dm.digest {
			names = append(names, dm.name)
		}
	}
	mc.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	if own := slices.Index(names, mc.table.self.FailureDomain); own > 0 {
		names[0], names[own] = names[own], names[0]
	}
	return names
}

// partDigests returns the digests of the parts of a failure domain. last is set in the
// answer to part digests, which ends the exchange.
func (mc *Machine) partDigests(name call.FailureDomain, last bool) *schema.DomainDigest {
	dd := &schema.DomainDigest{FailureDomain: string(name), Parts: make([]uint32, partCount), Last: last}
	if dm := mc.table.findDomain(name); dm != nil {
		dd.Digest = dm.digest
		copy(dd.Parts, dm.parts[:])
	}
	return dd
}

// answerParts sends the records of the parts that differ, and requests those of the other
// process. A joining process only requests.
func (mc *Machine) answerParts(dd *schema.DomainDigest, from netip.AddrPort) {
	name := call.FailureDomain(dd.GetFailureDomain())
	if !dd.GetLast() {
		dg := mc.datagram(schema.Datagram_KIND_DIGEST)
		dg.Digests = append(dg.Digests, mc.partDigests(name, true))
		mc.send(from, dg)
	}
	dm := mc.table.findDomain(name)
	if dm == nil || mc.joining && !dd.GetLast() {
		return
	}
	mc.sendRecords(mc.differingRecords(dm, dd.GetParts()), from, false)
}

// differingRecords returns the records of the parts that differ, part by part from a
// random one on, so that whole parts become equal even if only some of the records are
// sent.
func (mc *Machine) differingRecords(dm *domain, parts []uint32) []*record {
	byPart := make([][]*record, partCount)
	for _, rec := range dm.all.recs {
		if dm.parts[rec.part] != parts[rec.part] {
			byPart[rec.part] = append(byPart[rec.part], rec)
		}
	}
	first := mc.rng.IntN(partCount)
	return slices.Concat(append(byPart[first:], byPart[:first]...)...)
}

// sendRecords sends as many of the records as maxReconcileDatagrams and the budget allow.
func (mc *Machine) sendRecords(recs []*record, to netip.AddrPort, restore bool) {
	for range maxReconcileDatagrams {
		if len(recs) == 0 || !mc.budget.available() {
			return
		}
		dg := mc.datagram(schema.Datagram_KIND_UPDATES)
		dg.Reconcile = true
		dg.Restore = restore
		recs = packRecords(dg, recs)
		mc.send(to, dg)
	}
}

// packRecords fills the datagram and returns the records that did not fit.
func packRecords(dg *schema.Datagram, recs []*record) []*record {
	space := maxDatagramBytes - proto.Size(dg)
	for i, rec := range recs {
		msg := encodeMember(rec.advertised(), true)
		space -= recordSize(msg)
		if space < 0 {
			return recs[i:]
		}
		dg.Members = append(dg.Members, msg)
	}
	return nil
}
