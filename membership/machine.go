// Package membership decides which processes belong to the deployment and what they
// announce.
//
// Machine implements a gossip membership protocol of the SWIM family (Das, Gupta and
// Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol", DSN 2002): members probe one another, ask others to probe on their behalf,
// suspect a member before they declare it dead, and piggyback updates on the probes. Two
// rules come from Lifeguard (Dadgar, Phillips and Currey, DSN Workshops 2018): a suspect
// is notified directly, and a process that was paused does not blame others for its
// pause. Views that still differ are reconciled by comparing digests (anti-entropy), as
// in Demers et al., "Epidemic Algorithms for Replicated Database Maintenance" (PODC
// 1987).
//
// The cost of a process does not depend on the number of members. A Machine has no
// goroutine, clock or socket.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/schema"
)

const (
	// TickInterval is the time between two Tick events.
	TickInterval = 50 * time.Millisecond

	// pauseThreshold is the time without a Tick after which the process counts as paused.
	pauseThreshold = 10 * TickInterval
	// joinTime bounds the time for which a process counts as joining.
	joinTime = time.Minute
)

// Settings describe the process that a Machine represents.
type Settings struct {
	// Deployment names the deployment. Datagrams of other deployments are refused.
	Deployment    call.Deployment
	Name          call.VM
	Address       netip.AddrPort
	FailureDomain call.FailureDomain
	Role          Role
	// Incarnation is the start time of the process in Unix milliseconds.
	Incarnation Incarnation
	// Contacts are the addresses of processes through which this one joins.
	Contacts []netip.AddrPort
	// FirstStart is set at the first start of the deployment, when no earlier incarnation can
	// have announced anything.
	FirstStart bool
}

// Validate returns an error that wraps ErrMalformed if other processes would refuse the
// record of this one.
func (set Settings) Validate() error {
	_, err := decodeMember(encodeMember(set.member(), true))
	return err
}

// member returns the first record of this process.
func (set Settings) member() Member {
	return Member{
		Name:          set.Name,
		Address:       set.Address,
		FailureDomain: set.FailureDomain,
		Role:          set.Role,
		Incarnation:   set.Incarnation,
		State:         Alive,
	}
}

// Machine is the membership state of one process.
type Machine struct {
	set     Settings
	rng     *rand.Rand
	now     time.Time
	actions []Action

	table    table
	rumors   rumors
	probes   probes
	budget   budget
	counters Counters

	started  time.Time
	lastTick time.Time
	// joining is set until the view equals that of another member, for joinTime at most.
	// Meanwhile the process compares views more often and does not pass on what it learns
	// that way.
	joining bool
	// nextRaise is when raiseIncarnation may take effect again.
	nextRaise   time.Time
	nextGossip  time.Time
	nextCompare time.Time
	nextContact time.Time

	nextVerify time.Time
	// nextRefused is when a refused record may be reported again.
	nextRefused time.Time
	// suppressRefutationUntil is the time before which this process does not refute a
	// death that may be due to a partition, since a process on the same side has just
	// refuted one.
	suppressRefutationUntil time.Time
	// refuteAt is when to refute such a death, or zero.
	refuteAt  time.Time
	restoring restoration

	recall       recall
	confirmation confirmation

	revision uint64
	// revisionCopies counts the update datagrams sent with the current revision, up to
	// urgentCopies.
	revisionCopies int
}

// New returns a Machine that knows only itself and its contacts.
func New(set Settings, rng *rand.Rand) *Machine {
	return &Machine{
		set:            set,
		rng:            rng,
		table:          newTable(set.member()),
		joining:        true,
		revisionCopies: urgentCopies,
		recall:         recall{pending: !set.FirstStart, complete: set.FirstStart},
	}
}

// Step handles an event and returns the actions to carry out. They are valid until the
// next Step.
func (mc *Machine) Step(now time.Time, ev Event) []Action {
	mc.beginStep(now)
	switch ev := ev.(type) {
	case Receive:
		mc.receive(ev.Datagram)
	case Tick:
		mc.tick()
	case AnnounceUpstreams:
		mc.announce(ev.Upstreams)
	case AnnounceDepartures:
		mc.announceDepartures(ev.Departures)
	case SetRevision:
		mc.setRevision(ev.Revision)
	case Leave:
		mc.leave()
	}
	return mc.actions
}

// beginStep sets the time and discards the actions of the previous step.
func (mc *Machine) beginStep(now time.Time) {
	mc.now = now
	clear(mc.actions)
	mc.actions = mc.actions[:0]
	if mc.started.IsZero() {
		mc.started = now
		mc.lastTick = now
		mc.budget.start(now)
		mc.probes.next = now.Add(mc.jitter(probeInterval))
	}
}

func (mc *Machine) emit(ac Action) { mc.actions = append(mc.actions, ac) }

// jitter returns a random duration in [0, d).
func (mc *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(mc.rng.Int64N(int64(d)))
}

// chance returns true with probability p.
func (mc *Machine) chance(p float64) bool { return mc.rng.Float64() < p }

// tick checks all timers, and sends what is due.
func (mc *Machine) tick() {
	mc.resumeAfterPause()
	mc.lastTick = mc.now
	mc.budget.refill(mc.now, mc.bytesPerSecond())
	mc.expire()
	mc.checkProbes()
	if mc.table.self.State != Left {
		mc.refuteIfDue()
		mc.probe()
		mc.probeDead()
		mc.probeDomains()
		mc.joinContacts()
		mc.catchUp()
		mc.continueRecall()
	}
	mc.continueConfirmation()
	mc.flush()
	mc.gossip()
}

// resumeAfterPause drops the pending probes and extends all suspicions after this process
// was paused, since answers may have been missed in that time.
func (mc *Machine) resumeAfterPause() {
	gap := mc.now.Sub(mc.lastTick)
	if gap < pauseThreshold {
		return
	}
	mc.probes.clear()
	for _, rec := range mc.table.suspects.recs {
		rec.due = rec.due.Add(gap)
	}
}

// expire declares suspects dead whose time to refute is over, and removes members whose
// retention is over.
func (mc *Machine) expire() {
	for i := mc.table.suspects.len() - 1; i >= 0; i-- {
		rec := mc.table.suspects.recs[i]
		if mc.now.Before(rec.due) {
			continue
		}
		next := rec.Member
		next.State = Dead
		mc.update(rec, next)
		rec.rumor.stop()
		mc.emit(Changed{Kind: Died, Member: next})
	}
	for i := mc.table.gone.len() - 1; i >= 0; i-- {
		if rec := mc.table.gone.recs[i]; !mc.now.Before(rec.due) {
			mc.table.delete(rec)
		}
	}
	if mc.joining && mc.now.Sub(mc.started) > joinTime {
		mc.joining = false
	}
}

// setRevision records a higher revision as in force here. Resetting revisionCopies makes
// flush send it at once.
func (mc *Machine) setRevision(revision uint64) {
	if revision <= mc.revision {
		return
	}
	mc.revision = revision
	mc.revisionCopies = 0
}

// reportRevision emits a RevisionHint if the sender of dg has a higher revision in force.
func (mc *Machine) reportRevision(dg *schema.Datagram, from netip.AddrPort) {
	if dg.GetRevision() <= mc.revision {
		return
	}
	if dg.GetRevision() > MaxRevision {
		mc.countRefused(dg.GetFrom(), errors.Wrapf(ErrMalformed, "revision %d", dg.GetRevision()))
		return
	}
	mc.emit(RevisionHint{Revision: dg.GetRevision(), From: dg.GetFrom(), Address: from})
}

// Self returns the record of this process.
func (mc *Machine) Self() Member { return mc.table.self.Member }

// Members calls yield with the record of each known process, including this one, in no
// particular order, until yield returns false. It is an iter.Seq.
func (mc *Machine) Members(yield func(Member) bool) {
	for _, dm := range mc.table.domains {
		for _, rec := range dm.all.recs {
			if !yield(rec.Member) {
				return
			}
		}
	}
}

// Counters count events since the start of the Machine.
type Counters struct {
	// RefusedDeployment, RefusedMalformed and RefusedTarget count refused datagrams:
	// those of another deployment, malformed ones, and probes addressed to another
	// process.
	RefusedDeployment uint64
	RefusedMalformed  uint64
	RefusedTarget     uint64
	// RefusedRecords counts malformed records, malformed upstreams in records, and hints
	// of revisions that are out of range.
	RefusedRecords uint64
	// RefusedTableFull counts records that were refused because the table was full.
	RefusedTableFull uint64
	// Suspicions counts the members that became suspect because a probe of this process
	// failed.
	Suspicions uint64
	// Refutations counts the suspicions and deaths of this process that it refuted.
	Refutations uint64
	// Conflicts counts the times that this process raised its incarnation because of a
	// record that another process with its name must have sent.
	Conflicts uint64
}

// Counters returns the current counters.
func (mc *Machine) Counters() Counters { return mc.counters }
