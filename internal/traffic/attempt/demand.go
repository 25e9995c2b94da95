package attempt

import (
	"math"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/internal/traffic/room"
	"camphortrail/schema"
)

const (
	// maxNeeds bounds the services of one tree that are told.
	maxNeeds = 16
	// millionths is the unit of a share between nodes, and thousandths that of
	// slots.
	millionths  = 1e6
	thousandths = 1e3
	// maxSlots bounds what one entry may want of one upstream.
	maxSlots = 1 << 20
)

// Demand is what the requests at an entry take of an upstream.
type Demand struct {
	Entry   call.VM
	Service call.Service
	Wants   []room.Want
}

// Frame returns the form in which the demand is sent to a guard.
func (de *Demand) Frame() *schema.Frame {
	msg := &schema.Demand{Entry: string(de.Entry), Service: string(de.Service)}
	for _, wt := range de.Wants {
		msg.Wants = append(msg.Wants, &schema.Want{
			Rank: uint32(wt.Rank), SlotsThousandths: uint64(min(wt.Slots, maxSlots) * thousandths),
			LeastMillionths: uint32(wt.Least * millionths),
		})
	}
	return &schema.Frame{Kind: &schema.Frame_Demand{Demand: msg}}
}

// FromDemandFrame returns the demand that an entry sent.
func FromDemandFrame(msg *schema.Demand) (*Demand, error) {
	de := &Demand{Entry: call.VM(msg.GetEntry()), Service: call.Service(msg.GetService())}
	if len(msg.GetWants()) > room.Ranks {
		return nil, errors.Wrap(ErrBadFrame, "wants")
	}
	for _, wt := range msg.GetWants() {
		switch {
		case wt.GetRank() >= uint32(room.Ranks):
			return nil, errors.Wrap(ErrBadFrame, "rank")
		case wt.GetSlotsThousandths() > maxSlots*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "slots_thousandths")
		case wt.GetLeastMillionths() > millionths:
			return nil, errors.Wrap(ErrBadFrame, "least_millionths")
		}
		de.Wants = append(de.Wants, room.Want{
			Rank: room.Rank(wt.GetRank()), Slots: float64(wt.GetSlotsThousandths()) / thousandths,
			Least: float64(wt.GetLeastMillionths()) / millionths,
		})
	}
	return de, nil
}

// RoomFrame returns the form in which a guard answers a demand.
func RoomFrame(svc call.Service, sh room.Shares) *schema.Frame {
	msg := &schema.Room{Service: string(svc), SharesMillionths: make([]uint32, len(sh))}
	for rk, share := range sh {
		msg.SharesMillionths[rk] = uint32(math.Round(share * millionths))
	}
	return &schema.Frame{Kind: &schema.Frame_Room{Room: msg}}
}

// FromRoomFrame returns what a guard answered to a demand.
func FromRoomFrame(msg *schema.Room) (svc call.Service, sh room.Shares, err error) {
	if len(msg.GetSharesMillionths()) != room.Ranks {
		return "", sh, errors.Wrap(ErrBadFrame, "shares_millionths")
	}
	for rk, share := range msg.GetSharesMillionths() {
		if share > millionths {
			return "", sh, errors.Wrap(ErrBadFrame, "shares_millionths")
		}
		sh[rk] = float64(share) / millionths
	}
	return call.Service(msg.GetService()), sh, nil
}

func needFields(needs []call.Need) []*schema.Need {
	list := make([]*schema.Need, 0, len(needs))
	for _, nd := range needs[:min(len(needs), maxNeeds)] {
		list = append(list, &schema.Need{
			Service: string(nd.Service), SlotUs: uint64(max(0, nd.SlotTime.Microseconds())), OccupancyPercent: uint32(nd.Occupancy),
		})
	}
	return list
}

func needsOf(list []*schema.Need) ([]call.Need, error) {
	if len(list) > maxNeeds {
		return nil, errors.Wrap(ErrBadFrame, "needs")
	}
	var needs []call.Need
	for _, nd := range list {
		switch {
		case nd.GetSlotUs() > maxTime:
			return nil, errors.Wrap(ErrBadFrame, "slot_us")
		case nd.GetOccupancyPercent() > maxOccupancy:
			return nil, errors.Wrap(ErrBadFrame, "occupancy_percent")
		}
		needs = append(needs, call.Need{
			Service: call.Service(nd.GetService()), SlotTime: time.Duration(nd.GetSlotUs()) * time.Microsecond,
			Occupancy: call.Occupancy(nd.GetOccupancyPercent()),
		})
	}
	return needs, nil
}
