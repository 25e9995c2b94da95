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
	from, hds, ok := mc.decodeDatagram(dg)
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
	wrong := mc.mergeAll(mc.sourceOf(dg, from), hds)
	mc.reportRevision(dg, from)
	mc.dispatch(dg, from, wrong)
	mc.checkSender(dg, from)
}

func (mc *Machine) sourceOf(dg *schema.Datagram, from netip.AddrPort) source {
	rec := mc.table.records[call.VM(dg.GetFrom())]
	return source{
		reconcile: dg.GetReconcile(),
		restoresDead:   dg.GetRestore() && mc.restoring.activeWith(from, mc.now),
		possiblePartition:    rec == nil || mc.recentlyDead(rec),
	}
}

// recentlyDead reports whether a member is taken as dead here, or was so lately.
func (mc *Machine) recentlyDead(rec *record) bool {
	return rec.State == Dead || !rec.revivedAt.IsZero() && mc.now.Sub(rec.revivedAt) < partitionWindow
}

// decodeDatagram validates the whole datagram and decodes its records.
func (mc *Machine) decodeDatagram(dg *schema.Datagram) (from netip.AddrPort, hds []receivedRecord, ok bool) {
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
		hd, err := decodeMember(msg)
		if err != nil {
			mc.refuseRecord(msg, err)
			continue
		}
		for _, rf := range hd.refused {
			mc.countRefused(msg.GetName(), rf.err)
		}
		hds = append(hds, hd)
	}
	return from, hds, true
}

// refuseRecord counts a malformed record. One of this process is outlived, as those
// that hold it take nothing else from this process in that incarnation.
func (mc *Machine) refuseRecord(msg *schema.Member, err error) {
	mc.countRefused(msg.GetName(), err)
	self := mc.table.self
	if inc := Incarnation(msg.GetIncarnation()); msg.GetName() == string(self.Name) && self.State != Left && inc >= self.Incarnation {
		mc.raiseIncarnation(inc)
	}
}

func (mc *Machine) countRefused(name string, err error) {
	mc.counters.RefusedRecords++
	if mc.now.Before(mc.nextRefused) {
		return
	}
	mc.nextRefused = mc.now.Add(refusedInterval)
	mc.emit(RecordRefused{Err: errors.Wrapf(err, "record of %.*q", MaxNameBytes, name)})
}

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

// answerProbe answers a probe. The answer corrects what the sender believes
// of this process.
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

// receiveAcknowledgement ends a pending probe, or passes the answer on to the process
// that asked for the probe.
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

// probeForRequester probes the target of a request.
func (mc *Machine) probeForRequester(dg *schema.Datagram, from netip.AddrPort) {
	rec := mc.table.records[call.VM(dg.GetTarget())]
	if rec == nil || rec == mc.table.self || rec.Address.String() != dg.GetTargetAddress() {
		return
	}
	mc.sendProbe(rec, pendingProbe{requester: from, requesterSequence: dg.GetSequence()})
}

// sendSelf tells another process what this process says of itself.
func (mc *Machine) sendSelf(to netip.AddrPort) {
	dg := mc.datagram(schema.Datagram_KIND_UPDATES)
	dg.Members = append(dg.Members, encodeMember(mc.table.self.Member, true))
	mc.sendWithRumors(to, dg)
}

// checkSender tells the sender when it is not taken as alive here, and
// compares views with one that is not known in its incarnation.
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
