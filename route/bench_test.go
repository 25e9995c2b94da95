package route

import (
	"fmt"
	"testing"
	"time"

	"camphortrail/call"
)

// largeTable returns a table of 1,100 VMs in 28 services and 5 failure domains.
func largeTable() *Table {
	tb := New(Settings{Domain: "d0"}, testRand())
	tb.Step(epoch, SameRegion{Domains: []call.FailureDomain{"d1", "d2"}})
	for i := range 1100 {
		tb.Step(epoch, Upsert{
			VM: call.VM(fmt.Sprintf("vm-%d", i)), Service: call.Service(fmt.Sprintf("service-%d", i%28)),
			Domain: call.FailureDomain(fmt.Sprintf("d%d", i/28%5)), Slots: 60,
		})
	}
	return tb
}

func BenchmarkChoose(b *testing.B) {
	for _, bm := range []struct {
		name   string
		level  call.Level
		gap    time.Duration
		byCost bool
	}{
		{"admitted", 0, time.Nanosecond, false},
		{"shed", call.LevelOf(7, 0), time.Nanosecond, false},
		{"shed-rarely", call.LevelOf(7, 0), 100 * time.Microsecond, false},
		{"by-cost", 0, time.Microsecond, true},
	} {
		b.Run(bm.name, func(b *testing.B) {
			tb := largeTable()
			tb.Step(epoch, Placement{ByCost: bm.byCost})
			load := Load{Reported: bm.byCost, Ahead: 3 * time.Millisecond, Slowness: 1.2, Own: time.Millisecond, Cost: time.Millisecond}
			services := tb.Services()
			now := epoch
			for _, service := range services {
				for _, ui := range tb.Upstreams(now, service) {
					tb.Step(now, Sent{Service: service, VM: ui.VM})
					tb.Step(now, Answered{Service: service, VM: ui.VM, Latency: time.Millisecond, Outcome: call.Done, Level: bm.level})
				}
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now = now.Add(bm.gap)
				rq := Request{Service: services[i%len(services)], Importance: 3, Cohort: call.Cohort(i), Cost: load.Cost}
				if vm, err := tb.Choose(now, rq); err == nil {
					tb.Step(now, Sent{Service: rq.Service, VM: vm})
					tb.Step(now, Answered{
						Service: rq.Service, VM: vm, Latency: time.Millisecond, Outcome: call.Done, Level: bm.level, Load: load,
					})
				}
			}
		})
	}
}
