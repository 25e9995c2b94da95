package membership

import (
	"net/netip"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// When a partition ends, each side considers the members on the other side dead. A dead
// member that acknowledges a probe is revived and asked for its digests. They are compared
// with digests computed as if the dead members were alive. Where these agree the dead members
// are revived without another message, and elsewhere the records that differ are sent.

const (
	// deadProbesPerSecond is about how often each dead member is probed per second by all
	// others together. One process sends at most one such probe a second.
	deadProbesPerSecond = 4.0
	// domainProbes is the number of probes that a recheck or an exploration of a failure
	// domain sends.
	domainProbes = 2
	// recheckCooldown and exploreCooldown are the minimum times between two of them in
	// one failure domain, and recheckJitter and exploreJitter bound their random delays.
	recheckCooldown = time.Second
	recheckJitter   = 200 * time.Millisecond
	exploreCooldown = time.Second
	exploreJitter   = 500 * time.Millisecond
	// verifyInterval is the minimum time between two probes that verify a claim.
	verifyInterval = 100 * time.Millisecond
	// restoreTime bounds the exchange with one member that came back, and
	// maxRestoredDomains the failure domains in one question to it.
	restoreTime        = time.Second
	maxRestoredDomains = 3
	// partitionWindow is the time after a restoration for which a member counts as
	// recently dead.
	partitionWindow = 10 * time.Second
)

// restoration is the exchange with a member that came back.
type restoration struct {
	peer  netip.AddrPort
	until time.Time
}

// activeWith reports whether the exchange with this peer is still in progress.
func (rs restoration) activeWith(peer netip.AddrPort, now time.Time) bool {
	return rs.peer == peer && now.Before(rs.until)
}

// verify probes a member about which another process claims a different state. A dead
// member is notified by the probe, and can refute.
func (mc *Machine) verify(rec *record) {
	if mc.now.Before(mc.nextVerify) {
		return
	}
	mc.nextVerify = mc.now.Add(verifyInterval)
	mc.sendProbe(rec, pendingProbe{suspectOnFailure: rec.State == Alive})
}

// probeDead occasionally probes a dead member, so that the end of a partition is
// detected.
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

// scheduleRecheck schedules probes of dead members of a failure domain after one of its
// members came back.
func (mc *Machine) scheduleRecheck(dm *domain) {
	dm.recheck.schedule(mc.now, mc.jitter(recheckJitter), recheckCooldown)
}

// scheduleExplore schedules probes of other members of a failure domain after one was
// suspected, since the whole failure domain may be cut off.
func (mc *Machine) scheduleExplore(dm *domain) {
	dm.explore.schedule(mc.now, mc.jitter(exploreJitter), exploreCooldown)
}

// continueExplore schedules further probes until there is a sign of life from the failure
// domain.
func (mc *Machine) continueExplore(dm *domain) {
	if dm.failures > 0 && len(dm.probeCandidates()) > 0 {
		dm.explore.at = mc.now.Add(exploreCooldown)
	}
}

// probeDomains sends the probes that scheduleRecheck and scheduleExplore made due.
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

// probeSome probes up to domainProbes random records.
func (mc *Machine) probeSome(recs []*record, pp pendingProbe) {
	for range min(domainProbes, len(recs)) {
		mc.sendProbe(recs[mc.rng.IntN(len(recs))], pp)
	}
}

// alive returns the members of the failure domain in state Alive.
func (dm *domain) alive() []*record {
	var recs []*record
	for _, rec := range dm.present.recs {
		if rec.State == Alive {
			recs = append(recs, rec)
		}
	}
	return recs
}

// dead returns the members of the failure domain in state Dead.
func (dm *domain) dead() []*record {
	var recs []*record
	for _, rec := range dm.all.recs {
		if rec.State == Dead {
			recs = append(recs, rec)
		}
	}
	return recs
}

// beginRestore makes a dead member that acknowledged a probe alive again, and compares
// views with it about the other dead members.
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

// revive makes a dead member alive again, with the incarnation and refutation that it
// had.
func (mc *Machine) revive(rec *record) {
	next := rec.Member
	next.State = Alive
	mc.update(rec, next)
	mc.emit(Changed{Kind: Joined, Member: next})
}

// restoreDigest returns the digests of the failure domain as if its dead members were
// alive.
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

// restoreDigests handles each step of a restoration.
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

// reviveMatching revives the dead members in the parts of a failure domain whose digests
// equal those of the member that came back. It returns true if nothing is left to ask
// about the failure domain.
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

// answerRestore answers a process that restores members with the digests that it asks
// for, and with the present members in the parts that differ.
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

// presentOnly returns the records of present members.
func presentOnly(recs []*record) []*record {
	var present []*record
	for _, rec := range recs {
		if rec.State.Present() {
			present = append(present, rec)
		}
	}
	return present
}
