package membership_test

import (
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/schema"
)

// oddUpstreams are announcements that cannot be used, by the field and value
// that their errors name.
var oddUpstreams = map[string]*schema.AnnouncedUpstream{
	"slots 4294967295":       {Service: "cassa", Slots: math.MaxUint32},
	"slots 100001":           {Service: "cassa", Slots: membership.MaxSlots + 1},
	"connections 4294967295": {Service: "cassa", Slots: 1, Connections: math.MaxUint32},
	"warm-up 1193h2m47.295s": {Service: "cassa", Slots: 1, WarmUpMs: math.MaxUint32},
	`service ""`:             {Slots: 1},
	`service "` + strings.Repeat("x", membership.MaxNameBytes): {Service: strings.Repeat("x", membership.MaxNameBytes+1), Slots: 1},
}

func memberOf(n int, announcement uint64, ups ...*schema.AnnouncedUpstream) *schema.Member {
	return &schema.Member{
		Name: string(vmName(n)), Incarnation: 1, State: schema.Member_STATE_ALIVE, Announcement: announcement,
		Address: address(n).String(), FailureDomain: "domain-0", Role: string(membership.NodeRole), Upstreams: ups,
	}
}

// gossiped hands records to a process, as if from the process with number 1,
// and returns the errors that it reports.
func gossiped(nw *network, pr *process, mbs ...*schema.Member) (errs []error) {
	for _, ac := range pr.Step(nw.now, membership.Receive{Datagram: &schema.Datagram{
		Deployment: "test", From: string(vmName(1)), FromIncarnation: 1, FromAddress: address(1).String(),
		Kind: schema.Datagram_KIND_UPDATES, Members: mbs,
	}}) {
		if rf, ok := ac.(membership.RecordRefused); ok {
			errs = append(errs, rf.Err)
		}
	}
	return errs
}

func known(pr *process) map[call.VM]membership.Member {
	all := make(map[call.VM]membership.Member)
	for mb := range pr.Members {
		all[mb.Name] = mb
	}
	return all
}

// One odd upstream hid its own node and all the others of the same datagram.
func TestOddUpstreamHidesOthers(t *testing.T) {
	for named, odd := range oddUpstreams {
		t.Run(named, func(t *testing.T) {
			nw := newNetwork(1)
			pr := nw.start(vmName(0), address(0), "domain-0")
			sound := &schema.AnnouncedUpstream{Service: "cassa", Slots: 30}
			other := &schema.AnnouncedUpstream{Service: "sportello", Slots: 5}
			gossiped(nw, pr, memberOf(2, 1, sound))
			errs := gossiped(nw, pr, memberOf(2, 2, odd, other), memberOf(3, 1, odd), memberOf(4, 1, sound))
			if len(errs) != 1 || !errors.Is(errs[0], membership.ErrMalformed) || !strings.Contains(errs[0].Error(), named) ||
				!strings.Contains(errs[0].Error(), string(vmName(2))) {
				t.Errorf("errors %v, want one that names %s", errs, named)
			}
			if ct := pr.Counters(); ct.RefusedRecords != 2 || ct.RefusedMalformed != 0 {
				t.Errorf("counters %+v", ct)
			}
			all := known(pr)
			slots := func(n int) (text string) {
				for _, up := range all[vmName(n)].Upstreams {
					text += fmt.Sprintf("%s %d ", up.Service, up.Slots)
				}
				return text
			}
			want := "sportello 5 cassa 30 "
			if odd.GetService() != "cassa" {
				want = "sportello 5 "
			}
			if got := slots(2); got != want {
				t.Errorf("of the upstream that was known: %q, want %q", got, want)
			}
			if mb, ok := all[vmName(3)]; !ok || len(mb.Upstreams) != 0 {
				t.Errorf("of a node with an odd upstream only: %+v, %t", mb, ok)
			}
			if got := slots(4); got != "cassa 30 " {
				t.Errorf("of the last node: %q", got)
			}
			// The next announcement is followed.
			sound.Slots = 31
			gossiped(nw, pr, memberOf(2, 3, sound), memberOf(3, 2, sound))
			all = known(pr)
			for _, n := range []int{2, 3} {
				if got := slots(n); got != "cassa 31 " {
					t.Errorf("vm %d after its next announcement: %q", n, got)
				}
			}
		})
	}
}

// A process about which others had heard of an odd count was not followed again.
func TestOddCountHidesProcess(t *testing.T) {
	for name, change := range map[string]func(mb *schema.Member){
		"announcement":           func(mb *schema.Member) { mb.Announcement = math.MaxUint64 },
		"greatest announcement":  func(mb *schema.Member) { mb.Announcement = 1 << 53 },
		"refutation":             func(mb *schema.Member) { mb.Refutation = math.MaxUint64 },
		"greatest refutation":    func(mb *schema.Member) { mb.Refutation = 1 << 53 },
		"suspicion":              func(mb *schema.Member) { mb.Refutation, mb.State = 1<<53, schema.Member_STATE_SUSPECT },
		"death":                  func(mb *schema.Member) { mb.Refutation, mb.State = 1<<53, schema.Member_STATE_DEAD },
		"incarnation":            func(mb *schema.Member) { mb.Incarnation = math.MaxUint64 },
		"incarnation of doubles": func(mb *schema.Member) { mb.Incarnation = 1 << 53 },
		"later incarnation":      func(mb *schema.Member) { mb.Incarnation = 1 << 44 },
	} {
		t.Run(name, func(t *testing.T) {
			nw := newNetwork(1)
			nw.cluster(8, 2)
			nw.settle(t, 10*time.Second)
			self := nw.procs[address(5)].Self()
			odd := memberOf(5, uint64(self.Announcement))
			odd.Incarnation, odd.FailureDomain = uint64(self.Incarnation), string(self.FailureDomain)
			change(odd)
			for n := range 8 {
				if n != 5 {
					nw.step(nw.procs[address(n)], membership.Receive{Datagram: &schema.Datagram{
						Deployment: "test", From: "vm-0999", FromIncarnation: 1, FromAddress: address(999).String(),
						Kind: schema.Datagram_KIND_UPDATES, Members: []*schema.Member{proto.CloneOf(odd)},
					}})
				}
			}
			nw.step(nw.procs[address(5)], membership.AnnounceUpstreams{Upstreams: []membership.Upstream{{Service: "cassa", Slots: 7}}})
			nw.settle(t, 30*time.Second)
			for n := range 8 {
				mb := known(nw.procs[address(n)])[vmName(5)]
				if mb.State != membership.Alive || len(mb.Upstreams) != 1 || mb.Upstreams[0].Slots != 7 {
					t.Errorf("vm %d knows %+v", n, mb)
				}
			}
		})
	}
}

// A node that was told of an odd revision waited for it.
func TestOddRevisionIsNotHinted(t *testing.T) {
	nw := newNetwork(1)
	pr := nw.start(vmName(0), address(0), "domain-0")
	for _, revision := range []uint64{math.MaxUint64, membership.MaxRevision + 1, membership.MaxRevision} {
		hinted, named := false, false
		for _, ac := range pr.Step(nw.now, membership.Receive{Datagram: &schema.Datagram{
			Deployment: "test", From: string(vmName(1)), FromIncarnation: 1, FromAddress: address(1).String(),
			Kind: schema.Datagram_KIND_UPDATES, Revision: revision,
		}}) {
			switch ac := ac.(type) {
			case membership.RevisionHint:
				hinted = true
			case membership.RecordRefused:
				named = strings.Contains(ac.Err.Error(), fmt.Sprint("revision ", revision))
			}
		}
		if odd := revision > membership.MaxRevision; hinted == odd || named != odd {
			t.Errorf("revision %d: hinted %t, refused by name %t", revision, hinted, named)
		}
		nw.now = nw.now.Add(2 * time.Second)
	}
}

// FuzzDatagram gives any datagram to a process that knows others, which it goes
// on to know and to follow.
func FuzzDatagram(f *testing.F) {
	add := func(dg *schema.Datagram) {
		data, err := proto.Marshal(dg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, odd := range oddUpstreams {
		add(&schema.Datagram{Kind: schema.Datagram_KIND_UPDATES, Members: []*schema.Member{memberOf(2, 2, odd)}})
	}
	for kind := range schema.Datagram_Kind_name {
		add(&schema.Datagram{
			Kind: schema.Datagram_Kind(kind), Sequence: math.MaxUint64, Target: string(vmName(0)), TargetAddress: "10.0.0.9:0",
			Members: []*schema.Member{memberOf(2, math.MaxUint64)}, FromIncarnation: math.MaxUint64, Revision: math.MaxUint64,
			Digests: []*schema.DomainDigest{{FailureDomain: "domain-0", Digest: 1, Parts: make([]uint32, 32), Last: true}, {}},
			Restore: true, Reconcile: true, ViewDigest: 1,
		})
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		dg := new(schema.Datagram)
		if len(data) > 2048 || proto.Unmarshal(data, dg) != nil {
			t.Skip()
		}
		nw := newNetwork(1)
		pr := nw.start(vmName(0), address(0), "domain-0")
		gossiped(nw, pr, memberOf(1, 1), memberOf(2, 1), memberOf(3, 1))
		dg.Deployment = "test"
		if dg.GetFrom() == "" {
			dg.From, dg.FromAddress = string(vmName(1)), address(1).String()
		}
		pr.Step(nw.now, membership.Receive{Datagram: dg})
		for range 5 {
			nw.now = nw.now.Add(membership.TickInterval)
			pr.Step(nw.now, membership.Tick{})
		}
		touched := map[string]bool{dg.GetFrom(): true}
		for _, msg := range dg.GetMembers() {
			touched[msg.GetName()] = true
		}
		for mb := range pr.Members {
			if err := checkMember(mb); err != nil {
				t.Error(err)
			}
		}
		sound := &schema.AnnouncedUpstream{Service: "cassa", Slots: 30}
		gossiped(nw, pr, memberOf(1, 2, sound), memberOf(2, 2, sound), memberOf(3, 2, sound))
		all := known(pr)
		for n := 1; n <= 3; n++ {
			if mb := all[vmName(n)]; !touched[string(vmName(n))] && (len(mb.Upstreams) != 1 || mb.Upstreams[0].Slots != 30) {
				t.Errorf("not followed: %+v", mb)
			}
		}
	})
}

func checkMember(mb membership.Member) error {
	if !mb.Address.IsValid() || mb.Address.Port() == 0 {
		return fmt.Errorf("%s at %v", mb.Name, mb.Address)
	}
	for _, up := range mb.Upstreams {
		if err := up.Validate(); err != nil {
			return err
		}
	}
	return nil
}
