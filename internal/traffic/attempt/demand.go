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
	// maxListedClasses bounds the classes of calls that one message lists. maxCalls bounds
	// the calls of one class that one request makes.
	maxListedClasses = 32
	maxCalls         = 1 << 16
	// Messages carry shares in millionths, and numbers of calls and rates in
	// thousandths.
	millionths  = 1e6
	thousandths = 1e3
	// maxRate bounds the calls or requests per second that one entry may demand of one
	// upstream. maxSlots bounds the slots of one upstream.
	maxRate  = 1 << 20
	maxSlots = 1 << 20
)

// Demand is the load that the requests at one entry put on one upstream, by rank.
type Demand struct {
	Entry   call.VM
	Service call.Service
	Wants   []allocation.RankDemand
	// Aggregate says that the receiver adds the demand to those of other entries, and asks the
	// guards of the service for a grant for all of them.
	Aggregate bool
}

// Frame converts the demand to the frame that is sent to a guard. Calls after the first
// maxListedClasses classes are left out.
func (de *Demand) Frame() *schema.Frame {
	msg := &schema.Demand{Entry: string(de.Entry), Service: string(de.Service)}
	if de.Aggregate {
		msg.Service, msg.AggregatedService = "", string(de.Service)
	}
	for _, wt := range de.Wants {
		want := &schema.Want{
			Rank: uint32(wt.Rank), YieldThousandths: toThousandths(wt.Successes), FirstSendsThousandths: toThousandths(wt.FirstSends),
			MeanFirstSendsThousandths: toThousandths(wt.MeanFirstSends), MeanServedThousandths: toThousandths(wt.MeanServed),
		}
		for _, cr := range wt.Calls[:min(len(wt.Calls), maxListedClasses)] {
			want.Calls = append(want.Calls, &schema.CallRate{Class: string(cr.Class), Thousandths: toThousandths(cr.PerSecond)})
		}
		msg.Wants = append(msg.Wants, want)
	}
	return &schema.Frame{Kind: &schema.Frame_Demand{Demand: msg}}
}

// FromDemandFrame converts a message of an entry to a demand. The error wraps
// ErrBadFrame and names the field.
func FromDemandFrame(msg *schema.Demand) (*Demand, error) {
	de := &Demand{Entry: call.VM(msg.GetEntry()), Service: call.Service(msg.GetService())}
	if svc := msg.GetAggregatedService(); svc != "" {
		de.Service, de.Aggregate = call.Service(svc), true
	}
	if len(msg.GetWants()) > allocation.NumRanks {
		return nil, errors.Wrap(ErrBadFrame, "wants")
	}
	for _, want := range msg.GetWants() {
		switch {
		case want.GetRank() >= uint32(allocation.NumRanks):
			return nil, errors.Wrap(ErrBadFrame, "rank")
		case len(want.GetCalls()) > maxListedClasses:
			return nil, errors.Wrap(ErrBadFrame, "calls")
		case want.GetYieldThousandths() > maxRate*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "yield_thousandths")
		case want.GetFirstSendsThousandths() > maxRate*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "first_sends_thousandths")
		case want.GetMeanFirstSendsThousandths() > maxRate*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "mean_first_sends_thousandths")
		case want.GetMeanServedThousandths() > maxRate*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "mean_served_thousandths")
		}
		wt := allocation.RankDemand{
			Rank: allocation.Rank(want.GetRank()), Successes: float64(want.GetYieldThousandths()) / thousandths,
			FirstSends:     float64(want.GetFirstSendsThousandths()) / thousandths,
			MeanFirstSends: float64(want.GetMeanFirstSendsThousandths()) / thousandths,
			MeanServed:     float64(want.GetMeanServedThousandths()) / thousandths,
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

// toThousandths converts a rate to thousandths, and limits it to maxRate.
func toThousandths(perSecond float64) uint64 { return uint64(min(perSecond, maxRate) * thousandths) }

// GrantFrame converts the answer of a guard to a demand to the frame that is sent to the
// entry.
func GrantFrame(svc call.Service, an allocation.Grant) *schema.Frame {
	msg := &schema.Room{
		Service: string(svc), SharesMillionths: make([]uint32, len(an.Shares)), Slots: uint32(max(an.Slots, 0)),
	}
	for rk, share := range an.Shares {
		msg.SharesMillionths[rk] = uint32(math.Round(share * millionths))
	}
	for _, st := range an.SlotTimes[:min(len(an.SlotTimes), maxListedClasses)] {
		msg.SlotTimes = append(msg.SlotTimes, &schema.SlotTime{Class: string(st.Class), Us: uint64(max(st.Time, 0).Microseconds())})
	}
	return &schema.Frame{Kind: &schema.Frame_Room{Room: msg}}
}

// FromGrantFrame converts the message in which a guard answers a demand. The error wraps
// ErrBadFrame and names the field.
func FromGrantFrame(msg *schema.Room) (svc call.Service, an allocation.Grant, err error) {
	switch {
	case len(msg.GetSharesMillionths()) != allocation.NumRanks:
		return "", an, errors.Wrap(ErrBadFrame, "shares_millionths")
	case msg.GetSlots() > maxSlots:
		return "", an, errors.Wrap(ErrBadFrame, "slots")
	case len(msg.GetSlotTimes()) > maxListedClasses:
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
		if st.GetUs() > maxTimeUS {
			return "", an, errors.Wrap(ErrBadFrame, "slot_times.us")
		}
		an.SlotTimes = append(an.SlotTimes, allocation.SlotTime{
			Class: call.Class(st.GetClass()), Time: time.Duration(st.GetUs()) * time.Microsecond,
		})
	}
	return call.Service(msg.GetService()), an, nil
}

// fanOutToFields converts the fan-out, at most maxListedClasses entries, to the fields of a
// message.
func fanOutToFields(fanOut []call.FanOut) []*schema.Need {
	list := make([]*schema.Need, 0, len(fanOut))
	for _, fo := range fanOut[:min(len(fanOut), maxListedClasses)] {
		list = append(list, &schema.Need{
			Service: string(fo.Service), Class: string(fo.Class), CallsThousandths: uint32(min(max(fo.Calls, 0), maxCalls) * thousandths),
			OccupancyPercent: uint32(fo.Occupancy),
		})
	}
	return list
}

// fanOutFromFields converts the fields of a message to a fan-out. The error wraps
// ErrBadFrame and names the field.
func fanOutFromFields(list []*schema.Need) ([]call.FanOut, error) {
	if len(list) > maxListedClasses {
		return nil, errors.Wrap(ErrBadFrame, "needs")
	}
	var fanOut []call.FanOut
	for _, fo := range list {
		switch {
		case fo.GetClass() == "":
			// Nodes of an earlier version send slot times here, without a class.
			continue
		case fo.GetCallsThousandths() > maxCalls*thousandths:
			return nil, errors.Wrap(ErrBadFrame, "calls_thousandths")
		case fo.GetOccupancyPercent() > maxOccupancy:
			return nil, errors.Wrap(ErrBadFrame, "occupancy_percent")
		}
		fanOut = append(fanOut, call.FanOut{
			Service: call.Service(fo.GetService()), Class: call.Class(fo.GetClass()), Calls: float64(fo.GetCallsThousandths()) / thousandths,
			Occupancy: call.Occupancy(fo.GetOccupancyPercent()),
		})
	}
	return fanOut, nil
}
