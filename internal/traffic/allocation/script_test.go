package allocation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
)

// TestDivide runs the scripts of testdata.
func TestDivide(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		dv, now, wanted := New(), time.Unix(0, 0), make(map[Rank]bool)
		var pace SlotTimeEstimator
		pace.Add(now, "read", 10*time.Millisecond)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var after, slots, occupancy, imp, waiting, callMS int
			var entry string
			for key, dst := range map[string]any{
				"after": &after, "slots": &slots, "occupancy": &occupancy, "importance": &imp, "waiting": &waiting, "entry": &entry, "call-ms": &callMS,
			} {
				if td.HasArg(key) {
					td.ScanArgs(t, key, dst)
				}
			}
			now = now.Add(time.Duration(after) * time.Millisecond)
			switch td.Cmd {
			case "want":
				wants := wantsOf(t, td.Input)
				for _, wt := range wants {
					wanted[wt.Rank] = true
				}
				dv.SetDemand(now, call.VM(entry), wants)
				return ""
			case "divide":
				if callMS > 0 {
					pace = SlotTimeEstimator{}
					pace.Add(now, "read", time.Duration(callMS)*time.Millisecond)
				}
				ld := Load{Slots: slots, Occupancy: call.Occupancy(occupancy), SlotTimes: &pace}
				ld.Waiting[imp] = waiting
				return describe(dv.Allocate(now, ld), wanted)
			}
			t.Fatalf("unknown command %s", td.Cmd)
			return ""
		})
	})
}

// wantsOf reads lines of importance, "late" or "timely", calls in a second, and the
// requests in a second that would come through and that were not sent before.
func wantsOf(t *testing.T, input string) (wants []RankDemand) {
	for line := range strings.Lines(input) {
		var imp call.Importance
		var when string
		var wt RankDemand
		cr := CallRate{Class: "read"}
		if _, err := fmt.Sscan(line, &imp, &when, &cr.PerSecond, &wt.Successes, &wt.FirstSends); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		wt.Calls = []CallRate{cr}
		wt.Rank = RankOf(imp, when == "late")
		wants = append(wants, wt)
	}
	return wants
}

// describe prints the shares of the ranks that were wanted.
func describe(sh Shares, wanted map[Rank]bool) string {
	var out strings.Builder
	for rk := NumRanks - 1; rk >= 0; rk-- {
		if !wanted[Rank(rk)] {
			continue
		}
		when := "late"
		if rk%3 == 1 {
			when = "timely"
		}
		fmt.Fprintf(&out, "%d %s %.3f\n", rk/3, when, sh[rk])
	}
	return out.String()
}
