package membership

import (
	"net/netip"
	"time"

	"camphortrail/call"
	"camphortrail/schema"
)

// A process that has restarted does not know which departures its earlier incarnation has
// announced. It asks the others, which retain them with its record. Its failure domain may be
// cut off meanwhile, so a process of the own failure domain that knows them is enough.

const (
	// recallInterval is the interval at which a process asks, and recallTargets the number of
	// members of its failure domain that it asks at a time, and of any others.
	recallInterval = 100 * time.Millisecond
	recallTargets  = 2
	// recallGrace is the time from the first complete answer until the end of the recall, and
	// recallDomainGrace that time if no process of the own failure domain has answered.
	recallGrace       = 150 * time.Millisecond
	recallDomainGrace = 500 * time.Millisecond
	// recallTimeout is the time after which a recall without an answer is reported, and
	// recallUnknownTimeout that from the first answer if none is complete: all may have started
	// together. The process goes on asking at the slower recallRetryInterval for joinTime.
	recallTimeout        = 1500 * time.Millisecond
	recallUnknownTimeout = 300 * time.Millisecond
	recallRetryInterval  = time.Second
)

// recall is the state of a process that asks for its earlier departures.
type recall struct {
	// pending is set until the recall has ended. complete is set then, and at the first start of
	// the deployment, when there is nothing to recall.
	pending, complete bool
	next              time.Time
	// heard is the time of the first answer, and answered that of the first complete one, or
	// zero. domainAnswered is set once a process of the own failure domain has given a complete
	// one.
	heard, answered time.Time
	domainAnswered  bool
	timedOut        bool
}

// continueRecall asks the other processes when it is time, and ends the recall.
func (mc *Machine) continueRecall() {
	rl := &mc.recall
	if !rl.pending {
		return
	}
	grace := recallDomainGrace
	if rl.domainAnswered {
		grace = recallGrace
	}
	switch age := mc.now.Sub(mc.started); {
	case !rl.answered.IsZero() && mc.now.Sub(rl.answered) >= grace, age > joinTime:
		rl.pending, rl.complete = false, true
		mc.reportRecall()
		return
	case rl.answered.IsZero() && !rl.timedOut &&
		(age >= recallTimeout || !rl.heard.IsZero() && mc.now.Sub(rl.heard) >= recallUnknownTimeout):
		rl.timedOut = true
		mc.reportRecall()
	}
	if mc.now.Before(rl.next) {
		return
	}
	rl.next = mc.now.Add(recallInterval)
	if rl.timedOut {
		rl.next = mc.now.Add(recallRetryInterval)
	}
	question := mc.datagram(schema.Datagram_KIND_UPDATES)
	for _, rec := range append(mc.pickAlive(mc.table.self.domain, recallTargets), mc.pickMembers(recallTargets, nil)...) {
		mc.send(rec.Address, question)
	}
}

// reportRecall reports the departures that are known, and spreads them in the record of this
// incarnation.
func (mc *Machine) reportRecall() {
	self := mc.table.self
	mc.emit(Recalled{Departures: self.Departures, Complete: mc.recall.complete})
	if len(self.Departures) > 0 {
		next := self.Member
		next.Announcement++
		mc.table.replace(self, next)
		mc.rumors.queueFirst(self, true)
	}
}

// answerRecall answers a process that asks for its earlier departures.
func (mc *Machine) answerRecall(dg *schema.Datagram, from netip.AddrPort) {
	answer := mc.datagram(schema.Datagram_KIND_UPDATES)
	answer.Recall = false
	answer.RecallAnswer = &schema.RecallAnswer{
		Complete: mc.recall.complete && !mc.joining,
	}
	if rec := mc.table.records[call.VM(dg.GetFrom())]; rec != nil {
		answer.RecallAnswer.Departures = encodeDepartures(rec.Departures)
	}
	mc.send(from, answer)
}

// receiveRecall takes over the departures in an answer.
func (mc *Machine) receiveRecall(dg *schema.Datagram) {
	rl := &mc.recall
	if !rl.pending {
		return
	}
	self := mc.table.self
	self.Departures = mergeDepartures(self.Departures, decodeDepartures(dg.GetRecallAnswer().GetDepartures()))
	if rl.heard.IsZero() {
		rl.heard = mc.now
	}
	if !dg.GetRecallAnswer().GetComplete() {
		return
	}
	if rl.answered.IsZero() {
		rl.answered = mc.now
	}
	if rec := mc.table.records[call.VM(dg.GetFrom())]; rec != nil && rec.domain == self.domain {
		rl.domainAnswered = true
	}
}
