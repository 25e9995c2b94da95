package membership

import (
	"net/netip"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// When a partition ends, each side takes the members on the other side as
// dead. A dead member that answers a probe is restored, and asked whether all
// others are as they were before: it compares its own digests with those that
// count the dead as live. Where they agree the dead are restored without
// another message, and elsewhere the records that differ are sent.

const (
	// Each dead member is probed about deadProbesPerSecond times a second by
	// all others together, and each process sends at most one such probe a
	// second.
	deadProbesPerSecond = 4.0
	domainProbes        = 2
	recheckCooldown     = time.Second
	recheckJitter       = 200 * time.Millisecond
	exploreCooldown     = time.Second
	exploreJitter       = 500 * time.Millisecond
	verifyInterval      = 100 * time.Millisecond
	restoreTime         = time.Second
	maxRestoredDomains  = 3
	partitionWindow          = 10 * time.Second
)

// restoration is the exchange with a member that came back.
type restoration struct {
	peer  netip.AddrPort
	until time.Time
}

func (rs restoration) activeWith(peer netip.AddrPort, now time.Time) bool {
	return rs.peer == peer && now.Before(rs.until)
}

// verify probes a member about which another process disagrees. A dead one is
// told so, and can refute.
func (mc *Machine) verify(rec *record) {
	if mc.now.Before(mc.nextVerify) {
		return
	}
	mc.nextVerify = mc.now.Add(verifyInterval)
	mc.sendProbe(rec, pendingProbe{suspectOnFailure: rec.State == Alive})
}

// probeDead probes a dead member now and then, so that the end of a partition
// is noticed.
func (mc *Machine) probeDead() {
	dead, present := mc.table.gone.len(), mc.table.present.len()
	if dead == 0 {
		return
	}
	rate := min(1, deadProbesPerSecond*float64(dead)/float64(present+1))
	if !mc.chance(rate * TickInterval.Seconds()) {
		return
	}
	if rec := mc.table.gone.random(mc.rng); rec.State == Dead {
		mc.sendProbe(rec, pendingProbe{})
	}
}

// scheduleRecheck has dead members of a failure domain probed soon, since one came
// back.
func (mc *Machine) scheduleRecheck(dm *domain) {
	dm.recheck.schedule(mc.now, mc.jitter(recheckJitter), recheckCooldown)
}

// scheduleExplore has other members of a failure domain probed soon, since one is
// suspected and the whole failure domain may be cut off.
func (mc *Machine) scheduleExplore(dm *domain) {
	dm.explore.schedule(mc.now, mc.jitter(exploreJitter), exploreCooldown)
}

// continueExplore goes on until there is a sign from the failure domain.
func (mc *Machine) continueExplore(dm *domain) {
	if dm.failures > 0 && len(dm.probeCandidates()) > 0 {
		dm.explore.at = mc.now.Add(exploreCooldown)
	}
}

// probeDomains carries out what recheck and explore have planned.
func (mc *Machine) probeDomains() {
	for _, dm := range mc.table.domains {
		if dm.recheck.due(mc.now) {
			mc.probeSome(dm.dead(), pendingProbe{})
		}
		if dm.explore.due(mc.now) {
			mc.probeSome(dm.probeCandidates(), pendingProbe{suspectOnFailure: true})
			mc.continueExplore(dm)
		}
	}
}

func (mc *Machine) probeSome(recs []*record, pp pendingProbe) {
	for range min(domainProbes, len(recs)) {
		mc.sendProbe(recs[mc.rng.IntN(len(recs))], pp)
	}
}

func (dm *domain) alive() []*record {
	var recs []*record
	for _, rec := range dm.present.recs {
		if rec.State == Alive {
			recs = append(recs, rec)
		}
	}
	return recs
}

func (dm *domain) dead() []*record {
	var recs []*record
	for _, rec := range dm.all.recs {
		if rec.State == Dead {
			recs = append(recs, rec)
		}
	}
	return recs
}

// beginRestore takes a dead member that has answered as alive, and asks it about
// the others.
func (mc *Machine) beginRestore(rec *record, from netip.AddrPort) {
	mc.revive(rec)
	if mc.now.Before(mc.restoring.until) {
		return
	}
	dg := mc.datagram(schema.Datagram_KIND_DIGEST)
	dg.Restore = true
	for _, dm := range mc.table.domains {
		if len(dm.dead()) > 0 {
			dg.Digests = append(dg.Digests, dm.restoreDigest(false))
		}
	}
	if len(dg.Digests) == 0 {
		return
	}
	mc.restoring = restoration{peer: from, until: mc.now.Add(restoreTime)}
	mc.send(from, dg)
}

// revive takes a dead member as alive, in the incarnation and refutation in
// which it was taken as dead.
func (mc *Machine) revive(rec *record) {
	next := rec.Member
	next.State = Alive
	mc.update(rec, next)
	mc.emit(Changed{Kind: Joined, Member: next})
}

// restoreDigest returns digests that count the dead as live.
func (dm *domain) restoreDigest(withParts bool) *schema.DomainDigest {
	dd := &schema.DomainDigest{FailureDomain: string(dm.name), Digest: dm.digest}
	parts := dm.parts
	for _, rec := range dm.dead() {
		hash := rec.digestHash()
		dd.Digest ^= hash
		parts[rec.part] ^= uint32(hash)
	}
	if withParts {
		dd.Parts = parts[:]
	}
	return dd
}

// restoreDigests handles any step of a restoration.
func (mc *Machine) restoreDigests(dg *schema.Datagram, from netip.AddrPort) {
	if len(dg.GetDigests()) == 0 {
		return
	}
	if !dg.GetDigests()[0].GetLast() {
		mc.answerRestore(dg, from)
		return
	}
	if !mc.restoring.activeWith(from, mc.now) {
		return
	}
	ask := mc.datagram(schema.Datagram_KIND_DIGEST)
	ask.Restore = true
	for _, dd := range dg.GetDigests() {
		dm := mc.table.findDomain(call.FailureDomain(dd.GetFailureDomain()))
		if dm == nil || mc.reviveMatching(dm, dd) || len(ask.Digests) == maxRestoredDomains {
			continue
		}
		ask.Digests = append(ask.Digests, dm.restoreDigest(true))
	}
	if len(ask.Digests) > 0 {
		mc.send(from, ask)
	}
}

// reviveMatching restores the dead members of those parts of a failure domain
// whose digests are equal to the ones of a member that came back. It reports
// whether no question is left.
func (mc *Machine) reviveMatching(dm *domain, dd *schema.DomainDigest) bool {
	mine := dm.restoreDigest(true)
	whole := mine.Digest == dd.GetDigest()
	theirs := dd.GetParts()
	for _, rec := range dm.dead() {
		if whole || len(theirs) == partCount && mine.Parts[rec.part] == theirs[rec.part] {
			mc.revive(rec)
		}
	}
	return whole || len(theirs) == partCount
}

// answerRestore gives the digests that a restoring process asks for, and the
// live members in the parts that differ.
func (mc *Machine) answerRestore(dg *schema.Datagram, from netip.AddrPort) {
	answer := mc.datagram(schema.Datagram_KIND_DIGEST)
	answer.Restore = true
	var recs []*record
	for _, dd := range dg.GetDigests() {
		name := call.FailureDomain(dd.GetFailureDomain())
		mine := mc.partDigests(name, true)
		if len(dd.GetParts()) == 0 {
			mine.Parts = nil
		} else if dm := mc.table.findDomain(name); dm != nil {
			recs = append(recs, mc.differingRecords(dm, dd.GetParts())...)
		}
		answer.Digests = append(answer.Digests, mine)
	}
	mc.send(from, answer)
	mc.sendRecords(presentOnly(recs), from, true)
}

func presentOnly(recs []*record) []*record {
	var present []*record
	for _, rec := range recs {
		if rec.State.Present() {
			present = append(present, rec)
		}
	}
	return present
}
