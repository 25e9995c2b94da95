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

// invalidUpstreams are announcements with values out of range. The key is the text by
// which the error names the field and its value.
var invalidUpstreams = map[string]*schema.AnnouncedUpstream{
	"slots 4294967295":       {Service: "cassa", Slots: math.MaxUint32},
	"slots 100001":           {Service: "cassa", Slots: membership.MaxSlots + 1},
	"connections 4294967295": {Service: "cassa", Slots: 1, Connections: math.MaxUint32},
	"warm-up 1193h2m47.295s": {Service: "cassa", Slots: 1, WarmUpMs: math.MaxUint32},
	`service ""`:             {Slots: 1},
	`service "` + strings.Repeat("x", membership.MaxNameBytes): {Service: strings.Repeat("x", membership.MaxNameBytes+1), Slots: 1},
}

// memberOf returns the record of process number n with an announcement.
func memberOf(n int, announcement uint64, ups ...*schema.AnnouncedUpstream) *schema.Member {
	return &schema.Member{
		Name: string(vmName(n)), Incarnation: 1, State: schema.Member_STATE_ALIVE, Announcement: announcement,
		Address: address(n).String(), FailureDomain: "domain-0", Role: string(membership.NodeRole), Upstreams: ups,
	}
}

// deliverRecords passes records to a process in a datagram from process number 1, and
// returns the errors of its RecordRefused actions.
func deliverRecords(nw *network, pr *process, mbs ...*schema.Member) (errs []error) {
	for _, ac := range pr.Step(nw.now, membership.Receive{Datagram: &schema.Datagram{
		Deployment: "test", From: string(vmName(1)), FromIncarnation: 1, FromAddress: address(1).String(),
		Kind: schema.Datagram_KIND_UPDATES, Members: mbs,
	}}) {
		if rr, ok := ac.(membership.RecordRefused); ok {
			errs = append(errs, rr.Err)
		}
	}
	return errs
}

// knownMembers returns the view of a process.
func knownMembers(pr *process) map[call.VM]membership.Member {
	all := make(map[call.VM]membership.Member)
	for mb := range pr.Members {
		all[mb.Name] = mb
	}
	return all
}

// TestInvalidUpstreamHidesNoOther checks that one invalid upstream is left out alone. If
// it made the whole record or datagram invalid, the other upstreams of the node, and the
// other nodes in the same datagram, would be hidden too.
func TestInvalidUpstreamHidesNoOther(t *testing.T) {
	for errText, invalid := range invalidUpstreams {
		t.Run(errText, func(t *testing.T) {
			nw := newNetwork(1)
			pr := nw.start(vmName(0), address(0), "domain-0")
			valid := &schema.AnnouncedUpstream{Service: "cassa", Slots: 30}
			other := &schema.AnnouncedUpstream{Service: "sportello", Slots: 5}
			deliverRecords(nw, pr, memberOf(2, 1, valid))
			errs := deliverRecords(nw, pr, memberOf(2, 2, invalid, other), memberOf(3, 1, invalid), memberOf(4, 1, valid))
			if len(errs) != 1 || !errors.Is(errs[0], membership.ErrMalformed) || !strings.Contains(errs[0].Error(), errText) ||
				!strings.Contains(errs[0].Error(), string(vmName(2))) {
				t.Errorf("errors %v, want one that names %s", errs, errText)
			}
			if ct := pr.Counters(); ct.RefusedRecords != 2 || ct.RefusedMalformed != 0 {
				t.Errorf("counters %+v, want 2 refused records and no refused datagram", ct)
			}
			all := knownMembers(pr)
			slots := func(n int) (text string) {
				for _, up := range all[vmName(n)].Upstreams {
					text += fmt.Sprintf("%s %d ", up.Service, up.Slots)
				}
				return text
			}
			want := "sportello 5 cassa 30 "
			if invalid.GetService() != "cassa" {
				want = "sportello 5 "
			}
			if got := slots(2); got != want {
				t.Errorf("vm 2 has upstreams %q, want %q", got, want)
			}
			if mb, ok := all[vmName(3)]; !ok || len(mb.Upstreams) != 0 {
				t.Errorf("vm 3, whose only upstream is invalid: %+v, known %t", mb, ok)
			}
			if got := slots(4); got != "cassa 30 " {
				t.Errorf("vm 4 has upstreams %q, want cassa 30", got)
			}
			// The next valid announcement takes effect.
			valid.Slots = 31
			deliverRecords(nw, pr, memberOf(2, 3, valid), memberOf(3, 2, valid))
			all = knownMembers(pr)
			for _, n := range []int{2, 3} {
				if got := slots(n); got != "cassa 31 " {
					t.Errorf("vm %d after its next announcement: %q", n, got)
				}
			}
		})
	}
}

// TestInvalidCountHidesNoProcess sends all other processes a record about one process
// with a count at or above the limit, or with a later incarnation. The process cannot
// exceed such a count with an update, so it has to replace the record by a new
// incarnation, and its next announcement has to reach all others.
func TestInvalidCountHidesNoProcess(t *testing.T) {
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
			invalid := memberOf(5, uint64(self.Announcement))
			invalid.Incarnation, invalid.FailureDomain = uint64(self.Incarnation), string(self.FailureDomain)
			change(invalid)
			for n := range 8 {
				if n != 5 {
					nw.step(nw.procs[address(n)], membership.Receive{Datagram: &schema.Datagram{
						Deployment: "test", From: "vm-0999", FromIncarnation: 1, FromAddress: address(999).String(),
						Kind: schema.Datagram_KIND_UPDATES, Members: []*schema.Member{proto.CloneOf(invalid)},
					}})
				}
			}
			nw.step(nw.procs[address(5)], membership.AnnounceUpstreams{Upstreams: []membership.Upstream{{Service: "cassa", Slots: 7}}})
			nw.settle(t, 30*time.Second)
			for n := range 8 {
				mb := knownMembers(nw.procs[address(n)])[vmName(5)]
				if mb.State != membership.Alive || len(mb.Upstreams) != 1 || mb.Upstreams[0].Slots != 7 {
					t.Errorf("vm %d has the record %+v", n, mb)
				}
			}
		})
	}
}

// TestInvalidRevisionIsNotHinted checks that a revision above MaxRevision causes no
// RevisionHint. A node that received the hint would wait for a revision that cannot
// exist.
func TestInvalidRevisionIsNotHinted(t *testing.T) {
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
		if invalid := revision > membership.MaxRevision; hinted == invalid || named != invalid {
			t.Errorf("revision %d: hinted %t, refused by name %t", revision, hinted, named)
		}
		nw.now = nw.now.Add(2 * time.Second)
	}
}

// FuzzDatagram sends an arbitrary datagram to a process that knows others. All records in
// its view must stay valid, and it must accept later announcements of members that the
// datagram does not name.
func FuzzDatagram(f *testing.F) {
	add := func(dg *schema.Datagram) {
		data, err := proto.Marshal(dg)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	for _, invalid := range invalidUpstreams {
		add(&schema.Datagram{Kind: schema.Datagram_KIND_UPDATES, Members: []*schema.Member{memberOf(2, 2, invalid)}})
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
		deliverRecords(nw, pr, memberOf(1, 1), memberOf(2, 1), memberOf(3, 1))
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
		valid := &schema.AnnouncedUpstream{Service: "cassa", Slots: 30}
		deliverRecords(nw, pr, memberOf(1, 2, valid), memberOf(2, 2, valid), memberOf(3, 2, valid))
		all := knownMembers(pr)
		for n := 1; n <= 3; n++ {
			if mb := all[vmName(n)]; !touched[string(vmName(n))] && (len(mb.Upstreams) != 1 || mb.Upstreams[0].Slots != 30) {
				t.Errorf("later announcement not accepted: %+v", mb)
			}
		}
	})
}

// checkMember returns an error if a record has no usable address or an invalid upstream.
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

// A departure out of range must hide neither the member that announces it nor its other
// departures.
func TestInvalidDepartureHidesNoOther(t *testing.T) {
	nw := newNetwork(1)
	pr := nw.start(vmName(0), address(0), "domain-0")
	msg := memberOf(2, 1)
	msg.Departures = []*schema.Departure{
		{Instance: 1, StartMs: math.MaxUint64, AtMs: 5},
		{Instance: uint64(membership.HashInstance("i-2")), StartMs: 20, AtMs: 5},
		{Instance: 3, StartMs: 30, AtMs: 1 << 63},
	}
	for n := range 100 {
		msg.Departures = append(msg.Departures, &schema.Departure{Instance: uint64(n), StartMs: 40, AtMs: 5})
	}
	deliverRecords(nw, pr, msg)
	dps := knownMembers(pr)[vmName(2)].Departures
	if len(dps) != 1 || !dps[0].Covers("i-2", time.UnixMilli(20)) || dps[0].Covers("i-2", time.UnixMilli(21)) {
		t.Errorf("departures %+v, want only that of i-2", dps)
	}
}
