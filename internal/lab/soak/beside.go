package soak

import (
	"context"
	"net/http"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"camphortrail/platform/document"
)

// What is done beside planned stops, until ctx ends.

// exchangeUpstreams lets one upstream after the other leave, and starts another one in its place.
func exchangeUpstreams(ctx context.Context, fl *Fleet) {
	rnd := fl.opt.Seed.Rand("exchanges")
	for pause(ctx, rand64(rnd, maxExchangeGap)) == nil {
		fl.exchangeUpstream(ctx, fl.Nodes[rnd.IntN(len(fl.Nodes))])
	}
}

// exchangeUpstream lets the upstream beside a node leave and starts another one in its place, unless
// that is being done already. If ctx ends first, the upstream stays.
func (fl *Fleet) exchangeUpstream(ctx context.Context, ma *Machine) {
	if !ma.exchanging.TryLock() {
		return
	}
	defer ma.exchanging.Unlock()
	if ma.currentUpstream().leave(ctx); ctx.Err() == nil {
		fl.replaceUpstream(ma)
	}
}

// replaceUpstream starts another upstream beside a node. The caller holds ma.exchanging.
func (fl *Fleet) replaceUpstream(ma *Machine) {
	if err := fl.startUpstream(ma); err != nil {
		fl.Recorder.Find(Fault, "upstream beside %s does not start: %v", ma.Name, err)
	}
}

// changeConfigurations changes the configuration again and again: by turns a route that nobody uses comes
// or goes, and the key of a customer is exchanged or comes back.
func changeConfigurations(ctx context.Context, fl *Fleet) {
	rnd := fl.opt.Seed.Rand("changes")
	co := fl.FirstConfiguration()
	withdrawn := make(map[int]bool)
	for n := 0; pause(ctx, rand64(rnd, maxConfigGap)) == nil; n++ {
		if dep := fl.opt.Deployment; dep != nil && dep.Customers.Count > 0 {
			number := rnd.IntN(dep.Customers.Count)
			withdrawn[number] = !withdrawn[number]
		}
		next := fl.configuration(withdrawn)
		if n%2 == 0 {
			next.Resources = append(next.Resources, document.NewRoute("unused", Route{
				Host: routeHost, Prefix: "/unused/", Kind: Safe, TimeoutMS: 1000, TargetMS: 500, Service: fl.opt.Services[0].Name, Attempts: 1,
			}))
		}
		next.BaseVersion, next.Version = co.Version, co.Version+1
		if !fl.change(ctx, next) {
			return
		}
		co = next
	}
}

// change sends a configuration until it is acknowledged, and records that. It reports false if ctx ends
// first, or if the configuration is refused.
func (fl *Fleet) change(ctx context.Context, co Configuration) bool {
	body := document.Encode(co)
	for i := 0; ctx.Err() == nil; i++ {
		fl.Recorder.Add(ConfigSent{co.Version, fl.Recorder.Now()})
		status, err := fl.Put(ctx, fl.Controls[i%len(fl.Controls)], body)
		switch {
		case err != nil:
		case status == http.StatusOK:
			fl.Recorder.Add(ConfigAnswered{co.Version, fl.Recorder.Now(), status})
			return true
		case status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			fl.Recorder.Find(Config, "version %d is refused: status %d", co.Version, status)
			return false
		}
		_ = pause(ctx, 100*time.Millisecond) // the loop ends with ctx
	}
	return false
}

// starveOften takes the processors away again and again.
func starveOften(ctx context.Context, fl *Fleet) {
	rnd := fl.opt.Seed.Rand("starve")
	for pause(ctx, rand64(rnd, maxStarveGap)) == nil {
		starve(ctx, 2*time.Second+rand64(rnd, 3*time.Second))
	}
}

// starve runs busy processes for a time.
func starve(ctx context.Context, length time.Duration) {
	ctx, stop := context.WithTimeout(ctx, length)
	defer stop()
	var wg sync.WaitGroup
	for range busyProcesses {
		// The shell is killed when ctx ends.
		wg.Go(func() {
			cmd := exec.CommandContext(ctx, "sh", "-c", "while :; do :; done")
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			_ = cmd.Run()
		})
	}
	wg.Wait()
}

// minPause and maxPause bound the time for which a node is suspended.
const minPause, maxPause = 600 * time.Millisecond, 1500 * time.Millisecond

// pauseNodes suspends one node after the other, until ctx ends.
func pauseNodes(ctx context.Context, fl *Fleet) {
	rnd := fl.opt.Seed.Rand("pauses")
	for pause(ctx, rand64(rnd, time.Second)) == nil {
		ma, length := fl.Nodes[rnd.IntN(len(fl.Nodes))], minPause+rand64(rnd, maxPause-minPause)
		if ma.mayBeSuspended(length) {
			ma.suspend(length)
		}
	}
}

// throttlePeriod is the period in which a process gets its part of a processor.
const throttlePeriod = 100 * time.Millisecond

// throttleNodes lets each node run for processorShare of each period. The kernel would let a process that
// is allowed so much of a processor wait only once it has used it, but for as long.
func throttleNodes(ctx context.Context, fl *Fleet) {
	var wg sync.WaitGroup
	for _, ma := range fl.Nodes {
		rnd := fl.opt.Seed.Rand("throttle-" + string(ma.Name))
		wg.Go(func() {
			for pause(ctx, rand64(rnd, 2*time.Duration(processorShare*float64(throttlePeriod)))) == nil {
				ma.throttle(time.Duration((1 - processorShare) * float64(throttlePeriod)))
			}
		})
	}
	wg.Wait()
}
