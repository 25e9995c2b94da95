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
	// partitionedDomain is the failure domain that is partitioned from the others. The
	// control replica is outside of it.
	partitionedDomain = "bergamo"
	// partitionShare is the part of the run that the partition lasts.
	partitionShare = 0.4
	// partitionRate is the mean rate of each caller in root requests per second.
	partitionRate   = 40
	convergePoll    = 5 * time.Millisecond
	convergeTimeout = 10 * time.Second
	// partitionSettleTime is the time after the start of the partition that ServedRatio
	// leaves out: attempts that were in flight across it end within this time.
	partitionSettleTime = time.Second
)

// PartitionFigures holds the results of the scenario partition.
type PartitionFigures struct {
	Scenario string `json:"scenario"`
	Arm      string `json:"arm"`
	// ServedRatio is the share of the lookups sent to the partitioned nodes, from one second
	// after the start of the partition until it heals, that were completed in time.
	ServedRatio float64 `json:"served-ratio"`
	// ServedRatioFirstSecond is the same share for the first second of the partition.
	ServedRatioFirstSecond float64 `json:"served-ratio-first-second"`
	// KeyedDuringPartition counts the non-idempotent requests with a key to the partitioned
	// nodes that were completed from one second after the start of the partition until it
	// heals.
	KeyedDuringPartition int `json:"keyed-done-inside"`
	// ConvergeMS is the time in milliseconds from the end of the partition until all nodes
	// have the revision that was applied during the partition and know all upstreams, or -1
	// if that takes longer than convergeTimeout.
	ConvergeMS       int64 `json:"converge-ms"`
	DuplicateEffects int   `json:"duplicate-effects"`
	MixedAnswers     int   `json:"mixed-answers"`
	FalseNotRun      int   `json:"false-not-run"`
}

// partitionTimes holds the times of the scenario: the partition lasts from partition to
// heal.
type partitionTimes struct{ start, partition, heal, end time.Time }

// newPartitionTimes places the partition in the middle of the total time, without
// startupTime.
func newPartitionTimes(start time.Time, total time.Duration) partitionTimes {
	total -= startupTime
	partition := start.Add(time.Duration(float64(total) * (1 - partitionShare) / 2))
	heal := partition.Add(time.Duration(float64(total) * partitionShare))
	return partitionTimes{start: start, partition: partition, heal: heal, end: start.Add(total)}
}

// runPartition partitions a failure domain, applies a configuration on the other side,
// heals the partition and writes the figures.
func runPartition(ctx context.Context, opt Options, w io.Writer) error {
	folder, err := os.MkdirTemp("", "camphortrail-measure-")
	if err != nil {
		return errors.Wrap(err, "partition")
	}
	defer os.RemoveAll(folder)
	rec := standin.NewRecorder()
	dp, err := deployment.Start(ctx, deployment.Options{
		Name: deploymentName, Folder: folder, ControlReplicaCount: 1, VMs: partitionVMs(rec), Seed: opt.Seed, PartitionDomain: partitionedDomain,
	})
	if err != nil {
		return err
	}
	defer dp.Stop()
	if _, err := applyPartitionVersion(ctx, dp, 1); err != nil {
		return err
	}
	times := newPartitionTimes(time.Now(), time.Duration(opt.Seconds)*time.Second)
	var callers sync.WaitGroup
	callers.Go(func() { runPartitionCallers(ctx, dp, rec, opt.Seed, times) })
	converged, err := partitionAndHeal(ctx, dp, times)
	if err != nil {
		return err
	}
	callers.Wait()
	lg := rec.Log()
	fg := partitionFigures(&lg, times)
	fg.ConvergeMS = converged
	return errors.Wrap(json.NewEncoder(w).Encode(fg), "write figures")
}

// partitionVMs returns one VM of each service in each failure domain.
func partitionVMs(rec *standin.Recorder) []deployment.VMOptions {
	var options []deployment.VMOptions
	for _, vm := range vms() {
		vm.Recorder = rec
		fd := call.FailureDomain(domain)
		if strings.HasSuffix(vm.VM, "-2") {
			fd = partitionedDomain
		}
		options = append(options, deployment.VMOptions{Name: call.VM(vm.VM), Domain: fd, Upstream: vm})
	}
	return options
}

// applyPartitionVersion applies a version. For version 1 it waits until it is in force on
// every node.
func applyPartitionVersion(ctx context.Context, dp *deployment.Deployment, version uint64) (revision uint64, err error) {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	cfg := proto.CloneOf(configuration())
	cfg.Version = version
	cfg.FailureDomains = append(cfg.FailureDomains, &schema.FailureDomain{Name: partitionedDomain, Region: deploymentName})
	rs, err := dp.Client.Apply(ctx, cfg)
	if err != nil || version > 1 {
		return rs.GetRevision(), err
	}
	return rs.GetRevision(), dp.WaitReady(ctx, rs.GetRevision())
}

// partitionAndHeal starts the partition, applies version 2 and heals the partition. It
// returns the time until all nodes have converged after that in milliseconds, or -1 after
// convergeTimeout.
func partitionAndHeal(ctx context.Context, dp *deployment.Deployment, times partitionTimes) (int64, error) {
	time.Sleep(time.Until(times.partition))
	dp.SetPartitioned(true)
	time.Sleep(partitionSettleTime)
	revision, err := applyPartitionVersion(ctx, dp, 2)
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

// converged reports whether all nodes have the revision and know all upstreams.
func converged(dp *deployment.Deployment, revision uint64) bool {
	for _, nd := range dp.Nodes {
		if !nd.Ready(revision, len(dp.Nodes)) {
			return false
		}
	}
	return true
}

// runPartitionCallers runs three callers: lookups and keyed issues to the partitioned
// nodes, and keyed issues to all nodes.
func runPartitionCallers(ctx context.Context, dp *deployment.Deployment, rec *standin.Recorder, seed uint64, times partitionTimes) {
	client := standin.NewClient()
	defer client.Transport.(*http.Transport).CloseIdleConnections()
	all := dp.CallerURLs()
	var inside []string
	for i, vo := range partitionVMs(nil) {
		if vo.Domain == partitionedDomain {
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
			Targets: sm.targets, SendTimeout: sendTimeout, RootTimeout: rootTimeout, Resends: resends, MaxBackoff: maxBackoff,
			MaxOutstanding: maxOutstanding, Seed: seed + uint64(i), FirstRoot: standin.RootID(i+1) * rootsPerStream,
			Recorder: rec, Client: client,
		})
		callers.Go(func() { cr.Run(ctx) })
	}
	callers.Wait()
}

// partitionFigures computes the figures from the records of the stand-ins, without
// ConvergeMS.
func partitionFigures(lg *standin.Log, times partitionTimes) PartitionFigures {
	fg := PartitionFigures{
		Scenario: partitionScenario, Arm: "policy", DuplicateEffects: duplicateEffects(lg),
		MixedAnswers: mixedAnswers(lg), FalseNotRun: falseNotRun(lg),
	}
	settled := times.partition.Add(partitionSettleTime)
	fg.ServedRatioFirstSecond = servedShare(lg, times.partition, settled)
	fg.ServedRatio = servedShare(lg, settled, times.heal)
	for _, rt := range lg.Roots {
		// Stream 2 sends keyed issues to the partitioned nodes.
		if rt.Succeeded && rt.ID/rootsPerStream == 2 && within(rt.Ended, settled, times.heal) {
			fg.KeyedDuringPartition++
		}
	}
	return fg
}

// servedShare returns the share of the lookups that arrived in a period which were
// completed in time.
func servedShare(lg *standin.Log, begin, end time.Time) float64 {
	arrived, succeeded := 0, 0
	for _, rt := range lg.Roots {
		if rt.Class != lookup.Class || !within(rt.Arrived, begin, end) {
			continue
		}
		arrived++
		if rt.Succeeded {
			succeeded++
		}
	}
	if arrived == 0 {
		return 0
	}
	return roundTo4(float64(succeeded) / float64(arrived))
}
