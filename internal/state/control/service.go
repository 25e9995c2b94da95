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
	// maxConfigurationBytes bounds the encoded size of a configuration.
	maxConfigurationBytes = 4 << 20
	// maxClaimOperations bounds the operations of one claim request.
	maxClaimOperations = 4096
)

// ErrNotCurrent is returned if the replica cannot prove that it has the newest
// configuration.
var ErrNotCurrent = errors.New("control: the replica can't prove that it is current")

var (
	errBusy    = errors.New("control: too many requests wait")
	errUnknown = errors.New("control: leadership was lost, the request may take effect or not")
)

// isCurrent reports whether a state that was read before the call, and is applied up to the
// given index, is current: the replica must hold the lease and have applied enough of the log.
func (co *Control) isCurrent(applied quorum.Index) bool {
	mv := co.view.Load()
	return boottime.Now().Before(mv.leaseEnd) && applied >= mv.requiredIndex
}

// isLeading reports whether the replica holds the lease and may accept proposals.
func (co *Control) isLeading() bool { return boottime.Now().Before(co.view.Load().leaseEnd) }

// leaderAddress returns the peer address of the leader, or an empty string if it is unknown
// or this replica.
func (co *Control) leaderAddress() string {
	leader := co.view.Load().status.Leader
	if leader == co.id || leader == "" {
		return ""
	}
	return co.peerAddress(leader)
}

// propose proposes a command and waits for its result. If ctx ends before, the result is a
// rejection with quorum.ErrOutcomeUnknown. The error is a connect error for the client.
func (co *Control) propose(ctx context.Context, cm *schema.Command) (proposalResult, error) {
	cm.LogUnixMs = co.state.clock.now(time.Now())
	data, err := proto.Marshal(cm)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if co.overloaded.Load() {
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	pr, wt := co.waiters.add()
	if !co.proposals.Offer(quorum.Propose{Proposal: pr, Data: data}) {
		co.waiters.remove(pr)
		return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
	}
	select {
	case rs := <-wt.result:
		re, rejected := rs.(rejection)
		if rejected && errors.Is(re.err, quorum.ErrFull) {
			return nil, connect.NewError(connect.CodeResourceExhausted, errBusy)
		}
		if !rejected {
			co.metrics.commit.UpdateDuration(wt.start)
		}
		return rs, nil
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

// ApplyConfiguration validates and proposes a complete configuration, and returns once it is
// committed or refused, or its result is unknown.
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
	rs, err := co.propose(ctx, &schema.Command{
		Kind: &schema.Command_Configuration{Configuration: cfg}, Digest: dg[:],
	})
	if err != nil {
		return nil, err
	}
	switch rs := rs.(type) {
	case configurationResult:
		return rs.response, nil
	case rejection:
		if errors.Is(rs.err, quorum.ErrNotLeader) {
			return co.notLeader(), nil
		}
	}
	return &schema.ApplyResponse{
		Result: schema.ApplyResult_APPLY_RESULT_UNKNOWN, Reason: errUnknown.Error(), Leader: co.leaderAddress(),
	}, nil
}

// notLeader returns the response of a replica that does not lead.
func (co *Control) notLeader() *schema.ApplyResponse {
	return &schema.ApplyResponse{Result: schema.ApplyResult_APPLY_RESULT_NOT_LEADER, Leader: co.leaderAddress()}
}

// validate returns the reason why a configuration cannot be proposed, or nil.
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

// InForce returns the configuration in force, or nil if there is none yet. It returns
// ErrNotCurrent if a newer one may be in force.
func (co *Control) InForce() (*schema.Configuration, error) {
	inForce := co.state.current.Load()
	if !co.isCurrent(inForce.applied) {
		return nil, ErrNotCurrent
	}
	return inForce.configuration, nil
}

// Leader returns the peer address of the leader, or an empty string if the leader is unknown
// or this replica.
func (co *Control) Leader() string { return co.leaderAddress() }

const (
	// leaderWait is the longest time for which Fetch waits for a leader. It is longer than an
	// election takes, and shorter than the timeout of the callers.
	leaderWait = time.Second
	// leaderPollInterval is the time between two looks at the state meanwhile.
	leaderPollInterval = 20 * time.Millisecond
)

// Fetch implements schemaconnect.ControlHandler. The configuration is sent only if its
// revision is newer than the one that the caller has. Without a leader it waits for one: after a
// start of all processes nodes ask before the election has ended, and serve nothing until they ask
// again.
func (co *Control) Fetch(ctx context.Context, rq *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	inForce, ok := co.awaitCurrent(ctx)
	if !ok {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotCurrent)
	}
	response := &schema.FetchResponse{Revision: uint64(inForce.revision)}
	if response.Revision > rq.Msg.GetHaveRevision() {
		response.Configuration = inForce.forNodes
	}
	return connect.NewResponse(response), nil
}

// awaitCurrent returns the state in force, and whether it is current. It waits while no leader is
// known, or this replica leads and is not current yet, but for leaderWait at most.
func (co *Control) awaitCurrent(ctx context.Context) (inForce *configurationInForce, ok bool) {
	for end := time.Now().Add(leaderWait); ; {
		inForce = co.state.current.Load()
		if co.isCurrent(inForce.applied) {
			return inForce, true
		}
		if co.leaderAddress() != "" || !time.Now().Before(end) {
			return nil, false
		}
		select {
		case <-ctx.Done():
			return nil, false
		case <-time.After(leaderPollInterval):
		}
	}
}

// Renew implements schemaconnect.ControlHandler. The proof has age 0, as the lease holds now.
func (co *Control) Renew(_ context.Context, rq *connect.Request[schema.Renewal]) (*connect.Response[schema.RenewalAnswer], error) {
	inForce, term := co.state.current.Load(), co.view.Load().status.Term
	if !co.isCurrent(inForce.applied) {
		return nil, connect.NewError(connect.CodeUnavailable, ErrNotCurrent)
	}
	an := &schema.RenewalAnswer{Number: rq.Msg.GetNumber(), Proved: true, Revision: uint64(inForce.revision)}
	if co.opt.Grant != nil {
		if co.opt.Lead != nil {
			co.opt.Lead(boottime.Now(), uint64(term))
		}
		an.Allowances = co.opt.Grant(boottime.Now(), rq.Msg.GetFrom(), inForce.configuration, rq.Msg.GetDemands())
		if co.view.Load().status.Term != term || !co.isCurrent(inForce.applied) {
			// Another leader may issue tokens already.
			return nil, connect.NewError(connect.CodeUnavailable, ErrNotCurrent)
		}
	}
	return connect.NewResponse(an), nil
}

// Claim implements schemaconnect.ControlHandler. The operations are applied as one batch.
func (co *Control) Claim(ctx context.Context, rq *connect.Request[schema.ClaimRequest]) (*connect.Response[schema.ClaimResponse], error) {
	operations := rq.Msg.GetOperations()
	if err := checkOperations(operations); err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	notLeader := connect.NewResponse(&schema.ClaimResponse{Leader: co.leaderAddress()})
	if !co.isLeading() {
		return notLeader, nil
	}
	rs, err := co.propose(ctx, &schema.Command{
		Kind: &schema.Command_Claims{Claims: &schema.ClaimBatch{Operations: operations}},
	})
	if err != nil {
		return nil, err
	}
	switch rs := rs.(type) {
	case claimResults:
		return connect.NewResponse(&schema.ClaimResponse{Results: rs.results}), nil
	case rejection:
		if errors.Is(rs.err, quorum.ErrNotLeader) {
			return notLeader, nil
		}
	}
	return nil, connect.NewError(connect.CodeAborted, errUnknown)
}

// checkOperations returns an error if there are too many operations or one is malformed.
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

// Exchange implements schemaconnect.ControlHandler. A malformed message is refused without
// affecting the others of the request.
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
	inForce := co.state.current.Load()
	mv := co.view.Load()
	return connect.NewResponse(&schema.ControlStatusResponse{
		Name:     string(co.id),
		Role:     mv.status.Role.String(),
		Leader:   string(mv.status.Leader),
		Term:     uint64(mv.status.Term),
		Commit:   uint64(mv.status.Commit),
		Revision: uint64(inForce.revision),
		Current:  co.isCurrent(inForce.applied),
	}), nil
}
