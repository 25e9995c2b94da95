package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"testing"
	"time"

	"camphortrail/internal/lab/soak/faultdisk"
	"camphortrail/platform/document"
)

var (
	powerSeeds = flag.Int("power-seeds", 2, "number of seeds of TestAcknowledgedChangesSurviveLossOfPower")
	powerFirst = flag.Uint64("power-first", 1, "first seed of TestAcknowledgedChangesSurviveLossOfPower")
)

// newProcessFleet returns a fleet whose services have a number of upstreams each. It is closed after
// the test, and its folder stays if the test fails.
func newProcessFleet(t *testing.T, seed Seed, upstreams int, change func(Options) Options) *Fleet {
	t.Helper()
	program, err := buildProgram()
	if err != nil {
		t.Fatal(err)
	}
	folder, err := os.MkdirTemp("", "soak-fleet-")
	if err != nil {
		t.Fatal(err)
	}
	opt := Options{Seed: seed, Program: program, Folder: folder, Services: Services()}
	for i := range opt.Services {
		opt.Services[i].Upstreams = upstreams
	}
	fl, err := New(change(opt))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		fl.Close()
		if t.Failed() {
			t.Logf("logs and disks are in %s", folder)
		} else if err := fl.RemoveFolder(); err != nil {
			t.Error(err)
		}
	})
	return fl
}

// readConfiguration reads the configuration in force from a replica once, and its version.
func readConfiguration(ctx context.Context, ma *Machine) (string, Version, error) {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ma.ControlAddress()+configurationPath, nil)
	if err != nil {
		return "", 0, err
	}
	res, err := client.Do(rq)
	if err != nil {
		return "", 0, err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", res.StatusCode, body)
	}
	var co Configuration
	if err == nil {
		err = json.Unmarshal(body, &co)
	}
	return string(body), co.Version, err
}

// powerTest is one seed of TestAcknowledgedChangesSurviveLossOfPower: the operator of four control
// replicas.
type powerTest struct {
	*testing.T
	fl   *Fleet
	rng  *rand.Rand
	seed Seed
	// sent holds the newest configuration sent under each version, acked is the newest version that
	// was acknowledged or read.
	sent  map[Version]Configuration
	acked Version
	loss  faultdisk.Loss
}

// TestAcknowledgedChangesSurviveLossOfPower cuts the power of all control replicas right after an
// ack, sometimes while a disk is stalled, slow or full, or with another change under way. At the
// last loss one disk is emptied as well. Started again, each replica must answer with what was
// acknowledged, or with the change that was under way, and take another change.
func TestAcknowledgedChangesSurviveLossOfPower(t *testing.T) {
	var total faultdisk.Loss
	for i := range *powerSeeds {
		seed := Seed(*powerFirst) + Seed(i)
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			fl := newProcessFleet(t, seed, 0, Options.WithDiskFaults)
			pt := &powerTest{T: t, fl: fl, rng: seed.Rand("power"), seed: seed, sent: make(map[Version]Configuration)}
			pt.run()
			total.Add(pt.loss)
		})
	}
	t.Logf("%d seeds: %+v", *powerSeeds, total)
}

// run plays three losses of power, the last one with the loss of a disk.
func (pt *powerTest) run() {
	if err := pt.fl.Start(pt.Context()); err != nil {
		pt.Fatal(err)
	}
	pt.change()
	for round := range 3 {
		for range pt.rng.IntN(8) {
			pt.change()
		}
		pt.impair()
		pt.change()
		if pt.rng.IntN(2) == 0 {
			pt.send()
		}
		ls, err := pt.fl.LosePower(pt.seed*3+Seed(round), pt.fl.Controls...)
		if err != nil {
			pt.Fatal(err)
		}
		pt.loss.Add(ls)
		if round == 2 {
			if err := pt.fl.Controls[pt.rng.IntN(len(pt.fl.Controls))].WipeDisk(); err != nil {
				pt.Fatal(err)
			}
		}
		for _, i := range pt.rng.Perm(len(pt.fl.Controls)) {
			if err := pt.fl.Controls[i].Restart(); err != nil {
				pt.Fatal(err)
			}
			time.Sleep(time.Duration(pt.rng.IntN(200)) * time.Millisecond)
		}
		pt.readBack(round)
		pt.change()
	}
	for _, ev := range pt.fl.Recorder.Events() {
		if en, ok := ev.(Ended); ok && en.Own {
			pt.Errorf("process of %s ended by itself: %s", en.VM, en.Cause)
		}
	}
}

// impair sometimes makes one disk stalled, slow or full.
func (pt *powerTest) impair() {
	modes := []faultdisk.Mode{faultdisk.Sound, faultdisk.Stalled, faultdisk.Full, faultdisk.Failing, "20ms"}
	ma := pt.fl.Controls[pt.rng.IntN(len(pt.fl.Controls))]
	mode := modes[pt.rng.IntN(len(modes))]
	pt.Logf("disk of %s: %q", ma.Name, mode)
	if err := ma.SetDiskMode(mode); err != nil {
		pt.Fatal(err)
	}
}

// next returns the next configuration, with some routes more.
func (pt *powerTest) next() Configuration {
	co := pt.fl.FirstConfiguration()
	co.Version, co.BaseVersion = pt.acked+1, pt.acked
	for i := range pt.rng.IntN(60) {
		name := fmt.Sprintf("more-%d-%d", pt.rng.IntN(1e6), i)
		ro := newRoute(Safe, Sportello, 2)
		ro.Prefix = "/" + name + "/"
		co.Resources = append(co.Resources, document.NewRoute(name, ro))
	}
	pt.sent[co.Version] = co
	return co
}

// change sends the next configuration until it is acknowledged.
func (pt *powerTest) change() {
	co := pt.next()
	ctx, stop := context.WithTimeout(pt.Context(), RecoveryTime)
	defer stop()
	begin := time.Now()
	if err := pt.fl.Apply(ctx, co); err != nil {
		pt.Fatal(err)
	}
	pt.logSlow(begin, "ack of version %d", co.Version)
	pt.acked = co.Version
}

// send sends the next configuration and returns soon, whatever becomes of it.
func (pt *powerTest) send() {
	co := pt.next()
	limit := time.Duration(pt.rng.IntN(8000)) * time.Microsecond
	ctx, stop := context.WithTimeout(pt.Context(), limit)
	defer stop()
	status, err := pt.fl.Put(ctx, pt.fl.Controls[pt.rng.IntN(len(pt.fl.Controls))], document.Encode(co))
	if err == nil && status == http.StatusOK {
		pt.acked = co.Version
	}
}

// readBack reads the configuration from each replica until it answers.
func (pt *powerTest) readBack(round int) {
	ctx, stop := context.WithTimeout(pt.Context(), RecoveryTime)
	defer stop()
	begin := time.Now()
	for _, ma := range pt.fl.Controls {
		for {
			body, got, err := readConfiguration(ctx, ma)
			if err == nil {
				pt.check(round, ma, body, got)
				pt.logSlow(begin, "answer of %s in round %d", ma.Name, round)
				break
			}
			if pause(ctx, 20*time.Millisecond) != nil {
				pt.Fatalf("round %d: %s has no configuration within %v: %v", round, ma.Name, RecoveryTime, err)
			}
		}
	}
}

// logSlow logs what took longer than others.
func (pt *powerTest) logSlow(begin time.Time, format string, args ...any) {
	if took := time.Since(begin); took > time.Second {
		pt.Logf("%v: %s", took, fmt.Sprintf(format, args...))
	}
}

// check compares a configuration that a replica answered with what was acknowledged.
func (pt *powerTest) check(round int, ma *Machine, body string, got Version) {
	if got < pt.acked {
		pt.Fatalf("round %d: %s answers version %d, %d was acknowledged", round, ma.Name, got, pt.acked)
	}
	if want := string(document.Encode(pt.sent[got])); body != want {
		pt.Fatalf("round %d: %s answers version %d with %.200s, want %.200s", round, ma.Name, got, body, want)
	}
	pt.acked = got
}
