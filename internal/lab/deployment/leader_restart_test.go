package deployment

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"camphortrail/internal/lab/standin"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// TestLeaderRestarts stops the leading control replica and starts it again, three times,
// while versions are applied. Each version must be accepted with a higher revision, and
// the last one must come into force.
func TestLeaderRestarts(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 3, time.Second, standin.UpstreamOptions{Service: front, Slots: 5})
	const stops = 3
	var applied atomic.Uint64
	ctx, endApplies := context.WithCancel(t.Context())
	defer endApplies()
	var applier sync.WaitGroup
	applier.Go(func() {
		for version := uint64(2); ctx.Err() == nil && fl.apply(version); version++ {
			applied.Store(version)
		}
	})
	for range stops {
		stopped := fl.stopLeader()
		before := applied.Load()
		fl.waitFor("versions accepted without the stopped replica", func() bool { return applied.Load() > before+5 })
		if err := fl.StartControl(stopped); err != nil {
			t.Fatal(err)
		}
	}
	endApplies()
	applier.Wait()
	last := applied.Load()
	got := fl.fetch()
	if !proto.Equal(got.GetConfiguration(), configuration(last, time.Second)) || got.GetRevision() != fl.revision {
		t.Errorf("version %d in force as revision %d, want %d as %d",
			got.GetConfiguration().GetVersion(), got.GetRevision(), last, fl.revision)
	}
	wait, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	if err := fl.WaitReady(wait, fl.revision); err != nil {
		t.Error(err)
	}
	t.Logf("%d versions accepted over %d stops", last, stops)
}

// apply applies a version and reports whether it was accepted with a higher
// revision than the one before.
func (fl *fleet) apply(version uint64) bool {
	ctx, stop := context.WithTimeout(fl.t.Context(), testTimeout)
	defer stop()
	rs, err := fl.Client.Apply(ctx, configuration(version, time.Second))
	if err != nil || rs.GetRevision() <= fl.revision {
		fl.t.Errorf("version %d: revision %d after %d, %v", version, rs.GetRevision(), fl.revision, err)
		return false
	}
	fl.revision = rs.GetRevision()
	return true
}

// fetch returns the configuration that is in force according to a control replica that is
// current.
func (fl *fleet) fetch() *schema.FetchResponse {
	fl.t.Helper()
	var got *schema.FetchResponse
	fl.waitFor("a current replica", func() bool {
		for _, address := range fl.Client.ControlAddresses {
			client := schemaconnect.NewControlClient(fl.Client.HTTP, "http://"+address)
			rs, err := client.Fetch(fl.t.Context(), connect.NewRequest(&schema.FetchRequest{}))
			if err == nil {
				got = rs.Msg
				return true
			}
		}
		return false
	})
	return got
}
