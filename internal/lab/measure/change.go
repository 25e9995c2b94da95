package measure

import (
	"context"
	"encoding/json"
	"io"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/internal/fleet/node"
	"camphortrail/internal/ops/operator"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// The scenarios rollout and failover measure changes of the configuration; they have no
// baseline. In each of them two operators apply different contents as the same version at
// the same time, and then apply them again.
const (
	rolloutScenario  = "rollout"
	failoverScenario = "failover"

	changeControls = 3
	// changeInterval is the time between two versions.
	changeInterval = 500 * time.Millisecond
	applyTimeout   = 5 * time.Second
	watchInterval  = 10 * time.Millisecond
	// controlOutage is the time for which failover stops a control replica, and the time
	// between two such stops.
	controlOutage = 2 * time.Second
	// settleTime is reserved at the end of a run for the last version to come into force.
	settleTime = 4 * time.Second
)

// operators are the operators that compete for each version. The number of an operator is
// also the content that it applies.
var operators = []uint32{1, 2}

// acceptedApply is an apply of an operator that was accepted. at is the time of the
// answer, and took is the duration from the request to the answer.
type acceptedApply struct {
	version  uint64
	operator uint32
	revision uint64
	at       time.Time
	took     time.Duration
}

// observedRevision is the revision that a node had in force at a time.
type observedRevision struct {
	revision uint64
	at       time.Time
}

// changeRecord holds the answers to operators and the revisions that nodes had in force.
type changeRecord struct {
	mu       sync.Mutex
	accepted []acceptedApply
	unknown  int
	// failure is the error with which restartControls ended.
	failure error
	// observed holds, for each node, the observations at which its revision differed from
	// the one before.
	observed [][]observedRevision
}

// runChanges runs one of the scenarios rollout and failover and writes its figures.
func runChanges(ctx context.Context, opt Options, w io.Writer) error {
	ft, err := startFleet(ctx, fleetOptions{
		configuration: configuration(), vms: vms(), policy: node.FullPolicy, seed: opt.Seed, controls: changeControls,
	})
	if err != nil {
		return err
	}
	cr := &changeRecord{observed: make([][]observedRevision, len(ft.Nodes))}
	ctx, cancel := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for i := range ft.Nodes {
		watchers.Go(func() { ft.watchRevision(ctx, cr, i) })
	}
	end := time.Now().Add(time.Duration(opt.Seconds)*time.Second - startupTime - settleTime)
	if opt.Scenario == failoverScenario {
		watchers.Go(func() { cr.failure = ft.restartControls(end) })
	}
	for version := uint64(2); time.Now().Before(end) && ctx.Err() == nil; version++ {
		ft.raceOperators(ctx, cr, version)
		time.Sleep(changeInterval)
	}
	time.Sleep(settleTime)
	cancel()
	watchers.Wait()
	if err := ft.stop(); err != nil {
		return err
	}
	if cr.failure != nil {
		return cr.failure
	}
	fg := cr.figures()
	fg.Scenario = opt.Scenario
	return errors.Wrap(json.NewEncoder(w).Encode(fg), "write figures")
}

// raceOperators makes all operators apply their own content as the same version, twice,
// and returns when all have their answers.
func (ft *fleet) raceOperators(ctx context.Context, cr *changeRecord, version uint64) {
	var racers sync.WaitGroup
	for _, op := range operators {
		racers.Go(func() {
			for range 2 {
				ft.apply(ctx, cr, version, op)
			}
		})
	}
	racers.Wait()
}

// apply applies the content of an operator and records the result: accepted, or unknown
// if no replica accepted or refused it in time.
func (ft *fleet) apply(ctx context.Context, cr *changeRecord, version uint64, op uint32) {
	cfg := proto.CloneOf(configuration())
	cfg.Version = version
	cfg.Services[0].RetryRatioPercent = op
	ctx, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	begun := time.Now()
	rs, err := ft.Client.Apply(ctx, cfg)
	now := time.Now()
	cr.mu.Lock()
	defer cr.mu.Unlock()
	switch {
	case err == nil:
		cr.accepted = append(cr.accepted, acceptedApply{
			version: version, operator: op, revision: rs.GetRevision(), at: now, took: now.Sub(begun),
		})
	case errors.Is(err, operator.ErrUnknown) || errors.Is(err, operator.ErrUnavailable):
		cr.unknown++
	}
}

// watchRevision records the revision of node i until ctx ends.
func (ft *fleet) watchRevision(ctx context.Context, cr *changeRecord, i int) {
	_, peers, _ := ft.Nodes[i].Addresses()
	client := schemaconnect.NewPeerClient(ft.Client.HTTP, "http://"+peers)
	for ctx.Err() == nil {
		rs, err := client.Status(ctx, connect.NewRequest(&schema.StatusRequest{}))
		if err == nil {
			cr.observe(i, rs.Msg.GetRevision(), time.Now())
		}
		time.Sleep(watchInterval)
	}
}

// observe records the revision of node i if it differs from the last one.
func (cr *changeRecord) observe(i int, revision uint64, at time.Time) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if last := len(cr.observed[i]) - 1; last < 0 || cr.observed[i][last].revision != revision {
		cr.observed[i] = append(cr.observed[i], observedRevision{revision, at})
	}
}

// restartControls stops the control replicas in turn, each for controlOutage, and starts
// them again, until the given time.
func (ft *fleet) restartControls(end time.Time) error {
	for i := 0; ; i = (i + 1) % changeControls {
		time.Sleep(controlOutage)
		if !time.Now().Add(controlOutage).Before(end) {
			return nil
		}
		ft.StopControl(i)
		time.Sleep(controlOutage)
		if err := ft.StartControl(i); err != nil {
			return errors.Wrapf(err, "start control replica %d again", i+1)
		}
	}
}
