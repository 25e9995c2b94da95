// Package membership decides who is in the deployment and what they announce.
//
// Machine is a gossip membership protocol of the SWIM family (Das, Gupta and
// Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group
// Membership Protocol", DSN 2002): members probe one another, ask others to
// probe on their behalf, suspect before they declare a death, and spread
// updates along with the probes. From Lifeguard (Dadgar, Phillips and Currey,
// DSN Workshops 2018) it takes that the suspect is told directly and that a
// process that was paused does not blame others for it. Views that differ
// nevertheless are reconciled by comparing digests, as in Demers et al.,
// "Epidemic Algorithms for Replicated Database Maintenance" (PODC 1987).
//
// The cost of a process does not depend on the number of members. A Machine
// has no goroutine, clock or socket.
package membership

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"camphortrail/call"
)

// TickInterval is the time between two Tick events.
const TickInterval = 50 * time.Millisecond

// Settings describe the process that a Machine speaks for.
type Settings struct {
	// Deployment refuses the datagrams of other deployments.
	Deployment    call.Tenant
	Name          call.VM
	Address       netip.AddrPort
	FailureDomain call.FailureDomain
	Role          Role
	// Incarnation is the start of the process in Unix milliseconds.
	Incarnation Incarnation
	// Contacts are addresses of processes to join through.
	Contacts []netip.AddrPort
}

// Machine is the membership state of one process.
type Machine struct{}

// New returns a Machine that knows only itself and its contacts.
func New(set Settings, rng *rand.Rand) *Machine {
	return &Machine{}
}

// Step handles an event and returns what is to be done. The actions are valid
// until the next Step.
func (mc *Machine) Step(now time.Time, ev Event) []Action {
	return nil
}

// Self returns the record of this process.
func (mc *Machine) Self() Member { return Member{} }

// Members calls yield with the record of each process known, this one
// included, in no set order, until yield returns false. It is an iter.Seq.
func (mc *Machine) Members(yield func(Member) bool) {}

// Counters count events since the start of the Machine.
type Counters struct {
	// Refused datagrams by reason.
	RefusedDeployment uint64
	RefusedMalformed  uint64
	RefusedTarget     uint64
	// RefusedFull counts records for which the table had no room.
	RefusedFull uint64
	// Suspicions counts the members suspected by own probes.
	Suspicions uint64
	// Refutations counts claims about this process that it refuted.
	Refutations uint64
	// Conflicts counts records of another process with this one's name.
	Conflicts uint64
}

// Counters returns the counters.
func (mc *Machine) Counters() Counters { return Counters{} }
