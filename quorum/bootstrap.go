package quorum

import (
	"maps"
	"slices"
	"time"
)

// bootstrapState is the state of a query whether all replicas are blank. asked is the
// time of the last query, and blank holds the replicas that are blank by their answers.
type bootstrapState struct {
	asked time.Time
	blank Voters
}

// bootstrapper reports whether this replica creates the log of a new deployment.
func (ma *Machine) bootstrapper() bool {
	return len(ma.set.Replicas) > 0 && ma.set.ID == ma.set.Replicas[0]
}

// queryBlank asks the other replicas whether they are blank. Only one replica creates a
// log, and only if all are blank. A majority is not enough: the others may hold entries
// that were committed with a replica that has since lost its disk.
func (ma *Machine) queryBlank() {
	if !ma.bootstrapper() || ma.disk.failed || ma.now.Sub(ma.bootstrap.asked) < ma.set.ElectionTimeout {
		return
	}
	ma.bootstrap = bootstrapState{asked: ma.now, blank: Voters{ma.set.ID: ma.inc}}
	for _, id := range ma.set.Replicas[1:] {
		ma.emit(Send{&BootstrapQuery{ma.headerTo(id)}})
	}
	ma.bootstrapIfBlank()
}

// receiveBootstrapQuery answers whether this replica is blank. It does not answer while the
// disk fails, because its incarnation may not be on the disk.
func (ma *Machine) receiveBootstrapQuery(bq *BootstrapQuery) {
	if ma.disk.failed {
		return
	}
	ma.emit(Send{&BootstrapAnswer{Header: ma.answerTo(&bq.Header), Refused: !ma.blank()}})
}

// receiveBootstrapAnswer counts a blank replica, and creates the log once all are blank.
func (ma *Machine) receiveBootstrapAnswer(ba *BootstrapAnswer) {
	if ba.Refused || ma.bootstrap.blank == nil || !ma.blank() || !slices.Contains(ma.set.Replicas, ba.From) {
		return
	}
	ma.bootstrap.blank[ba.From] = ba.Incarnation
	ma.bootstrapIfBlank()
}

// bootstrapIfBlank writes the first entry if all replicas are blank. Its term is the
// incarnation of this replica, which no earlier bootstrap can have used.
func (ma *Machine) bootstrapIfBlank() {
	if len(ma.bootstrap.blank) < len(ma.set.Replicas) {
		return
	}
	ma.term = Term(ma.inc)
	ma.disk.dirty = true
	ma.appendEntry(Entry{Kind: VotersEntry, Voters: maps.Clone(ma.bootstrap.blank)})
	ma.campaign(true, false)
}
