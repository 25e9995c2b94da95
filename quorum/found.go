package quorum

import (
	"maps"
	"slices"
	"time"
)

// founding is the search for proof that no replica holds anything.
type founding struct {
	asked time.Time
	blank Voters
}

// founder reports whether this replica begins the log of a new deployment.
func (ma *Machine) founder() bool {
	return len(ma.set.Replicas) > 0 && ma.set.ID == ma.set.Replicas[0]
}

// join asks the other replicas whether they are blank. A log is founded only
// when all are, and only by one replica: a majority is not enough, since the
// others may hold entries that were committed with a replica that has lost
// its disk.
func (ma *Machine) join() {
	if !ma.founder() || ma.now.Sub(ma.found.asked) < ma.set.ElectionTimeout {
		return
	}
	ma.found = founding{asked: ma.now, blank: Voters{ma.set.ID: ma.inc}}
	for _, id := range ma.set.Replicas[1:] {
		ma.act(Send{&BootstrapQuery{ma.headerTo(id)}})
	}
	ma.tryFound()
}

func (ma *Machine) receiveJoin(jo *BootstrapQuery) {
	ma.act(Send{&BootstrapAnswer{Header: ma.answerTo(&jo.Header), Refused: !ma.blank()}})
}

func (ma *Machine) receiveJoinAnswer(an *BootstrapAnswer) {
	if an.Refused || ma.found.blank == nil || !ma.blank() || !slices.Contains(ma.set.Replicas, an.From) {
		return
	}
	ma.found.blank[an.From] = an.Incarnation
	ma.tryFound()
}

// tryFound writes the first entry when all replicas are blank. Its term is
// the founder's incarnation, which no earlier founder can have used.
func (ma *Machine) tryFound() {
	if len(ma.found.blank) < len(ma.set.Replicas) {
		return
	}
	ma.term = Term(ma.inc)
	ma.disk.dirty = true
	ma.appendOwn(Entry{Kind: VotersEntry, Voters: maps.Clone(ma.found.blank)})
	ma.campaign(true, false)
}
