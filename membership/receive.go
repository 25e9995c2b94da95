package membership

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/schema"
)

// refusedInterval is the least time between two reports of refused records.
const refusedInterval = time.Second

// receive handles a datagram, or refuses it as a whole. Of its records it
// refuses just those that are malformed: the sender may only pass them on.
func (mc *Machine) receive(dg *schema.Datagram) {
	if dg.GetDeployment() != string(mc.set.Deployment) {
		mc.counters.RefusedDeployment++
		return
	}
	from, hds, ok := mc.check(dg)
	if !ok {
		mc.counters.RefusedMalformed++
		return
	}
	if dg.GetTarget() != string(mc.tb.self.Name) && dg.GetKind() == schema.Datagram_KIND_PROBE {
		mc.counters.RefusedTarget++
		return
	}
	if rec := mc.tb.records[call.VM(dg.GetFrom())]; rec != nil && uint64(rec.Incarnation) == dg.GetFromIncarnation() {
		mc.noteSign(rec.domain)
	}
	wrong := mc.mergeAll(mc.source(dg, from), hds)
	mc.hint(dg, from)
	mc.dispatch(dg, from, wrong)
	mc.noticeSender(dg, from)
}

func (mc *Machine) source(dg *schema.Datagram, from netip.AddrPort) source {
	rec := mc.tb.records[call.VM(dg.GetFrom())]
	return source{
		reconcile: dg.GetReconcile(),
		trusted:   dg.GetRestore() && mc.restoring.with(from, mc.now),
		mutual:    rec == nil || mc.wasDead(rec),
	}
}

// wasDead reports whether a member is taken as dead here, or was so lately.
func (mc *Machine) wasDead(rec *record) bool {
	return rec.State == Dead || !rec.revived.IsZero() && mc.now.Sub(rec.revived) < mutualTime
}

// check validates the whole datagram and decodes its records.
func (mc *Machine) check(dg *schema.Datagram) (from netip.AddrPort, hds []heard, ok bool) {
	from, err := parseAddress(dg.GetFromAddress())
	if err != nil || from == mc.tb.self.Address {
		return from, nil, false
	}
	if name := dg.GetFrom(); name == "" || len(name) > MaxNameBytes {
		return from, nil, false
	}
	if len(dg.GetDigests()) > maxFailureDomains {
		return from, nil, false
	}
	for _, dd := range dg.GetDigests() {
		if n := len(dd.GetParts()); n != 0 && n != partCount {
			return from, nil, false
		}
	}
	for _, msg := range dg.GetMembers() {
		hd, err := decodeMember(msg)
		if err != nil {
			mc.refuse(msg, err)
			continue
		}
		for _, rf := range hd.refused {
			mc.countRefused(msg.GetName(), rf.err)
		}
		hds = append(hds, hd)
	}
	return from, hds, true
}

// refuse counts a malformed record. One of this process is outlived, as those
// that hold it take nothing else from this process in that incarnation.
func (mc *Machine) refuse(msg *schema.Member, err error) {
	mc.countRefused(msg.GetName(), err)
	self := mc.tb.self
	if inc := Incarnation(msg.GetIncarnation()); msg.GetName() == string(self.Name) && self.State != Left && inc >= self.Incarnation {
		mc.outlive(inc)
	}
}

func (mc *Machine) countRefused(name string, err error) {
	mc.counters.RefusedRecords++
	if mc.now.Before(mc.nextRefused) {
		return
	}
	mc.nextRefused = mc.now.Add(refusedInterval)
	mc.act(RecordRefused{Err: errors.Wrapf(err, "record of %.*q", MaxNameBytes, name)})
}

func (mc *Machine) dispatch(dg *schema.Datagram, from netip.AddrPort, wrong bool) {
	switch dg.GetKind() {
	case schema.Datagram_KIND_PROBE:
		mc.acknowledge(dg, from, wrong)
		return
	case schema.Datagram_KIND_ACKNOWLEDGE:
		mc.acknowledged(dg, from)
	case schema.Datagram_KIND_PROBE_REQUEST:
		mc.help(dg, from)
	case schema.Datagram_KIND_DIGEST:
		if dg.GetRestore() {
			mc.restoreDigests(dg, from)
		} else {
			mc.compareDigests(dg, from)
		}
	case schema.Datagram_KIND_JOIN:
		mc.welcome(dg, from)
	}
	if wrong {
		mc.correct(from)
	}
}

// acknowledge answers a probe. The answer corrects what the sender believes
// of this process.
func (mc *Machine) acknowledge(dg *schema.Datagram, from netip.AddrPort, wrong bool) {
	ack := mc.datagram(schema.Datagram_KIND_ACKNOWLEDGE)
	ack.Sequence = dg.GetSequence()
	ack.Target = string(mc.tb.self.Name)
	ack.ViewDigest = mc.tb.digest
	if wrong {
		ack.Members = append(ack.Members, encodeMember(mc.tb.self.Member, true))
	}
	if rec := mc.tb.records[call.VM(dg.GetFrom())]; rec != nil && rec != mc.tb.self {
		mc.remind(rec, ack)
	}
	mc.sendWith(from, ack)
}

// acknowledged ends a pending probe, or passes the answer on to the process
// that asked for the probe.
func (mc *Machine) acknowledged(dg *schema.Datagram, from netip.AddrPort) {
	pp, ok := mc.probes.take(dg.GetSequence())
	if !ok {
		return
	}
	if dg.GetTarget() != string(pp.target.Name) {
		mc.probes.pending = append(mc.probes.pending, pp)
		return
	}
	mc.noteSign(pp.target.domain)
	if pp.requester.IsValid() {
		ack := mc.datagram(schema.Datagram_KIND_ACKNOWLEDGE)
		ack.Sequence = pp.requesterSequence
		ack.Target = dg.GetTarget()
		ack.ViewDigest = mc.tb.digest
		mc.send(pp.requester, ack)
		return
	}
	if pp.target.State == Dead && uint64(pp.target.Incarnation) == dg.GetFromIncarnation() && dg.GetFrom() == dg.GetTarget() {
		mc.restore(pp.target, from)
		return
	}
	if dg.GetViewDigest() == mc.tb.digest {
		mc.joining = false
		return
	}
	mc.compare(from)
}

// help probes the target of a request.
func (mc *Machine) help(dg *schema.Datagram, from netip.AddrPort) {
	rec := mc.tb.records[call.VM(dg.GetTarget())]
	if rec == nil || rec == mc.tb.self || rec.Address.String() != dg.GetTargetAddress() {
		return
	}
	mc.sendProbe(rec, pendingProbe{requester: from, requesterSequence: dg.GetSequence()})
}

// correct tells another process what this process says of itself.
func (mc *Machine) correct(to netip.AddrPort) {
	dg := mc.datagram(schema.Datagram_KIND_UPDATES)
	dg.Members = append(dg.Members, encodeMember(mc.tb.self.Member, true))
	mc.sendWith(to, dg)
}

// noticeSender tells the sender when it is not taken as alive here, and
// compares views with one that is not known in its incarnation.
func (mc *Machine) noticeSender(dg *schema.Datagram, from netip.AddrPort) {
	rec := mc.tb.records[call.VM(dg.GetFrom())]
	if rec == nil || uint64(rec.Incarnation) < dg.GetFromIncarnation() {
		mc.compare(from)
		return
	}
	if rec == mc.tb.self || rec.State == Alive || uint64(rec.Incarnation) > dg.GetFromIncarnation() {
		return
	}
	if mc.now.Sub(rec.told) < reminderInterval {
		return
	}
	if rec.State == Dead {
		mc.verify(rec)
		return
	}
	reminder := mc.datagram(schema.Datagram_KIND_UPDATES)
	mc.remind(rec, reminder)
	mc.send(from, reminder)
}
