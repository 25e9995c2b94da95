package config

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

// Version is the number that operators give to a configuration. A higher version replaces
// a lower one.
type Version uint64

// Revision is the position in the replicated log at which a configuration was accepted.
type Revision uint64

// Digest identifies the content of a configuration.
type Digest [sha256.Size]byte

// DigestOf returns the digest of all fields of cfg.
func DigestOf(cfg *schema.Configuration) (Digest, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(cfg)
	if err != nil {
		return Digest{}, errors.Wrap(err, "config: digest")
	}
	return sha256.Sum256(data), nil
}

// Accepted describes an accepted version: its content, by digest, and its revision.
type Accepted struct {
	Version  Version
	Revision Revision
	Digest   Digest
}

// Decision is the outcome of a proposed version: Accept, Conflict or Stale.
type Decision interface{ decision() }

// Accept puts the version in force at Revision. AlreadyAccepted says that the same
// version with the same content was accepted before, at that revision.
type Accept struct {
	Revision        Revision
	AlreadyAccepted bool
}

// Conflict refuses a version because of Winner, the version in force: either both have
// the same number and different content, or the proposal was not made from Winner.
type Conflict struct{ Winner Accepted }

// Stale refuses a version that is lower than InForce, the version in force.
type Stale struct{ InForce Accepted }

func (Accept) decision()   {}
func (Conflict) decision() {}
func (Stale) decision()    {}

// History holds the last accepted versions, oldest first, and decides on proposals. It is
// deterministic: replicas that apply the same proposals in the same order reach the same
// decisions.
type History struct {
	maxVersions int
	accepted    []Accepted
}

// NewHistory returns a history that begins with the given versions and retains at most limit
// of them.
func NewHistory(limit int, accepted []Accepted) *History {
	hi := &History{maxVersions: limit}
	for _, ac := range accepted {
		hi.add(ac)
	}
	return hi
}

// Decide decides on a version that is proposed at revision rev, and records it if it is
// accepted. A version that was accepted so long ago that the history no longer holds it
// is stale.
func (hi *History) Decide(ver Version, rev Revision, dg Digest) Decision {
	last, ok := hi.Last()
	if !ok || ver > last.Version {
		hi.add(Accepted{Version: ver, Revision: rev, Digest: dg})
		return Accept{Revision: rev}
	}
	if ac, ok := hi.find(ver); ok && ac.Digest == dg {
		return Accept{Revision: ac.Revision, AlreadyAccepted: true}
	}
	if ver == last.Version {
		return Conflict{Winner: last}
	}
	return Stale{InForce: last}
}

// DecideFrom decides like Decide on a version that was edited from version base, or from
// scratch if base is 0. If base is not in force, the result is Conflict, so that
// concurrent edits do not overwrite each other.
func (hi *History) DecideFrom(base, ver Version, rev Revision, dg Digest) Decision {
	if ac, ok := hi.find(ver); ok && ac.Digest == dg {
		return Accept{Revision: ac.Revision, AlreadyAccepted: true}
	}
	if last, _ := hi.Last(); last.Version != base {
		return Conflict{Winner: last}
	}
	return hi.Decide(ver, rev, dg)
}

// Last returns the version in force, or false if there is none.
func (hi *History) Last() (Accepted, bool) {
	if len(hi.accepted) == 0 {
		return Accepted{}, false
	}
	return hi.accepted[len(hi.accepted)-1], true
}

// All returns the versions that the history holds, oldest first. The caller must not
// change them.
func (hi *History) All() []Accepted { return hi.accepted }

// add appends an accepted version and drops the oldest one if the history is full.
func (hi *History) add(ac Accepted) {
	if len(hi.accepted) == hi.maxVersions {
		hi.accepted = slices.Delete(hi.accepted, 0, 1)
	}
	hi.accepted = append(hi.accepted, ac)
}

// find returns the accepted version with the given number, if the history still holds it.
func (hi *History) find(ver Version) (Accepted, bool) {
	at, ok := slices.BinarySearchFunc(hi.accepted, ver, func(ac Accepted, ver Version) int {
		return cmp.Compare(ac.Version, ver)
	})
	if !ok {
		return Accepted{}, false
	}
	return hi.accepted[at], true
}
