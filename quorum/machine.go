package quorum

import "time"

// Machine is one replica of the log.
type Machine struct {
	set Settings
}

// New returns a machine with the state found on the disk.
func New(set Settings, st State) *Machine { _ = st; return &Machine{set: set} }

// Step handles an event and returns the actions to carry out, in order. The
// slice may be reused by the next Step.
func (ma *Machine) Step(now time.Time, ev Event) []Action { _, _ = now, ev; return nil }

// Status describes a machine.
type Status struct {
	Role   Role
	Term   Term
	Leader Replica
	Commit Index
	Last   Index
}

// Status returns the machine's state.
func (ma *Machine) Status() Status { return Status{} }

// Lease returns the time until which the machine is the leader with a lease
// that a quorum confirmed, and the index that must have been applied before
// the state may be presented as current. The time is zero for others.
func (ma *Machine) Lease() (until time.Time, applied Index) { return time.Time{}, 0 }

// Current reports whether the machine holds a lease at now.
func (ma *Machine) Current(now time.Time) bool {
	until, _ := ma.Lease()
	return now.Before(until)
}
