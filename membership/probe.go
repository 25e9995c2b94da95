package membership

import (
	"net/netip"
	"slices"
	"time"

	"camphortrail/schema"
)

const (
	// probeInterval is the mean time between two regular probes of a process.
	probeInterval = time.Second
	// A probe without an acknowledgement is repeated through probeHelpers other members
	// after directTimeout, and fails after probeTimeout.
	directTimeout = 300 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	probeHelpers  = 3
	// maxProbes bounds the pending probes.
	maxProbes = 128

	// One in crossDomainShare regular probes goes to any failure domain, the others stay
	// in the own one.
	crossDomainShare = 4

	// reminderInterval is the minimum time between two notices to a member that it is not
	// considered alive.
	reminderInterval = time.Second
)

// pendingProbe is a probe that has not been acknowledged.
type pendingProbe struct {
	sequence     uint64
	target       *record
	incarnation  Incarnation
	sent         time.Time
	helpersAsked bool
	// suspectOnFailure is set if the target becomes suspect when the probe fails.
	suspectOnFailure bool
	// requester and requesterSequence are set for a probe on behalf of another process:
	// the address to which the acknowledgement is forwarded, and the sequence number of
	// the request.
	requester         netip.AddrPort
	requesterSequence uint64
	// announcement is set for a probe that carries the own record with this announcement.
	announcement Announcement
}

// probes holds the pending probes and the order of the next targets.
type probes struct {
	next     time.Time
	sequence uint64
	pending  []pendingProbe
	// ownOrder and allOrder are the targets left in a random order of the own failure
	// domain and of all members.
	ownOrder []*record
	allOrder []*record
	count    uint64
}

func (ps *probes) clear() { ps.pending = ps.pending[:0] }

// take removes and returns the pending probe with a sequence number.
func (ps *probes) take(sequence uint64) (pendingProbe, bool) {
	for i, pp := range ps.pending {
		if pp.sequence == sequence {
			ps.pending = slices.Delete(ps.pending, i, i+1)
			return pp, true
		}
	}
	return pendingProbe{}, false
}

// probe sends the next regular probe when it is due.
func (mc *Machine) probe() {
	if mc.now.Before(mc.probes.next) {
		return
	}
	mc.probes.next = mc.now.Add(probeInterval*9/10 + mc.jitter(probeInterval/5))
	if rec := mc.nextTarget(); rec != nil {
		mc.sendProbe(rec, pendingProbe{suspectOnFailure: true})
	}
}

// nextTarget returns the next member to probe. It goes through the own failure domain and
// through all members in two random orders.
func (mc *Machine) nextTarget() *record {
	mc.probes.count++
	own := mc.table.self.domain.present.recs
	if mc.probes.count%crossDomainShare != 0 && len(own) > 0 {
		return mc.nextInOrder(&mc.probes.ownOrder, own)
	}
	return mc.nextInOrder(&mc.probes.allOrder, mc.table.present.recs)
}

// nextInOrder removes and returns the next present member of order, which it refills from
// recs in random order when it is empty.
func (mc *Machine) nextInOrder(order *[]*record, recs []*record) *record {
	for range 2 {
		for len(*order) > 0 {
			last := len(*order) - 1
			rec := (*order)[last]
			*order = (*order)[:last]
			if rec.State.Present() && mc.table.records[rec.Name] == rec {
				return rec
			}
		}
		*order = append((*order)[:0], recs...)
		mc.rng.Shuffle(len(*order), func(i, j int) {
			(*order)[i], (*order)[j] = (*order)[j], (*order)[i]
		})
	}
	return nil
}

// sendProbe probes rec. A member that is not considered alive is notified in the same
// datagram, and can refute.
func (mc *Machine) sendProbe(rec *record, pp pendingProbe) {
	if len(mc.probes.pending) >= maxProbes {
		return
	}
	mc.probes.sequence++
	pp.sequence = mc.probes.sequence
	pp.target = rec
	pp.incarnation = rec.Incarnation
	pp.sent = mc.now
	mc.probes.pending = append(mc.probes.pending, pp)

	dg := mc.datagram(schema.Datagram_KIND_PROBE)
	dg.Sequence = pp.sequence
	dg.Target = string(rec.Name)
	mc.remind(rec, dg)
	if pp.announcement > 0 {
		dg.Members = append(dg.Members, encodeMember(mc.table.self.Member, true))
	}
	mc.sendWithRumors(rec.Address, dg)
}

// remind adds this process's record of rec to the datagram, unless rec is considered
// alive.
func (mc *Machine) remind(rec *record, dg *schema.Datagram) {
	if rec.advertised().State == Alive {
		return
	}
	rec.lastReminded = mc.now
	dg.Members = append(dg.Members, encodeMember(rec.Member, false))
}

// checkProbes repeats late probes through helpers, and suspects the targets of failed
// ones.
func (mc *Machine) checkProbes() {
	kept := mc.probes.pending[:0]
	for _, pp := range mc.probes.pending {
		age := mc.now.Sub(pp.sent)
		if age >= probeTimeout {
			mc.failProbe(pp)
			continue
		}
		if age >= directTimeout && pp.suspectOnFailure && !pp.helpersAsked {
			pp.helpersAsked = true
			mc.askHelpers(pp)
		}
		kept = append(kept, pp)
	}
	mc.probes.pending = kept
}

// askHelpers asks other members to probe the target.
func (mc *Machine) askHelpers(pp pendingProbe) {
	for _, helper := range mc.pickMembers(probeHelpers, pp.target) {
		dg := mc.datagram(schema.Datagram_KIND_PROBE_REQUEST)
		dg.Sequence = pp.sequence
		dg.Target = string(pp.target.Name)
		dg.TargetAddress = pp.target.Address.String()
		mc.send(helper.Address, dg)
	}
}

// failProbe suspects the target of a failed probe, and notifies it.
func (mc *Machine) failProbe(pp pendingProbe) {
	rec := pp.target
	if !pp.suspectOnFailure || rec.Incarnation != pp.incarnation || mc.table.records[rec.Name] != rec {
		return
	}
	mc.noteProbeFailure(rec.domain)
	if rec.State != Alive {
		return
	}
	mc.counters.Suspicions++
	was := rec.Member
	next := was
	next.State = Suspect
	mc.update(rec, next)
	rec.unspread = !rec.domain.spreadsSuspicion()
	mc.spreadLearned(rec, false, source{})
	mc.reportChange(was, rec)

	dg := mc.datagram(schema.Datagram_KIND_UPDATES)
	mc.remind(rec, dg)
	mc.send(rec.Address, dg)
}
