package membership

import (
	"net/netip"

	"camphortrail/schema"
)

// Event is something that a Machine reacts to: Receive, Tick,
// AnnounceUpstreams, SetRevision or Leave.
type Event interface{ event() }

// Receive is the arrival of a datagram.
type Receive struct{ Datagram *schema.Datagram }

// Tick is the passing of time. It is due every TickInterval.
type Tick struct{}

// AnnounceUpstreams replaces what this process announces.
type AnnounceUpstreams struct{ Upstreams []Upstream }

// SetRevision says which revision of the configuration this process has in
// force. A lower one than before is ignored.
type SetRevision struct{ Revision uint64 }

// Leave says that this process is about to stop.
type Leave struct{}

func (Receive) event()           {}
func (Tick) event()              {}
func (AnnounceUpstreams) event() {}
func (SetRevision) event()       {}
func (Leave) event()             {}

// Action is something that a Machine wants done: SendDatagram, Changed or
// RevisionHint.
type Action interface{ action() }

// SendDatagram sends a datagram to an address.
type SendDatagram struct {
	Address  netip.AddrPort
	Datagram *schema.Datagram
}

// Changed reports a member whose record has changed. Of this process it
// reports the announcements only.
type Changed struct {
	Kind   ChangeKind
	Member Member
}

// RevisionHint reports that another process has a higher revision of the
// configuration in force than this one.
type RevisionHint struct {
	Revision uint64
	From     string
	Address  netip.AddrPort
}

// RecordRefused reports a record, or an upstream in one, that is malformed. It comes
// once a second at most; Counters has them all.
type RecordRefused struct{ Err error }

func (SendDatagram) action()  {}
func (Changed) action()       {}
func (RevisionHint) action()  {}
func (RecordRefused) action() {}

// ChangeKind says what has changed about a member.
type ChangeKind uint8

// The kinds of change.
const (
	// Joined: the member was unknown, dead or had left, or has restarted.
	Joined ChangeKind = iota + 1
	// Updated: its announcement has changed, or its suspicion is refuted.
	Updated
	// Suspected: it does not answer. It remains routable.
	Suspected
	// Died: it is taken as failed.
	Died
	// Departed: it has said that it leaves.
	Departed
)

// String returns the kind in lower case.
func (ck ChangeKind) String() string {
	switch ck {
	case Joined:
		return "joined"
	case Updated:
		return "updated"
	case Suspected:
		return "suspected"
	case Died:
		return "died"
	case Departed:
		return "departed"
	default:
		return "unspecified"
	}
}
