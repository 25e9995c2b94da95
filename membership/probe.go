package membership

import (
	"net/netip"
	"slices"
	"time"

	"camphortrail/schema"
)

const (
	probeInterval = time.Second
	// A probe that is not acknowledged within directTimeout is repeated
	// through helpers, and fails after probeTimeout.
	directTimeout = 300 * time.Millisecond
	probeTimeout  = 900 * time.Millisecond
	probeHelpers  = 3
	maxProbes     = 128

	// One in crossDomainShare probes goes to another failure domain.
	crossDomainShare = 4

	reminderInterval = time.Second
)

// pendingProbe is a probe that has not been acknowledged.
type pendingProbe struct {
	sequence    uint64
	target      *record
	incarnation Incarnation
	sent        time.Time
	helpersAsked      bool
	// suspectOnFailure says that a failure makes the target suspect.
	suspectOnFailure bool
	// A probe for another process is reported to its address with its
	// sequence number.
	requester         netip.AddrPort
	requesterSequence uint64
}

// probes holds the pending probes and the order of the next ones.
type probes struct {
	next     time.Time
	sequence uint64
	pending  []pendingProbe
	ownOrder      []*record
	allOrder      []*record
	count    uint64
}

func (ps *probes) clear() { ps.pending = ps.pending[:0] }

// take removes the pending probe of a sequence number.
func (ps *probes) take(sequence uint64) (pendingProbe, bool) {
	for i, pp := range ps.pending {
		if pp.sequence == sequence {
			ps.pending = slices.Delete(ps.pending, i, i+1)
			return pp, true
		}
	}
	return pendingProbe{}, false
}

// probe probes the next member when it is time.
func (mc *Machine) probe() {
	if mc.now.Before(mc.probes.next) {
		return
	}
	mc.probes.next = mc.now.Add(probeInterval*9/10 + mc.jitter(probeInterval/5))
	if rec := mc.nextTarget(); rec != nil {
		mc.sendProbe(rec, pendingProbe{suspectOnFailure: true})
	}
}

// nextTarget goes through the own failure domain and through all members in
// two random orders.
func (mc *Machine) nextTarget() *record {
	mc.probes.count++
	own := mc.table.self.domain.present.recs
	if mc.probes.count%crossDomainShare != 0 && len(own) > 0 {
		return mc.nextInOrder(&mc.probes.ownOrder, own)
	}
	return mc.nextInOrder(&mc.probes.allOrder, mc.table.present.recs)
}

// nextInOrder takes the next present member off order, which it makes anew from
// recs when it is used up.
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

// sendProbe probes rec. A member that is not taken as alive is told so, and
// can refute.
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
	mc.sendWithRumors(rec.Address, dg)
}

// remind adds what this process believes of rec, unless it is alive.
func (mc *Machine) remind(rec *record, dg *schema.Datagram) {
	if rec.advertised().State == Alive {
		return
	}
	rec.lastReminded = mc.now
	dg.Members = append(dg.Members, encodeMember(rec.Member, false))
}

// checkProbes repeats late probes through helpers, and suspects the targets of
// those that failed.
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

// failProbe suspects the target of a failed probe, and tells it.
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
