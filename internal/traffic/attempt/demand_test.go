package attempt

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
	"camphortrail/schema"
)

func TestDemandRoundTrip(t *testing.T) {
	want := &Demand{Entry: "a", Service: "cassa", Wants: []allocation.RankDemand{
		{Rank: allocation.RankOf(7, false), Calls: []allocation.CallRate{{Class: "read", PerSecond: 12.5}, {Class: "write", PerSecond: 3}}, Successes: 2.25, FirstSends: 1.5},
		{Rank: allocation.RankOf(5, true), Successes: 0.001},
	}}
	got, err := FromDemandFrame(want.Frame().GetDemand())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	an := allocation.Grant{Shares: allocation.FullShares(), Slots: 38, SlotTimes: []allocation.SlotTime{{Class: "read", Time: 15 * time.Millisecond}}}
	an.Shares[3] = 0.125
	svc, back, err := FromGrantFrame(GrantFrame("cassa", an).GetRoom())
	if err != nil || svc != "cassa" || !reflect.DeepEqual(back, an) {
		t.Errorf("got %s, %v, %v, want %v", svc, back, err, an)
	}
}

func TestFanOutRoundTrip(t *testing.T) {
	want := []call.FanOut{{Service: "cassa", Class: "read", Calls: 7.5, Occupancy: 120}, {Service: "sportello", Class: "write"}}
	if got, err := fanOutFromFields(fanOutToFields(want)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if got := fanOutToFields(make([]call.FanOut, 2*maxListedClasses)); len(got) != maxListedClasses {
		t.Errorf("%d needs are sent, want %d", len(got), maxListedClasses)
	}
}

func TestMalformedDemandsAreRefused(t *testing.T) {
	for name, want := range map[string]*schema.Want{
		"rank": {Rank: uint32(allocation.NumRanks)}, "yield": {YieldThousandths: 1 << 62}, "first sends": {FirstSendsThousandths: 1 << 62},
		"rate": {Calls: []*schema.CallRate{{Thousandths: 1 << 62}}}, "rates": {Calls: make([]*schema.CallRate, maxListedClasses+1)},
	} {
		if _, err := FromDemandFrame(&schema.Demand{Wants: []*schema.Want{want}}); !errors.Is(err, ErrBadFrame) {
			t.Errorf("%s: %v, want %v", name, err, ErrBadFrame)
		}
	}
	if _, err := FromDemandFrame(&schema.Demand{Wants: make([]*schema.Want, allocation.NumRanks+1)}); !errors.Is(err, ErrBadFrame) {
		t.Errorf("too many wants: %v", err)
	}
	for name, shares := range map[string][]uint32{"too few": {1}, "too much": append(make([]uint32, allocation.NumRanks-1), millionths+1)} {
		if _, _, err := FromGrantFrame(&schema.Room{SharesMillionths: shares}); !errors.Is(err, ErrBadFrame) {
			t.Errorf("%s: %v, want %v", name, err, ErrBadFrame)
		}
	}
	for name, msg := range map[string]*schema.Room{
		"slots": {Slots: maxSlots + 1}, "slot times": {SlotTimes: make([]*schema.SlotTime, maxListedClasses+1)},
		"slot time": {SlotTimes: []*schema.SlotTime{{Us: maxTimeUS + 1}}},
	} {
		msg.SharesMillionths = make([]uint32, allocation.NumRanks)
		if _, _, err := FromGrantFrame(msg); !errors.Is(err, ErrBadFrame) {
			t.Errorf("%s: %v, want %v", name, err, ErrBadFrame)
		}
	}
	if _, err := fanOutFromFields(make([]*schema.Need, maxListedClasses+1)); !errors.Is(err, ErrBadFrame) {
		t.Errorf("too many needs: %v", err)
	}
	if _, err := fanOutFromFields([]*schema.Need{{Class: "read", CallsThousandths: maxCalls*thousandths + 1}}); !errors.Is(err, ErrBadFrame) {
		t.Errorf("calls: %v", err)
	}
}
