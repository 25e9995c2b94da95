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

// The scenarios of configuration have no baseline. In each of them two
// operators race for every version, and resend what they applied.
const (
	rolloutScenario  = "rollout"
	failoverScenario = "failover"

	changeControls = 3
	// changeInterval is the time between two versions.
	changeInterval = 500 * time.Millisecond
	applyTimeout   = 5 * time.Second
	watchInterval  = 10 * time.Millisecond
	// outage is the time for which failover keeps a control replica stopped.
	outage = 2 * time.Second
	// settleTime is left for the last version to come into force.
	settleTime = 4 * time.Second
)

// operators race for each version.
var operators = []uint32{1, 2}

// accepted is the answer that an operator got for a version.
type accepted struct {
	version  uint64
	operator uint32
	revision uint64
	at       time.Time
	took     time.Duration
}

// sighting is a revision that a node was seen to have in force.
type sighting struct {
	revision uint64
	at       time.Time
}

// changes records what operators were told and what nodes had in force.
type changes struct {
	mu       sync.Mutex
	accepted []accepted
	unsure   int
	// failure is the error that ended failControls.
	failure error
	// seen holds the sightings of each node at which its revision differed
	// from the one before.
	seen [][]sighting
}

// runChanges runs a scenario of configuration and writes its line.
func runChanges(ctx context.Context, opt Options, w io.Writer) error {
	ft, err := startFleet(ctx, fleetOptions{
		configuration: configuration(), vms: vms(), policy: node.FullPolicy, seed: opt.Seed, controls: changeControls,
	})
	if err != nil {
		return err
	}
	cg := &changes{seen: make([][]sighting, len(ft.Nodes))}
	ctx, cancel := context.WithCancel(ctx)
	var watchers sync.WaitGroup
	for i := range ft.Nodes {
		watchers.Go(func() { ft.watch(ctx, cg, i) })
	}
	end := time.Now().Add(time.Duration(opt.Seconds)*time.Second - startupTime - settleTime)
	if opt.Scenario == failoverScenario {
		watchers.Go(func() { cg.failure = ft.failControls(end) })
	}
	for version := uint64(2); time.Now().Before(end) && ctx.Err() == nil; version++ {
		ft.race(ctx, cg, version)
		time.Sleep(changeInterval)
	}
	time.Sleep(settleTime)
	cancel()
	watchers.Wait()
	if err := ft.stop(); err != nil {
		return err
	}
	if cg.failure != nil {
		return cg.failure
	}
	fg := cg.figures()
	fg.Scenario = opt.Scenario
	return errors.Wrap(json.NewEncoder(w).Encode(fg), "write figures")
}

// race lets all operators apply their own content as the same version, and
// then apply it again.
func (ft *fleet) race(ctx context.Context, cg *changes, version uint64) {
	var racers sync.WaitGroup
	for _, op := range operators {
		racers.Go(func() {
			for range 2 {
				ft.apply(ctx, cg, version, op)
			}
		})
	}
	racers.Wait()
}

func (ft *fleet) apply(ctx context.Context, cg *changes, version uint64, op uint32) {
	cfg := proto.CloneOf(configuration())
	cfg.Version = version
	cfg.Services[0].RetryRatioPercent = op
	ctx, stop := context.WithTimeout(ctx, applyTimeout)
	defer stop()
	begun := time.Now()
	rs, err := ft.Client.Apply(ctx, cfg)
	now := time.Now()
	cg.mu.Lock()
	defer cg.mu.Unlock()
	switch {
	case err == nil:
		cg.accepted = append(cg.accepted, accepted{
			version: version, operator: op, revision: rs.GetRevision(), at: now, took: now.Sub(begun),
		})
	case errors.Is(err, operator.ErrUnknown) || errors.Is(err, operator.ErrUnavailable):
		cg.unsure++
	}
}

// watch records the revision of a node until ctx ends.
func (ft *fleet) watch(ctx context.Context, cg *changes, i int) {
	_, peers, _ := ft.Nodes[i].Addresses()
	client := schemaconnect.NewPeerClient(ft.Client.HTTP, "http://"+peers)
	for ctx.Err() == nil {
		rs, err := client.Status(ctx, connect.NewRequest(&schema.StatusRequest{}))
		if err == nil {
			cg.see(i, rs.Msg.GetRevision(), time.Now())
		}
		time.Sleep(watchInterval)
	}
}

func (cg *changes) see(i int, revision uint64, at time.Time) {
	cg.mu.Lock()
	defer cg.mu.Unlock()
	if last := len(cg.seen[i]) - 1; last < 0 || cg.seen[i][last].revision != revision {
		cg.seen[i] = append(cg.seen[i], sighting{revision, at})
	}
}

// failControls stops one control replica after the other, each time for the
// length of an outage, until the given time.
func (ft *fleet) failControls(end time.Time) error {
	for i := 0; ; i = (i + 1) % changeControls {
		time.Sleep(outage)
		if !time.Now().Add(outage).Before(end) {
			return nil
		}
		ft.StopControl(i)
		time.Sleep(outage)
		if err := ft.StartControl(i); err != nil {
			return errors.Wrapf(err, "start control replica %d again", i+1)
		}
	}
}
