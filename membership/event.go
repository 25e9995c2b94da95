package membership

import (
	"net/netip"

	"camphortrail/schema"
)

// Event is an input of a Machine: Receive, Tick, AnnounceUpstreams, AnnounceDepartures,
// SetRevision or Leave.
type Event interface{ event() }

// Receive is the arrival of a datagram.
type Receive struct{ Datagram *schema.Datagram }

// Tick reports that time has passed. It is due every TickInterval.
type Tick struct{}

// AnnounceUpstreams replaces the upstreams that this process announces.
type AnnounceUpstreams struct{ Upstreams []Upstream }

// AnnounceDepartures adds departures to those that this process announces.
// Machine.DeparturesConfirmed reports when other processes hold them.
type AnnounceDepartures struct{ Departures []Departure }

// SetRevision sets the revision of the configuration that is in force at this process. A
// lower revision than before is ignored.
type SetRevision struct{ Revision uint64 }

// Leave announces that this process is about to stop.
type Leave struct{}

func (Receive) event()            {}
func (Tick) event()               {}
func (AnnounceUpstreams) event()  {}
func (AnnounceDepartures) event() {}
func (SetRevision) event()        {}
func (Leave) event()              {}

// Action is an output of a Machine: SendDatagram, Changed, Recalled, RevisionHint or
// RecordRefused.
type Action interface{ action() }

// SendDatagram asks for a datagram to be sent to an address.
type SendDatagram struct {
	Address  netip.AddrPort
	Datagram *schema.Datagram
}

// Changed reports that the record of a member has changed. For this process itself it
// reports only announcements.
type Changed struct {
	Kind   ChangeKind
	Member Member
}

// Recalled reports the departures that earlier incarnations of this process have announced.
// Complete is not set if no process that knows them has answered in time. There is another
// Recalled then, when one answers or after a minute, in which what was sent before has arrived.
type Recalled struct {
	Departures []Departure
	Complete   bool
}

// RevisionHint reports that another process has a higher revision of the configuration in
// force than this one.
type RevisionHint struct {
	Revision uint64
	From     string
	Address  netip.AddrPort
}

// RecordRefused reports a malformed record, a malformed upstream in a record, or a
// revision that is out of range. It is emitted once a second at most; Counters counts all
// of them.
type RecordRefused struct{ Err error }

func (SendDatagram) action()  {}
func (Changed) action()       {}
func (Recalled) action()      {}
func (RevisionHint) action()  {}
func (RecordRefused) action() {}

// ChangeKind is the kind of change of a member.
type ChangeKind uint8

// The kinds of change.
const (
	// Joined means that the member was unknown, dead or had left before, or has
	// restarted.
	Joined ChangeKind = iota + 1
	// Updated means that its announcement has changed or that it has refuted a suspicion.
	Updated
	// Suspected means that it does not answer probes. It remains routable.
	Suspected
	// Died means that it is considered failed.
	Died
	// Departed means that it announced its departure.
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
