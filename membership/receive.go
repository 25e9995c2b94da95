package membership

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/schema"
)

// refusedInterval is the minimum time between two reports of refused records.
const refusedInterval = time.Second

// receive handles a datagram or refuses it as a whole. Malformed records are refused one
// by one, since the sender may just have passed them on.
func (mc *Machine) receive(dg *schema.Datagram) {
	if dg.GetDeployment() != string(mc.set.Deployment) {
		mc.counters.RefusedDeployment++
		return
	}
	from, rrs, ok := mc.decodeDatagram(dg)
	if !ok {
		mc.counters.RefusedMalformed++
		return
	}
	if dg.GetTarget() != string(mc.table.self.Name) && dg.GetKind() == schema.Datagram_KIND_PROBE {
		mc.counters.RefusedTarget++
		return
	}
	if rec := mc.table.records[call.VM(dg.GetFrom())]; rec != nil && uint64(rec.Incarnation) == dg.GetFromIncarnation() {
		mc.noteContact(rec.domain)
	}
	wrong := mc.mergeAll(mc.sourceOf(dg, from), rrs)
	mc.reportRevision(dg, from)
	if dg.GetRecallAnswer() != nil {
		mc.receiveRecall(dg)
	}
	mc.dispatch(dg, from, wrong)
	if dg.GetRecall() {
		mc.answerRecall(dg, from)
	}
	mc.checkSender(dg, from)
}

// sourceOf describes the sender and purpose of a datagram.
func (mc *Machine) sourceOf(dg *schema.Datagram, from netip.AddrPort) source {
	rec := mc.table.records[call.VM(dg.GetFrom())]
	return source{
		reconcile:         dg.GetReconcile(),
		restoresDead:      dg.GetRestore() && mc.restoring.activeWith(from, mc.now),
		possiblePartition: rec == nil || mc.recentlyDead(rec),
	}
}

// recentlyDead reports whether a member is considered dead here, or was within
// partitionWindow.
func (mc *Machine) recentlyDead(rec *record) bool {
	return rec.State == Dead || !rec.revivedAt.IsZero() && mc.now.Sub(rec.revivedAt) < partitionWindow
}

// decodeDatagram validates a datagram and decodes its records. ok is false if the
// datagram is malformed other than in its records.
func (mc *Machine) decodeDatagram(dg *schema.Datagram) (from netip.AddrPort, rrs []receivedRecord, ok bool) {
	from, err := parseAddress(dg.GetFromAddress())
	if err != nil || from == mc.table.self.Address {
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
		rr, err := decodeMember(msg)
		if err != nil {
			mc.refuseRecord(msg, err)
			continue
		}
		for _, ru := range rr.refused {
			mc.countRefused(msg.GetName(), ru.err)
		}
		rrs = append(rrs, rr)
	}
	return from, rrs, true
}

// refuseRecord counts a malformed record. If it is one of this process, the process
// raises its incarnation: a process that accepted the record would ignore all updates in
// that incarnation.
func (mc *Machine) refuseRecord(msg *schema.Member, err error) {
	mc.countRefused(msg.GetName(), err)
	self := mc.table.self
	if inc := Incarnation(msg.GetIncarnation()); msg.GetName() == string(self.Name) && self.State != Left && inc >= self.Incarnation {
		mc.raiseIncarnation(inc)
	}
}

// countRefused counts a refused record, and reports it at most once per refusedInterval.
func (mc *Machine) countRefused(name string, err error) {
	mc.counters.RefusedRecords++
	if mc.now.Before(mc.nextRefused) {
		return
	}
	mc.nextRefused = mc.now.Add(refusedInterval)
	mc.emit(RecordRefused{Err: errors.Wrapf(err, "record of %.*q", MaxNameBytes, name)})
}

// dispatch handles a datagram by its kind. wrong is set if it contradicts the own record.
func (mc *Machine) dispatch(dg *schema.Datagram, from netip.AddrPort, wrong bool) {
	switch dg.GetKind() {
	case schema.Datagram_KIND_PROBE:
		mc.answerProbe(dg, from, wrong)
		return
	case schema.Datagram_KIND_ACKNOWLEDGE:
		mc.receiveAcknowledgement(dg, from)
	case schema.Datagram_KIND_PROBE_REQUEST:
		mc.probeForRequester(dg, from)
	case schema.Datagram_KIND_DIGEST:
		if dg.GetRestore() {
			mc.restoreDigests(dg, from)
		} else {
			mc.compareDigests(dg, from)
		}
	case schema.Datagram_KIND_JOIN:
		mc.answerJoin(dg, from)
	}
	if wrong {
		mc.sendSelf(from)
	}
}

// answerProbe acknowledges a probe. If wrong is set, the acknowledgement corrects the
// sender's record of this process.
func (mc *Machine) answerProbe(dg *schema.Datagram, from netip.AddrPort, wrong bool) {
	ack := mc.datagram(schema.Datagram_KIND_ACKNOWLEDGE)
	ack.Sequence = dg.GetSequence()
	ack.Target = string(mc.table.self.Name)
	ack.ViewDigest = mc.table.digest
	if wrong {
		ack.Members = append(ack.Members, encodeMember(mc.table.self.Member, true))
	}
	if rec := mc.table.records[call.VM(dg.GetFrom())]; rec != nil && rec != mc.table.self {
		mc.remind(rec, ack)
	}
	mc.sendWithRumors(from, ack)
}

// receiveAcknowledgement ends a pending probe, or passes the acknowledgement on to the
// process that requested the probe.
func (mc *Machine) receiveAcknowledgement(dg *schema.Datagram, from netip.AddrPort) {
	pp, ok := mc.probes.take(dg.GetSequence())
	if !ok {
		return
	}
	if dg.GetTarget() != string(pp.target.Name) {
		mc.probes.pending = append(mc.probes.pending, pp)
		return
	}
	mc.noteContact(pp.target.domain)
	if pp.announcement > 0 {
		mc.noteConfirmed(pp.target, pp.announcement)
		return
	}
	if pp.requester.IsValid() {
		ack := mc.datagram(schema.Datagram_KIND_ACKNOWLEDGE)
		ack.Sequence = pp.requesterSequence
		ack.Target = dg.GetTarget()
		ack.ViewDigest = mc.table.digest
		mc.send(pp.requester, ack)
		return
	}
	if pp.target.State == Dead && uint64(pp.target.Incarnation) == dg.GetFromIncarnation() && dg.GetFrom() == dg.GetTarget() {
		mc.beginRestore(pp.target, from)
		return
	}
	if dg.GetViewDigest() == mc.table.digest {
		mc.joining = false
		return
	}
	mc.compareViews(from)
}

// probeForRequester probes the target of a probe request.
func (mc *Machine) probeForRequester(dg *schema.Datagram, from netip.AddrPort) {
	rec := mc.table.records[call.VM(dg.GetTarget())]
	if rec == nil || rec == mc.table.self || rec.Address.String() != dg.GetTargetAddress() {
		return
	}
	mc.sendProbe(rec, pendingProbe{requester: from, requesterSequence: dg.GetSequence()})
}

// sendSelf sends the own record to a process that holds a wrong one.
func (mc *Machine) sendSelf(to netip.AddrPort) {
	dg := mc.datagram(schema.Datagram_KIND_UPDATES)
	dg.Members = append(dg.Members, encodeMember(mc.table.self.Member, true))
	mc.sendWithRumors(to, dg)
}

// checkSender notifies the sender if it is not considered alive here, and compares views
// with a sender that is unknown in its incarnation.
func (mc *Machine) checkSender(dg *schema.Datagram, from netip.AddrPort) {
	rec := mc.table.records[call.VM(dg.GetFrom())]
	if rec == nil || uint64(rec.Incarnation) < dg.GetFromIncarnation() {
		mc.compareViews(from)
		return
	}
	if rec == mc.table.self || rec.State == Alive || uint64(rec.Incarnation) > dg.GetFromIncarnation() {
		return
	}
	if mc.now.Sub(rec.lastReminded) < reminderInterval {
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
