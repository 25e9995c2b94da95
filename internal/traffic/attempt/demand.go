package attempt

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/schema"
)

const (
	// maxNeeds bounds the kinds of calls of one tree that are told, and maxCalls
	// their number.
	maxNeeds = 32
	maxCalls = 1 << 16
	// millionths is the unit of a share between nodes, and thousandths that of calls
	// and rates.
	millionths  = 1e6
	thousandths = 1e3
	// maxRate bounds the calls and requests that one entry may want of one upstream in
	// a second, and maxSlots the slots of one.
	maxRate  = 1 << 20
	maxSlots = 1 << 20
)

// Demand is what the requests at an entry take of an upstream.
type Demand struct {
	Entry   call.VM
	Service call.Service
	Wants   []allocation.RankDemand
}

// Frame returns the form in which the demand is sent to a guard.
func (de *Demand) Frame() *schema.Frame {
	msg := &schema.Demand{Entry: string(de.Entry), Service: string(de.Service)}
	for _, wt := range de.Wants {
		want := &schema.Want{
			Rank: uint32(wt.Rank), YieldThousandths: rateField(wt.Successes), FirstSendsThousandths: rateField(wt.FirstSends),
		}
		for _, cr := range wt.Calls[:min(len(wt.Calls), maxNeeds)] {
			want.Calls = append(want.Calls, &schema.CallRate{Class: string(cr.Class), Thousandths: rateField(cr.PerSecond)})
		}
		msg.Wants = append(msg.Wants, want)
	}
	return &schema.Frame{Kind: &schema.Frame_Demand{Demand: msg}}
}

// FromDemandFrame returns the demand that an entry sent.
func FromDemandFrame(msg *schema.Demand) (*Demand, error) {
	de := &Demand{Entry: call.VM(msg.GetEntry()), Service: call.Service(msg.GetService())}
	if len(msg.GetWants()) > allocation.NumRanks {
		return nil, errors.Wrap(ErrBadFrame, "wants")
	}
	for _, want := range msg.GetWants() {
		switch {
		case want.GetRank() >= uint32(allocation.NumRanks):
			return nil, errors.Wrap(ErrBadFrame, "rank")
		case len(want.GetCalls()) > maxNeeds:
			return nil, errors.Wrap(ErrBadFrame, "calls")
		case want.GetYieldThousandths() > maxRate*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "yield_thousandths")
		case want.GetFirstSendsThousandths() > maxRate*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "first_sends_thousandths")
		}
		wt := allocation.RankDemand{
			Rank: allocation.Rank(want.GetRank()), Successes: float64(want.GetYieldThousandths()) / thousandths,
			FirstSends: float64(want.GetFirstSendsThousandths()) / thousandths,
		}
		for _, rate := range want.GetCalls() {
			if rate.GetThousandths() > maxRate*thousandths {
				return nil, errors.Wrap(ErrBadFrame, "calls.thousandths")
			}
			wt.Calls = append(wt.Calls, allocation.CallRate{
				Class: call.Class(rate.GetClass()), PerSecond: float64(rate.GetThousandths()) / thousandths,
			})
		}
		de.Wants = append(de.Wants, wt)
	}
	return de, nil
}

// rateField returns a rate in the unit in which it is sent.
func rateField(perSecond float64) uint64 { return uint64(min(perSecond, maxRate) * thousandths) }

// RoomFrame returns the form in which a guard answers a demand.
func RoomFrame(svc call.Service, an allocation.Grant) *schema.Frame {
	msg := &schema.Room{
		Service: string(svc), SharesMillionths: make([]uint32, len(an.Shares)), Slots: uint32(max(an.Slots, 0)),
	}
	for rk, share := range an.Shares {
		msg.SharesMillionths[rk] = uint32(math.Round(share * millionths))
	}
	for _, st := range an.SlotTimes[:min(len(an.SlotTimes), maxNeeds)] {
		msg.SlotTimes = append(msg.SlotTimes, &schema.SlotTime{Class: string(st.Class), Us: uint64(max(st.Time, 0).Microseconds())})
	}
	return &schema.Frame{Kind: &schema.Frame_Room{Room: msg}}
}

// FromRoomFrame returns what a guard answered to a demand.
func FromRoomFrame(msg *schema.Room) (svc call.Service, an allocation.Grant, err error) {
	switch {
	case len(msg.GetSharesMillionths()) != allocation.NumRanks:
		return "", an, errors.Wrap(ErrBadFrame, "shares_millionths")
	case msg.GetSlots() > maxSlots:
		return "", an, errors.Wrap(ErrBadFrame, "slots")
	case len(msg.GetSlotTimes()) > maxNeeds:
		return "", an, errors.Wrap(ErrBadFrame, "slot_times")
	}
	for rk, share := range msg.GetSharesMillionths() {
		if share > millionths {
			return "", an, errors.Wrap(ErrBadFrame, "shares_millionths")
		}
		an.Shares[rk] = float64(share) / millionths
	}
	an.Slots = int(msg.GetSlots())
	for _, st := range msg.GetSlotTimes() {
		if st.GetUs() > maxTime {
			return "", an, errors.Wrap(ErrBadFrame, "slot_times.us")
		}
		an.SlotTimes = append(an.SlotTimes, allocation.SlotTime{
			Class: call.Class(st.GetClass()), Time: time.Duration(st.GetUs()) * time.Microsecond,
		})
	}
	return call.Service(msg.GetService()), an, nil
}

func needFields(needs []call.FanOut) []*schema.Need {
	list := make([]*schema.Need, 0, len(needs))
	for _, nd := range needs[:min(len(needs), maxNeeds)] {
		list = append(list, &schema.Need{
			Service: string(nd.Service), Class: string(nd.Class), CallsThousandths: uint32(min(max(nd.Calls, 0), maxCalls) * thousandths),
			OccupancyPercent: uint32(nd.Occupancy),
		})
	}
	return list
}

func needsOf(list []*schema.Need) ([]call.FanOut, error) {
	if len(list) > maxNeeds {
		return nil, errors.Wrap(ErrBadFrame, "needs")
	}
	var needs []call.FanOut
	for _, nd := range list {
		switch {
		case nd.GetClass() == "":
			// Nodes of a former version tell slot times, without the kind of the calls.
			continue
		case nd.GetCallsThousandths() > maxCalls*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "calls_thousandths")
		case nd.GetOccupancyPercent() > maxOccupancy:
			return nil, errors.Wrap(ErrBadFrame, "occupancy_percent")
		}
		needs = append(needs, call.FanOut{
			Service: call.Service(nd.GetService()), Class: call.Class(nd.GetClass()), Calls: float64(nd.GetCallsThousandths()) / thousandths,
			Occupancy: call.Occupancy(nd.GetOccupancyPercent()),
		})
	}
	return needs, nil
}
