package announce

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
	"camphortrail/membership"
)

// TestReports gives the reports of testdata/reports, one a line: instance,
// start in seconds, number, service, and draining if it leaves; or depart and
// the instance; or silence until no lease is left. After each it prints what the
// node tells others.
func TestReports(t *testing.T) {
	datadriven.RunTest(t, "testdata/reports", func(t *testing.T, td *datadriven.TestData) string {
		var told []membership.Upstream
		now := time.Unix(1000, 0)
		an := New(func() time.Time { return now }, func(ups []membership.Upstream) { told = ups })
		var out strings.Builder
		for line := range strings.Lines(td.Input) {
			now = now.Add(time.Second)
			fields := strings.Fields(line)
			note := ""
			switch fields[0] {
			case "depart":
				an.EndInstance(fields[1])
			case "silence":
				now = now.Add(2 * LeaseDuration)
				an.Expire()
			default:
				note = outcome(t, an.AddReport(report(t, fields)))
			}
			fmt.Fprintf(&out, "%s:%s%s\n", strings.TrimSpace(line), describe(told), note)
		}
		return out.String()
	})
}

func outcome(t *testing.T, err error) string {
	t.Helper()
	for bad, text := range map[error]string{ErrStaleReport: " stale", ErrNumberOutOfRange: " number", ErrServiceChanged: " service"} {
		if errors.Is(err, bad) {
			return text
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return ""
}

func report(t *testing.T, fields []string) Report {
	t.Helper()
	var born int64
	rp := Report{Upstream: membership.Upstream{Instance: fields[0], Service: call.Service(fields[3]), Slots: 4, Address: "10.0.0.1:80"}}
	if _, err := fmt.Sscan(fields[1]+" "+fields[2], &born, &rp.Number); err != nil {
		t.Fatal(err)
	}
	rp.StartTime = time.Unix(born, 0)
	rp.Upstream.Draining = len(fields) > 4
	rp.Upstream.WarmUp = time.Duration(10-rp.Number) * time.Second
	return rp
}

func describe(ups []membership.Upstream) string {
	var text strings.Builder
	for _, up := range ups {
		state := "ready"
		if up.Draining {
			state = "draining"
		}
		fmt.Fprintf(&text, " %s of %s %s, warm-up %v", up.Instance, up.Service, state, up.WarmUp)
	}
	if len(ups) == 0 {
		return " none"
	}
	return text.String()
}
