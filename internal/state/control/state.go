package control

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/claim"
	"camphortrail/config"
	"camphortrail/quorum"
	"camphortrail/schema"
)

const (
	// maxVersions is the maximum number of accepted versions that are remembered.
	maxVersions = 1 << 16
	// minCompactBytes is the minimum size of the log at which a snapshot is taken. If the last
	// snapshot is larger, the log must reach the size of that, which bounds the cost of
	// snapshots relative to that of the log.
	minCompactBytes = 8 << 20
	// entryOverheadBytes is the size of an entry besides its data.
	entryOverheadBytes = 64
)

// configurationInForce is the configuration in force after the log has been applied up to the
// index applied.
type configurationInForce struct {
	revision      config.Revision
	configuration *schema.Configuration
	// forNodes is the configuration without its source, which may hold keys of customers.
	forNodes *schema.Configuration
	applied  quorum.Index
}

// withoutSource returns a configuration without its source.
func withoutSource(cfg *schema.Configuration) *schema.Configuration {
	if len(cfg.GetSource()) == 0 {
		return cfg
	}
	copied := proto.CloneOf(cfg)
	copied.Source = nil
	return copied
}

// state is the replicated state: the accepted configurations and the claims.
type state struct {
	co      *Control
	history *config.History
	claims  *claim.Table
	clock   logClock
	current atomic.Pointer[configurationInForce]
	// logBytes is the size of the entries applied since the last snapshot, and snapshotBytes
	// the size of that snapshot.
	logBytes, snapshotBytes int
}

func newState(co *Control) *state {
	st := &state{co: co, history: config.NewHistory(maxVersions, nil), claims: claim.New(co.opt.Claims)}
	st.current.Store(&configurationInForce{})
	return st
}

// run applies committed entries and snapshots until ctx ends.
func (st *state) run(ctx context.Context) error {
	for {
		ac, err := st.co.applies.Take(ctx)
		if err != nil {
			return err
		}
		switch ac := ac.(type) {
		case quorum.Apply:
			err = st.apply(ac)
		case quorum.Restore:
			err = st.restore(ac.Snapshot)
		}
		if err != nil {
			return err
		}
		if err := st.compact(); err != nil {
			return err
		}
	}
}

// apply applies a committed entry and passes the result to the waiter of its proposal.
func (st *state) apply(ap quorum.Apply) error {
	cm := new(schema.Command)
	if err := proto.Unmarshal(ap.Entry.Data, cm); err != nil {
		// All replicas skip the entry in the same way. A replica that failed here would
		// read the entry again after each start.
		st.co.log.WithError(err).WithField("index", uint64(ap.Entry.Index)).Error("entry cannot be read")
		proto.Reset(cm)
	}
	st.clock.advance(time.Now(), cm.GetLogUnixMs())
	inForce := *st.current.Load()
	inForce.applied = ap.Entry.Index
	var rs proposalResult
	switch kind := cm.GetKind().(type) {
	case *schema.Command_Configuration:
		rs = configurationResult{st.applyConfiguration(&inForce, kind.Configuration, digestOf(cm))}
	case *schema.Command_Claims:
		rs = claimResults{st.applyClaims(kind.Claims)}
	}
	st.current.Store(&inForce)
	st.logBytes += len(ap.Entry.Data) + entryOverheadBytes
	if ap.Proposal != 0 {
		st.co.waiters.resolve(ap.Proposal, rs)
	}
	return nil
}

func digestOf(cm *schema.Command) (dg config.Digest) {
	copy(dg[:], cm.GetDigest())
	return dg
}

// applyConfiguration puts a configuration in force in inForce, or refuses it, and returns the
// response to its sender.
func (st *state) applyConfiguration(inForce *configurationInForce, cfg *schema.Configuration, dg config.Digest) *schema.ApplyResponse {
	version, revision := config.Version(cfg.GetVersion()), config.Revision(inForce.applied)
	response := &schema.ApplyResponse{}
	var de config.Decision
	if cfg.BaseVersion != nil {
		de = st.history.DecideFrom(config.Version(cfg.GetBaseVersion()), version, revision, dg)
	} else {
		de = st.history.Decide(version, revision, dg)
	}
	switch de := de.(type) {
	case config.Accept:
		response.Result, response.Revision = schema.ApplyResult_APPLY_RESULT_ACCEPTED, uint64(de.Revision)
		if !de.AlreadyAccepted {
			inForce.revision, inForce.configuration, inForce.forNodes = revision, cfg, withoutSource(cfg)
			st.co.log.WithFields(log.Fields{"version": uint64(version), "revision": uint64(revision)}).Info("configuration accepted")
		}
	case config.Conflict:
		response.Result, response.Revision = schema.ApplyResult_APPLY_RESULT_CONFLICT, uint64(de.Winner.Revision)
		response.Reason = conflictReason(cfg, de.Winner)
	case config.Stale:
		response.Result, response.Revision = schema.ApplyResult_APPLY_RESULT_STALE, uint64(de.InForce.Revision)
		response.Reason = fmt.Sprintf("version %d is in force since revision %d; version %d is lower",
			de.InForce.Version, de.InForce.Revision, version)
	}
	if last, ok := st.history.Last(); ok {
		response.VersionInForce = uint64(last.Version)
	}
	return response
}

// conflictReason returns the reason why cfg conflicts with the configuration in force.
func conflictReason(cfg *schema.Configuration, winner config.Accepted) string {
	if cfg.BaseVersion != nil && cfg.GetBaseVersion() != uint64(winner.Version) {
		return fmt.Sprintf("version %d is in force, and not the base version %d", winner.Version, cfg.GetBaseVersion())
	}
	return fmt.Sprintf("version %d is in force with other content (digest %x), accepted as revision %d",
		winner.Version, winner.Digest[:4], winner.Revision)
}

// applyClaims applies claim operations at the time of the log. The result of a malformed
// operation is empty.
func (st *state) applyClaims(batch *schema.ClaimBatch) []*schema.ClaimResult {
	results := make([]*schema.ClaimResult, len(batch.GetOperations()))
	now := time.UnixMilli(st.clock.last())
	for i, msg := range batch.GetOperations() {
		results[i] = new(schema.ClaimResult)
		op, err := claim.FromSchema(msg)
		if err != nil {
			continue
		}
		if result, err := claim.ResultToSchema(st.claims.Step(now, op)); err == nil {
			results[i] = result
		}
	}
	return results
}

// compact takes a snapshot if the log has grown enough and no snapshot is being written.
func (st *state) compact() error {
	if st.logBytes < max(minCompactBytes, st.snapshotBytes) || st.co.snapshotPending.Load() {
		return nil
	}
	data, err := st.snapshot()
	if err != nil {
		return err
	}
	st.co.snapshotPending.Store(true)
	st.co.snapshots.Offer(quorum.Compact{Index: st.current.Load().applied, Data: data})
	st.logBytes, st.snapshotBytes = 0, len(data)
	return nil
}

// snapshot encodes the state.
func (st *state) snapshot() ([]byte, error) {
	inForce := st.current.Load()
	cs := &schema.ControlState{
		Revision: uint64(inForce.revision), Configuration: inForce.configuration,
		Claims: st.claims.Snapshot(), LogUnixMs: st.clock.last(),
	}
	for _, ac := range st.history.All() {
		cs.Accepted = append(cs.Accepted, &schema.AcceptedVersion{
			Version: uint64(ac.Version), Revision: uint64(ac.Revision), Digest: ac.Digest[:],
		})
	}
	data, err := proto.Marshal(cs)
	return data, errors.Wrap(err, "control: snapshot")
}

// restore replaces the state by that of a snapshot.
func (st *state) restore(sn quorum.Snapshot) error {
	cs := new(schema.ControlState)
	if err := proto.Unmarshal(sn.Data, cs); err != nil {
		return errors.Wrapf(err, "control: snapshot at %d", sn.Index)
	}
	claims, err := claim.Restore(cs.GetClaims(), st.co.opt.Claims)
	if err != nil {
		return err
	}
	accepted := make([]config.Accepted, len(cs.GetAccepted()))
	for i, av := range cs.GetAccepted() {
		accepted[i] = config.Accepted{Version: config.Version(av.GetVersion()), Revision: config.Revision(av.GetRevision())}
		copy(accepted[i].Digest[:], av.GetDigest())
	}
	st.claims, st.history = claims, config.NewHistory(maxVersions, accepted)
	st.clock.advance(time.Now(), cs.GetLogUnixMs())
	st.logBytes, st.snapshotBytes = 0, len(sn.Data)
	st.current.Store(&configurationInForce{
		revision:      config.Revision(cs.GetRevision()),
		configuration: cs.GetConfiguration(),
		forNodes:      withoutSource(cs.GetConfiguration()),
		applied:       sn.Index,
	})
	return nil
}
