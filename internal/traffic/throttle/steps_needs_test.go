package throttle

import (
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/room"
	"camphortrail/internal/traffic/tree"
)

// This file holds what a stepsMesh calls to learn what requests take, and to tell it.

const (
	demandEvery   = 200 * time.Millisecond
	demandTransit = 2 * time.Millisecond
)

// enter lets an attempt begin at a node, as a guard does.
func (sm *stepsMesh) enter(trees *tree.Trees, ca *stepsCall) *tree.Inbound {
	now := sm.Now()
	in := &tree.Inbound{
		ID: call.NewAttemptID(sm.rng), Request: ca.id, Importance: ca.importance, Depth: ca.depth, Deadline: ca.deadline,
		Class: ca.class, Started: now, Told: now.Add(ca.deadline.Sub(now).Truncate(time.Millisecond)),
	}
	trees.Enter(in)
	return in
}

// exit lets an attempt end at a node, as a guard does, and returns its answer.
func (sm *stepsMesh) exit(trees *tree.Trees, in *tree.Inbound, svc call.Service, oc call.Occupancy, through bool) stepsAnswer {
	now := sm.Now()
	trees.Exit(now, in.ID)
	downstream := trees.Occupancy(now, in.Class)
	trees.Ended(now, in, now.Sub(in.Started), through)
	return stepsAnswer{began: true, through: through, needs: trees.Needs(now, in.Class, svc, oc), occupancy: max(downstream, oc)}
}

// refusal is the answer of a guard of the small service that refuses a call.
func (sm *stepsMesh) refusal(vm *stepsVM, ca *stepsCall) stepsAnswer {
	oc := vm.mc.Occupancy()
	return stepsAnswer{needs: vm.trees.Needs(sm.Now(), ca.class, service0, oc), occupancy: oc}
}

// adopt finds the attempt that makes a call, as the entry of its node does.
func (sm *stepsMesh) adopt(nd *stepsNode, ca *stepsCall, conn string) *tree.Inbound {
	in, ok := nd.trees.Adopt(sm.Now(), tree.Outgoing{Class: ca.class, Connection: conn, Deadline: ca.deadline})
	if !ok {
		ca.id = call.NewRequestID(sm.rng)
		return nil
	}
	ca.id, ca.importance, ca.depth = in.Request, in.Importance, in.Depth+1
	return in
}

// answered takes in the answer to a call, as the entry of its node does.
func (sm *stepsMesh) answered(nd *stepsNode, parent *tree.Inbound, svc call.Service, conn string, an stepsAnswer) {
	const failedPart = 0.5
	part := 0.0
	switch {
	case an.through:
		part = 1
	case an.began:
		part = failedPart
	}
	if parent != nil {
		nd.trees.Met(sm.Now(), parent.Class, svc, an.occupancy)
	}
	nd.trees.Took(sm.Now(), parent, an.needs, part)
	nd.trees.Answered(sm.Now(), conn)
}

// learn takes in the answer to a request at its entry.
func (sm *stepsMesh) learn(rq *stepsRequest, an stepsAnswer) {
	gp := rq.entry.group
	gp.Finish(sm.Now(), rq.kind.class, Result{Through: an.through, Occupancy: an.occupancy, Took: sm.Now().Sub(rq.sent)})
	if !sm.exact {
		gp.Learn(sm.Now(), rq.kind.class, an.needs)
	}
}

// teach tells an entry exactly what requests take at present.
func (sm *stepsMesh) teach(en *meshEntry) {
	// Enough that what was known before is forgotten.
	const samples = 32
	sum := 0
	for _, vm := range sm.vms {
		sum += int(vm.mc.Occupancy())
	}
	for _, kd := range sm.shape.kinds {
		need := call.Need{Service: service0, SlotTime: sm.takes(&kd), Occupancy: call.Occupancy(sum / len(sm.vms))}
		for range samples {
			en.group.Learn(sm.Now(), kd.class, []call.Need{need})
		}
	}
}

// demand lets an entry tell the guards what it wants, again and again.
func (sm *stepsMesh) demand(en *meshEntry) {
	sm.After(demandEvery, func() { sm.demand(en) })
	if sm.exact {
		sm.teach(en)
	}
	wants := en.group.Wants(sm.Now())[service0]
	if len(wants) == 0 {
		return
	}
	slots := 0
	for _, vm := range sm.vms {
		slots += vm.slots
	}
	for _, vm := range sm.vms {
		part := make([]room.Want, len(wants))
		for i, wt := range wants {
			part[i] = wt
			part[i].Slots *= float64(vm.slots) / float64(slots)
		}
		sm.After(demandTransit, func() { vm.dv.Want(sm.Now(), en.name, part) })
	}
	sm.After(demandTransit, func() {
		mean := sm.shares()
		sm.After(demandTransit, func() { en.group.SetShares(sm.Now(), service0, mean) })
	})
}

// shares returns the mean of the shares that the VMs give, by their slots.
func (sm *stepsMesh) shares() (mean room.Shares) {
	slots := 0
	for _, vm := range sm.vms {
		ld := room.Load{Slots: vm.mc.Limit(sm.Now()), Occupancy: vm.mc.Occupancy()}
		for imp := range ld.Waiting {
			ld.Waiting[imp] = vm.mc.WaitingOf(call.Importance(imp))
		}
		sh := vm.dv.Divide(sm.Now(), ld)
		for rk := range mean {
			mean[rk] += sh[rk] * float64(vm.slots)
		}
		slots += vm.slots
	}
	for rk := range mean {
		mean[rk] /= float64(slots)
	}
	return mean
}

// look notes what the entries believe that requests take, beside the truth.
func (sm *stepsMesh) look(se *stepsSecond) {
	for _, kd := range sm.shape.kinds {
		ct := se.kinds[kd.class]
		ct.takes = sm.takes(&kd)
		for i, en := range sm.entries {
			one := en.group.SlotTimes(kd.class)[service0]
			ct.believed += one / time.Duration(len(sm.entries))
			if ct.mostBelieved = max(ct.mostBelieved, one); i == 0 {
				ct.leastBelieved = one
			}
			ct.leastBelieved = min(ct.leastBelieved, one)
		}
	}
}
