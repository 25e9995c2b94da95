package announce

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"camphortrail/call"
	"camphortrail/membership"
)

// TestReports runs the commands in testdata/reports, one a line, and prints the upstreams
// that the node announces after each. A command is a report (instance, start in seconds,
// number, service, and "draining" if the upstream leaves), "depart" and an instance, with its start if that is stated,
// "silence", which lasts until no lease is left, "restart" of the node, with what others hold of
// its departures, "restart-alone", where they do not tell it in time, or "recall", where they do
// later.
func TestReports(t *testing.T) {
	datadriven.RunTest(t, "testdata/reports", func(t *testing.T, td *datadriven.TestData) string {
		var announced []membership.Upstream
		now := time.Unix(1000, 0)
		start := func() *Registry {
			announced = nil
			return New(func() time.Time { return now }, func(ups []membership.Upstream) { announced = ups })
		}
		rg := start()
		var held []membership.Departure
		var out strings.Builder
		for line := range strings.Lines(td.Input) {
			now = now.Add(time.Second)
			fields := strings.Fields(line)
			note := ""
			switch fields[0] {
			case "depart":
				if len(fields) > 2 {
					rg.EndRun(fields[1], parseStart(t, fields[2]))
				} else {
					rg.EndInstance(fields[1])
				}
			case "restart", "restart-alone":
				held = append(rg.Departures(), held...)
				rg = start()
				rg.AwaitRecall()
				if fields[0] == "restart" {
					rg.Restore(held, true)
				} else {
					rg.Restore(nil, false)
				}
			case "recall":
				rg.Restore(held, true)
			case "silence":
				now = now.Add(2 * LeaseDuration)
				rg.Expire()
			default:
				note = outcome(t, rg.AddReport(parseReport(t, fields)))
			}
			fmt.Fprintf(&out, "%s:%s%s\n", strings.TrimSpace(line), describe(announced), note)
		}
		return out.String()
	})
}

// outcome returns the kind of an error as text.
func outcome(t *testing.T, err error) string {
	t.Helper()
	for bad, text := range map[error]string{ErrStaleReport: " stale", ErrNumberOutOfRange: " number", ErrServiceChanged: " service", ErrRecallPending: " pending"} {
		if errors.Is(err, bad) {
			return text
		}
	}
	if err != nil {
		t.Fatal(err)
	}
	return ""
}

// parseReport returns the report with the given fields.
func parseReport(t *testing.T, fields []string) Report {
	t.Helper()
	rp := Report{Upstream: membership.Upstream{Instance: fields[0], Service: call.Service(fields[3]), Slots: 4, Address: "10.0.0.1:80"}}
	if _, err := fmt.Sscan(fields[2], &rp.Number); err != nil {
		t.Fatal(err)
	}
	rp.StartTime = parseStart(t, fields[1])
	rp.Upstream.Draining = len(fields) > 4
	rp.Upstream.WarmUp = time.Duration(10-rp.Number) * time.Second
	return rp
}

// parseStart returns a start time in seconds.
func parseStart(t *testing.T, text string) time.Time {
	t.Helper()
	var start int64
	if _, err := fmt.Sscan(text, &start); err != nil {
		t.Fatal(err)
	}
	return time.Unix(start, 0)
}

// describe returns the upstreams as text.
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

// Guards against a restart under the same id going unnoticed: state that belongs to the earlier
// run, such as connections, would stay in use.
func TestRestartUnderSameIDIsAnnounced(t *testing.T) {
	var announced []membership.Upstream
	changes := 0
	rg := New(func() time.Time { return time.Unix(1000, 0) }, func(ups []membership.Upstream) {
		announced = ups
		changes++
	})
	rp := Report{Upstream: membership.Upstream{Service: "deep", Slots: 8, Address: "127.0.0.1:1", Instance: "i-1"}, Number: 1}
	for run := range 2 {
		rp.StartTime = time.UnixMilli(int64(run))
		if err := rg.AddReport(rp); err != nil {
			t.Fatal(err)
		}
		if changes != run+1 || !announced[0].StartTime.Equal(rp.StartTime) {
			t.Errorf("run %d: %d changes, announced %+v", run, changes, announced)
		}
	}
}

// TestDrainingUpstreamIsUsed guards against giving up the slots of an upstream as soon as it reports
// that it drains, although it serves all that reaches it in its drain period. Of that, other
// processes need no more than a part to learn of the drain.
func TestDrainingUpstreamIsUsed(t *testing.T) {
	const (
		drainPeriod = 2 * time.Second
		// minUsed is the part of the drain period in which the upstream is to be used.
		minUsed = 0.7
		maxUsed = 0.9
		step    = 50 * time.Millisecond
	)
	begun := time.Unix(1000, 0)
	now := begun
	var up membership.Upstream
	rg := New(func() time.Time { return now }, func(ups []membership.Upstream) { up = ups[0] })
	rg.SetDrainPeriod(drainPeriod)
	report := func(number uint64, draining bool) {
		t.Helper()
		rp := Report{Upstream: membership.Upstream{Service: "cassa", Slots: 4, Address: "10.0.0.1:80", Instance: "i-1", Draining: draining}, Number: number}
		if err := rg.AddReport(rp); err != nil {
			t.Fatal(err)
		}
	}
	report(1, false)
	report(2, true)
	var used time.Duration
	for number := uint64(3); now.Before(begun.Add(2 * drainPeriod)); now = now.Add(step) {
		// Upstreams that drain go on reporting.
		report(number, true)
		number++
		rg.Expire()
		if !up.Draining {
			used = now.Sub(begun)
		}
		if !up.ServesUntil.Equal(begun.Add(drainPeriod)) {
			t.Fatalf("%v after the report the upstream serves until %v", now.Sub(begun), up.ServesUntil)
		}
	}
	if part := used.Seconds() / drainPeriod.Seconds(); part < minUsed || part > maxUsed {
		t.Errorf("used for %v of %v", used, drainPeriod)
	}
}

// TestFirstReportOfDrainEndsUse guards against using an upstream beyond its drain period if an earlier
// run of the process has answered its first report that it drains.
func TestFirstReportOfDrainEndsUse(t *testing.T) {
	var up membership.Upstream
	rg := New(func() time.Time { return time.Unix(1000, 0) }, func(ups []membership.Upstream) { up = ups[0] })
	rg.SetDrainPeriod(2 * time.Second)
	for run, instance := range []string{"i-1", "i-2"} {
		rp := Report{
			Upstream:  membership.Upstream{Service: "cassa", Slots: 4, Address: "10.0.0.1:80", Instance: instance, Draining: true},
			StartTime: time.Unix(int64(run), 0), Number: 1,
		}
		if err := rg.AddReport(rp); err != nil {
			t.Fatal(err)
		}
		if !up.Draining {
			t.Errorf("%s is used after its first report", instance)
		}
	}
}

// TestRunDrainsInTime checks that an upstream is marked as draining without a further report, and
// before the next check for expired announcements.
func TestRunDrainsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drainPeriod = 400 * time.Millisecond
		drained := make(chan time.Time, 1)
		rg := New(time.Now, func(ups []membership.Upstream) {
			if ups[0].Draining {
				drained <- time.Now()
			}
		})
		rg.SetDrainPeriod(drainPeriod)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = rg.Run(ctx) }()
		rp := Report{Upstream: membership.Upstream{Service: "cassa", Slots: 4, Address: "10.0.0.1:80", Instance: "i-1"}, Number: 1}
		if err := rg.AddReport(rp); err != nil {
			t.Fatal(err)
		}
		begun := time.Now()
		rp.Number, rp.Upstream.Draining = 2, true
		if err := rg.AddReport(rp); err != nil {
			t.Fatal(err)
		}
		if took := (<-drained).Sub(begun); took > drainPeriod {
			t.Errorf("draining after %v of %v", took, drainPeriod)
		}
	})
}

// Guards against a departure that is dropped as the oldest because the wall clock was set back: a
// node that starts again would believe late reports from before it.
func TestDepartureAfterClockStepIsNotOld(t *testing.T) {
	now := time.Unix(1000, 0)
	rg := New(func() time.Time { return now }, func([]membership.Upstream) {})
	report := func(instance string, started time.Time, number uint64) Report {
		return Report{Upstream: membership.Upstream{Service: "s", Instance: instance, Address: "127.0.0.1:1"}, StartTime: started, Number: number}
	}
	run := func(instance string) Report {
		t.Helper()
		rp := report(instance, now, 1)
		if err := rg.AddReport(rp); err != nil {
			t.Fatalf("%s: %v", instance, err)
		}
		now = now.Add(time.Second)
		rg.EndInstance(instance)
		return rp
	}
	for n := range membership.MaxDepartures {
		run(fmt.Sprint("before-", n))
	}
	// The upstream that comes next has started after the others, before the step.
	late := report("after", now, 1)
	if err := rg.AddReport(late); err != nil {
		t.Fatal(err)
	}
	now = now.Add(-time.Minute)
	rg.EndInstance("after")

	held := rg.Departures()
	rg = New(func() time.Time { return now }, func([]membership.Upstream) {})
	rg.AwaitRecall()
	rg.Restore(held, true)
	if err := rg.AddReport(late); !errors.Is(err, ErrStaleReport) {
		t.Errorf("late report after a restart: %v, want ErrStaleReport", err)
	}
}

// TestRunAfterClockStepIsNotDeparted guards against a departure that says nothing of its start and is
// taken to be later than it was, as one from before a step of the clock is. A run under the same id
// that starts after it must be announced.
func TestRunAfterClockStepIsNotDeparted(t *testing.T) {
	now := time.Unix(1000, 0)
	rg := New(func() time.Time { return now }, func([]membership.Upstream) {})
	report := func(instance string) error {
		return rg.AddReport(Report{
			Upstream:  membership.Upstream{Service: "s", Instance: instance, Address: "127.0.0.1:1"},
			StartTime: now, Number: 1,
		})
	}
	if err := report("before"); err != nil {
		t.Fatal(err)
	}
	now = now.Add(2 * time.Minute)
	rg.EndInstance("before")
	now = now.Add(-time.Minute)
	rg.EndInstance("again")
	now = now.Add(2 * time.Second)
	if err := report("again"); err != nil {
		t.Errorf("report of a run that started 2 s after the departure of the one before: %v", err)
	}
}
