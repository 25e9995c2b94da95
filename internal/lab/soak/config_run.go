package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/lab/soak/faultdisk"
	"camphortrail/platform"
)

const (
	configCallersPerNode         = 3
	configGap                    = 300 * time.Millisecond
	configDeadline               = 5 * time.Second
	shortWork, beyondTimeoutWork = 40, 4700 // milliseconds
	loadCallers, loadWork        = 80, 1000 // callers for each node, and milliseconds
	refusedPause                 = 500 * time.Millisecond
	minFaultGap, maxFaultGap     = 500 * time.Millisecond, 3 * time.Second
	frozenNodes                  = 9
	maxFreezeDelay, freezePause  = 250 * time.Millisecond, 2 * time.Second
	restartDelay                 = 200 * time.Millisecond
	firstHUP                     = 6 * time.Millisecond
	busyProcesses                = 8
	silenceGap                   = 10 * time.Second
	warmUp                       = 4 * time.Second
)

// ErrNoReadBack is returned if the configuration could not be read in time after a start of all.
var ErrNoReadBack = errors.New("soak: configuration not read")

// ConfigPlan says what is done in a run of the scenario for rule CONFIG.
type ConfigPlan struct {
	// Faults lets signals, lost disks and replaced machines come in series and overlap, KillAll kills
	// all processes after acknowledgements, and Starve takes the processors away for seconds, which the
	// record does not count as an impairment.
	Faults, KillAll, Starve bool
	// Disks lets disks be full, slow and stalled, and lets losses of power take what was not synced.
	// The options need Options.WithDiskFaults.
	Disks bool
	// Load is the number of callers of first routes at each node that fill all slots of the upstreams.
	Load int
	// Wipes loses the disk of one control replica after the other, each SyncTime after the return of the
	// one before, by turns alone and while all other machines lose power.
	Wipes bool
	// Freeze suspends nodes shortly after acknowledgements.
	Freeze bool
	// Cuts cuts links between machines, and Silence lets all open connections between them go silent
	// again and again. The options need Options.WithProxy.
	Cuts, Silence bool
	// Final loses the disk of one control replica while all other machines lose power.
	Final bool
}

// configRun is a run of the scenario.
type configRun struct {
	fl   *Fleet
	op   *Operator
	plan ConfigPlan
	seed Seed
	rnd  *rand.Rand
	// lost holds a token while a control replica is lost, and whole is locked for reading during a
	// fault of a machine and for writing during one of all.
	lost  chan struct{}
	whole sync.RWMutex
	// frozen holds a token while nodes are suspended after an acknowledgement, and its holder uses
	// freezes. tasks are those that do it.
	frozen  chan struct{}
	freezes *rand.Rand
	tasks   sync.WaitGroup
	armed   atomic.Bool
	hit     chan struct{}

	mu sync.Mutex
	// held are machines whose processes the scenario starts again itself.
	held     map[*Machine]bool
	controls []*Machine // those that are there
	replaced []*Machine // those that replaced others
}

func init() {
	for name, plan := range map[string]ConfigPlan{
		"config":        {Faults: true, KillAll: true, Final: true},
		"config-calm":   {},
		"config-disks":  {Faults: true, KillAll: true, Disks: true, Final: true},
		"config-load":   {Load: loadCallers},
		"config-cuts":   {Faults: true, Cuts: true},
		"config-freeze": {Freeze: true},
		"config-wipes":  {Disks: true, Wipes: true, Final: true},
		"config-silent": {Silence: true},
		"config-kills":  {KillAll: true, Final: true},
		"config-starve": {Faults: true, KillAll: true, Starve: true, Final: true},
	} {
		sc := Scenario{Keyless: true, Play: plan.play, Check: checkConfig}
		switch {
		case plan.Disks:
			sc.Options = Options.WithDiskFaults
		case plan.Cuts, plan.Silence:
			sc.Options = Options.WithProxy
		}
		scenarios[name] = sc
	}
}

// checkConfig checks the rule CONFIG.
func checkConfig(fl *Fleet) []Finding {
	check := ConfigCheck{Controls: fl.controlNames(), Services: make(map[call.VM]call.Service)}
	for _, ma := range fl.Nodes {
		check.Services[ma.Name] = ma.Service
	}
	events := fl.Recorder.Events()
	for _, ev := range events {
		// A control replica that replaced another is no machine of the fleet.
		if st, ok := ev.(Started); ok && fl.Machine(st.VM) == nil && !slices.Contains(check.Controls, st.VM) {
			check.Controls = append(check.Controls, st.VM)
		}
	}
	return check.Check(events)
}

// play changes the configuration of a fleet until ctx ends, and then ends it by the plan.
func (plan ConfigPlan) play(ctx context.Context, fl *Fleet) error {
	seed := fl.opt.Seed
	cr := &configRun{
		fl: fl, op: NewOperator(fl, seed), plan: plan, seed: seed, rnd: seed.Rand("faults"),
		lost: make(chan struct{}, 1), hit: make(chan struct{}, 1), held: make(map[*Machine]bool),
		controls: slices.Clone(fl.Controls),
	}
	cr.op.AfterAck = cr.afterAck
	cr.frozen, cr.freezes = make(chan struct{}, 1), seed.Rand("freezes")
	whole, stop := context.WithCancel(context.WithoutCancel(ctx))
	var background sync.WaitGroup
	defer func() {
		stop()
		background.Wait()
		cr.tasks.Wait()
		for _, ma := range cr.replaced {
			ma.Kill()
		}
	}()
	if err := cr.op.Begin(ctx); err != nil {
		return err
	}
	if err := pause(ctx, warmUp); err != nil {
		return err
	}
	background.Go(func() { cr.supervise(whole) })
	background.Go(func() { cr.op.ReadAll(whole, seed) })
	for _, ma := range fl.Nodes {
		for i := range configCallersPerNode {
			background.Go(func() { cr.callNode(whole, ma, fmt.Sprintf("%s-%d", ma.Name, i)) })
		}
		for i := range plan.Load {
			background.Go(func() { cr.loadNode(whole, ma, fmt.Sprintf("%s-load-%d", ma.Name, i)) })
		}
	}
	if err := cr.run(ctx, whole); err != nil {
		return err
	}
	return writeRecord(filepath.Join(fl.opt.Folder, "record.txt"), fl.Recorder.Events())
}

// writeRecord writes a line for each event to a file, without the resources of configurations.
func writeRecord(path string, events []Event) error {
	var out bytes.Buffer
	for _, ev := range events {
		if ch, ok := ev.(ChangeSent); ok {
			ch.Configuration.Resources = nil
			ev = ch
		}
		fmt.Fprintf(&out, "%T %+v\n", ev, ev)
	}
	return os.WriteFile(path, out.Bytes(), 0o644)
}

// run changes the configuration until limited ends, with faults beside, and then ends with the final
// fault and the reads until whole ends.
func (cr *configRun) run(limited, whole context.Context) error {
	changing, stopChanges := context.WithCancel(whole)
	defer stopChanges()
	var changes sync.WaitGroup
	changes.Go(func() { cr.op.Run(changing) })
	if cr.plan.Wipes {
		cr.wipes(limited)
	}
	for cr.plan.Silence && pause(limited, silenceGap) == nil {
		cr.silence(limited)
	}
	cr.faults(limited)
	<-limited.Done()
	if cr.plan.Final {
		cr.whole.Lock()
		cr.killAfterAck(whole)
		stopChanges()
		err := cr.finalFault(whole)
		cr.whole.Unlock()
		if err != nil {
			return err
		}
	}
	stopChanges()
	changes.Wait()
	return cr.readBack(whole)
}

// readBack reads the configuration at the end, at all replicas for ContactWindow at least, and then
// sends a change.
func (cr *configRun) readBack(ctx context.Context) error {
	begin, good := time.Now(), 0
	for time.Since(begin) < ContactWindow || good == 0 {
		if time.Since(begin) > RecoveryTime {
			cr.fl.Recorder.Find(Config, "not read back within %v", RecoveryTime)
			return ErrNoReadBack
		}
		for _, ma := range cr.presentControls() {
			good += btoi(cr.op.Read(ctx, ma, true).Status == http.StatusOK)
		}
		if err := pause(ctx, minReadGap); err != nil {
			return err
		}
	}
	co := cr.op.next()
	cr.op.addRoute(&co)
	cr.op.deliver(ctx, co, "", 0)
	return pause(ctx, ContactWindow)
}

func (cr *configRun) presentControls() []*Machine {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	return slices.Clone(cr.controls)
}

// machines returns all machines that are there.
func (cr *configRun) machines() []*Machine { return append(cr.presentControls(), cr.fl.Nodes...) }

// hold takes a machine for a fault, or returns false if another fault has it.
func (cr *configRun) hold(ma *Machine) bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if cr.held[ma] {
		return false
	}
	cr.held[ma] = true
	return true
}

func (cr *configRun) release(ma *Machine) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	delete(cr.held, ma)
}

// supervise starts processes that have ended by themselves again after a short delay.
func (cr *configRun) supervise(ctx context.Context) {
	for pause(ctx, restartDelay) == nil {
		for _, ma := range cr.machines() {
			if !ma.Running() && cr.hold(ma) {
				if !ma.Running() {
					_ = ma.Restart() // tried again after the delay
				}
				cr.release(ma)
			}
		}
	}
}

// afterAck kills all processes if that is armed.
func (cr *configRun) afterAck() {
	if cr.plan.Freeze {
		cr.tasks.Go(cr.freezeSome)
	}
	if !cr.armed.CompareAndSwap(true, false) {
		return
	}
	for _, ma := range cr.machines() {
		cr.hold(ma)
		ma.Signal(syscall.SIGKILL)
	}
	cr.hit <- struct{}{}
}

// killAfterAck kills all processes after the next acknowledgement. The caller holds cr.whole.
func (cr *configRun) killAfterAck(ctx context.Context) {
	cr.armed.Store(true)
	select {
	case <-cr.hit:
	case <-ctx.Done():
	case <-time.After(changeTime):
		cr.armed.Store(false)
	}
	for _, ma := range cr.machines() {
		cr.hold(ma)
		ma.Kill()
	}
}

// finalFault empties the disk of one control replica, takes what was not synced from the others, and
// starts all machines.
func (cr *configRun) finalFault(ctx context.Context) error {
	controls := cr.presentControls()
	if cr.plan.Disks {
		if _, err := cr.fl.LosePower(cr.seed, controls...); err != nil {
			return err
		}
	}
	if err := controls[cr.rnd.IntN(len(controls))].WipeDisk(); err != nil {
		return err
	}
	return cr.startAll(ctx)
}

// startAll starts all machines within 0.3 s, in any order.
func (cr *configRun) startAll(ctx context.Context) error {
	list := cr.machines()
	cr.rnd.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	for _, ma := range list {
		err := ma.Restart()
		cr.release(ma)
		if err != nil {
			return err
		}
		if err := pause(ctx, time.Duration(cr.rnd.IntN(12))*time.Millisecond); err != nil {
			return err
		}
	}
	return nil
}

// faults carries out faults until ctx ends, several at once.
func (cr *configRun) faults(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for pause(ctx, minFaultGap+time.Duration(cr.rnd.Int64N(int64(maxFaultGap-minFaultGap)))) == nil {
		choice, rnd := cr.rnd.IntN(12), rand.New(rand.NewPCG(cr.rnd.Uint64(), 0))
		switch {
		case choice == 0 && cr.plan.KillAll:
			wg.Wait()
			cr.killAll(ctx)
		case choice == 1 && cr.plan.Starve:
			wg.Go(func() { cr.starve(ctx, rnd) })
		case choice < 6 && cr.plan.Cuts:
			wg.Go(func() { cr.cut(ctx, rnd) })
		case choice < 8 && cr.plan.Faults:
			for range 1 + rnd.IntN(4) {
				one := rand.New(rand.NewPCG(rnd.Uint64(), 0))
				wg.Go(func() { cr.nodeFault(ctx, one) })
			}
		case choice < 11 && cr.plan.Faults:
			wg.Go(func() { cr.replicaFault(ctx, rnd) })
		case cr.plan.Faults:
			cr.freezeAll(ctx)
		}
	}
}

// wipes loses disks until ctx ends. The last one is back for SyncTime when it returns.
func (cr *configRun) wipes(ctx context.Context) {
	for ctx.Err() == nil {
		if cr.rnd.IntN(2) == 0 {
			ma := cr.controls[cr.rnd.IntN(len(cr.controls))]
			cr.hold(ma)
			ma.Kill()
			if err := ma.WipeDisk(); err != nil {
				cr.fl.Recorder.Find(Fault, "disk of %s: %v", ma.Name, err)
			}
			_ = pause(ctx, time.Duration(cr.rnd.IntN(1500))*time.Millisecond)
			_ = ma.Restart() // otherwise by supervise
			cr.release(ma)
		} else {
			cr.killAfterAck(ctx)
			if err := cr.finalFault(context.WithoutCancel(ctx)); err != nil {
				cr.fl.Recorder.Find(Fault, "loss of power: %v", err)
			}
			cr.awaitRead(context.WithoutCancel(ctx))
		}
		time.Sleep(SyncTime)
	}
}

// awaitRead waits until the configuration can be read again after a start of all. Reads beside check
// what it is.
func (cr *configRun) awaitRead(ctx context.Context) {
	end := time.Now().Add(RecoveryTime)
	for cr.op.Read(ctx, cr.presentControls()[0], false).Status != http.StatusOK {
		if time.Now().After(end) {
			cr.fl.Recorder.Find(Config, "not read within %v after a start of all", RecoveryTime)
			return
		}
		if pause(ctx, maxReadGap) != nil {
			return
		}
	}
}

// killAll kills all processes right after an acknowledgement and starts them again.
func (cr *configRun) killAll(ctx context.Context) {
	cr.whole.Lock()
	defer cr.whole.Unlock()
	cr.killAfterAck(ctx)
	if cr.plan.Disks {
		if _, err := cr.fl.LosePower(Seed(cr.rnd.Uint64()), cr.presentControls()...); err != nil {
			cr.fl.Recorder.Find(Fault, "loss of power: %v", err)
		}
	}
	if err := cr.startAll(context.WithoutCancel(ctx)); err != nil {
		cr.fl.Recorder.Find(Fault, "start of all: %v", err)
	}
	cr.awaitRead(ctx)
}

// cut cuts a machine or a failure domain off, splits the control replicas, resets the connections of a
// machine, or lets them go silent. A failure domain has a control replica, which counts as lost.
func (cr *configRun) cut(ctx context.Context, rnd *rand.Rand) {
	select {
	case cr.lost <- struct{}{}:
	default:
		return
	}
	defer func() { <-cr.lost }()
	all := cr.fl.Machines()
	inside := []*Machine{all[rnd.IntN(len(all))]}
	links := LinksBetween(inside, slices.DeleteFunc(slices.Clone(all), func(ma *Machine) bool { return ma == inside[0] }), true)
	choice := rnd.IntN(5)
	switch choice {
	case 0:
		var outside []*Machine
		domains := cr.fl.failureDomains()
		inside, outside = cr.fl.Zone(domains[rnd.IntN(len(domains))])
		links = LinksBetween(inside, outside, true)
	case 1: // the control replicas are split in two halves, and all nodes reach both
		inside = slices.Clone(cr.fl.Controls)
		rnd.Shuffle(len(inside), func(i, j int) { inside[i], inside[j] = inside[j], inside[i] })
		links = LinksBetween(inside[:len(inside)/2], inside[len(inside)/2:], true)
	}
	rc := cr.fl.Recorder
	mark := func(over bool) {
		for _, ma := range inside {
			rc.Add(Impaired{VM: ma.Name, At: rc.Now(), Cause: "cut", Over: over})
		}
	}
	mark(false)
	switch choice {
	case 0, 1, 2:
		cr.fl.Proxy.Set(Condition{Cut: true}, links...)
		_ = pause(ctx, time.Duration(500+rnd.IntN(5000))*time.Millisecond)
		cr.fl.Proxy.Set(Condition{}, links...)
	case 3:
		cr.fl.Proxy.Reset(inside[0].Name)
	default:
		cr.fl.Proxy.Silence(inside[0].Name)
	}
	mark(true)
	_ = pause(ctx, SyncTime)
}

// silence lets all open connections between machines go silent, while there are no changes until the
// machines are nearly in touch again.
func (cr *configRun) silence(ctx context.Context) {
	cr.op.Pause.Lock()
	defer cr.op.Pause.Unlock()
	for _, ma := range cr.machines() {
		cr.fl.Proxy.Silence(ma.Name)
	}
	_ = pause(ctx, time.Duration(1000+cr.rnd.IntN(2000))*time.Millisecond)
}

// starve runs busy processes for some seconds.
func (cr *configRun) starve(ctx context.Context, rnd *rand.Rand) {
	starve(ctx, 2*time.Second+time.Duration(rnd.Int64N(int64(3*time.Second))))
}

// freezeSome suspends some nodes, unless others are.
func (cr *configRun) freezeSome() {
	select {
	case cr.frozen <- struct{}{}:
	default:
		return
	}
	defer func() { <-cr.frozen }()
	after, length := time.Duration(cr.freezes.Int64N(int64(maxFreezeDelay))), time.Duration(2000+cr.freezes.IntN(2000))*time.Millisecond
	order := cr.freezes.Perm(len(cr.fl.Nodes))[:frozenNodes]
	time.Sleep(after)
	for _, i := range order {
		cr.fl.Nodes[i].Signal(syscall.SIGSTOP)
	}
	time.Sleep(length)
	for _, i := range order {
		cr.fl.Nodes[i].Signal(syscall.SIGCONT)
	}
	time.Sleep(freezePause)
}

// freezeAll suspends all processes for a second.
func (cr *configRun) freezeAll(ctx context.Context) {
	for _, sig := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGCONT} {
		for _, ma := range cr.machines() {
			ma.Signal(sig)
		}
		if sig == syscall.SIGSTOP {
			_ = pause(ctx, time.Second) // they go on in any case
		}
	}
}

// nodeFault carries out a fault of a random node.
func (cr *configRun) nodeFault(ctx context.Context, rnd *rand.Rand) {
	cr.whole.RLock()
	defer cr.whole.RUnlock()
	ma := cr.fl.Nodes[rnd.IntN(len(cr.fl.Nodes))]
	if !cr.hold(ma) {
		return
	}
	defer cr.release(ma)
	cr.interrupt(ctx, ma, rnd)
}

// interrupt stops, kills, suspends or signals a process and lets it run again.
func (cr *configRun) interrupt(ctx context.Context, ma *Machine, rnd *rand.Rand) {
	switch rnd.IntN(6) {
	case 0:
		ma.Stop(ctx)
	case 1:
		ma.Signal(syscall.SIGHUP)
		_ = pause(ctx, time.Duration(rnd.IntN(300))*time.Millisecond)
		ma.Stop(ctx)
	case 2:
		ma.Kill()
		_ = pause(ctx, time.Duration(rnd.IntN(2000))*time.Millisecond)
	case 3:
		ma.Signal(syscall.SIGSTOP)
		_ = pause(ctx, time.Duration(500+rnd.IntN(3000))*time.Millisecond)
		ma.Signal(syscall.SIGCONT)
		return
	case 4:
		ma.Kill()
		if ma.Restart() == nil {
			_ = pause(ctx, time.Duration(rnd.Int64N(int64(firstHUP))))
			ma.Signal(syscall.SIGHUP)
		}
		return
	default:
		cr.changeSettings(ma, rnd)
		ma.Signal(syscall.SIGHUP)
		return
	}
	if !ma.Running() {
		_ = ma.Restart() // otherwise by supervise
	}
}

// changeSettings changes the seeds of a machine to others of the present replicas, without a signal.
func (cr *configRun) changeSettings(ma *Machine, rnd *rand.Rand) {
	controls := cr.presentControls()
	var seeds []string
	for _, i := range rnd.Perm(len(controls))[:min(3, len(controls))] {
		seeds = append(seeds, controls[i].ControlAddress())
	}
	if err := ma.SetSettings(func(set *platform.Settings) { set.Seeds = seeds }); err != nil {
		cr.fl.Recorder.Find(Fault, "settings of %s: %v", ma.Name, err)
	}
}

// replicaFault carries out a fault of a control replica, unless another is lost. It counts as lost
// for SyncTime after its return.
func (cr *configRun) replicaFault(ctx context.Context, rnd *rand.Rand) {
	cr.whole.RLock()
	defer cr.whole.RUnlock()
	select {
	case cr.lost <- struct{}{}:
	default:
		return
	}
	defer func() { <-cr.lost }()
	controls := cr.presentControls()
	ma := controls[rnd.IntN(len(controls))]
	if !cr.hold(ma) {
		return
	}
	defer cr.release(ma)
	switch choice := rnd.IntN(8); {
	case choice == 0:
		ma.Kill()
		if err := ma.WipeDisk(); err != nil {
			cr.fl.Recorder.Find(Fault, "disk of %s: %v", ma.Name, err)
		}
		_ = pause(ctx, time.Duration(rnd.IntN(3000))*time.Millisecond)
		_ = ma.Restart() // otherwise by supervise
	case choice == 1:
		cr.replace(ctx, ma, rnd)
	case choice < 5 && cr.plan.Disks:
		mode := []faultdisk.Mode{faultdisk.Full, faultdisk.Stalled, "200ms"}[rnd.IntN(3)]
		_ = ma.SetDiskMode(mode)
		_ = pause(ctx, time.Duration(1000+rnd.IntN(5000))*time.Millisecond)
		_ = ma.SetDiskMode(faultdisk.Sound)
	default:
		cr.interrupt(ctx, ma, rnd)
	}
	_ = pause(ctx, SyncTime)
}

// replace replaces a control replica by a new machine at another address, whose seeds differ.
func (cr *configRun) replace(ctx context.Context, ma *Machine, rnd *rand.Rand) {
	cr.mu.Lock()
	index := len(cr.fl.Controls) + len(cr.replaced)
	next := cr.fl.newMachine(index, ControlMachine, "core")
	next.IP = ma.IP[:strings.LastIndexByte(ma.IP, '.')+1] + strconv.Itoa(1+index)
	i := slices.Index(cr.controls, ma)
	cr.controls[i] = next
	cr.held[next] = true
	cr.replaced = append(cr.replaced, next)
	cr.mu.Unlock()
	defer cr.release(next)
	go cr.op.SetControls(ctx, cr.presentControls())
	if rnd.IntN(2) == 0 {
		ma.Stop(ctx)
	}
	ma.Kill()
	rc := cr.fl.Recorder
	if err := next.Start(false); err != nil {
		rc.Find(Fault, "start of %s: %v", next.Name, err)
	}
	rc.Add(Impaired{VM: ma.Name, At: rc.Now(), Cause: causeRemoved})
	signal := rnd.IntN(2) == 0
	for _, other := range cr.machines() {
		cr.changeSettings(other, rnd)
		if signal {
			other.Signal(syscall.SIGHUP)
		}
	}
}

// callNode sends requests to a node until ctx ends: for first routes, routes that were added or
// dropped, and some that never were. Some last longer than the timeouts of routes.
func (cr *configRun) callNode(ctx context.Context, ma *Machine, name string) {
	rnd := cr.seed.Rand(name)
	firsts := prefixesOf(cr.fl.FirstConfiguration())
	for n := 0; pause(ctx, time.Duration(rnd.Int64N(int64(configGap)))) == nil; n++ {
		co, dropped, changed := cr.op.Current()
		prefixes := prefixesOf(co)
		isFirst := func(prefix string) bool { return slices.Contains(firsts, prefix) }
		added := slices.DeleteFunc(slices.Clone(prefixes), isFirst)
		first := slices.DeleteFunc(prefixes, func(prefix string) bool { return !isFirst(prefix) })
		choice, work := rnd.IntN(20), 1+rnd.IntN(shortWork)
		prefix := fmt.Sprintf("/never-%d/", n)
		switch {
		case choice < 7 && len(changed) > 0:
			prefix = changed[rnd.IntN(len(changed))]
		case choice < 11:
			prefix = first[rnd.IntN(len(first))]
		case choice < 16 && len(added) > 0:
			prefix = added[rnd.IntN(len(added))]
			if rnd.IntN(10) == 0 {
				work = beyondTimeoutWork
			}
		case choice < 19 && len(dropped) > 0:
			prefix = dropped[max(0, len(dropped)-1-rnd.IntN(4))]
		}
		cr.call(ctx, ma, RequestID(fmt.Sprintf("%s-%d", name, n)), fmt.Sprintf("%sx?work=%d", prefix, work))
	}
}

// loadNode sends requests for first routes with long work to a node until ctx ends.
func (cr *configRun) loadNode(ctx context.Context, ma *Machine, name string) {
	rnd := cr.seed.Rand(name)
	first := prefixesOf(cr.fl.FirstConfiguration())
	gap := func() time.Duration { return time.Duration(rnd.Int64N(int64(configGap))) }
	for n := 0; pause(ctx, gap()) == nil; n++ {
		path := fmt.Sprintf("%sx?work=%d", first[rnd.IntN(len(first))], loadWork)
		if !cr.call(ctx, ma, RequestID(fmt.Sprintf("%s-%d", name, n)), path) {
			_ = pause(ctx, refusedPause+gap()) // the loop ends with ctx
		}
	}
}

// call sends a request on a connection of its own and reports whether it was served.
func (cr *configRun) call(ctx context.Context, ma *Machine, id RequestID, path string) bool {
	rc := cr.fl.Recorder
	waiting, stop := context.WithTimeout(ctx, configDeadline)
	defer stop()
	rq, err := http.NewRequestWithContext(waiting, http.MethodGet, "http://"+ma.CallerAddress()+path, nil)
	if err != nil {
		return false
	}
	rq.Host = routeHost
	rq.Header.Set(requestIDHeader, string(id))
	rq.Header.Set(deadlineHeader, strconv.FormatInt(configDeadline.Milliseconds(), 10))
	rc.Add(Sent{ID: id, At: rc.Now(), Node: ma.Name, Kind: Safe, Deadline: configDeadline, Path: path})
	res, err := client.Transport.RoundTrip(rq)
	if err == nil {
		_, err = io.Copy(io.Discard, res.Body)
		_ = res.Body.Close()
	}
	switch {
	case err == nil:
		rc.Add(Answered{ID: id, At: rc.Now(), Status: res.StatusCode, Signed: res.Header.Get(signatureHeader) != ""})
	case waiting.Err() != nil:
		rc.Add(GaveUp{id, rc.Now()})
	default:
		rc.Add(Cut{ID: id, At: rc.Now(), Cause: err.Error()})
	}
	return err == nil && res.StatusCode/100 == 2
}
