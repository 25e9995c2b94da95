package membership_test

import (
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/membership"
	"camphortrail/schema"
)

// TestInvalidDatagramsAreRefused checks that each invalid datagram or record is counted
// as refused once and adds no member.
func TestInvalidDatagramsAreRefused(t *testing.T) {
	member := &schema.Member{Name: "vm-9", Incarnation: 1, State: schema.Member_STATE_ALIVE, Address: "10.0.0.9:1", FailureDomain: "domain-0"}
	change := func(f func(mb *schema.Member)) *schema.Datagram {
		mb := proto.CloneOf(member)
		f(mb)
		return &schema.Datagram{Members: []*schema.Member{mb}}
	}
	refused := func(ct membership.Counters) uint64 {
		return ct.RefusedDeployment + ct.RefusedMalformed + ct.RefusedTarget + ct.RefusedRecords
	}
	for name, dg := range map[string]*schema.Datagram{
		"deployment":     {Deployment: "other"},
		"own address":    {FromAddress: address(0).String()},
		"address":        {FromAddress: "vm-9:7000"},
		"no name":        {From: "-"},
		"wrong target":   {Kind: schema.Datagram_KIND_PROBE, Target: "vm-0001"},
		"parts":          {Digests: []*schema.DomainDigest{{FailureDomain: "domain-0", Parts: []uint32{1}}}},
		"domains":        {Digests: make([]*schema.DomainDigest, 100)},
		"state":          change(func(mb *schema.Member) { mb.State = 9 }),
		"member name":    change(func(mb *schema.Member) { mb.Name = strings.Repeat("x", 65) }),
		"incarnation":    change(func(mb *schema.Member) { mb.Incarnation = 1 << 60 }),
		"member address": change(func(mb *schema.Member) { mb.Address = "10.0.0.9" }),
		"domain":         change(func(mb *schema.Member) { mb.FailureDomain = "" }),
		"port":           change(func(mb *schema.Member) { mb.Address = "10.0.0.9:65536" }),
		"no port":        change(func(mb *schema.Member) { mb.Address = "10.0.0.9:0" }),
		"sender's port":  {FromAddress: "10.0.0.9:0"},
		"far start":      change(func(mb *schema.Member) { mb.Incarnation = 1 << 53 }),
		"refutation":     change(func(mb *schema.Member) { mb.Refutation = math.MaxUint64 }),
		"announcement":   change(func(mb *schema.Member) { mb.Announcement = math.MaxUint64 }),
		"upstreams":      change(func(mb *schema.Member) { mb.Upstreams = make([]*schema.AnnouncedUpstream, 9) }),
	} {
		t.Run(name, func(t *testing.T) {
			nw := newNetwork(1)
			pr := nw.start("vm-0000", address(0), "domain-0")
			good := &schema.Datagram{Deployment: "test", From: "vm-9", FromAddress: "10.0.0.9:1", Kind: schema.Datagram_KIND_UPDATES}
			pr.Step(nw.now, membership.Receive{Datagram: good})
			if n := refused(pr.Counters()); n != 0 {
				t.Fatalf("a valid datagram is refused: %+v", pr.Counters())
			}
			bad := proto.CloneOf(good)
			proto.Merge(bad, dg)
			if dg.From == "-" {
				bad.From = ""
			}
			pr.Step(nw.now, membership.Receive{Datagram: bad})
			if n := refused(pr.Counters()); n != 1 {
				t.Errorf("%d refused, want 1: %+v", n, pr.Counters())
			}
			for mb := range pr.Members {
				if mb.Name != "vm-0000" {
					t.Errorf("an invalid datagram added %+v", mb)
				}
			}
		})
	}
}

// TestClockGoneBack restarts a process whose clock has gone back by an hour. Its
// incarnation must still exceed the one before.
func TestClockGoneBack(t *testing.T) {
	nw := newNetwork(1)
	nw.cluster(6, 2)
	nw.settle(t, 10*time.Second)
	old := nw.procs[address(3)].Self()
	nw.stop(address(3))
	nw.now, clockLag = nw.now.Add(time.Second), time.Hour
	defer func() { clockLag = 0 }()
	pr := nw.start(old.Name, address(30), "domain-0", address(0))
	nw.settle(t, 10*time.Second)
	if self := pr.Self(); self.Incarnation <= old.Incarnation || pr.Counters().Conflicts != 1 {
		t.Errorf("incarnation %d, want one above %d and 1 conflict: %+v", self.Incarnation, old.Incarnation, pr.Counters())
	}
}

// TestTableIsBounded sends more records than the table can hold, and checks that the
// excess ones are counted as refused.
func TestTableIsBounded(t *testing.T) {
	nw := newNetwork(1)
	pr := nw.start("vm-0000", address(0), "domain-0")
	for i := 1; i <= 5000; i++ {
		pr.Step(nw.now, membership.Receive{Datagram: &schema.Datagram{
			Deployment: "test", From: "vm-9999", FromAddress: "10.0.0.9:1", Kind: schema.Datagram_KIND_UPDATES,
			Members: []*schema.Member{{
				Name: string(vmName(i)), Incarnation: 1, State: schema.Member_STATE_ALIVE,
				Address: address(i).String(), FailureDomain: "domain-0",
			}},
		}})
	}
	n := 0
	for range pr.Members {
		n++
	}
	if n != 4096 || pr.Counters().RefusedTableFull != 5001-4096 {
		t.Errorf("%d members, want 4096 and all others refused: %+v", n, pr.Counters())
	}
}
