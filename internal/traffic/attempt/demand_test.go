package attempt

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/room"
	"camphortrail/schema"
)

func TestDemandSurvivesTheWire(t *testing.T) {
	want := &Demand{Entry: "a", Service: "cassa", Wants: []room.Want{
		{Rank: room.RankOf(7, false), Slots: 12.5, Least: 0.25}, {Rank: room.RankOf(5, true), Slots: 0.001},
	}}
	got, err := FromDemandFrame(want.Frame().GetDemand())
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	sh := room.All()
	sh[3] = 0.125
	svc, back, err := FromRoomFrame(RoomFrame("cassa", sh).GetRoom())
	if err != nil || svc != "cassa" || back != sh {
		t.Errorf("got %s, %v, %v, want %v", svc, back, err, sh)
	}
}

func TestNeedsSurviveTheWire(t *testing.T) {
	want := []call.Need{{Service: "cassa", SlotTime: 15 * time.Millisecond, Occupancy: 120}, {Service: "sportello"}}
	if got, err := needsOf(needFields(want)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, %v, want %+v", got, err, want)
	}
	if got := needFields(make([]call.Need, 2*maxNeeds)); len(got) != maxNeeds {
		t.Errorf("%d needs are sent, want %d", len(got), maxNeeds)
	}
}

func TestMalformedDemandsAreRefused(t *testing.T) {
	for name, want := range map[string]*schema.Want{
		"rank": {Rank: uint32(room.Ranks)}, "slots": {SlotsThousandths: 1 << 62}, "least": {LeastMillionths: millionths + 1},
	} {
		if _, err := FromDemandFrame(&schema.Demand{Wants: []*schema.Want{want}}); !errors.Is(err, ErrBadFrame) {
			t.Errorf("%s: %v, want %v", name, err, ErrBadFrame)
		}
	}
	if _, err := FromDemandFrame(&schema.Demand{Wants: make([]*schema.Want, room.Ranks+1)}); !errors.Is(err, ErrBadFrame) {
		t.Errorf("too many wants: %v", err)
	}
	for name, shares := range map[string][]uint32{"too few": {1}, "too much": append(make([]uint32, room.Ranks-1), millionths+1)} {
		if _, _, err := FromRoomFrame(&schema.Room{SharesMillionths: shares}); !errors.Is(err, ErrBadFrame) {
			t.Errorf("%s: %v, want %v", name, err, ErrBadFrame)
		}
	}
	if _, err := needsOf(make([]*schema.Need, maxNeeds+1)); !errors.Is(err, ErrBadFrame) {
		t.Errorf("too many needs: %v", err)
	}
	if _, err := needsOf([]*schema.Need{{SlotUs: maxTime + 1}}); !errors.Is(err, ErrBadFrame) {
		t.Errorf("slot time: %v", err)
	}
}
