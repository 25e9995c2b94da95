// Package operator holds what the operators' commands do: apply a
// configuration, show what is in force, drain a VM.
package operator

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// Errors of Apply.
var (
	// ErrConflict means that the same version with other content was
	// accepted before.
	ErrConflict = errors.New("operator: version is in force with other content")
	// ErrStale means that a higher version is in force.
	ErrStale = errors.New("operator: a higher version is in force")
	// ErrInvalid means that the replica found the configuration wrong.
	ErrInvalid = errors.New("operator: configuration refused")
	// ErrUnknown means that the configuration may or may not be accepted.
	// Applying the same files again tells.
	ErrUnknown = errors.New("operator: it is not known whether the configuration was accepted; apply the same files again")
	// ErrUnavailable means that no control replica could accept it.
	ErrUnavailable = errors.New("operator: no control replica could accept the configuration; nothing was changed")
)

const (
	applyRetryInterval = 200 * time.Millisecond
	applyCallTimeout   = 5 * time.Second
)

// Client reaches the processes of a deployment.
type Client struct {
	// HTTP is the transport to the processes.
	HTTP *http.Client
	// ControlAddresses are the addresses of the control replicas.
	ControlAddresses []string
}

// Apply proposes the configuration to the control replicas until one answers
// for the quorum, or ctx ends.
func (cl *Client) Apply(ctx context.Context, cfg *schema.Configuration) (*schema.ApplyResponse, error) {
	addresses := slices.Clone(cl.ControlAddresses)
	unsure := false
	for {
		for i := 0; i < len(addresses); i++ {
			rs, err := cl.applyTo(ctx, addresses[i], cfg)
			if err != nil {
				unsure = unsure || connect.CodeOf(err) != connect.CodeUnavailable
				continue
			}
			if rs.GetResult() == schema.ApplyResult_APPLY_RESULT_NOT_LEADER {
				if ld := rs.GetLeader(); ld != "" && !slices.Contains(addresses, ld) {
					addresses = append(addresses, ld)
				}
				continue
			}
			if rs.GetResult() != schema.ApplyResult_APPLY_RESULT_UNKNOWN {
				return rs, applyError(rs)
			}
			unsure = true
		}
		select {
		case <-ctx.Done():
			if unsure {
				return nil, ErrUnknown
			}
			return nil, ErrUnavailable
		case <-time.After(applyRetryInterval):
		}
	}
}

func (cl *Client) applyTo(ctx context.Context, address string, cfg *schema.Configuration) (*schema.ApplyResponse, error) {
	ctx, stop := context.WithTimeout(ctx, applyCallTimeout)
	defer stop()
	client := schemaconnect.NewControlClient(cl.HTTP, "http://"+address)
	rs, err := client.Apply(ctx, connect.NewRequest(&schema.ApplyRequest{Configuration: cfg}))
	if err != nil {
		return nil, err
	}
	return rs.Msg, nil
}

func applyError(rs *schema.ApplyResponse) error {
	switch rs.GetResult() {
	case schema.ApplyResult_APPLY_RESULT_ACCEPTED:
		return nil
	case schema.ApplyResult_APPLY_RESULT_CONFLICT:
		return errors.Wrap(ErrConflict, rs.GetReason())
	case schema.ApplyResult_APPLY_RESULT_STALE:
		return errors.Wrap(ErrStale, rs.GetReason())
	default:
		return errors.Wrap(ErrInvalid, rs.GetReason())
	}
}

// Drain makes the upstream beside a node leave, or takes that back. It returns
// the number of attempts in flight there.
func (cl *Client) Drain(ctx context.Context, address string, resume bool) (int, error) {
	client := schemaconnect.NewPeerClient(cl.HTTP, "http://"+address)
	rs, err := client.Drain(ctx, connect.NewRequest(&schema.DrainRequest{Resume: resume}))
	if err != nil {
		return 0, errors.Wrap(err, "drain "+address)
	}
	return int(rs.Msg.GetInFlight()), nil
}

// Revision returns the revision that a control replica proves to be in force,
// and waits for one until ctx ends.
func (cl *Client) Revision(ctx context.Context) (uint64, error) {
	for {
		for _, address := range cl.ControlAddresses {
			client := schemaconnect.NewControlClient(cl.HTTP, "http://"+address)
			rs, err := client.Fetch(ctx, connect.NewRequest(&schema.FetchRequest{}))
			if err == nil {
				return rs.Msg.GetRevision(), nil
			}
		}
		select {
		case <-ctx.Done():
			return 0, ErrUnavailable
		case <-time.After(applyRetryInterval):
		}
	}
}
