// Package operator implements the operators' commands on a deployment: apply a configuration,
// show what is in force, and drain a VM.
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
	// ErrConflict means that the version in force has the same number and other content,
	// or is not the base version of the configuration.
	ErrConflict = errors.New("operator: version is in force with other content")
	// ErrStale means that a higher version is in force.
	ErrStale = errors.New("operator: a higher version is in force")
	// ErrInvalid means that a control replica found the configuration invalid.
	ErrInvalid = errors.New("operator: configuration refused")
	// ErrUnknown means that the configuration may or may not be accepted. Applying the same
	// files again shows which.
	ErrUnknown = errors.New("operator: it is not known whether the configuration was accepted; apply the same files again")
	// ErrUnavailable means that no control replica accepted the configuration in time, and
	// nothing was changed.
	ErrUnavailable = errors.New("operator: no control replica could accept the configuration; nothing was changed")
)

const (
	applyRetryInterval = 200 * time.Millisecond
	applyCallTimeout   = 5 * time.Second
)

// Client calls the processes of a deployment.
type Client struct {
	// HTTP sends the calls.
	HTTP *http.Client
	// ControlAddresses are the peer addresses of control replicas.
	ControlAddresses []string
}

// Apply proposes the configuration to the control replicas in turn until one returns a result
// of the quorum, or ctx ends. It also tries the leader that a replica names. If ctx ends after
// the result of a proposal was lost, the proposal may be accepted; Apply then returns
// ErrUnknown.
func (cl *Client) Apply(ctx context.Context, cfg *schema.Configuration) (*schema.ApplyResponse, error) {
	addresses := slices.Clone(cl.ControlAddresses)
	mayBeAccepted := false
	for {
		for i := 0; i < len(addresses); i++ {
			rs, err := cl.applyTo(ctx, addresses[i], cfg)
			if err != nil {
				mayBeAccepted = mayBeAccepted || connect.CodeOf(err) != connect.CodeUnavailable
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
			mayBeAccepted = true
		}
		select {
		case <-ctx.Done():
			if mayBeAccepted {
				return nil, ErrUnknown
			}
			return nil, ErrUnavailable
		case <-time.After(applyRetryInterval):
		}
	}
}

// applyTo proposes the configuration to one control replica.
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

// applyError returns the error for the result of a proposal, with its reason.
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

// Drain makes the upstream beside a node drain or, if resume is true, accept work again. It
// returns the number of attempts in flight there.
func (cl *Client) Drain(ctx context.Context, address string, resume bool) (int, error) {
	client := schemaconnect.NewPeerClient(cl.HTTP, "http://"+address)
	rs, err := client.Drain(ctx, connect.NewRequest(&schema.DrainRequest{Resume: resume}))
	if err != nil {
		return 0, errors.Wrap(err, "drain "+address)
	}
	return int(rs.Msg.GetInFlight()), nil
}

// Revision waits until a control replica can prove which revision is in force, and returns
// that revision. It returns ErrUnavailable if ctx ends first.
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
