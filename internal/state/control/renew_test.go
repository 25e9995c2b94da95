package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	"camphortrail/schema"
)

// TestOnlyTheLeaderRenews guards against a proof or an allowance of a replica that does not hold
// the lease, against a proof of an older revision than the acknowledged one, and against a grant
// that does not get the configuration in force.
func TestOnlyTheLeaderRenews(t *testing.T) {
	t.Parallel()
	const size = 3
	var grants atomic.Int64
	var granted atomic.Pointer[schema.Configuration]
	fl := newFleetWith(t, size, Options{
		Lead: func(_ time.Time, term uint64) {
			if term == 0 {
				t.Error("no term of the replicated log")
			}
		},
		Grant: func(_ time.Time, child string, cfg *schema.Configuration, list []*schema.CustomerDemand) []*schema.CustomerAllowance {
			grants.Add(1)
			granted.Store(cfg)
			return []*schema.CustomerAllowance{{Customer: list[0].GetCustomer() + " of " + child}}
		},
	})
	renew := func(i int) (*schema.RenewalAnswer, error) {
		ctx, stop := context.WithTimeout(t.Context(), testTimeout)
		defer stop()
		rs, err := fl.clients[i].Renew(ctx, connect.NewRequest(&schema.Renewal{
			From: "vm-1", Number: 7, Demands: []*schema.CustomerDemand{{Customer: "c"}},
		}))
		if err != nil {
			return nil, err
		}
		return rs.Msg, nil
	}
	for version := uint64(1); version <= 3; version++ {
		revision := fl.mustAccept(configuration(version, "sportello"))
		answers := 0
		for i := range size {
			before := grants.Load()
			an, err := renew(i)
			if err != nil {
				if connect.CodeOf(err) != connect.CodeUnavailable || grants.Load() != before {
					t.Errorf("replica %d: %v, %d grants", i, err, grants.Load()-before)
				}
				continue
			}
			answers++
			if !an.GetProved() || an.GetRevision() < revision || an.GetProofAgeUs() != 0 || an.GetNumber() != 7 {
				t.Errorf("replica %d answers %v after revision %d was acknowledged", i, an, revision)
			}
			if list := an.GetAllowances(); len(list) != 1 || list[0].GetCustomer() != "c of vm-1" || granted.Load().GetVersion() != version {
				t.Errorf("allowances %v for version %d, want those of version %d", list, granted.Load().GetVersion(), version)
			}
		}
		if answers > 1 {
			t.Errorf("%d replicas answer", answers)
		}
	}
	if grants.Load() == 0 {
		t.Error("no replica answered")
	}
}

// TestLeadIsCalledWithoutRenewals guards against buckets of customers that begin to fill only at the
// first renewal of a term, so that the first requests after a start are refused.
func TestLeadIsCalledWithoutRenewals(t *testing.T) {
	t.Parallel()
	terms := make(chan uint64, 100)
	fl := newFleetWith(t, 3, Options{Lead: func(_ time.Time, term uint64) { terms <- term }})
	fl.mustAccept(configuration(1, "sportello"))
	select {
	case term := <-terms:
		if term == 0 {
			t.Error("no term of the replicated log")
		}
	case <-time.After(testTimeout):
		t.Error("a leader holds its lease, and Lead was not called")
	}
}

// TestIsolatedLeaderGivesNoProof guards against a leader that goes on to prove its configuration
// after another replica may lead.
func TestIsolatedLeaderGivesNoProof(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	fl.mustAccept(configuration(1, "sportello"))
	leader := -1
	for end := time.Now().Add(testTimeout); leader < 0; {
		for i := range fl.controls {
			if fl.controls[i].isLeading() {
				leader = i
			}
		}
		if time.Now().After(end) {
			t.Fatal("no leader")
		}
	}
	fl.isolated[leader].Store(true)
	revision := fl.mustAccept(configuration(2, "sportello"))
	rs, err := fl.clients[leader].Renew(t.Context(), connect.NewRequest(new(schema.Renewal)))
	if err == nil && rs.Msg.GetRevision() < revision {
		t.Errorf("the isolated leader proves revision %d after %d was acknowledged", rs.Msg.GetRevision(), revision)
	}
}
