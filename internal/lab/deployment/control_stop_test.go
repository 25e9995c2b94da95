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

// TestStopControl stops and starts the leading control replica again and again
// while versions are applied. Each is accepted, and the last one is in force.
func TestStopControl(t *testing.T) {
	t.Parallel()
	fl := startFleet(t, 3, time.Second, standin.UpstreamOptions{Service: front, Slots: 5})
	const stops = 3
	var applied atomic.Uint64
	ctx, enough := context.WithCancel(t.Context())
	defer enough()
	var operator sync.WaitGroup
	operator.Go(func() {
		for version := uint64(2); ctx.Err() == nil && fl.apply(version); version++ {
			applied.Store(version)
		}
	})
	for range stops {
		led := fl.stopLeader()
		before := applied.Load()
		fl.until("versions without the stopped replica", func() bool { return applied.Load() > before+5 })
		if err := fl.StartControl(led); err != nil {
			t.Fatal(err)
		}
	}
	enough()
	operator.Wait()
	last := applied.Load()
	got := fl.fetch()
	if !proto.Equal(got.GetConfiguration(), configuration(last, time.Second)) || got.GetRevision() != fl.revision {
		t.Errorf("version %d in force as revision %d, want %d as %d",
			got.GetConfiguration().GetVersion(), got.GetRevision(), last, fl.revision)
	}
	wait, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	if err := fl.WaitReady(wait, fl.revision); err != nil {
		t.Error(err)
	}
	t.Logf("%d versions accepted over %d stops", last, stops)
}

// apply applies a version and reports whether it was accepted with a higher
// revision than the one before.
func (fl *fleet) apply(version uint64) bool {
	ctx, stop := context.WithTimeout(fl.t.Context(), patience)
	defer stop()
	rs, err := fl.Client.Apply(ctx, configuration(version, time.Second))
	if err != nil || rs.GetRevision() <= fl.revision {
		fl.t.Errorf("version %d: revision %d after %d, %v", version, rs.GetRevision(), fl.revision, err)
		return false
	}
	fl.revision = rs.GetRevision()
	return true
}

// fetch returns the configuration that the control replicas prove to be in
// force.
func (fl *fleet) fetch() *schema.FetchResponse {
	fl.t.Helper()
	var got *schema.FetchResponse
	fl.until("a current replica", func() bool {
		for _, address := range fl.Client.Controls {
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
