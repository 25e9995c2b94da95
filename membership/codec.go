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
	// maxIncarnation is a time in Unix milliseconds, in the year 3084. A process
	// can outlive claims up to there.
	maxIncarnation = 1 << 45
	// maxCount bounds counts within an incarnation.
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

// recordSize returns the bytes that a record takes in a datagram.
func recordSize(msg *schema.Member) int {
	const tagAndLength = 3
	return proto.Size(msg) + tagAndLength
}

// receivedRecord is the record of a member as another process sent it.
type receivedRecord struct {
	Member
	// full is set unless the record says only whether the member is alive.
	full bool
	// refused are the upstreams that were announced with values that cannot be
	// used. Upstreams leaves them out.
	refused []refusedUpstream
}

// refusedUpstream says why the upstream of a service cannot be used.
type refusedUpstream struct {
	service call.Service
	err     error
}

// decodeMember returns the record in msg. An error wraps ErrMalformed, and
// names the field and its value.
func decodeMember(msg *schema.Member) (receivedRecord, error) {
	hd := receivedRecord{Member: Member{
		Name:        call.VM(msg.GetName()),
		Incarnation: Incarnation(msg.GetIncarnation()),
		Refutation:  Refutation(msg.GetRefutation()),
		State:       State(msg.GetState()),
	}}
	switch st := msg.GetState(); {
	case len(hd.Name) == 0 || len(hd.Name) > MaxNameBytes:
		return hd, errors.Wrapf(ErrMalformed, "name %.*q", MaxNameBytes, hd.Name)
	case hd.Incarnation == 0 || hd.Incarnation > maxIncarnation:
		return hd, errors.Wrapf(ErrMalformed, "incarnation %d", hd.Incarnation)
	case hd.Refutation > maxCount:
		return hd, errors.Wrapf(ErrMalformed, "refutation %d", hd.Refutation)
	case st < schema.Member_STATE_ALIVE || st > schema.Member_STATE_LEFT:
		return hd, errors.Wrapf(ErrMalformed, "state %d", st)
	}
	if msg.GetAddress() == "" {
		return hd, nil
	}
	hd.full = true
	return hd, hd.decodeProfile(msg)
}

// decodeProfile sets the part that only a full record has.
func (hd *receivedRecord) decodeProfile(msg *schema.Member) error {
	addr, err := parseAddress(msg.GetAddress())
	if err != nil {
		return err
	}
	hd.Address = addr
	hd.FailureDomain = call.FailureDomain(msg.GetFailureDomain())
	hd.Role = Role(msg.GetRole())
	hd.Announcement = Announcement(msg.GetAnnouncement())
	switch {
	case len(hd.FailureDomain) == 0 || len(hd.FailureDomain) > maxFailureDomainBytes:
		return errors.Wrapf(ErrMalformed, "failure domain %.*q", maxFailureDomainBytes, hd.FailureDomain)
	case len(hd.Role) > maxRoleBytes:
		return errors.Wrapf(ErrMalformed, "role %.*q", maxRoleBytes, hd.Role)
	case hd.Announcement > maxCount:
		return errors.Wrapf(ErrMalformed, "announcement %d", hd.Announcement)
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
			hd.refused = append(hd.refused, refusedUpstream{up.Service, err})
			continue
		}
		hd.Upstreams = append(hd.Upstreams, up)
	}
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

// retainKnown puts what is known of the upstreams that were refused in their
// places.
func (hd *receivedRecord) retainKnown(known []Upstream) {
	for _, rf := range hd.refused {
		ofService := func(up Upstream) bool { return up.Service == rf.service }
		if at := slices.IndexFunc(known, ofService); at >= 0 && !slices.ContainsFunc(hd.Upstreams, ofService) {
			hd.Upstreams = append(hd.Upstreams, known[at])
		}
	}
}
