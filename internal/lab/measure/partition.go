package measure

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/internal/lab/deployment"
	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
)

const (
	partitionScenario = "partition"
	// cutDomain is the failure domain that is cut off, without the control
	// replica.
	cutDomain = "bergamo"
	// cutShare is the part of the run during which the domain is cut off.
	cutShare = 0.4
	// partitionRate is the rate of each stream of callers, in roots a second.
	partitionRate   = 40
	convergePoll    = 5 * time.Millisecond
	convergeTimeout = 10 * time.Second
	// cutSettle is left out of the counting after the cut: attempts that
	// were across it end within this time.
	cutSettle = time.Second
)

// PartitionFigures are the figures of the scenario partition.
type PartitionFigures struct {
	Scenario string `json:"scenario"`
	Arm      string `json:"arm"`
	// ServedRatio is the share of the idempotent requests sent inside, from
	// one second after the cut until it heals, that were answered whole.
	ServedRatio float64 `json:"served-ratio"`
	// ServedRatioFirstSecond is the same share in the first second.
	ServedRatioFirstSecond float64 `json:"served-ratio-first-second"`
	// KeyedDuringPartition counts non-idempotent requests with a key that ran for
	// callers inside during the cut.
	KeyedDuringPartition int `json:"keyed-done-inside"`
	// ConvergeMS is the time after healing until all nodes have the revision
	// applied meanwhile and route to all upstreams; -1 if they do not.
	ConvergeMS       int64 `json:"converge-ms"`
	DuplicateEffects int   `json:"duplicate-effects"`
	MixedAnswers     int   `json:"mixed-answers"`
	FalseNotRun      int   `json:"false-not-run"`
}

// partitionTimes are the moments of the scenario.
type partitionTimes struct{ start, cut, heal, end time.Time }

func newPartitionTimes(start time.Time, total time.Duration) partitionTimes {
	total -= startupTime
	cut := start.Add(time.Duration(float64(total) * (1 - cutShare) / 2))
	heal := cut.Add(time.Duration(float64(total) * cutShare))
	return partitionTimes{start: start, cut: cut, heal: heal, end: start.Add(total)}
}

// runPartition cuts a failure domain off, applies a configuration on the other
// side, heals the cut and writes the figures.
func runPartition(ctx context.Context, opt Options, w io.Writer) error {
	folder, err := os.MkdirTemp("", "camphortrail-measure-")
	if err != nil {
		return errors.Wrap(err, "partition")
	}
	defer os.RemoveAll(folder)
	rec := standin.NewRecorder()
	dp, err := deployment.Start(ctx, deployment.Options{
		Name: deploymentName, Folder: folder, ControlReplicas: 1, VMs: partitionPlaces(rec), Seed: opt.Seed, PartitionDomain: cutDomain,
	})
	if err != nil {
		return err
	}
	defer dp.Stop()
	if _, err := applyPartition(ctx, dp, 1); err != nil {
		return err
	}
	times := newPartitionTimes(time.Now(), time.Duration(opt.Seconds)*time.Second)
	var callers sync.WaitGroup
	callers.Go(func() { callPartition(ctx, dp, rec, opt.Seed, times) })
	converged, err := disturbPartition(ctx, dp, times)
	if err != nil {
		return err
	}
	callers.Wait()
	lg := rec.Log()
	fg := partitionFigures(&lg, times)
	fg.ConvergeMS = converged
	return errors.Wrap(json.NewEncoder(w).Encode(fg), "write figures")
}

// partitionPlaces puts one VM of each service into each failure domain.
func partitionPlaces(rec *standin.Recorder) []deployment.VMOptions {
	var places []deployment.VMOptions
	for _, vm := range vms() {
		vm.Recorder = rec
		fd := call.FailureDomain(domain)
		if strings.HasSuffix(vm.VM, "-2") {
			fd = cutDomain
		}
		places = append(places, deployment.VMOptions{Name: call.VM(vm.VM), Domain: fd, Upstream: vm})
	}
	return places
}

// applyPartition applies a version and, for the first one, waits until it is in
// force everywhere.
func applyPartition(ctx context.Context, dp *deployment.Deployment, version uint64) (revision uint64, err error) {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	cfg := proto.CloneOf(configuration())
	cfg.Version = version
	cfg.FailureDomains = append(cfg.FailureDomains, &schema.FailureDomain{Name: cutDomain, Region: deploymentName})
	rs, err := dp.Client.Apply(ctx, cfg)
	if err != nil || version > 1 {
		return rs.GetRevision(), err
	}
	return rs.GetRevision(), dp.WaitReady(ctx, rs.GetRevision())
}

// disturbPartition cuts, applies and heals, and returns the time until all
// nodes have converged, in milliseconds, or -1.
func disturbPartition(ctx context.Context, dp *deployment.Deployment, times partitionTimes) (int64, error) {
	time.Sleep(time.Until(times.cut))
	dp.SetPartitioned(true)
	time.Sleep(cutSettle)
	revision, err := applyPartition(ctx, dp, 2)
	if err != nil {
		return 0, err
	}
	time.Sleep(time.Until(times.heal))
	dp.SetPartitioned(false)
	healed := time.Now()
	for time.Since(healed) < convergeTimeout {
		if converged(dp, revision) {
			return time.Since(healed).Milliseconds(), nil
		}
		time.Sleep(convergePoll)
	}
	return -1, nil
}

// converged reports whether all nodes have the revision and route to all
// upstreams.
func converged(dp *deployment.Deployment, revision uint64) bool {
	for _, nd := range dp.Nodes {
		if !nd.Ready(revision, len(dp.Nodes)) {
			return false
		}
	}
	return true
}

// callPartition sends lookups and keyed issues to the nodes inside, and keyed
// issues to all nodes.
func callPartition(ctx context.Context, dp *deployment.Deployment, rec *standin.Recorder, seed uint64, times partitionTimes) {
	client := standin.NewClient()
	defer client.Transport.(*http.Transport).CloseIdleConnections()
	all := dp.CallerURLs()
	var inside []string
	for i, pl := range partitionPlaces(nil) {
		if pl.Domain == cutDomain {
			inside = append(inside, all[i])
		}
	}
	var callers sync.WaitGroup
	for i, sm := range []struct {
		pattern standin.Pattern
		targets []string
	}{{lookup, inside}, {issue, inside}, {issue, all}} {
		cr := standin.NewCaller(standin.CallerOptions{
			Pattern: sm.pattern, Phases: []standin.Phase{{Length: times.end.Sub(times.start), Rate: partitionRate}},
			Targets: sm.targets, SendTimeout: sendTimeout, RootTimeout: patience, Resends: resends, MaxBackoff: resendPause,
			MaxOutstanding: outstanding, Seed: seed + uint64(i), FirstRoot: standin.RootID(i+1) * rootsPerStream,
			Recorder: rec, Client: client,
		})
		callers.Go(func() { cr.Run(ctx) })
	}
	callers.Wait()
}

// partitionFigures counts what the stand-ins recorded.
func partitionFigures(lg *standin.Log, times partitionTimes) PartitionFigures {
	fg := PartitionFigures{
		Scenario: partitionScenario, Arm: "policy", DuplicateEffects: duplicateEffects(lg),
		MixedAnswers: mixedAnswers(lg), FalseNotRun: falseNotRun(lg),
	}
	settled := times.cut.Add(cutSettle)
	fg.ServedRatioFirstSecond = servedShare(lg, times.cut, settled)
	fg.ServedRatio = servedShare(lg, settled, times.heal)
	for _, rt := range lg.Roots {
		// The second stream is the keyed one inside.
		if rt.Succeeded && rt.ID/rootsPerStream == 2 && within(rt.Ended, settled, times.heal) {
			fg.KeyedDuringPartition++
		}
	}
	return fg
}

// servedShare returns the share of lookups that arrived in a time and were
// answered whole.
func servedShare(lg *standin.Log, begin, end time.Time) float64 {
	arrived, whole := 0, 0
	for _, rt := range lg.Roots {
		if rt.Class != lookup.Class || !within(rt.Arrived, begin, end) {
			continue
		}
		arrived++
		if rt.Succeeded {
			whole++
		}
	}
	if arrived == 0 {
		return 0
	}
	return round(float64(whole) / float64(arrived))
}
