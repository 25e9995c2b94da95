package announce

import (
	"encoding/json"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/schema"
)

const (
	// maxBodyBytes is the largest request body.
	maxBodyBytes = 64 << 10
	// maxEchoBytes is the most of each text of a request that an answer repeats.
	maxEchoBytes = 256
)

// problem describes why a field of a request is refused.
type problem struct{ field, value, reason string }

// message returns the problem as a message for the client.
func (pr *problem) message() *schema.AnnounceError {
	return &schema.AnnounceError{Field: truncated(pr.field), Value: truncated(pr.value), Reason: truncated(pr.reason)}
}

// truncated returns at most maxEchoBytes of text, as valid UTF-8.
func truncated(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxEchoBytes)], "\uFFFD")
}

// decodeRequest reads a request body. An empty body is an empty announcement.
func decodeRequest(body io.Reader) (*schema.AnnouncedUpstream, *problem) {
	msg := new(schema.AnnouncedUpstream)
	data, err := io.ReadAll(body)
	if err != nil {
		return nil, &problem{field: "body", reason: err.Error()}
	}
	if len(data) == 0 {
		return msg, nil
	}
	if err := protojson.Unmarshal(data, msg); err != nil {
		return nil, locateProblem(data, err)
	}
	return msg, nil
}

// locateProblem finds the first field, in order of name, that cannot be decoded. cause is
// the error of decoding the whole body.
func locateProblem(data []byte, cause error) *problem {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return &problem{field: "body", reason: "not a JSON object"}
	}
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		one, err := json.Marshal(map[string]json.RawMessage{name: fields[name]})
		if err != nil {
			continue
		}
		if protojson.Unmarshal(one, new(schema.AnnouncedUpstream)) == nil {
			continue
		}
		if schema.File_membership_proto.Messages().ByName("AnnouncedUpstream").Fields().ByJSONName(name) == nil {
			return &problem{field: name, value: string(fields[name]), reason: "unknown field"}
		}
		return &problem{field: name, value: string(fields[name]), reason: "wrong type or out of range"}
	}
	return &problem{field: "body", reason: strings.ReplaceAll(cause.Error(), "\u00a0", " ")}
}

// validate returns the upstream of an announcement, or the first problem in it.
func validate(msg *schema.AnnouncedUpstream) (membership.Upstream, *problem) {
	up := membership.Upstream{
		Service:     call.Service(msg.GetService()),
		Slots:       msg.GetSlots(),
		Connections: msg.GetConnections(),
		WarmUp:      time.Duration(msg.GetWarmUpMs()) * time.Millisecond,
		Draining:    msg.GetDraining(),
		Address:     msg.GetAddress(),
	}
	if len(up.Service) == 0 || len(up.Service) > membership.MaxNameBytes {
		return up, &problem{"service", msg.GetService(), "must have 1 to 64 bytes"}
	}
	if addr, err := netip.ParseAddrPort(up.Address); err != nil || addr.Port() == 0 {
		return up, &problem{"address", up.Address, "must be IP:port"}
	}
	for _, bound := range []struct {
		field      string
		value, max uint32
		min        uint32
	}{
		{"slots", up.Slots, membership.MaxSlots, 1},
		{"connections", up.Connections, membership.MaxConnections, 1},
		{"warm-up-ms", msg.GetWarmUpMs(), uint32(membership.MaxWarmUp / time.Millisecond), 0},
	} {
		if bound.value < bound.min || bound.value > bound.max {
			return up, &problem{bound.field, formatNumber(bound.value), "must be from " + formatNumber(bound.min) + " to " + formatNumber(bound.max)}
		}
	}
	return up, nil
}

func formatNumber(n uint32) string { return strconv.FormatUint(uint64(n), 10) }
