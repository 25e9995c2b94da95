package membership

import (
	"slices"
	"time"
)

// A node acknowledges a departure only when other processes hold it, so that the node can
// recall it after a restart. They are of its own failure domain where that has any, since it
// may be cut off by then.

const (
	// confirmCopies is the number of members that must hold a departure.
	confirmCopies = 2
	// confirmInterval is the interval at which it is sent to members that have not confirmed
	// it.
	confirmInterval = 100 * time.Millisecond
)

// confirmation is the state of the departures that were announced last.
type confirmation struct {
	// pending is set until enough members hold the announcement.
	pending      bool
	announcement Announcement
	next         time.Time
	// own are the members of the own failure domain that hold it, and others the other ones.
	own, others []*record
}

// announceDepartures adds departures to those that this process announces, and begins to
// confirm them.
func (mc *Machine) announceDepartures(dps []Departure) {
	next := mc.table.self.Member
	dps = mergeDepartures(next.Departures, dps)
	if equalDepartures(next.Departures, dps) {
		return
	}
	next.Departures = dps
	next.Announcement++
	mc.table.replace(mc.table.self, next)
	mc.rumors.queueFirst(mc.table.self, true)
	mc.confirmation = confirmation{pending: true, announcement: next.Announcement}
	mc.continueConfirmation()
}

// DeparturesConfirmed reports whether enough other processes hold the departures that were
// announced last.
func (mc *Machine) DeparturesConfirmed() bool { return !mc.confirmation.pending }

// continueConfirmation sends the own record to members that have not confirmed it, and ends the
// confirmation once enough have. A process that is alone confirms to itself, unless it has just
// started and may find others.
func (mc *Machine) continueConfirmation() {
	cf := &mc.confirmation
	if !cf.pending {
		return
	}
	domain := mc.table.self.domain
	alive := mc.table.present.len() - mc.table.suspects.len()
	ownNeeded := min(confirmCopies, domain.present.len()-domain.suspects)
	needed := min(confirmCopies, alive) - ownNeeded
	if len(cf.own) >= ownNeeded && len(cf.others) >= needed && (alive > 0 || !mc.recall.pending) {
		cf.pending = false
		return
	}
	if mc.now.Before(cf.next) {
		return
	}
	cf.next = mc.now.Add(confirmInterval)
	targets := mc.pickAlive(domain, ownNeeded)
	if needed > 0 {
		targets = append(targets, mc.pickMembers(2*needed, nil)...)
	}
	for _, rec := range targets {
		mc.sendProbe(rec, pendingProbe{announcement: cf.announcement})
	}
}

// noteConfirmed records that a member holds an announcement.
func (mc *Machine) noteConfirmed(rec *record, an Announcement) {
	cf := &mc.confirmation
	if !cf.pending || an < cf.announcement {
		return
	}
	list := &cf.others
	if rec.domain == mc.table.self.domain {
		list = &cf.own
	}
	if !slices.Contains(*list, rec) {
		*list = append(*list, rec)
	}
	mc.continueConfirmation()
}

// pickAlive returns up to n distinct members of a failure domain in state Alive, from a random
// one on.
func (mc *Machine) pickAlive(dm *domain, n int) []*record {
	recs := dm.present.recs
	if len(recs) == 0 || n <= 0 {
		return nil
	}
	var picked []*record
	first := mc.rng.IntN(len(recs))
	for i := range recs {
		if rec := recs[(first+i)%len(recs)]; rec.State == Alive && len(picked) < n {
			picked = append(picked, rec)
		}
	}
	return picked
}
