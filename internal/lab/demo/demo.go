// Package demo runs an example deployment with real requests and checks the recorded
// results.
package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/examples"
	"camphortrail/internal/lab/deployment"
	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
)

// ErrFailed is returned when a check of the demonstration fails.
var ErrFailed = errors.New("demo: a check did not hold")

const (
	exampleFolder  = "lombardy"
	frontService   = "sportello"
	readyTimeout   = 10 * time.Second
	callerDuration = 4 * time.Second
	sendTimeout    = 3 * time.Second
	rootTimeout    = 5 * time.Second
	slots          = 20
	serviceTime    = 2 * time.Millisecond
	seed           = 1
)

// Totals is the last line that the demonstration prints: sends by outcome, and the
// revision in force.
type Totals struct {
	Requests int    `json:"requests"`
	Done     int    `json:"done"`
	NotRun   int    `json:"not-run"`
	Unknown  int    `json:"unknown"`
	Revision uint64 `json:"revision"`
}

// Run runs the demonstration and writes a table and the totals to w. It returns ErrFailed
// if a check of report fails, a process ended, or the restarted control replica has
// another revision.
func Run(ctx context.Context, w io.Writer) error {
	folder, err := os.MkdirTemp("", "camphortrail-demo-")
	if err != nil {
		return errors.Wrap(err, "demo")
	}
	defer os.RemoveAll(folder)
	if err := unpack(folder); err != nil {
		return err
	}
	cfg, err := config.Load(filepath.Join(folder, exampleFolder, "configuration"))
	if err != nil {
		return err
	}
	rec := standin.NewRecorder()
	dp, err := deployment.Start(ctx, deployment.Options{
		Name: call.Deployment(cfg.GetDeployment()), Folder: filepath.Join(folder, "data"), ControlReplicaCount: 1,
		VMs: vmOptions(cfg, rec), Seed: seed,
	})
	if err != nil {
		return err
	}
	defer dp.Stop()
	fmt.Fprintf(w, "deployment %s: 1 control replica, %d nodes in 2 failure domains\n", cfg.GetDeployment(), len(dp.Nodes))
	revision, err := apply(ctx, dp, cfg)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "version %d is in force everywhere as revision %d\n", cfg.GetVersion(), revision)
	send(ctx, dp, cfg, rec)
	after, err := restartControl(ctx, dp)
	if err != nil {
		return err
	}
	fmt.Fprintf(w, "control replica started again on its data folder: revision %d\n\n", after)
	totals, ok := report(w, cfg, rec.Log())
	totals.Revision = after
	if err := json.NewEncoder(w).Encode(totals); err != nil {
		return errors.Wrap(err, "demo")
	}
	if !ok || after != revision || dp.Err() != nil {
		return errors.Wrapf(ErrFailed, "revision %d before and %d after; process error %v", revision, after, dp.Err())
	}
	return nil
}

// unpack writes the embedded example to a folder, as config.Load reads files.
func unpack(folder string) error {
	return errors.Wrap(fs.WalkDir(examples.Files, exampleFolder, func(path string, en fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if en.IsDir() {
			return os.MkdirAll(filepath.Join(folder, path), 0o755)
		}
		content, err := examples.Files.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(folder, path), content, 0o644)
	}), "demo")
}

// vmOptions returns one upstream of each service in each of two failure domains.
func vmOptions(cfg *schema.Configuration, rec *standin.Recorder) []deployment.VMOptions {
	var all []deployment.VMOptions
	for _, fd := range cfg.GetFailureDomains()[:2] {
		for _, svc := range cfg.GetServices() {
			all = append(all, deployment.VMOptions{
				Name:   call.VM(fd.GetName() + "-" + svc.GetName() + "-1"),
				Domain: call.FailureDomain(fd.GetName()),
				Upstream: standin.UpstreamOptions{
					Service: call.Service(svc.GetName()), Slots: slots, Connections: 300,
					ServiceTime: serviceTime, Calls: calls, Recorder: rec,
				},
			})
		}
	}
	return all
}

// calls are the calls that the upstreams make to each other.
var calls = []standin.Call{
	{Method: "GET", From: "/sportello/tags", To: "/emissione/tags"},
	{Method: "GET", From: "/emissione/tags", To: "/planimetrie/places"},
	{Method: "GET", From: "/planimetrie/places", To: "/cassa/payments"},
	{Method: "POST", From: "/sportello/tags", To: "/emissione/tags"},
	{Method: "POST", From: "/emissione/tags", To: "/cassa/charges"},
	{Method: "POST", From: "/sportello/cancellations", To: "/emissione/cancellations"},
	{Method: "POST", From: "/emissione/cancellations", To: "/cassa/refunds"},
	{Method: "GET", From: "/sportello/tag-lists", To: "/emissione/tag-lists"},
	{Method: "GET", From: "/emissione/tag-lists", To: "/cassa/payment-lists"},
	{Method: "PUT", From: "/sportello/plans", To: "/planimetrie/plans"},
}

// apply applies the configuration and waits until it is in force everywhere.
func apply(ctx context.Context, dp *deployment.Deployment, cfg *schema.Configuration) (uint64, error) {
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	rs, err := dp.Client.Apply(ctx, cfg)
	if err != nil {
		return 0, err
	}
	return rs.GetRevision(), dp.WaitReady(ctx, rs.GetRevision())
}

// send runs a caller for each kind of request of the first service and waits for all of
// them.
func send(ctx context.Context, dp *deployment.Deployment, cfg *schema.Configuration, rec *standin.Recorder) {
	client := standin.NewClient()
	defer client.CloseIdleConnections()
	done := make(chan struct{})
	kinds := frontKinds(cfg)
	for i, kind := range kinds {
		cr := standin.NewCaller(standin.CallerOptions{
			Pattern:     pattern(cfg, kind),
			Phases:      []standin.Phase{{Length: callerDuration, Rate: 40}},
			Targets:     dp.CallerURLs(),
			SendTimeout: sendTimeout, RootTimeout: rootTimeout, Resends: 1, MaxBackoff: 100 * time.Millisecond,
			HonourRetryAfter: true, MaxOutstanding: 200, Seed: seed + uint64(i),
			FirstRoot: standin.RootID(1 + i*1_000_000), Recorder: rec, Client: client,
		})
		go func() {
			cr.Run(ctx)
			done <- struct{}{}
		}()
	}
	for range kinds {
		<-done
	}
}

// frontKinds returns the kinds of request of the service that callers use.
func frontKinds(cfg *schema.Configuration) []*schema.RequestKind {
	for _, svc := range cfg.GetServices() {
		if svc.GetName() == frontService {
			return svc.GetRequests()
		}
	}
	return nil
}

// pattern returns the requests that a caller sends for a kind of request.
func pattern(cfg *schema.Configuration, kind *schema.RequestKind) standin.Pattern {
	pt := standin.Pattern{
		Class: call.Class(kind.GetClass()), Method: kind.GetMethod(), Path: kind.GetPathPrefix(),
		Keyed: kind.GetKeyRequired(),
	}
	if kind.GetMethod() != "GET" {
		pt.BodyBytes = 2000
	}
	for _, cl := range cfg.GetClasses() {
		if cl.GetName() == kind.GetClass() {
			pt.Importance = call.Importance(cl.GetImportance())
		}
	}
	return pt
}

// restartControl stops the control replica, starts it again on its data folder and
// returns the revision that it then has.
func restartControl(ctx context.Context, dp *deployment.Deployment) (uint64, error) {
	dp.StopControl(0)
	if err := dp.StartControl(0); err != nil {
		return 0, err
	}
	ctx, stop := context.WithTimeout(ctx, readyTimeout)
	defer stop()
	return dp.Client.Revision(ctx)
}

// report writes a line for each class. It returns the totals and whether all checks
// passed: each class has complete answers, no answer was partial or belonged to another
// request, and no idempotency key ran twice on a service.
func report(w io.Writer, cfg *schema.Configuration, lg standin.Log) (Totals, bool) {
	var totals Totals
	ok := true
	tw := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	fmt.Fprintln(tw, "CLASS\tREQUESTS\tWHOLE\tSENDS\tDONE\tNOT-RUN\tUNKNOWN\tFOREIGN OR PARTIAL")
	for _, cl := range cfg.GetClasses() {
		ct := count(lg, call.Class(cl.GetName()))
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", cl.GetName(), ct.roots, ct.succeeded, ct.sends,
			ct.outcomes[call.Done], ct.outcomes[call.NotRun], ct.outcomes[call.Unknown], ct.wrongAnswers)
		totals.Requests += ct.sends
		totals.Done += ct.outcomes[call.Done]
		totals.NotRun += ct.outcomes[call.NotRun]
		totals.Unknown += ct.outcomes[call.Unknown]
		ok = ok && ct.succeeded > 0 && ct.outcomes[call.Done] > 0 && ct.wrongAnswers == 0
	}
	tw.Flush()
	if duplicates := duplicateEffects(lg); duplicates > 0 {
		fmt.Fprintf(w, "idempotency keys that ran twice on one service: %d\n", duplicates)
		ok = false
	}
	fmt.Fprintln(w)
	return totals, ok
}

// counts holds the numbers of one class.
type counts struct {
	roots, succeeded, sends, wrongAnswers int
	outcomes                              map[call.Outcome]int
}

// count returns the numbers of a class.
func count(lg standin.Log, class call.Class) counts {
	ct := counts{outcomes: make(map[call.Outcome]int)}
	for _, rt := range lg.Roots {
		if rt.Class == class {
			ct.roots++
			if rt.Succeeded {
				ct.succeeded++
			}
		}
	}
	for _, sd := range lg.Sends {
		if sd.Class != class {
			continue
		}
		ct.sends++
		ct.outcomes[sd.Outcome]++
		if sd.Verdict == standin.Partial || sd.Verdict == standin.Foreign {
			ct.wrongAnswers++
		}
	}
	return ct
}

// duplicateEffects returns the number of idempotency keys that ran more than once
// on one service.
func duplicateEffects(lg standin.Log) int {
	type effect struct {
		service call.Service
		key     string
	}
	runs := make(map[effect]int)
	duplicates := 0
	for _, rn := range lg.Runs {
		if rn.Key == "" || rn.Idempotent {
			continue
		}
		ef := effect{rn.Service, rn.Key}
		if runs[ef]++; runs[ef] == 2 {
			duplicates++
		}
	}
	return duplicates
}
