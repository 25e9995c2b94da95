package config_test

import (
	"math/rand/v2"
	"testing"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/schema"
)

// routedConfiguration returns a configuration with one route, which sends 90 % of its
// requests to service a and 10 % to b.
func routedConfiguration() *schema.Configuration {
	service := func(name string) *schema.Service {
		return &schema.Service{Name: name, RetryRatioPercent: 10, MaxRequestBytes: 100, MaxAnswerBytes: 100}
	}
	return &schema.Configuration{
		Deployment: "test", Version: 1, FailureDomains: []*schema.FailureDomain{{Name: "d1", Region: "r1"}},
		Services: []*schema.Service{service("a"), service("b")},
		Routes: []*schema.Route{{
			Name: "split", Host: "h.example", PathPrefix: "/x/", Importance: 5, DeadlineMs: 100, Attempts: 2,
			Shares: []*schema.RouteShare{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}},
		}},
	}
}

// TestRequestsFollowWeights checks that the requests of a route are shared in proportion
// to the weights of its services.
func TestRequestsFollowWeights(t *testing.T) {
	cd, err := config.Compile(routedConfiguration(), 1)
	if err != nil {
		t.Fatal(err)
	}
	rt, ok := cd.Route("H.example:8080", "/x/1")
	if !ok {
		t.Fatal("no route")
	}
	rng := rand.New(rand.NewPCG(1, 1))
	counts := make(map[call.Service]int)
	for range 10_000 {
		counts[rt.PickKind(rng.Uint64()).Service]++
	}
	if counts["b"] < 900 || counts["b"] > 1100 {
		t.Errorf("b has %d of 10000 requests, want about 1000", counts["b"])
	}
}

func TestRouteDoesNotAllocate(t *testing.T) {
	cd, err := config.Compile(routedConfiguration(), 1)
	if err != nil {
		t.Fatal(err)
	}
	if count := testing.AllocsPerRun(100, func() { cd.Route("h.example", "/x/1/2/3") }); count != 0 {
		t.Errorf("Route allocates %v times, want 0", count)
	}
}

// TestDecideFrom checks that a version is refused unless it was made from the version in
// force, and that a repeated proposal is still accepted after later versions.
func TestDecideFrom(t *testing.T) {
	hi := config.NewHistory(10, nil)
	for _, tt := range []struct {
		base, version config.Version
		digest        byte
		want          config.Decision
	}{
		{0, 3, 1, config.Accept{Revision: 1}},
		{0, 4, 2, config.Conflict{Winner: config.Accepted{Version: 3, Revision: 1, Digest: config.Digest{1}}}},
		{3, 7, 3, config.Accept{Revision: 1}},
		{3, 7, 4, config.Conflict{Winner: config.Accepted{Version: 7, Revision: 1, Digest: config.Digest{3}}}},
		{7, 6, 5, config.Stale{InForce: config.Accepted{Version: 7, Revision: 1, Digest: config.Digest{3}}}},
		{0, 3, 1, config.Accept{Revision: 1, AlreadyAccepted: true}},
	} {
		if got := hi.DecideFrom(tt.base, tt.version, 1, config.Digest{tt.digest}); got != tt.want {
			t.Errorf("version %d from %d: %+v, want %+v", tt.version, tt.base, got, tt.want)
		}
	}
}
