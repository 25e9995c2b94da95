package membership

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

const (
	// maxDatagramBytes bounds the size of a datagram without its IP and UDP headers.
	maxDatagramBytes = 1200
	// udpHeaderBytes is the size of the IP and UDP headers.
	udpHeaderBytes = 28

	// budgetBytesPerSecond and budgetBurstBytes are the rate and the size of the token
	// bucket. Updates leave budgetReserveBytes of it to the comparison of views.
	budgetBytesPerSecond = 3500
	budgetBurstBytes     = 24 << 10
	budgetReserveBytes   = 8 << 10
	// joinBytesPerSecond is the rate of a joining process.
	joinBytesPerSecond = 16 << 10

	// gossipInterval is the interval at which recent updates are sent to gossipTargets
	// random members.
	gossipInterval = 200 * time.Millisecond
	gossipTargets  = 2
)

// budget is a token bucket, in bytes, for datagrams that can wait. Probes are charged to
// it and are sent even if it is empty.
type budget struct {
	bytes float64
	at    time.Time
}

func (bg *budget) start(now time.Time) {
	bg.bytes = budgetBurstBytes
	bg.at = now
}

func (bg *budget) refill(now time.Time, bytesPerSecond float64) {
	bg.bytes += now.Sub(bg.at).Seconds() * bytesPerSecond
	bg.bytes = min(bg.bytes, budgetBurstBytes)
	bg.at = now
}

// available reports whether any tokens are left.
func (bg *budget) available() bool { return bg.bytes > 0 }

// aboveReserve reports whether updates may be sent at once. The comparison of views has
// precedence: it costs less per update when much has changed.
func (bg *budget) aboveReserve() bool { return bg.bytes > budgetReserveBytes }

// bytesPerSecond returns the current rate of the budget.
func (mc *Machine) bytesPerSecond() float64 {
	if mc.joining {
		return joinBytesPerSecond
	}
	return budgetBytesPerSecond
}

// datagram returns a new datagram from this process.
func (mc *Machine) datagram(kind schema.Datagram_Kind) *schema.Datagram {
	self := mc.table.self
	return &schema.Datagram{
		Kind:            kind,
		Deployment:      string(mc.set.Deployment),
		From:            string(self.Name),
		FromAddress:     self.Address.String(),
		FromIncarnation: uint64(self.Incarnation),
		Revision:        mc.revision,
		Recall:          mc.recall.pending,
	}
}

// send charges the budget for a datagram and sends it.
func (mc *Machine) send(to netip.AddrPort, dg *schema.Datagram) {
	mc.budget.bytes -= float64(proto.Size(dg) + udpHeaderBytes)
	mc.emit(SendDatagram{Address: to, Datagram: dg})
}

// sendWithRumors fills the datagram up with updates and sends it.
func (mc *Machine) sendWithRumors(to netip.AddrPort, dg *schema.Datagram) {
	if mc.budget.available() {
		mc.rumors.fill(dg, maxDatagramBytes-proto.Size(dg), 1, mc.transmissions())
	}
	mc.send(to, dg)
}

// transmissions returns how often an update is sent among the present members.
func (mc *Machine) transmissions() int { return transmissions(mc.table.present.len() + 1) }

// flush sends new updates, or a new revision, to a few members at once.
func (mc *Machine) flush() {
	copies := initialCopies
	if mc.table.self.State == Left {
		copies = urgentCopies
	}
	fresh := mc.rumors.pending(0, 1) && (mc.budget.aboveReserve() || mc.rumors.isUnsent(mc.table.self))
	if fresh || mc.revisionCopies == 0 {
		mc.sendRumors(copies)
	}
}

// gossip sends recent updates again.
func (mc *Machine) gossip() {
	if mc.now.Before(mc.nextGossip) {
		return
	}
	mc.nextGossip = mc.now.Add(gossipInterval)
	recent := mc.rumors.pending(1, urgentCopies) && mc.budget.aboveReserve()
	if recent || mc.revisionCopies < urgentCopies {
		mc.sendRumors(gossipTargets)
	}
}

// sendRumors sends one datagram of updates to the given number of random members.
func (mc *Machine) sendRumors(copies int) {
	copies = min(copies, mc.table.present.len())
	if copies == 0 {
		return
	}
	dg := mc.datagram(schema.Datagram_KIND_UPDATES)
	mc.rumors.fill(dg, maxDatagramBytes-proto.Size(dg), copies, mc.transmissions())
	for _, rec := range mc.pickMembers(copies, nil) {
		mc.send(rec.Address, dg)
	}
	mc.revisionCopies = min(mc.revisionCopies+copies, urgentCopies)
}

// pickMembers returns up to n distinct random members other than except.
func (mc *Machine) pickMembers(n int, except *record) []*record {
	recs := mc.table.present.recs
	picked := make([]*record, 0, n)
	if len(recs) <= n+1 {
		for _, rec := range recs {
			if rec != except && len(picked) < n {
				picked = append(picked, rec)
			}
		}
		return picked
	}
	for len(picked) < n {
		rec := mc.table.present.random(mc.rng)
		if rec != except && !slices.Contains(picked, rec) {
			picked = append(picked, rec)
		}
	}
	return picked
}
