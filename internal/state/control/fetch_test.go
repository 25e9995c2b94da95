package control

import (
	"context"
	"fmt"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"camphortrail/schema"
)

// largeConfiguration returns a configuration with the given numbers of services and of request
// kinds per service.
func largeConfiguration(services, kinds int) *schema.Configuration {
	cfg := &schema.Configuration{Deployment: deployment, Version: 1}
	for i := range services {
		sv := &schema.Service{Name: fmt.Sprint("service-", i), RetryRatioPercent: 10, MaxRequestBytes: 1 << 20, MaxAnswerBytes: 1 << 20}
		for j := range kinds {
			sv.Requests = append(sv.Requests, &schema.RequestKind{
				Name: fmt.Sprint("request-", j), Method: "GET", PathPrefix: fmt.Sprintf("/service-%d/request-%d", i, j),
				Class: "lookup", Idempotent: true, DeadlineMs: 2000, RetryTotal: 3,
			})
		}
		cfg.Services = append(cfg.Services, sv)
	}
	return cfg
}

// TestFetchSendsOnlyWhatIsNew fetches with an older, the current and a newer revision.
func TestFetchSendsOnlyWhatIsNew(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 1)
	revision := fl.mustAccept(largeConfiguration(2, 2))
	for _, tc := range []struct {
		have uint64
		want bool
	}{{0, true}, {revision - 1, true}, {revision, false}, {revision + 1, false}} {
		rs, err := fl.clients[0].Fetch(context.Background(), connect.NewRequest(&schema.FetchRequest{HaveRevision: tc.have}))
		if err != nil {
			t.Fatal(err)
		}
		if got := rs.Msg.GetConfiguration() != nil; got != tc.want || rs.Msg.GetRevision() != revision {
			t.Errorf("have %d: configuration sent: %v at revision %d, want %v at %d", tc.have, got, rs.Msg.GetRevision(), tc.want, revision)
		}
	}
}

// BenchmarkFetch fetches a configuration of 28 services with 10 request kinds each, both by a
// node that has an older revision and by one that has the newest.
func BenchmarkFetch(b *testing.B) {
	fl := newFleet(b, 1)
	cfg := largeConfiguration(28, 10)
	fl.mustAccept(cfg)
	b.ReportMetric(float64(proto.Size(cfg)), "config-bytes")
	for name, have := range map[string]uint64{"new": 0, "known": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := fl.clients[0].Fetch(context.Background(), connect.NewRequest(&schema.FetchRequest{HaveRevision: have})); err != nil {
						b.Error(err)
					}
				}
			})
		})
	}
}
