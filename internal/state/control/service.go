package control

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/claim"
	"camphortrail/config"
	"camphortrail/internal/state/boottime"
	"camphortrail/quorum"
	"camphortrail/schema"
)

const (
	maxConfigurationBytes = 4 << 20
	maxClaimOperations    = 4096
)

// ErrNotCurrent is returned by a replica that can't prove that it knows the
// newest configuration.
var ErrNotCurrent = errors.New("control: the replica can't prove that it is current")

var (
	errBusy    = errors.New("control: too many requests wait")
	errUnknown = errors.New("control: leadership was lost, the request may take effect or not")
)

// isCurrent reports whether the replica holds a lease, and a state read before
// the call, up to the given index, is isCurrent.
func (co *Control) isCurrent(applied quorum.Index) bool {
	vi := co.view.Load()
	return boottime.Now().Before(vi.leaseEnd) && applied >= vi.requiredIndex
}

// isLeading reports whether the replica may accept proposals.
func (co *Control) isLeading() bool { return boottime.Now().Before(co.view.Load().leaseEnd) }

// leaderAddress returns the address of another replica that leads, if known.
func (co *Control) leaderAddress() string {
	leader := co.view.Load().status.Leader
	if leader == co.id || leader == "" {
		return ""
	}
	return co.address(leader)
}

// propose has a command committed, and returns what became of it.
func (co *Control) propose(ctx context.Context, cm *schema.Command) (proposalResult, error) {
	cm.LogUnixMs = co.state.clock.now(time.Now())
	data, err := proto.Marshal(cm)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if co.backlogFull.Load() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	pr, wt := co.waiters.add()
	if !co.proposals.Offer(quorum.Propose{Proposal: pr, Data: data}) {
		co.waiters.remove(pr)
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	select {
	case an := <-wt.result:
		re, rejected := an.(rejection)
		if rejected && errors.Is(re.err, quorum.ErrFull) {
			return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
		}
		if !rejected {
			co.metrics.commit.UpdateDuration(wt.began)
		}
		return an, nil
	case <-ctx.Done():
		co.waiters.remove(pr)
		return rejection{err: quorum.ErrOutcomeUnknown}, nil
	}
}

// Apply implements schemaconnect.ControlHandler.
func (co *Control) Apply(ctx context.Context, rq *connect.Request[schema.ApplyRequest]) (*connect.Response[schema.ApplyResponse], error) {
	response, err := co.ApplyConfiguration(ctx, rq.Msg.GetConfiguration())
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(response), nil
}

// ApplyConfiguration proposes a whole configuration, and answers once it is
// committed or refused.
func (co *Control) ApplyConfiguration(ctx context.Context, cfg *schema.Configuration) (*schema.ApplyResponse, error) {
	if err := co.validate(cfg); err != nil {
		return &schema.ApplyResponse{Result: schema.ApplyResult_APPLY_RESULT_INVALID, Reason: err.Error()}, nil
	}
	if !co.isLeading() {
		return co.notLeader(), nil
	}
	dg, err := config.DigestOf(cfg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	an, err := co.propose(ctx, &schema.Command{
		Kind: &schema.Command_Configuration{Configuration: cfg}, Digest: dg[:],
	})
	if err != nil {
		return nil, err
	}
	switch an := an.(type) {
	case configurationResult:
		return an.response, nil
	case rejection:
		if errors.Is(an.err, quorum.ErrNotLeader) {
			return co.notLeader(), nil
		}
	}
	return &schema.ApplyResponse{
		Result: schema.ApplyResult_APPLY_RESULT_UNKNOWN, Reason: errUnknown.Error(), Leader: co.leaderAddress(),
	}, nil
}

func (co *Control) notLeader() *schema.ApplyResponse {
	return &schema.ApplyResponse{Result: schema.ApplyResult_APPLY_RESULT_NOT_LEADER, Leader: co.leaderAddress()}
}

func (co *Control) validate(cfg *schema.Configuration) error {
	switch {
	case cfg == nil || cfg.GetVersion() == 0:
		return errors.New("a configuration with a version is required")
	case cfg.GetDeployment() != co.set.GetDeployment():
		return errors.Errorf("the configuration is for deployment %q, this is %q", cfg.GetDeployment(), co.set.GetDeployment())
	case proto.Size(cfg) > maxConfigurationBytes:
		return errors.Errorf("the configuration exceeds %d bytes", maxConfigurationBytes)
	case co.opt.Validate != nil:
		return co.opt.Validate(cfg)
	}
	return nil
}

// InForce returns the configuration in force, or nil if there is none yet. It
// fails with ErrNotCurrent when a newer one may be in force.
func (co *Control) InForce() (*schema.Configuration, error) {
	now := co.state.current.Load()
	if !co.isCurrent(now.applied) {
		return nil, ErrNotCurrent
	}
	return now.configuration, nil
}

// Leader returns the peer address of another replica that leads, or an empty
// string if none is known.
func (co *Control) Leader() string { return co.leaderAddress() }

// Fetch implements schemaconnect.ControlHandler.
func (co *Control) Fetch(_ context.Context, rq *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	now := co.state.current.Load()
	if !co.isCurrent(now.applied) {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotCurrent)
	}
	response := &schema.FetchResponse{Revision: uint64(now.revision)}
	if response.Revision > rq.Msg.GetHaveRevision() {
		response.Configuration = now.configuration
	}
	return connect.NewResponse(response), nil
}

// Claim implements schemaconnect.ControlHandler.
func (co *Control) Claim(ctx context.Context, rq *connect.Request[schema.ClaimRequest]) (*connect.Response[schema.ClaimResponse], error) {
	operations := rq.Msg.GetOperations()
	if err := checkOperations(operations); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	notLeader := connect.NewResponse(&schema.ClaimResponse{Leader: co.leaderAddress()})
	if !co.isLeading() {
		return notLeader, nil
	}
	an, err := co.propose(ctx, &schema.Command{
		Kind: &schema.Command_Claims{Claims: &schema.ClaimBatch{Operations: operations}},
	})
	if err != nil {
		return nil, err
	}
	switch an := an.(type) {
	case claimResults:
		return connect.NewResponse(&schema.ClaimResponse{Results: an.results}), nil
	case rejection:
		if errors.Is(an.err, quorum.ErrNotLeader) {
			return notLeader, nil
		}
	}
	return nil, connect.NewError(connect.CodeAborted, errUnknown)
}

func checkOperations(operations []*schema.ClaimOperation) error {
	if len(operations) > maxClaimOperations {
		return errors.Errorf("more than %d operations", maxClaimOperations)
	}
	for _, op := range operations {
		if _, err := claim.FromSchema(op); err != nil {
			return err
		}
	}
	return nil
}

// Exchange implements schemaconnect.ControlHandler.
func (co *Control) Exchange(_ context.Context, rq *connect.Request[schema.ExchangeRequest]) (*connect.Response[schema.ExchangeResponse], error) {
	if rq.Msg.GetDeployment() != co.set.GetDeployment() {
		return nil, connect.NewError(connect.CodePermissionDenied, errors.Errorf("this is deployment %q", co.set.GetDeployment()))
	}
	var refused error
	for _, qm := range rq.Msg.GetMessages() {
		msg, err := quorum.Decode(qm)
		if err != nil {
			refused = err
			continue
		}
		if !co.messages.Offer(quorum.Receive{Message: msg}) {
			co.metrics.dropped.Inc()
		}
	}
	if refused != nil {
		co.log.WithError(refused).Warn("message refused")
		return nil, connect.NewError(connect.CodeInvalidArgument, refused)
	}
	return connect.NewResponse(new(schema.ExchangeResponse)), nil
}

// ControlStatus implements schemaconnect.ControlHandler.
func (co *Control) ControlStatus(context.Context, *connect.Request[schema.ControlStatusRequest]) (*connect.Response[schema.ControlStatusResponse], error) {
	now := co.state.current.Load()
	vi := co.view.Load()
	return connect.NewResponse(&schema.ControlStatusResponse{
		Name:     string(co.id),
		Role:     vi.status.Role.String(),
		Leader:   string(vi.status.Leader),
		Term:     uint64(vi.status.Term),
		Commit:   uint64(vi.status.Commit),
		Revision: uint64(now.revision),
		Current:  co.isCurrent(now.applied),
	}), nil
}
