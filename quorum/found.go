package quorum

import (
	"maps"
	"slices"
	"time"
)

// bootstrapState is the search for proof that no replica holds anything.
type bootstrapState struct {
	asked time.Time
	blank Voters
}

// bootstrapper reports whether this replica begins the log of a new deployment.
func (ma *Machine) bootstrapper() bool {
	return len(ma.set.Replicas) > 0 && ma.set.ID == ma.set.Replicas[0]
}

// queryBlank asks the other replicas whether they are blank. A log is founded only
// when all are, and only by one replica: a majority is not enough, since the
// others may hold entries that were committed with a replica that has lost
// its disk.
func (ma *Machine) queryBlank() {
	if !ma.bootstrapper() || ma.now.Sub(ma.bootstrap.asked) < ma.set.ElectionTimeout {
		return
	}
	ma.bootstrap = bootstrapState{asked: ma.now, blank: Voters{ma.set.ID: ma.inc}}
	for _, id := range ma.set.Replicas[1:] {
		ma.emit(Send{&BootstrapQuery{ma.headerTo(id)}})
	}
	ma.bootstrapIfBlank()
}

func (ma *Machine) receiveBootstrapQuery(jo *BootstrapQuery) {
	ma.emit(Send{&BootstrapAnswer{Header: ma.answerTo(&jo.Header), Refused: !ma.blank()}})
}

func (ma *Machine) receiveBootstrapAnswer(an *BootstrapAnswer) {
	if an.Refused || ma.bootstrap.blank == nil || !ma.blank() || !slices.Contains(ma.set.Replicas, an.From) {
		return
	}
	ma.bootstrap.blank[an.From] = an.Incarnation
	ma.bootstrapIfBlank()
}

// bootstrapIfBlank writes the first entry when all replicas are blank. Its term is
// the founder's incarnation, which no earlier founder can have used.
func (ma *Machine) bootstrapIfBlank() {
	if len(ma.bootstrap.blank) < len(ma.set.Replicas) {
		return
	}
	ma.term = Term(ma.inc)
	ma.disk.dirty = true
	ma.appendEntry(Entry{Kind: VotersEntry, Voters: maps.Clone(ma.bootstrap.blank)})
	ma.campaign(true, false)
}
