package measure

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/lab/deployment"
	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
)

// The scenario spread measures how the cost of the control plane depends on the number of
// nodes. Real nodes and control replicas run in this process, each node with an announced
// stand-in upstream, without requests.
const (
	spreadScenario = "spread"
	spreadControls = 3
	spreadServices = 28
	spreadKinds    = 10
	spreadDrains   = 3
	// designNodes and designChangesPerDay are the size of deployment that the system is
	// designed for.
	designNodes         = 1100
	designChangesPerDay = 3000

	spreadMinSeconds = 30
	spreadMinChanges = 4
	// spreadOverheadSeconds is the time that a run takes without settling and without
	// changes beyond spreadMinChanges.
	spreadOverheadSeconds = 33
	spreadReadyTimeout    = 30 * time.Second

	// Timeouts of one change and of the drains, and the intervals at which nodes are polled.
	inForceTimeout = 5 * time.Second
	drainTimeout   = 2 * time.Second
	inForcePoll    = 2 * time.Millisecond
	drainPoll      = 20 * time.Millisecond
)

var (
	spreadCounts = []int{50, 100, 200}
	// spreadSettleShares divides the time for settling among the numbers of nodes.
	spreadSettleShares = []float64{0.1, 0.2, 0.7}

	spreadDomains = []string{"milano-nord", "milano-sud", "torino", "roma-est", "roma-ovest"}
	// spreadRegions holds the regions of spreadDomains.
	spreadRegions = []string{"nord", "nord", "nord", "centro", "centro"}
)

// ErrSpreadTooShort is returned when Options.Seconds is too short for all numbers of
// nodes.
var ErrSpreadTooShort = errors.Errorf("measure: spread needs %d seconds or more", spreadMinSeconds)

// spreadTimes divides the time of a run. idle is the duration of the measurement without
// changes.
type spreadTimes struct {
	idle, changeInterval time.Duration
	// changes is the number of changes for each number of nodes.
	changes int
	// settle is the wait, for each number of nodes, until the gossip about the new nodes has
	// ended.
	settle []time.Duration
}

// newSpreadTimes uses 3/5 of the time beyond the overhead for settling, and the rest for
// changes beyond spreadMinChanges.
func newSpreadTimes(seconds int) spreadTimes {
	available := time.Duration(max(0, seconds-spreadOverheadSeconds)) * time.Second
	settle := available * 3 / 5
	times := spreadTimes{idle: 1200 * time.Millisecond, changeInterval: 800 * time.Millisecond, changes: spreadMinChanges}
	times.changes += int((available - settle) / (times.changeInterval * time.Duration(len(spreadCounts))))
	for _, share := range spreadSettleShares {
		times.settle = append(times.settle, time.Duration(share*float64(settle)))
	}
	return times
}

// spread is a deployment whose number of nodes grows, without requests.
type spread struct {
	*deployment.Deployment
	folder  string
	traffic controlTraffic
	version uint64
}

// runSpread measures the control replicas without nodes, and then adds nodes up to each
// of spreadCounts and measures again. It writes a line for each number of nodes, and a
// last one with the regression lines through them.
func runSpread(ctx context.Context, opt Options, w io.Writer) error {
	if opt.Seconds < spreadMinSeconds {
		return ErrSpreadTooShort
	}
	sp, err := startSpread(ctx, opt.Seed)
	if err != nil {
		return err
	}
	err = sp.measureAll(ctx, newSpreadTimes(opt.Seconds), json.NewEncoder(w))
	if stopped := sp.stop(); err == nil {
		err = stopped
	}
	return err
}

// measureAll runs the measurements and writes their figures to out.
func (sp *spread) measureAll(ctx context.Context, times spreadTimes, out *json.Encoder) error {
	controls, err := sp.measureControlsIdle(ctx, times)
	if err != nil {
		return err
	}
	var all []SpreadFigures
	for i, nodes := range spreadCounts {
		begun := time.Now()
		if err := sp.Add(spreadVMs(len(sp.Nodes), nodes)); err != nil {
			return err
		}
		if err := sp.applyAndWait(ctx); err != nil {
			return err
		}
		joined := time.Since(begun)
		time.Sleep(times.settle[i])
		sa, err := sp.measure(ctx, times)
		if err != nil {
			return err
		}
		fg := sa.figures(nodes, controls)
		fg.JoinMS = milliseconds(joined)
		if err := out.Encode(fg); err != nil {
			return errors.Wrap(err, "write figures")
		}
		all = append(all, fg)
	}
	return errors.Wrap(out.Encode(fitSpread(all)), "write figures")
}

// measureControlsIdle measures the control replicas without nodes and without changes.
func (sp *spread) measureControlsIdle(ctx context.Context, times spreadTimes) (idleUse, error) {
	if err := sp.applyAndWait(ctx); err != nil {
		return idleUse{}, err
	}
	return sp.measureIdle(times), ctx.Err()
}

// startSpread starts a deployment of control replicas only.
func startSpread(ctx context.Context, seed uint64) (*spread, error) {
	folder, err := os.MkdirTemp("", "camphortrail-spread-")
	if err != nil {
		return nil, errors.Wrap(err, "start spread")
	}
	sp := &spread{folder: folder}
	sp.Deployment, err = deployment.Start(ctx, deployment.Options{
		Name: deploymentName, Folder: folder, ControlReplicaCount: spreadControls, Seed: seed, Sockets: sp.traffic.sockets(),
	})
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	return sp, nil
}

// stop stops all processes and removes the data folder.
func (sp *spread) stop() error {
	sp.Stop()
	err := sp.Err()
	if removal := os.RemoveAll(sp.folder); err == nil {
		err = removal
	}
	return errors.Wrap(err, "stop spread")
}

// applyAndWait applies the next version and waits until every node has it and knows the
// upstreams of all other nodes.
func (sp *spread) applyAndWait(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, spreadReadyTimeout)
	defer stop()
	revision, err := sp.apply(ctx)
	if err != nil {
		return err
	}
	_, late := waitAll(ctx, sp.Nodes, time.Now(), spreadReadyTimeout, drainPoll, func(nd *node.Node) bool {
		return nd.Ready(revision, len(sp.Nodes)-1)
	})
	if late > 0 {
		return errors.Wrapf(ErrNotReady, "%d of %d nodes", late, len(sp.Nodes))
	}
	return nil
}

// apply applies the next version and returns its revision.
func (sp *spread) apply(ctx context.Context) (revision uint64, err error) {
	sp.version++
	rs, err := sp.Client.Apply(ctx, spreadConfiguration(sp.version))
	return rs.GetRevision(), err
}

// spreadVMs returns the VMs with the numbers from first to last-1.
func spreadVMs(first, last int) []deployment.VMOptions {
	var options []deployment.VMOptions
	for i := first; i < last; i++ {
		options = append(options, deployment.VMOptions{
			Name: call.VM(fmt.Sprintf("vm-%04d", i)), Domain: call.FailureDomain(spreadDomains[i%len(spreadDomains)]),
			Upstream: standin.UpstreamOptions{Service: spreadService(i % spreadServices), Slots: 32, Connections: 1000},
		})
	}
	return options
}

// spreadService returns the name of service i.
func spreadService(i int) call.Service { return call.Service(fmt.Sprintf("service-%02d", i)) }

// spreadConfiguration returns a configuration of the size that the system is designed
// for. Consecutive versions differ in one number of each service.
func spreadConfiguration(version uint64) *schema.Configuration {
	cfg := &schema.Configuration{Deployment: deploymentName, Version: version}
	for i, name := range spreadDomains {
		cfg.FailureDomains = append(cfg.FailureDomains, &schema.FailureDomain{Name: name, Region: spreadRegions[i]})
	}
	for importance := range uint32(7) {
		cfg.Classes = append(cfg.Classes, &schema.Class{Name: fmt.Sprintf("class-%d", importance+1), Importance: importance + 1})
	}
	for i := range spreadServices {
		sv := &schema.Service{
			Name: string(spreadService(i)), RetryRatioPercent: 10 + uint32(version%2),
			MaxRequestBytes: 1 << 20, MaxAnswerBytes: 1 << 20, KeyRetentionS: 60,
		}
		for j := range spreadKinds {
			sv.Requests = append(sv.Requests, &schema.RequestKind{
				Name: fmt.Sprintf("kind-%d", j), Method: "GET", PathPrefix: fmt.Sprintf("/%s/kind-%d", sv.GetName(), j),
				Class: cfg.GetClasses()[j%len(cfg.GetClasses())].GetName(), Idempotent: true, DeadlineMs: 1000, RetryTotal: 3,
			})
		}
		cfg.Services = append(cfg.Services, sv)
	}
	return cfg
}
