package membership

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/schema"
)

const (
	maxNameBytes          = 64
	maxFailureDomainBytes = 32
	maxRoleBytes          = 16
	maxIncarnation        = 1 << 53

	// MaxUpstreams is the number of upstreams that one process can announce.
	MaxUpstreams = 8
)

// ErrMalformed is returned for records that break the rules of the protocol.
var ErrMalformed = errors.New("membership: malformed record")

// Validate returns an error that wraps ErrMalformed if the upstream cannot be
// announced.
func (up Upstream) Validate() error {
	if len(up.Service) == 0 || len(up.Service) > maxNameBytes {
		return errors.Wrapf(ErrMalformed, "service %q", up.Service)
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

// decodeMember returns the record in msg, and whether it is a full one.
func decodeMember(msg *schema.Member) (mb Member, full bool, err error) {
	mb = Member{
		Name:        call.VM(msg.GetName()),
		Incarnation: Incarnation(msg.GetIncarnation()),
		Refutation:  Refutation(msg.GetRefutation()),
		State:       State(msg.GetState()),
	}
	if len(mb.Name) == 0 || len(mb.Name) > maxNameBytes {
		return mb, false, ErrMalformed
	}
	if mb.Incarnation == 0 || mb.Incarnation > maxIncarnation || mb.Refutation > maxIncarnation {
		return mb, false, ErrMalformed
	}
	if st := msg.GetState(); st < schema.Member_STATE_ALIVE || st > schema.Member_STATE_LEFT {
		return mb, false, ErrMalformed
	}
	if msg.GetAddress() == "" {
		return mb, false, nil
	}
	return mb, true, decodeProfile(&mb, msg)
}

// decodeProfile sets the part of mb that only a full record has.
func decodeProfile(mb *Member, msg *schema.Member) error {
	addr, err := netip.ParseAddrPort(msg.GetAddress())
	if err != nil {
		return ErrMalformed
	}
	mb.Address = addr
	mb.FailureDomain = call.FailureDomain(msg.GetFailureDomain())
	mb.Role = Role(msg.GetRole())
	mb.Announcement = Announcement(msg.GetAnnouncement())
	if len(mb.FailureDomain) == 0 || len(mb.FailureDomain) > maxFailureDomainBytes || len(mb.Role) > maxRoleBytes {
		return ErrMalformed
	}
	if len(msg.GetUpstreams()) > MaxUpstreams {
		return ErrMalformed
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
			return err
		}
		mb.Upstreams = append(mb.Upstreams, up)
	}
	return nil
}
