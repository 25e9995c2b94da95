package route

import (
	"time"

	"camphortrail/call"
)

// Event is an input of a Table: Upsert, Remove, Suspect, Alive, SameRegion, Sent,
// Answered, Failed or Placement.
type Event interface{ event() }

// Upsert adds or changes an upstream of a service.
type Upsert struct {
	VM      call.VM
	Service call.Service
	Domain  call.FailureDomain
	Slots   int
	// WarmUp is the duration of a cold start. It begins when the VM is first seen, with
	// each new incarnation, when the VM stops draining, and when the duration changes.
	WarmUp      time.Duration
	Draining    bool
	Incarnation uint64
}

// Remove deletes an upstream.
type Remove struct {
	VM      call.VM
	Service call.Service
}

// Suspect marks a VM as unreachable for all its services.
type Suspect struct{ VM call.VM }

// Alive ends the effect of Suspect.
type Alive struct{ VM call.VM }

// SameRegion lists the other failure domains of the own region. They are preferred to
// those of other regions.
type SameRegion struct{ Domains []call.FailureDomain }

// Sent reports that an attempt was sent. Exactly one Answered or Failed of equal
// importance must follow.
type Sent struct {
	Service call.Service
	VM      call.VM
	// Importance is that of the attempt; zero counts as the highest.
	Importance call.Importance
	// Cost is that of the Request.
	Cost time.Duration
}

// Answered reports the answer to an attempt.
type Answered struct {
	Service    call.Service
	VM         call.VM
	Importance call.Importance
	// Latency is the time since Sent.
	Latency time.Duration
	Outcome call.Outcome
	// Level is the admission level of the guard.
	Level call.Level
	// DelayedLevel is the level up to which the guard delayed work, or zero if the answer
	// had none.
	DelayedLevel call.Level
	// Occupancy is that of the guard.
	Occupancy call.Occupancy
	// Load is what the guard reported of the work at its upstream.
	Load Load
	// Overload says that the guard refused the attempt for overload.
	Overload bool
	// Leaving says that the guard refused the attempt because its upstream takes no new
	// work. The VM counts as draining until its next Upsert.
	Leaving bool
}

// Failed reports an attempt without an answer from its guard.
type Failed struct {
	Service    call.Service
	VM         call.VM
	Importance call.Importance
	// Latency is the time since Sent.
	Latency time.Duration
	// Cancelled says that the own side gave the attempt up, so that it does not count as
	// a failure of the VM.
	Cancelled bool
}

func (Upsert) event()     {}
func (Remove) event()     {}
func (Suspect) event()    {}
func (Alive) event()      {}
func (SameRegion) event() {}
func (Sent) event()       {}
func (Answered) event()   {}
func (Failed) event()     {}
