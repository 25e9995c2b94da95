package soak

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"camphortrail/platform/document"
)

var (
	cutSeeds = flag.Int("cut-seeds", 1, "number of seeds of TestZoneCutWhileTheConfigurationChanges")
	cutFirst = flag.Uint64("cut-first", 1, "first seed of TestZoneCutWhileTheConfigurationChanges")
)

const (
	cutTime   = 5 * time.Second
	changeGap = 300 * time.Millisecond
	readGap   = 50 * time.Millisecond
)

// cutTest is one seed of TestZoneCutWhileTheConfigurationChanges.
type cutTest struct {
	*testing.T
	fl *Fleet
	// version is the newest version that was sent.
	version Version

	mu sync.Mutex
	// acks holds the moment of the ack of each version.
	acks map[Version]Moment
}

// TestZoneCutWhileTheConfigurationChanges cuts a failure domain off, both ways or one way, while the
// configuration changes. No replica may answer with a version that is older than one acknowledged
// ConfigApply before; changes must go on during the cut; and after it every replica must have the
// newest version, and every node its route. A node that is cut off both ways must not have it before.
func TestZoneCutWhileTheConfigurationChanges(t *testing.T) {
	for i := range *cutSeeds {
		seed := Seed(*cutFirst) + Seed(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			fl := newProcessFleet(t, seed, 1, Options.WithProxy)
			ct := &cutTest{T: t, fl: fl, acks: make(map[Version]Moment)}
			ct.run(seed)
		})
	}
}

// run plays one cut.
func (ct *cutTest) run(seed Seed) {
	fleetCtx, stopFleet := context.WithCancel(ct.Context())
	defer stopFleet()
	if err := ct.fl.startServing(fleetCtx); err != nil {
		ct.Fatal(err)
	}
	ct.version = 1
	readCtx, stopReads := context.WithCancel(fleetCtx)
	var reads sync.WaitGroup
	for _, ma := range ct.fl.Controls {
		reads.Go(func() { ct.readAll(readCtx, ma) })
	}
	defer reads.Wait()
	defer stopReads()
	rng := seed.Rand("cut")
	inside, outside := ct.fl.Zone(failureDomains[rng.IntN(len(failureDomains))])
	links := LinksBetween(inside, outside, true)
	switch rng.IntN(3) {
	case 0:
		links = LinksBetween(inside, outside, false)
	case 1:
		links = LinksBetween(outside, inside, false)
	}
	ct.changeFor(2 * time.Second)
	ct.fl.Proxy.Set(Condition{Cut: true}, links...)
	before := ct.version
	ct.changeFor(cutTime)
	if ct.version < before+2 {
		ct.Errorf("%d changes during the cut", ct.version-before)
	}
	for _, ma := range inside {
		if ma.Kind == NodeMachine && len(links) == 2*len(inside)*len(outside) && ct.probe(fleetCtx, ma) == http.StatusOK {
			ct.Errorf("%s has the newest route while it is cut off both ways", ma.Name)
		}
	}
	ct.fl.Proxy.Heal()
	ct.changeFor(2 * time.Second)
	if err := pause(fleetCtx, ContactWindow+ConfigApply); err != nil {
		ct.Fatal(err)
	}
	for _, ma := range ct.fl.Controls {
		if _, got, err := readConfiguration(fleetCtx, ma); got != ct.version {
			ct.Errorf("%s answers version %d after the cut, %v, want %d", ma.Name, got, err, ct.version)
		}
	}
	for _, ma := range ct.fl.Nodes {
		if status := ct.probe(fleetCtx, ma); status != http.StatusOK {
			ct.Errorf("%s answers %d for the newest route after the cut", ma.Name, status)
		}
	}
	for _, fi := range ct.fl.checkOwnEnds() {
		ct.Errorf("%s: %s", fi.Rule, fi.Text)
	}
	ct.Logf("version %d, %d links cut, %s inside", ct.version, len(links), inside[0].Zone)
}

// changeFor changes the configuration for a time. Each change adds a route that no other has.
func (ct *cutTest) changeFor(length time.Duration) {
	ct.Helper()
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(changeGap) {
		co := ct.fl.FirstConfiguration()
		co.Version, co.BaseVersion = ct.version+1, ct.version
		ro := newRoute(Safe, ct.fl.opt.Services[0].Name, 2)
		ro.Prefix = newestPrefix(co.Version)
		co.Resources = append(co.Resources, document.NewRoute(fmt.Sprintf("newest-%d", co.Version), ro))
		ctx, stop := context.WithTimeout(ct.Context(), RecoveryTime)
		err := ct.fl.Apply(ctx, co)
		stop()
		if err != nil {
			ct.Fatal(err)
		}
		ct.version = co.Version
		ct.mu.Lock()
		ct.acks[co.Version] = ct.fl.Recorder.Now()
		ct.mu.Unlock()
	}
}

func newestPrefix(ve Version) string { return fmt.Sprintf("/newest-%d/", ve) }

// readAll reads the configuration from a replica again and again.
func (ct *cutTest) readAll(ctx context.Context, ma *Machine) {
	for pause(ctx, readGap) == nil {
		sent := ct.fl.Recorder.Now()
		_, got, err := readConfiguration(ctx, ma)
		if err != nil {
			continue
		}
		ct.mu.Lock()
		for ve, at := range ct.acks {
			if got < ve && sent.Sub(at) > ConfigApply {
				ct.Errorf("%s answers version %d, %v after the ack of %d", ma.Name, got, sent.Sub(at), ve)
			}
		}
		ct.mu.Unlock()
	}
}

// probe sends a request for the newest route to a node and returns the status, or 0.
func (ct *cutTest) probe(ctx context.Context, ma *Machine) int {
	ctx, stop := context.WithTimeout(ctx, 5*time.Second)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ma.CallerAddress()+newestPrefix(ct.version), nil)
	if err != nil {
		ct.Error(err)
		return 0
	}
	rq.Host = routeHost
	rq.Header.Set(requestIDHeader, "probe-"+string(ma.Name))
	res, err := client.Do(rq)
	if err != nil {
		return 0
	}
	_ = res.Body.Close()
	return res.StatusCode
}
