package entry

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"camphortrail/call"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/room"
	"camphortrail/route"
)

const (
	// demandInterval is the time between two demands to the guards of a service
	// that is busy: well under the time in which the load of a burst changes.
	demandInterval = 200 * time.Millisecond
	// toldLife is the time for which the answer of a guard counts.
	toldLife = 1500 * time.Millisecond
	// maxAsked bounds the guards of one service that are asked by one entry, so
	// that the messages do not grow with the square of the deployment.
	maxAsked = 16
)

// told is what a guard said of its room.
type told struct {
	shares room.Shares
	slots  int
	at     time.Time
}

// question is a demand to the guard of a VM.
type question struct {
	vm      call.VM
	address string
	demand  *attempt.Demand
}

// RunDemand tells the guards of busy services what is wanted of them, until ctx
// ends.
func (en *Entry) RunDemand(ctx context.Context) error {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, qu := range en.questions(time.Now()) {
			if qu.vm != en.opt.VM {
				en.opt.Pool.Tell(qu.vm, qu.address, qu.demand)
			} else if sh, ok := en.opt.Guard.Room(qu.demand); ok {
				en.SetRoom(qu.vm, qu.demand.Service, sh)
			}
		}
	}
}

// questions returns the demands that are due.
func (en *Entry) questions(now time.Time) []question {
	en.mu.Lock()
	defer en.mu.Unlock()
	var list []question
	for svc, wants := range en.throttles.Wants(now) {
		list = append(list, en.questionsTo(now, svc, wants)...)
	}
	return list
}

// questionsTo spreads a demand over the VMs of a service by their slots.
func (en *Entry) questionsTo(now time.Time, svc call.Service, wants []room.Want) []question {
	vms := en.askable(now, svc)
	slots := 0
	for _, up := range vms {
		slots += up.Slots
	}
	known := make(map[call.VM]told, len(vms))
	list := make([]question, 0, len(vms))
	for _, up := range vms {
		de := &attempt.Demand{Entry: en.opt.VM, Service: svc, Wants: slices.Clone(wants)}
		for i := range de.Wants {
			de.Wants[i].Slots *= float64(up.Slots) / float64(slots)
		}
		list = append(list, question{up.VM, en.addresses[up.VM], de})
		tl := en.rooms[svc][up.VM]
		tl.slots = up.Slots
		known[up.VM] = tl
	}
	en.rooms[svc] = known
	return list
}

// askable returns the VMs of a service that are asked for their room: all that can
// be reached, or some by lot where there are many.
func (en *Entry) askable(now time.Time, svc call.Service) []route.Entry {
	vms := slices.DeleteFunc(en.routes.VMs(now, svc), func(up route.Entry) bool {
		return up.Draining || up.Suspect || up.Slots == 0
	})
	if len(vms) <= maxAsked {
		return vms
	}
	lot := func(up route.Entry) uint64 { return xxhash.Sum64String(string(en.opt.VM) + "\x00" + string(up.VM)) }
	slices.SortFunc(vms, func(a, b route.Entry) int { return cmp.Compare(lot(a), lot(b)) })
	return vms[:maxAsked]
}

// SetRoom states the shares of the requests for which the guard of a VM has room.
func (en *Entry) SetRoom(vm call.VM, svc call.Service, sh room.Shares) {
	now := time.Now()
	en.mu.Lock()
	defer en.mu.Unlock()
	tl, asked := en.rooms[svc][vm]
	if !asked {
		return
	}
	tl.shares, tl.at = sh, now
	en.rooms[svc][vm] = tl
	if mean, ok := meanRoom(now, slices.Collect(maps.Values(en.rooms[svc]))); ok {
		en.throttles.SetShares(now, svc, mean)
	}
}

// meanRoom returns the mean of what the guards said lately, by their slots.
func meanRoom(now time.Time, all []told) (mean room.Shares, ok bool) {
	slots := 0
	for _, tl := range all {
		if now.Sub(tl.at) >= toldLife {
			continue
		}
		slots += tl.slots
		for rk := range mean {
			mean[rk] += tl.shares[rk] * float64(tl.slots)
		}
	}
	for rk := range mean {
		mean[rk] /= float64(max(slots, 1))
	}
	return mean, slots > 0
}
