package freshness

import (
	"slices"
	"time"
)

// Proof states that every configuration that was acknowledged before At has at most the given
// revision. At is of the boot clock of the node that holds the proof.
type Proof struct {
	Revision uint64
	At       time.Time
}

// maxProofs bounds the proofs that a node keeps. There is more than one only around a change of
// the configuration.
const maxProofs = 8

// proofs holds the proofs that no other one makes redundant, oldest first. Their revisions rise.
type proofs []Proof

// add adds a proof. inForce is the revision in force: if there are too many proofs, the oldest one
// is dropped, but not the newest one that inForce can use.
func (ps proofs) add(pf Proof, inForce uint64) proofs {
	redundant := func(a, b Proof) bool { return !a.At.After(b.At) && a.Revision >= b.Revision }
	if slices.ContainsFunc(ps, func(other Proof) bool { return redundant(pf, other) }) {
		return ps
	}
	ps = slices.DeleteFunc(ps, func(other Proof) bool { return redundant(other, pf) })
	i, _ := slices.BinarySearchFunc(ps, pf, func(a, b Proof) int { return a.At.Compare(b.At) })
	ps = slices.Insert(ps, i, pf)
	if len(ps) <= maxProofs {
		return ps
	}
	drop := 0
	if ps[1].Revision > inForce {
		drop = 1
	}
	return slices.Delete(ps, drop, drop+1)
}

// usable returns the newest proof that a node may use while a revision is in force.
func (ps proofs) usable(revision uint64) (pf Proof, ok bool) {
	for _, pf := range slices.Backward(ps) {
		if pf.Revision <= revision {
			return pf, true
		}
	}
	return Proof{}, false
}

// newest returns the newest proof of all.
func (ps proofs) newest() (pf Proof, ok bool) {
	if len(ps) == 0 {
		return Proof{}, false
	}
	return ps[len(ps)-1], true
}
