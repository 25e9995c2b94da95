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

// The scenario spread measures the control plane over the number of nodes:
// real nodes and control replicas in this process, each node with an announced
// stand-in upstream, without requests.
const (
	spreadScenario = "spread"
	spreadControls = 3
	spreadServices = 28
	spreadKinds    = 10
	spreadDrains   = 3
	// designNodes and designChangesPerDay are the size to design for.
	designNodes         = 1100
	designChangesPerDay = 3000

	spreadMinSeconds = 30
	spreadMinChanges = 4
	// spreadOverheadSeconds is the time beside settling and further changes.
	spreadOverheadSeconds = 33
	spreadReadyTimeout    = 30 * time.Second

	// Bounds of the wait for one change and for the drains.
	inForceTimeout = 5 * time.Second
	drainTimeout   = 2 * time.Second
	inForcePoll    = 2 * time.Millisecond
	drainPoll      = 20 * time.Millisecond
)

var (
	spreadCounts = []int{50, 100, 200}
	// spreadSettleShares divide the time for settling over the counts.
	spreadSettleShares = []float64{0.1, 0.2, 0.7}

	spreadDomains = []string{"milano-nord", "milano-sud", "torino", "roma-est", "roma-ovest"}
	// spreadRegions are the regions of the failure domains.
	spreadRegions = []string{"nord", "nord", "nord", "centro", "centro"}
)

// ErrSpreadTooShort is returned when the time does not suffice for all counts.
var ErrSpreadTooShort = errors.Errorf("measure: spread needs %d seconds or more", spreadMinSeconds)

// spreadTimes divides the time of a run.
type spreadTimes struct {
	rest, changeInterval time.Duration
	// changes is the number of changes for each count.
	changes int
	// settle is the time for the gossip of a start to end, for each count.
	settle []time.Duration
}

// newSpreadTimes gives 3/5 of what is left beside the overhead to settling, and
// the rest to changes beyond the least number.
func newSpreadTimes(seconds int) spreadTimes {
	pool := time.Duration(max(0, seconds-spreadOverheadSeconds)) * time.Second
	settle := pool * 3 / 5
	times := spreadTimes{rest: 1200 * time.Millisecond, changeInterval: 800 * time.Millisecond, changes: spreadMinChanges}
	times.changes += int((pool - settle) / (times.changeInterval * time.Duration(len(spreadCounts))))
	for _, share := range spreadSettleShares {
		times.settle = append(times.settle, time.Duration(share*float64(settle)))
	}
	return times
}

// spread is a deployment of some nodes without requests.
type spread struct {
	*deployment.Deployment
	folder  string
	traffic traffic
	version uint64
}

// runSpread measures the control replicas alone, and then adds nodes up to
// each count. It writes a line for each count, and a last one with the lines
// through them.
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

func (sp *spread) measureAll(ctx context.Context, times spreadTimes, out *json.Encoder) error {
	alone, err := sp.measureAlone(ctx, times)
	if err != nil {
		return err
	}
	var all []SpreadFigures
	for i, nodes := range spreadCounts {
		begun := time.Now()
		if err := sp.Add(spreadPlaces(len(sp.Nodes), nodes)); err != nil {
			return err
		}
		if err := sp.ready(ctx); err != nil {
			return err
		}
		joined := time.Since(begun)
		time.Sleep(times.settle[i])
		sa, err := sp.measure(ctx, times)
		if err != nil {
			return err
		}
		fg := sa.figures(nodes, alone)
		fg.JoinMS = milliseconds(joined)
		if err := out.Encode(fg); err != nil {
			return errors.Wrap(err, "write figures")
		}
		all = append(all, fg)
	}
	return errors.Wrap(out.Encode(fitSpread(all)), "write figures")
}

// measureAlone measures the control replicas at rest without nodes.
func (sp *spread) measureAlone(ctx context.Context, times spreadTimes) (spreadRest, error) {
	if err := sp.ready(ctx); err != nil {
		return spreadRest{}, err
	}
	return sp.atRest(times), ctx.Err()
}

func startSpread(ctx context.Context, seed uint64) (*spread, error) {
	folder, err := os.MkdirTemp("", "camphortrail-spread-")
	if err != nil {
		return nil, errors.Wrap(err, "start spread")
	}
	sp := &spread{folder: folder}
	sp.Deployment, err = deployment.Start(ctx, deployment.Options{
		Name: deploymentName, Folder: folder, ControlReplicas: spreadControls, Seed: seed, Sockets: sp.traffic.sockets(),
	})
	if err != nil {
		_ = os.RemoveAll(folder)
		return nil, err
	}
	return sp, nil
}

func (sp *spread) stop() error {
	sp.Stop()
	err := sp.Err()
	if removal := os.RemoveAll(sp.folder); err == nil {
		err = removal
	}
	return errors.Wrap(err, "stop spread")
}

// ready applies the next version and waits until every node has it and knows
// the upstreams of all other nodes.
func (sp *spread) ready(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, spreadReadyTimeout)
	defer stop()
	revision, err := sp.apply(ctx)
	if err != nil {
		return err
	}
	_, late := until(ctx, sp.Nodes, time.Now(), spreadReadyTimeout, drainPoll, func(nd *node.Node) bool {
		return nd.Ready(revision, len(sp.Nodes)-1)
	})
	if late > 0 {
		return errors.Wrapf(ErrNotReady, "%d of %d nodes", late, len(sp.Nodes))
	}
	return nil
}

// apply applies the next version.
func (sp *spread) apply(ctx context.Context) (revision uint64, err error) {
	sp.version++
	rs, err := sp.Client.Apply(ctx, spreadConfiguration(sp.version))
	return rs.GetRevision(), err
}

// spreadPlaces returns the places from number first to number last-1.
func spreadPlaces(first, last int) []deployment.VMOptions {
	var places []deployment.VMOptions
	for i := first; i < last; i++ {
		places = append(places, deployment.VMOptions{
			Name: call.VM(fmt.Sprintf("vm-%04d", i)), Domain: call.FailureDomain(spreadDomains[i%len(spreadDomains)]),
			Upstream: standin.UpstreamOptions{Service: spreadService(i % spreadServices), Slots: 32, Connections: 1000},
		})
	}
	return places
}

func spreadService(i int) call.Service { return call.Service(fmt.Sprintf("service-%02d", i)) }

// spreadConfiguration returns a configuration of the size to design for. The
// versions differ in one number.
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
