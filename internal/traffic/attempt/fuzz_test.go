package attempt

import (
	"errors"
	"math"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/internal/traffic/allocation"
	"camphortrail/schema"
)

// FuzzFrame decodes arbitrary frames as entries and guards do. A malformed frame must
// give ErrBadFrame, and a valid one no negative time or retry budget.
func FuzzFrame(f *testing.F) {
	id := make([]byte, 16)
	for _, fr := range []*schema.Frame{
		{Kind: &schema.Frame_Attempt{Attempt: &schema.Attempt{
			AttemptId: id, RequestId: id, DeadlineUs: math.MaxUint64, Allowance: math.MaxUint32, Importance: math.MaxUint32,
			Depth: math.MaxUint32, MaxAnswerBytes: math.MinInt64, Stamp: "0", HeaderBlock: []byte{0xff, 0xff, 0xff, 0xff, 0x0f},
		}}},
		{Kind: &schema.Frame_Answer{Answer: &schema.AttemptAnswer{
			AttemptId: id, WorkUs: math.MaxUint64, RetryAfterMs: math.MaxUint32, Answer: &schema.RecordedAnswer{Status: 200},
			Needs: []*schema.Need{{Class: "read", CallsThousandths: math.MaxUint32}},
		}}},
		{Kind: &schema.Frame_Demand{Demand: &schema.Demand{Wants: []*schema.Want{{Rank: math.MaxUint32, YieldThousandths: math.MaxUint64}}}}},
		{Kind: &schema.Frame_Demand{Demand: &schema.Demand{Wants: []*schema.Want{{Calls: []*schema.CallRate{{Thousandths: math.MaxUint64}}}}}}},
		{Kind: &schema.Frame_Room{Room: &schema.Room{SharesMillionths: []uint32{math.MaxUint32}}}},
		{Kind: &schema.Frame_Room{Room: &schema.Room{SharesMillionths: make([]uint32, allocation.NumRanks), SlotTimes: []*schema.SlotTime{{Us: math.MaxUint64}}}}},
	} {
		data, err := proto.Marshal(fr)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		fr := new(schema.Frame)
		if fr.UnmarshalVT(data) != nil {
			return
		}
		now := time.UnixMilli(1_700_000_000_000)
		var err error
		switch kd := fr.GetKind().(type) {
		case *schema.Frame_Attempt:
			var at *Attempt
			if at, err = FromFrame(kd.Attempt, now); err == nil && (at.Deadline.Before(now) || at.RetryBudget < 0) {
				t.Errorf("attempt with deadline %v, retry budget %d", at.Deadline, at.RetryBudget)
			}
		case *schema.Frame_Answer:
			var an *Answer
			if an, err = FromAnswerFrame(kd.Answer); err == nil && (an.UpstreamTime < 0 || an.GuardTime < 0 || an.RetryAfter < 0) {
				t.Errorf("answer with upstream time %v, guard time %v, retry after %v", an.UpstreamTime, an.GuardTime, an.RetryAfter)
			}
		case *schema.Frame_Demand:
			_, err = FromDemandFrame(kd.Demand)
		case *schema.Frame_Room:
			_, _, err = FromGrantFrame(kd.Room)
		}
		if err != nil && !errors.Is(err, ErrBadFrame) {
			t.Errorf("error %v", err)
		}
	})
}
