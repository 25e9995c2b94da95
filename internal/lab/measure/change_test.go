package measure

import (
	"testing"
	"time"
)

// TestChangeFigures checks the figures of a record with a repeated apply, a version with
// two winners, a node that reverts, and a revision that one node never has in force.
func TestChangeFigures(t *testing.T) {
	cr := &changeRecord{
		accepted: []acceptedApply{
			{version: 2, operator: 1, revision: 5, at: at(100), took: 10 * time.Millisecond},
			{version: 2, operator: 1, revision: 5, at: at(120), took: time.Second},
			{version: 3, operator: 2, revision: 6, at: at(200), took: 30 * time.Millisecond},
			{version: 3, operator: 1, revision: 7, at: at(210)},
			{version: 4, operator: 1, revision: 9, at: at(300), took: 20 * time.Millisecond},
		},
		unknown: 2,
		observed: [][]observedRevision{
			{{4, at(0)}, {5, at(150)}, {7, at(260)}, {6, at(270)}, {9, at(340)}},
			{{4, at(0)}, {7, at(130)}, {8, at(500)}},
		},
	}
	got := cr.figures()
	want := ChangeFigures{
		Arm: "policy", Nodes: 2, Versions: 3, UnknownApplies: 2, DoubleWinners: 1, ChangedAnswers: 1, Reverts: 1, NotInForce: 1,
		AcceptP50MS: 20, AcceptMaxMS: 30, InForceP50MS: 50, InForceMaxMS: 60,
	}
	if got != want {
		t.Errorf("figures = %+v, want %+v", got, want)
	}
}

// TestSightingsKeepChangesOnly checks that observe records a revision only if it differs
// from the one before. Otherwise the record grows with every poll.
func TestSightingsKeepChangesOnly(t *testing.T) {
	cr := &changeRecord{observed: make([][]observedRevision, 1)}
	for i, revision := range []uint64{0, 0, 3, 3, 2} {
		cr.observe(0, revision, at(i))
	}
	want := []observedRevision{{0, at(0)}, {3, at(2)}, {2, at(4)}}
	if len(cr.observed[0]) != len(want) {
		t.Fatalf("sightings = %v, want %v", cr.observed[0], want)
	}
	for i := range want {
		if cr.observed[0][i] != want[i] {
			t.Errorf("sighting %d = %v, want %v", i, cr.observed[0][i], want[i])
		}
	}
}
