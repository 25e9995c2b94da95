package allocation

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
)

// TestAllocate runs the scripts in testdata.
func TestAllocate(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		al, now, wanted := New(), time.Unix(0, 0), make(map[Rank]bool)
		var slotTimes SlotTimeEstimator
		slotTimes.Add(now, "read", 10*time.Millisecond)
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
				demands := parseDemands(t, td.Input)
				for _, rd := range demands {
					wanted[rd.Rank] = true
				}
				al.SetDemand(now, call.VM(entry), demands)
				return ""
			case "divide":
				if callMS > 0 {
					slotTimes = SlotTimeEstimator{}
					slotTimes.Add(now, "read", time.Duration(callMS)*time.Millisecond)
				}
				ld := Load{Slots: slots, Occupancy: call.Occupancy(occupancy), SlotTimes: &slotTimes}
				ld.Waiting[imp] = waiting
				return describe(al.Allocate(now, ld), wanted)
			}
			t.Fatalf("unknown command %s", td.Cmd)
			return ""
		})
	})
}

// parseDemands reads lines with the importance, "late" or "timely", the calls per second,
// the requests per second that would succeed and the first sends per second.
func parseDemands(t *testing.T, input string) (demands []RankDemand) {
	for line := range strings.Lines(input) {
		var imp call.Importance
		var when string
		var rd RankDemand
		cr := CallRate{Class: "read"}
		if _, err := fmt.Sscan(line, &imp, &when, &cr.PerSecond, &rd.Successes, &rd.FirstSends); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		rd.Calls = []CallRate{cr}
		rd.Rank = RankOf(imp, when == "late")
		demands = append(demands, rd)
	}
	return demands
}

// describe formats the shares of the ranks that were demanded.
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
