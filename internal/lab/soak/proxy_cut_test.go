package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"
)

var (
	cutSeeds = flag.Int("cut-seeds", 1, "number of seeds of TestZoneCutWhileTheConfigurationChanges")
	cutFirst = flag.Uint64("cut-first", 1, "first seed of TestZoneCutWhileTheConfigurationChanges")
)

const (
	cutTime       = 5 * time.Second
	changeGap     = 300 * time.Millisecond
	readGap       = 50 * time.Millisecond
	readTimeLimit = time.Second
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
// newest version, and every node its route.
func TestZoneCutWhileTheConfigurationChanges(t *testing.T) {
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	for i := range *cutSeeds {
		seed := Seed(*cutFirst) + Seed(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			folder, err := os.MkdirTemp("", "soak-cut-")
			if err != nil {
				t.Fatal(err)
			}
			opt := Options{Seed: seed, Program: program, Folder: folder, Services: Services()}
			for i := range opt.Services {
				opt.Services[i].Upstreams = 1
			}
			fl, err := New(opt.WithProxy())
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				fl.Close()
				if t.Failed() {
					t.Logf("logs are in %s", folder)
				} else if err := fl.RemoveFolder(); err != nil {
					t.Error(err)
				}
			}()
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
	ct.fl.Proxy.Heal()
	ct.changeFor(2 * time.Second)
	if err := pause(fleetCtx, ContactWindow+ConfigApply); err != nil {
		ct.Fatal(err)
	}
	for _, ma := range ct.fl.Controls {
		if got := ct.read(fleetCtx, ma); got != ct.version {
			ct.Errorf("%s answers version %d after the cut, want %d", ma.Name, got, ct.version)
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
		co.Resources = append(co.Resources, NewRoute(fmt.Sprintf("newest-%d", co.Version), ro))
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
		got := ct.read(ctx, ma)
		ct.mu.Lock()
		for ve, at := range ct.acks {
			if got != 0 && got < ve && sent.Sub(at) > ConfigApply {
				ct.Errorf("%s answers version %d, %v after the ack of %d", ma.Name, got, sent.Sub(at), ve)
			}
		}
		ct.mu.Unlock()
	}
}

// read reads the version in force from a replica once. It returns 0 if there is no clear answer.
func (ct *cutTest) read(ctx context.Context, ma *Machine) Version {
	ctx, stop := context.WithTimeout(ctx, readTimeLimit)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ma.ControlAddress()+configurationPath, nil)
	if err != nil {
		ct.Error(err)
		return 0
	}
	res, err := client.Do(rq)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	var got struct {
		Version Version `json:"version"`
	}
	body, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		return 0
	}
	if err := json.Unmarshal(body, &got); err != nil {
		ct.Errorf("%s answers %.100s", ma.Name, body)
	}
	return got.Version
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
