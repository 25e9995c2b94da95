package throttle

import (
	"math/rand/v2"
	"slices"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
	"camphortrail/internal/lab/agenda"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/retry"
)

// stepsMesh is a mesh whose capacity changes in steps, and whose entries learn what
// requests take from the answers of middle services, the nodes of which guess the
// callers of calls. Its small service has VMs of unequal speed.
type stepsMesh struct {
	*mesh
	shape stepsShape
	// exact says that entries know what requests take at present.
	exact bool
	// load multiplies the arrivals.
	load float64
	// vms are those of the small service that the nodes know of.
	vms    []*stepsVM
	nodes  map[call.Service][]*stepsNode
	active []*stepsRequest
	// joined is the number of VMs that have come.
	joined int
	// stepped is when the last step came.
	stepped time.Time
	seconds []*stepsSecond
}

type stepsShape struct {
	meshShape
	// factors are those of the time of a call at the VMs of the small service.
	factors []float64
	// middle is the number of VMs of each middle service, and hop the work of a call
	// there before it makes calls.
	middle int
	hop    time.Duration
}

// Middle services.
const (
	desk   call.Service = "desk"
	ledger call.Service = "ledger"
	index  call.Service = "index"
)

// Calls, and uploads, which run beside the calls of index.
const (
	history  call.Class = "history"
	indexing call.Class = "index"
	rack     call.Class = "rack"
	upload   call.Class = "upload"
)

// program is what an attempt of a kind does: it works, and makes series of calls
// side by side.
type program struct {
	service        call.Service
	series, length int
	calls          call.Class
	// limit is the longest time for a call of the kind.
	limit time.Duration
}

var programs = map[call.Class]program{
	lookUp:   {service: desk, series: 1, length: 2, calls: history},
	release:  {service: ledger, series: 2, length: 1, calls: indexing},
	issue:    {service: service0},
	history:  {service: ledger, series: 1, length: 1, calls: indexing, limit: 3 * time.Second},
	indexing: {service: index, series: 1, length: 5, calls: rack, limit: 2 * time.Second},
	rack:     {service: service0, limit: 700 * time.Millisecond},
	upload:   {service: index},
}

const (
	// answerGap is the time from an answer to a call until the next one, or the end.
	answerGap = 200 * time.Microsecond
	// otherConnection is the part of the calls, 1 in so many, that don't take the
	// connection of the one before.
	otherConnection = 4
	// uploadWork and uploadsPerNode describe the uploads.
	uploadWork     = 130 * time.Millisecond
	uploadsPerNode = 20.0
	// orphanImportance is that of calls without a known parent.
	orphanImportance call.Importance = 5
	// middleOccupancy is that of the middle services.
	middleOccupancy call.Occupancy = 30
	// coldTime is the time for which a VM that comes takes coldFactor times as long.
	coldTime   = 3 * time.Second
	coldFactor = 2
	// knownAfter is the time after which the nodes know that a VM leaves.
	knownAfter = 100 * time.Millisecond
	// brokenReturn is the mean time after which callers return whose requests broke
	// off with the nodes.
	abortedReturn = 500 * time.Millisecond
	// sampleInterval is the time between two looks at the slots.
	sampleInterval = 5 * time.Millisecond
)

// stepsVM is a VM of the small service, with its node.
type stepsVM struct {
	*meshGuard
	trees  *calltree.Trees
	seed   *rand.Rand
	factor float64
	slots  int
	// coldUntil and slowUntil are when it is as quick as usual again.
	coldUntil, slowUntil time.Time
}

// stepsNode is a VM of a middle service.
type stepsNode struct {
	service call.Service
	trees   *calltree.Trees
	conns   int
}

type stepsRequest struct {
	*meshRequest
	id call.RequestID
	// calls holds the second of each call of the small service that was started.
	calls []*stepsSecond
}

// stepsCall is an attempt that is sent to a service.
type stepsCall struct {
	rq         *stepsRequest
	class      call.Class
	id         call.RequestID
	importance call.Importance
	depth      call.Depth
	deadline   time.Time
	done       func(stepsAnswer)
}

// stepsAnswer is what a node hears of an attempt.
type stepsAnswer struct {
	began, succeeded bool
	needs            []call.FanOut
	occupancy        call.Occupancy
}

// stepsAttempt is an attempt that runs at a middle service.
type stepsAttempt struct {
	*stepsCall
	node    *stepsNode
	in      *calltree.Inbound
	pending int
	over    bool
}

// stepsSecond is what happened in a second. Calls are counted in those of the
// commonest kind.
type stepsSecond struct {
	begun time.Time
	// started are those that were started, and useful those of them whose tree came
	// through, or broke off after a step that came later. ended are those of trees
	// that came through in this second.
	started, useful, ended float64
	// calls is the number that the VMs carry.
	calls float64
	// slots and empty are slot times, and refused that of what entries refused.
	slots, empty, refused float64
	// wasted is the slot time that was empty while as much was refused.
	wasted float64
	// limit is the mean of the attempts that the guards let run at a time, and failing
	// counts the refusals for failures.
	limit   float64
	failing int
	kinds   map[call.Class]*stepsCount
}

// stepsCount counts requests of a kind, and what is believed that one takes.
type stepsCount struct {
	meshCount
	refusals                   int
	estimated, actual          time.Duration
	minEstimated, maxEstimated time.Duration
}

func newStepsMesh(shape stepsShape, seed uint64, exact bool) *stepsMesh {
	sm := &stepsMesh{
		mesh: &mesh{
			shape: shape.meshShape, Agenda: agenda.New(time.Unix(0, 0)), rng: rand.New(rand.NewPCG(seed, seed)),
			calls: make(map[call.AttemptID]*meshCall),
		},
		shape: shape, exact: exact, nodes: make(map[call.Service][]*stepsNode),
	}
	sm.addEntries()
	for _, factor := range shape.factors {
		sm.addVM(factor, 0)
	}
	sm.startNodes()
	for _, en := range sm.entries {
		sm.After(time.Duration(sm.rng.Int64N(int64(demandEvery))), func() { sm.demand(en) })
	}
	for i := range shape.kinds {
		sm.arrive(&shape.kinds[i])
	}
	sm.uploads()
	sm.sample()
	return sm
}

// addVM adds a VM to the small service, which is cold for a time.
func (sm *stepsMesh) addVM(factor float64, cold time.Duration) {
	sm.joined++
	vm := &stepsVM{
		meshGuard: &meshGuard{}, seed: rand.New(rand.NewPCG(uint64(sm.joined), 0)), factor: factor,
		slots: sm.shape.slots, coldUntil: sm.Now().Add(cold),
	}
	sm.vms = append(sm.vms, vm)
	sm.startGuard(vm, cold)
}

// startGuard starts the node of a VM of the small service, which knows nothing.
func (sm *stepsMesh) startGuard(vm *stepsVM, warmUp time.Duration) {
	vm.mc, vm.allocator, vm.trees = admission.New(admission.Settings{FreeSlotDivisor: 16}, vm.seed), allocation.New(), calltree.New(retry.DefaultLimits())
	vm.slotTimes = allocation.SlotTimeEstimator{}
	vm.tick = time.Time{}
	sm.step(vm.meshGuard, admission.Announce{Slots: vm.slots, WarmUp: warmUp, Restarted: true})
}

// startNodes starts the nodes of the middle services, which know nothing.
func (sm *stepsMesh) startNodes() {
	for _, svc := range []call.Service{desk, ledger, index} {
		sm.nodes[svc] = nil
		for range sm.shape.middle {
			sm.nodes[svc] = append(sm.nodes[svc], &stepsNode{service: svc, trees: calltree.New(retry.DefaultLimits())})
		}
	}
}

// leave lets a VM of the small service leave.
func (sm *stepsMesh) leave(vm *stepsVM) {
	sm.step(vm.meshGuard, admission.Drain{})
	sm.After(knownAfter, func() {
		sm.vms = slices.DeleteFunc(sm.vms, func(other *stepsVM) bool { return other == vm })
	})
}

// restart breaks all off and starts all nodes anew. Callers return.
func (sm *stepsMesh) restart() {
	clear(sm.calls)
	sm.startNodes()
	for _, vm := range sm.vms {
		sm.startGuard(vm, 0)
	}
	for _, en := range sm.entries {
		en.controller = New()
	}
	active := sm.active
	sm.active = nil
	for _, rq := range active {
		if !rq.over {
			rq.over = true
			sm.creditCalls(rq, sm.Now())
			sm.count(rq.kind.class).aborted++
			sm.handleRefusal(rq.meshRequest, abortedReturn)
		}
	}
}

// time returns that of a call at the VM, relative to the usual one.
func (vm *stepsVM) time(now time.Time) float64 {
	factor := vm.factor
	if now.Before(vm.coldUntil) {
		factor *= coldFactor
	}
	if now.Before(vm.slowUntil) {
		factor *= 2
	}
	return factor
}

// usable is the number of calls that the VM is to run at a time.
func (vm *stepsVM) usable(now time.Time) int {
	if now.Before(vm.coldUntil) {
		return vm.mc.Limit(now)
	}
	// The machine leaves one slot in 16 free.
	return vm.slots - (vm.slots+8)/16
}

// sample counts the slots and those that are empty.
func (sm *stepsMesh) sample() {
	now, length := sm.Now(), sampleInterval.Seconds()
	se := sm.second()
	for _, vm := range sm.vms {
		if vm.mc.Draining() {
			continue
		}
		usable := vm.usable(now)
		se.slots += float64(usable) * length
		se.limit += float64(vm.mc.Limit(now)) * length
		se.empty += float64(max(usable-vm.mc.Running(), 0)) * length
		se.calls += float64(usable) * length / (vm.time(now) * sm.shape.call().Seconds())
	}
	if sm.Now().Add(sampleInterval).Sub(time.Unix(0, 0))%time.Second < sampleInterval {
		sm.recordEstimates(se)
	}
	sm.After(sampleInterval, sm.sample)
}

// call is the time of a call of the commonest kind.
func (sp stepsShape) call() time.Duration { return sp.kinds[0].call }

// slowness is the time of a call in the mean of all calls that the VMs make,
// relative to the usual one.
func (sm *stepsMesh) slowness() float64 {
	slots, calls := 0.0, 0.0
	for _, vm := range sm.vms {
		usable := float64(vm.usable(sm.Now()))
		slots += usable
		calls += usable / vm.time(sm.Now())
	}
	return slots / calls
}

// takes is the slot time that a request of a kind takes at present.
func (sm *stepsMesh) actualSlotTime(kd *meshKind) time.Duration {
	return time.Duration(float64(kd.slotTime()) * sm.slowness())
}

// second returns the counts of the present second.
func (sm *stepsMesh) second() *stepsSecond {
	at := int(sm.Now().Sub(time.Unix(0, 0)) / time.Second)
	for len(sm.seconds) <= at {
		se := &stepsSecond{begun: time.Unix(int64(len(sm.seconds)), 0), kinds: make(map[call.Class]*stepsCount)}
		for _, kd := range sm.shape.kinds {
			se.kinds[kd.class] = &stepsCount{}
		}
		sm.seconds = append(sm.seconds, se)
	}
	return sm.seconds[at]
}

func (sm *stepsMesh) count(class call.Class) *stepsCount { return sm.second().kinds[class] }
