package membership

import (
	"math/bits"
	"slices"
	"time"
)

const (
	// suspicionBase and suspicionPerBit set the time that a suspect has to refute, see
	// suspicionTime.
	suspicionBase   = 2 * time.Second
	suspicionPerBit = 250 * time.Millisecond
	// conflictCooldown is the minimum time between two raises of the incarnation.
	conflictCooldown = time.Second
	// refutationSuppression is the time after a refutation for which other processes on
	// the same side of a partition do not refute their own death.
	refutationSuppression = 2 * time.Second
	// refuteJitter bounds the random delay of such a refutation.
	refuteJitter = time.Second
)

// suspicionTime returns the time that a suspect has to refute. It grows with the
// logarithm of the number of members, as does the time that an update takes to reach all
// of them.
func (mc *Machine) suspicionTime() time.Duration {
	return suspicionBase + time.Duration(bits.Len(uint(mc.table.present.len())))*suspicionPerBit
}

// source describes the datagram in which records arrived.
type source struct {
	// reconcile is set if the records are part of a comparison of views.
	reconcile bool
	// restoresDead is set if members that the sender considers alive are restored without
	// a probe when they are dead here.
	restoresDead bool
	// possiblePartition is set if the sender is unknown here, or is or recently was
	// considered dead. Both sides of a partition may then consider each other dead.
	possiblePartition bool
}

// mergeAll merges the records of a datagram. It returns true if one of them is about this
// process and differs from its own record.
func (mc *Machine) mergeAll(src source, rrs []receivedRecord) (wrong bool) {
	for _, rr := range rrs {
		if rr.Name == mc.table.self.Name {
			wrong = mc.mergeSelf(rr.Member, rr.full, src) || wrong
			continue
		}
		mc.merge(rr, src)
	}
	return wrong
}

// merge merges a record of another process. A later incarnation replaces the known
// record, an earlier one is ignored.
func (mc *Machine) merge(rr receivedRecord, src source) {
	rec := mc.table.records[rr.Name]
	if rec != nil && rec.Incarnation == rr.Incarnation {
		rr.retainKnown(rec.Upstreams)
	}
	mb, full := rr.Member, rr.full
	switch {
	case rec == nil && full && mb.State.Present():
		mc.add(mb, src)
	case rec == nil || mb.Incarnation < rec.Incarnation:
	case mb.Incarnation > rec.Incarnation:
		if full {
			mc.mergeNewIncarnation(rec, mb, src)
		}
	default:
		mc.mergeSameIncarnation(rec, mb, full, src)
	}
}

// add inserts a member that was unknown.
func (mc *Machine) add(mb Member, src source) {
	if !mc.table.ensureCapacity(mb) {
		mc.counters.RefusedTableFull++
		return
	}
	rec := &record{Member: mb, due: mc.now.Add(mc.suspicionTime())}
	mc.table.insert(rec)
	mc.spreadLearned(rec, true, src)
	mc.emit(Changed{Kind: Joined, Member: rec.Member})
}

// mergeNewIncarnation replaces a known member by a later incarnation.
func (mc *Machine) mergeNewIncarnation(rec *record, mb Member, src source) {
	if !mc.table.acceptsDomain(mb.FailureDomain) {
		mc.counters.RefusedTableFull++
		return
	}
	was := rec.State
	mb.Departures = mergeDepartures(mb.Departures, rec.Departures)
	mc.update(rec, mb)
	mc.spreadLearned(rec, true, src)
	switch {
	case mb.State.Present():
		mc.emit(Changed{Kind: Joined, Member: rec.Member})
	case was.Present():
		mc.emit(Changed{Kind: changeTo(mb.State), Member: rec.Member})
	}
}

// mergeSameIncarnation applies what is newer in a record of the same incarnation. Liveness
// and announcement are ordered independently of each other.
func (mc *Machine) mergeSameIncarnation(rec *record, mb Member, full bool, src source) {
	next, was := rec.Member, rec.Member
	if full && mb.Announcement > was.Announcement {
		next.Announcement = mb.Announcement
		next.Upstreams = mb.Upstreams
		next.Departures = mergeDepartures(mb.Departures, was.Departures)
	}
	next.State, next.Refutation = mc.mergeLiveness(rec, mb, src)
	if next.State == was.State && next.Refutation == was.Refutation && next.Announcement == was.Announcement {
		rec.noteDuplicate(mb, full)
		return
	}
	mc.update(rec, next)
	mc.spreadLearned(rec, next.Announcement != was.Announcement, src)
	mc.reportChange(was, rec)
}

// mergeLiveness returns the state and refutation of rec after receiving mb, a record of
// the same incarnation.
//
// Suspicions and refutations are taken over from any process. Each process declares a
// death only when a suspicion ends in its own view. A claim of death by another process,
// or a claim of life after a death, is verified by a probe.
func (mc *Machine) mergeLiveness(rec *record, mb Member, src source) (State, Refutation) {
	refutation := max(rec.Refutation, mb.Refutation)
	switch {
	case rec.State == Left || mb.State == Left:
		return Left, refutation
	case mb.State == Dead:
		if rec.State == Alive && mb.Refutation >= rec.Refutation {
			mc.verify(rec)
		}
		return rec.State, refutation
	case mb.Refutation > rec.Refutation:
		return mb.State, refutation
	case mb.Refutation < rec.Refutation:
	case rec.State == Alive:
		return mb.State, refutation
	case rec.State == Dead && mb.State == Alive:
		if src.restoresDead {
			return Alive, refutation
		}
		mc.verify(rec)
	}
	return rec.State, refutation
}

// reportChange emits the Changed for a change within an incarnation. A new member or a
// suspicion also schedules probes in its failure domain.
func (mc *Machine) reportChange(was Member, rec *record) {
	is := rec.Member
	switch {
	case was.State.Present() && !is.State.Present():
		mc.emit(Changed{Kind: changeTo(is.State), Member: is})
	case !was.State.Present() && is.State.Present():
		mc.emit(Changed{Kind: Joined, Member: is})
		mc.scheduleRecheck(rec.domain)
	case !is.State.Present():
	case was.State == Alive && is.State == Suspect:
		mc.emit(Changed{Kind: Suspected, Member: is})
		mc.scheduleExplore(rec.domain)
	case was.State != is.State || was.Announcement != is.Announcement:
		mc.emit(Changed{Kind: Updated, Member: is})
	}
	if is.Refutation > was.Refutation && was.State.Present() && !mc.recentlyDead(rec) {
		mc.suppressRefutationUntil = mc.now.Add(refutationSuppression)
	}
}

// noteDuplicate counts a received record that equals the one that is being spread here.
func (rec *record) noteDuplicate(mb Member, full bool) {
	same := mb.State == rec.State && mb.Refutation == rec.Refutation
	if rec.rumor.full {
		same = same && full && mb.Announcement == rec.Announcement
	}
	if same {
		rec.rumor.heard++
	}
}

// changeTo returns the kind of change that leads to the state.
func changeTo(st State) ChangeKind {
	switch st {
	case Suspect:
		return Suspected
	case Dead:
		return Died
	case Left:
		return Departed
	default:
		return Updated
	}
}

// update replaces the content of rec, and restarts the timer of its state if the state,
// the incarnation or the refutation has changed.
func (mc *Machine) update(rec *record, mb Member) {
	if rec.State == Dead && mb.State.Present() {
		rec.revivedAt = mc.now
	}
	restart := rec.State != mb.State || rec.Incarnation != mb.Incarnation || rec.Refutation != mb.Refutation
	if restart {
		rec.inferred, rec.unspread = false, false
	}
	mc.table.replace(rec, mb)
	if !restart {
		return
	}
	switch mb.State {
	case Suspect:
		rec.due = mc.now.Add(mc.suspicionTime())
	case Dead:
		rec.due = mc.now.Add(deadRetention)
	case Left:
		rec.due = mc.now.Add(leftRetention)
	}
}

// spreadLearned spreads what was learned from another process. A joining process does not
// spread what it learned from a comparison, since the others know it. Deaths are not
// spread: suspicions are, and they end in every view.
func (mc *Machine) spreadLearned(rec *record, full bool, src source) {
	if src.reconcile && mc.joining || rec.State == Dead {
		return
	}
	mc.rumors.queue(rec, full)
}

// mergeSelf compares a received record of this process with its own. It returns true if
// the record is wrong and the sender has to be corrected.
//
// When a partition ends, each side considers the other dead. Then only a few processes
// refute their death, which is enough to reveal the end of the partition, and the others
// are restored without a refutation.
func (mc *Machine) mergeSelf(mb Member, full bool, src source) (wrong bool) {
	self := mc.table.self
	if self.State == Left {
		return mb.State != Left || mb.Incarnation != self.Incarnation
	}
	if mb.Incarnation < self.Incarnation {
		return true
	}
	if mb.Incarnation > self.Incarnation || mb.Refutation >= maxCount || mc.conflicts(mb, full) {
		mc.raiseIncarnation(mb.Incarnation)
		return true
	}
	if mb.State == Alive || mb.Refutation < self.Refutation {
		return mb.Refutation != self.Refutation
	}
	if mb.State == Dead && src.possiblePartition {
		mc.scheduleRefutation()
		return false
	}
	mc.refute(mb.Refutation)
	return true
}

// refute refutes a suspicion or death with the given refutation number.
func (mc *Machine) refute(claim Refutation) {
	mc.counters.Refutations++
	mc.refuteAt = time.Time{}
	mc.suppressRefutationUntil = mc.now.Add(refutationSuppression)
	next := mc.table.self.Member
	next.Refutation = claim + 1
	mc.table.replace(mc.table.self, next)
	mc.rumors.queueFirst(mc.table.self, false)
}

// scheduleRefutation schedules the refutation of a death that may be due to a partition.
// It is cancelled if another process on this side refutes first.
func (mc *Machine) scheduleRefutation() {
	if mc.refuteAt.IsZero() && !mc.now.Before(mc.suppressRefutationUntil) {
		mc.refuteAt = mc.now.Add(mc.jitter(refuteJitter))
	}
}

// refuteIfDue carries out or cancels a scheduled refutation.
func (mc *Machine) refuteIfDue() {
	switch {
	case mc.refuteAt.IsZero():
	case mc.now.Before(mc.suppressRefutationUntil):
		mc.refuteAt = time.Time{}
	case !mc.now.Before(mc.refuteAt):
		mc.refute(mc.table.self.Refutation)
	}
}

// conflicts reports whether a record of this process and incarnation can only come from
// another process with the same name.
func (mc *Machine) conflicts(mb Member, full bool) bool {
	self := mc.table.self
	if mb.State == Left || mb.State == Alive && mb.Refutation > self.Refutation {
		return true
	}
	return full && (mb.Address != self.Address || mb.Announcement > self.Announcement)
}

// raiseIncarnation takes an incarnation higher than inc, at most once per
// conflictCooldown, so that two processes with one name do not raise their incarnations in
// response to each other without a limit.
func (mc *Machine) raiseIncarnation(inc Incarnation) {
	if mc.now.Before(mc.nextRaise) || inc >= maxIncarnation {
		return
	}
	mc.nextRaise = mc.now.Add(conflictCooldown)
	mc.counters.Conflicts++
	next := mc.table.self.Member
	next.Incarnation = inc + 1
	next.Refutation = 0
	mc.table.replace(mc.table.self, next)
	mc.rumors.queueFirst(mc.table.self, true)
}

// announce replaces the announcement of this process. Upstreams that others would refuse
// are left out.
func (mc *Machine) announce(ups []Upstream) {
	next := mc.table.self.Member
	ups = slices.DeleteFunc(slices.Clone(ups), func(up Upstream) bool { return up.Validate() != nil })
	ups = ups[:min(len(ups), MaxUpstreams)]
	if next.State == Left || slices.Equal(next.Upstreams, ups) {
		return
	}
	next.Upstreams = ups
	next.Announcement++
	mc.table.replace(mc.table.self, next)
	mc.emit(Changed{Kind: Updated, Member: next})
	mc.rumors.queueFirst(mc.table.self, true)
}

// leave spreads once that this process leaves.
func (mc *Machine) leave() {
	next := mc.table.self.Member
	if next.State == Left {
		return
	}
	next.State = Left
	mc.table.replace(mc.table.self, next)
	mc.rumors.queueFirst(mc.table.self, false)
	mc.flush()
}
