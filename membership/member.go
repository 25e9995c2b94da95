package membership

import (
	"net/netip"
	"slices"
	"time"

	"camphortrail/call"
)

// Role says what a process does in the deployment.
type Role string

// The roles.
const (
	NodeRole    Role = "node"
	ControlRole Role = "control"
)

// Incarnation tells lives of the process of one name apart. It is the start
// of the process in Unix milliseconds, or higher when the clock has gone back.
type Incarnation uint64

// Refutation counts the times that a process has refuted a suspicion or a
// claim of its death within an incarnation.
type Refutation uint64

// Announcement counts the announcements of a process within an incarnation.
type Announcement uint64

// State is what a process is believed to be.
type State uint8

// The states.
const (
	// Alive is the state of a member that answers probes.
	Alive State = iota + 1
	// Suspect is the state of a member that has not answered, and may still
	// refute. It remains routable.
	Suspect
	// Dead is the state of a member that has not refuted a suspicion in time.
	Dead
	// Left is the state of a member that has said that it leaves.
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
	// Slots is the number of requests that it runs at a time.
	Slots uint32
	// Connections is the number of connections that it accepts.
	Connections uint32
	// WarmUp is the length of a cold start.
	WarmUp time.Duration
	// Draining is set once it has started to leave.
	Draining bool
	// Address (IP:port) is known to the node beside the upstream only, and so
	// is Instance, the text by which lives of the upstream are told apart.
	Address  string
	Instance string
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
	// Upstreams must not be changed by the receiver of a Member.
	Upstreams []Upstream
}

// Equal reports whether both records say the same.
func (me Member) Equal(other Member) bool {
	return me.Name == other.Name && me.Address == other.Address &&
		me.FailureDomain == other.FailureDomain && me.Role == other.Role &&
		me.Incarnation == other.Incarnation && me.Refutation == other.Refutation &&
		me.State == other.State && me.Announcement == other.Announcement &&
		slices.Equal(me.Upstreams, other.Upstreams)
}
