package config

import (
	"cmp"
	"crypto/sha256"
	"slices"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

// Version orders configurations. Operators choose it.
type Version uint64

// Revision is the position in the replicated log at which a configuration
// was accepted.
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

// Accepted records that a version was accepted.
type Accepted struct {
	Version  Version
	Revision Revision
	Digest   Digest
}

// Decision says what becomes of a proposed version.
type Decision interface{ decision() }

// Accept puts the version in force at Revision. Again means that an equal
// proposal was accepted before, at that revision.
type Accept struct {
	Revision Revision
	AlreadyAccepted    bool
}

// Conflict refuses a version because Winner is in force: it has the same
// version and other content, or is not the one that the version was made from.
type Conflict struct{ Winner Accepted }

// Stale refuses a version that is lower than the one in force.
type Stale struct{ InForce Accepted }

func (Accept) decision()   {}
func (Conflict) decision() {}
func (Stale) decision()    {}

// History holds the accepted versions, oldest first, and decides on the next
// one. Replicas that decide on the same proposals in the same order come to
// the same decisions.
type History struct {
	limit    int
	accepted []Accepted
}

// NewHistory returns a history that remembers the last limit versions and
// begins with the given ones.
func NewHistory(limit int, accepted []Accepted) *History {
	hi := &History{limit: limit}
	for _, ac := range accepted {
		hi.add(ac)
	}
	return hi
}

// Decide decides on a version proposed at the given revision, and remembers
// it if it is accepted. A version that was accepted too long ago to be
// remembered is stale.
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

// DecideFrom decides on a version that was made from the version base, or from
// none if base is 0. It is refused unless base is in force.
func (hi *History) DecideFrom(base, ver Version, rev Revision, dg Digest) Decision {
	if ac, ok := hi.find(ver); ok && ac.Digest == dg {
		return Accept{Revision: ac.Revision, AlreadyAccepted: true}
	}
	if last, _ := hi.Last(); last.Version != base {
		return Conflict{Winner: last}
	}
	return hi.Decide(ver, rev, dg)
}

// Last returns the version in force.
func (hi *History) Last() (Accepted, bool) {
	if len(hi.accepted) == 0 {
		return Accepted{}, false
	}
	return hi.accepted[len(hi.accepted)-1], true
}

// All returns the remembered versions, oldest first. The caller must not
// change them.
func (hi *History) All() []Accepted { return hi.accepted }

func (hi *History) add(ac Accepted) {
	if len(hi.accepted) == hi.limit {
		hi.accepted = slices.Delete(hi.accepted, 0, 1)
	}
	hi.accepted = append(hi.accepted, ac)
}

func (hi *History) find(ver Version) (Accepted, bool) {
	at, ok := slices.BinarySearchFunc(hi.accepted, ver, func(ac Accepted, ver Version) int {
		return cmp.Compare(ac.Version, ver)
	})
	if !ok {
		return Accepted{}, false
	}
	return hi.accepted[at], true
}
