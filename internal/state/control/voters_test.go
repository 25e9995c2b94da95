package control

import (
	"context"
	"net/http"
	"testing"

	"camphortrail/internal/traffic/peer"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// newElasticFleet starts elastic replicas, each in the failure domain given for it. The first three
// create the log.
func newElasticFleet(t testing.TB, opt Options, domains ...string) *fleet {
	t.Helper()
	fl := &fleet{t: t, transport: peer.NewTransport()}
	number := fleets.Add(1)
	var seeds []*schema.ControlReplica
	var contacts []string
	for range domains {
		address := freeAddress(t, number)
		fl.clients = append(fl.clients, schemaconnect.NewControlClient(&http.Client{Transport: fl.transport}, "http://"+address))
		fl.replicas = append(fl.replicas, &schema.ControlReplica{Name: address, Address: address})
	}
	seeds = fl.replicas[:3]
	for _, seed := range seeds {
		contacts = append(contacts, seed.GetAddress())
	}
	opt.Elastic = true
	ctx, cancel := context.WithCancel(context.Background())
	var ended []chan error
	t.Cleanup(func() {
		cancel()
		for _, done := range ended {
			<-done
		}
		fl.transport.CloseIdleConnections()
	})
	for i, domain := range domains {
		co, err := New(&schema.Settings{
			Name: fl.replicas[i].GetName(), Deployment: deployment, FailureDomain: domain, PeerAddress: fl.replicas[i].GetAddress(),
			DataFolder: t.TempDir(), FirstContacts: contacts, ControlReplicas: seeds,
		}, opt)
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan error, 1)
		ended = append(ended, done)
		go func() { done <- co.Run(ctx) }()
	}
	return fl
}

// voters returns the indexes of the replicas that vote.
func (fl *fleet) voters() []int {
	var list []int
	for i := range fl.clients {
		if role := fl.status(i).GetRole(); role == "leader" || role == "follower" {
			list = append(list, i)
		}
	}
	return list
}

// Guards against voters of one failure domain while others have replicas: all of them are lost
// with it.
func TestVotersAreInDifferentFailureDomains(t *testing.T) {
	domains := []string{"d1", "d1", "d1", "d2", "d2", "d3"}
	fl := newElasticFleet(t, Options{}, domains...)
	fl.until("voters in three failure domains", func() bool {
		seen := make(map[string]bool)
		list := fl.voters()
		for _, i := range list {
			seen[domains[i]] = true
		}
		return len(list) == 3 && len(seen) == 3
	})
}

// Guards against fewer voters than two losses at the same time need, though there are replicas for
// more: an acknowledged configuration would be on two disks only.
func TestVotersOutlastTwoLosses(t *testing.T) {
	fl := newElasticFleet(t, Options{Voters: 5}, "d1", "d2", "d3", "d4", "d5", "d6")
	fl.until("five voters", func() bool { return len(fl.voters()) == 5 })
}
