package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/schema"
)

const (
	// MaxNameBytes bounds the names of VMs and services.
	MaxNameBytes = 64

	maxFailureDomainBytes = 32
	maxRoleBytes          = 16
	// maxIncarnation is a time in Unix milliseconds, in the year 3084. A process can
	// raise its incarnation up to it.
	maxIncarnation = 1 << 45
	// maxCount bounds the refutations and announcements within an incarnation.
	maxCount = 1 << 53

	// MaxRevision is the highest revision of the configuration.
	MaxRevision = maxCount
	// MaxUpstreams is the number of upstreams that one process can announce.
	MaxUpstreams = 8
	// MaxSlots is the number of requests that one upstream can run at a time.
	MaxSlots = 100_000
	// MaxConnections is the number of connections that one upstream can accept.
	MaxConnections = 1_000_000
	// MaxWarmUp is the longest cold start.
	MaxWarmUp = time.Hour
)

// ErrMalformed is returned for records that break the rules of the protocol.
var ErrMalformed = errors.New("membership: malformed record")

// Validate returns an error that wraps ErrMalformed, and names the field and
// its value, if the upstream cannot be announced.
func (up Upstream) Validate() error {
	switch {
	case len(up.Service) == 0 || len(up.Service) > MaxNameBytes:
		return errors.Wrapf(ErrMalformed, "service %.*q", MaxNameBytes, up.Service)
	case up.Slots > MaxSlots:
		return errors.Wrapf(ErrMalformed, "slots %d", up.Slots)
	case up.Connections > MaxConnections:
		return errors.Wrapf(ErrMalformed, "connections %d", up.Connections)
	case up.WarmUp < 0 || up.WarmUp > MaxWarmUp:
		return errors.Wrapf(ErrMalformed, "warm-up %v", up.WarmUp)
	}
	return nil
}

// encodeMember returns the record of a member, with only its liveness unless full is set.
func encodeMember(mb Member, full bool) *schema.Member {
	msg := &schema.Member{
		Name:        string(mb.Name),
		Incarnation: uint64(mb.Incarnation),
		Refutation:  uint64(mb.Refutation),
		State:       schema.Member_State(mb.State),
	}
	if !full {
		return msg
	}
	msg.Address = mb.Address.String()
	msg.FailureDomain = string(mb.FailureDomain)
	msg.Role = string(mb.Role)
	msg.Announcement = uint64(mb.Announcement)
	msg.Departures = encodeDepartures(mb.Departures)
	for _, up := range mb.Upstreams {
		msg.Upstreams = append(msg.Upstreams, &schema.AnnouncedUpstream{
			Service:     string(up.Service),
			Slots:       up.Slots,
			Connections: up.Connections,
			Draining:    up.Draining,
			WarmUpMs:    uint32(up.WarmUp / time.Millisecond),
		})
	}
	return msg
}

// recordSize returns the number of bytes that a record takes in a datagram.
func recordSize(msg *schema.Member) int {
	const tagAndLength = 3
	return proto.Size(msg) + tagAndLength
}

// receivedRecord is the record of a member as another process sent it.
type receivedRecord struct {
	Member
	// full is set unless the record only holds the liveness of the member.
	full bool
	// refused are the announced upstreams with values out of range. Upstreams leaves them
	// out.
	refused []refusedUpstream
}

// refusedUpstream is an announced upstream that cannot be used, with the reason.
type refusedUpstream struct {
	service call.Service
	err     error
}

// decodeMember returns the record in msg. An error wraps ErrMalformed, and
// names the field and its value.
func decodeMember(msg *schema.Member) (receivedRecord, error) {
	rr := receivedRecord{Member: Member{
		Name:        call.VM(msg.GetName()),
		Incarnation: Incarnation(msg.GetIncarnation()),
		Refutation:  Refutation(msg.GetRefutation()),
		State:       State(msg.GetState()),
	}}
	switch st := msg.GetState(); {
	case len(rr.Name) == 0 || len(rr.Name) > MaxNameBytes:
		return rr, errors.Wrapf(ErrMalformed, "name %.*q", MaxNameBytes, rr.Name)
	case rr.Incarnation == 0 || rr.Incarnation > maxIncarnation:
		return rr, errors.Wrapf(ErrMalformed, "incarnation %d", rr.Incarnation)
	case rr.Refutation > maxCount:
		return rr, errors.Wrapf(ErrMalformed, "refutation %d", rr.Refutation)
	case st < schema.Member_STATE_ALIVE || st > schema.Member_STATE_LEFT:
		return rr, errors.Wrapf(ErrMalformed, "state %d", st)
	}
	if msg.GetAddress() == "" {
		return rr, nil
	}
	rr.full = true
	return rr, rr.decodeProfile(msg)
}

// decodeProfile sets the fields that only a full record has.
func (rr *receivedRecord) decodeProfile(msg *schema.Member) error {
	addr, err := parseAddress(msg.GetAddress())
	if err != nil {
		return err
	}
	rr.Address = addr
	rr.FailureDomain = call.FailureDomain(msg.GetFailureDomain())
	rr.Role = Role(msg.GetRole())
	rr.Announcement = Announcement(msg.GetAnnouncement())
	switch {
	case len(rr.FailureDomain) == 0 || len(rr.FailureDomain) > maxFailureDomainBytes:
		return errors.Wrapf(ErrMalformed, "failure domain %.*q", maxFailureDomainBytes, rr.FailureDomain)
	case len(rr.Role) > maxRoleBytes:
		return errors.Wrapf(ErrMalformed, "role %.*q", maxRoleBytes, rr.Role)
	case rr.Announcement > maxCount:
		return errors.Wrapf(ErrMalformed, "announcement %d", rr.Announcement)
	case len(msg.GetUpstreams()) > MaxUpstreams:
		return errors.Wrapf(ErrMalformed, "%d upstreams", len(msg.GetUpstreams()))
	}
	for _, um := range msg.GetUpstreams() {
		up := Upstream{
			Service:     call.Service(um.GetService()),
			Slots:       um.GetSlots(),
			Connections: um.GetConnections(),
			Draining:    um.GetDraining(),
			WarmUp:      time.Duration(um.GetWarmUpMs()) * time.Millisecond,
		}
		if err := up.Validate(); err != nil {
			rr.refused = append(rr.refused, refusedUpstream{up.Service, err})
			continue
		}
		rr.Upstreams = append(rr.Upstreams, up)
	}
	rr.Departures = decodeDepartures(msg.GetDepartures())
	return nil
}

// parseAddress returns an address (IP:port) that datagrams can be sent to.
func parseAddress(text string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(text)
	if err != nil || addr.Port() == 0 {
		return addr, errors.Wrapf(ErrMalformed, "address %.*q", MaxNameBytes, text)
	}
	return addr, nil
}

// retainKnown adds the known announcement of each upstream that was refused in this
// record.
func (rr *receivedRecord) retainKnown(known []Upstream) {
	for _, ru := range rr.refused {
		ofService := func(up Upstream) bool { return up.Service == ru.service }
		if at := slices.IndexFunc(known, ofService); at >= 0 && !slices.ContainsFunc(rr.Upstreams, ofService) {
			rr.Upstreams = append(rr.Upstreams, known[at])
		}
	}
}
