package membership

import (
	"net/netip"
	"slices"
	"time"

	"camphortrail/call"
)

// Role is the role of a process in the deployment.
type Role string

// The roles.
const (
	// NodeRole is the role of a node, and ControlRole that of a control replica.
	NodeRole    Role = "node"
	ControlRole Role = "control"
)

// Incarnation distinguishes the runs of a process with one name. It is the start time in
// Unix milliseconds, or a higher number if the clock has gone back.
type Incarnation uint64

// Refutation counts how often a process has refuted a suspicion or a claim of its death
// within an incarnation.
type Refutation uint64

// Announcement counts the announcements of a process within an incarnation.
type Announcement uint64

// State is the state of a process in the view of another.
type State uint8

// The states.
const (
	// Alive is the state of a member that answers probes.
	Alive State = iota + 1
	// Suspect is the state of a member that did not answer a probe and may still refute.
	// It remains routable.
	Suspect
	// Dead is the state of a member that did not refute a suspicion in time.
	Dead
	// Left is the state of a member that announced its departure.
	Left
)

// String returns the state in lower case.
func (st State) String() string {
	switch st {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unspecified"
	}
}

// Present reports whether a member in this state is routable.
func (st State) Present() bool { return st == Alive || st == Suspect }

// Upstream is what an upstream has announced about itself.
type Upstream struct {
	Service call.Service
	// Slots is the number of requests that it runs at the same time.
	Slots uint32
	// Connections is the number of connections that it accepts.
	Connections uint32
	// WarmUp is the duration of a cold start.
	WarmUp time.Duration
	// Draining is set once it has started to leave.
	Draining bool
	// Address (IP:port), Instance, the id that the upstream gives itself, and StartTime are
	// known only to the node next to the upstream. They are not sent to others. A later run
	// may have the same Instance. StartTime is zero if the upstream does not state it.
	Address   string
	Instance  string
	StartTime time.Time
	// ServesUntil is the time until which an upstream that has started to leave still serves
	// requests, or zero if it has not or states no such time. It is known only to the node next to
	// the upstream, too.
	ServesUntil time.Time
}

// SameRun reports whether both are announcements of the same run of an upstream.
func (up Upstream) SameRun(other Upstream) bool {
	return up.Instance == other.Instance && up.StartTime.Equal(other.StartTime) &&
		up.Service == other.Service && up.Address == other.Address
}

// Member is the record of one process.
type Member struct {
	Name          call.VM
	Address       netip.AddrPort
	FailureDomain call.FailureDomain
	Role          Role
	Incarnation   Incarnation
	Refutation    Refutation
	State         State
	Announcement  Announcement
	// Upstreams is shared with the Machine and must not be changed.
	Upstreams []Upstream
	// Departures are those of all incarnations, the newest first. The slice is shared, too.
	Departures []Departure
}

// Equal reports whether both records have the same content.
func (me Member) Equal(other Member) bool {
	return me.Name == other.Name && me.Address == other.Address &&
		me.FailureDomain == other.FailureDomain && me.Role == other.Role &&
		me.Incarnation == other.Incarnation && me.Refutation == other.Refutation &&
		me.State == other.State && me.Announcement == other.Announcement &&
		slices.Equal(me.Upstreams, other.Upstreams) && equalDepartures(me.Departures, other.Departures)
}
