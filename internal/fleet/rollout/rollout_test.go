package rollout

import (
	"context"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"camphortrail/membership"
	"camphortrail/schema"
)

const (
	peerAddress    = "10.0.0.2:7000"
	controlAddress = "10.0.0.9:7000"
)

// fakeSource answers with a configuration, or with an error if it has no deployment.
type fakeSource struct {
	mu         sync.Mutex
	revision   uint64
	deployment string
}

func (fs *fakeSource) set(revision uint64, deployment string) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	fs.revision, fs.deployment = revision, deployment
}

func (fs *fakeSource) Fetch(_ context.Context, rq *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	fs.mu.Lock()
	defer fs.mu.Unlock()
	if fs.deployment == "" {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("cut off"))
	}
	rs := &schema.FetchResponse{Revision: fs.revision}
	if fs.revision > rq.Msg.GetHaveRevision() {
		rs.Configuration = &schema.Configuration{Deployment: fs.deployment, Version: fs.revision}
	}
	return connect.NewResponse(rs), nil
}

// TestInvalidRevisionIsNotFollowed guards against a peer that announces a revision out of
// range: if a node adopted it, it would ignore all later revisions, which are lower.
func TestInvalidRevisionIsNotFollowed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &testSetup{hints: make(chan membership.RevisionHint, 8)}
		ts.control.set(3, "lombardy")
		ro, stop := ts.start(t)
		defer stop()
		for i, invalid := range []uint64{math.MaxUint64, math.MaxInt64, membership.MaxRevision + 1} {
			ts.peer.set(invalid, "lombardy")
			ts.hint(invalid)
			revisionAfter(ro, time.Minute)
			want := uint64(4 + i)
			ts.control.set(want, "lombardy")
			if got := revisionAfter(ro, time.Minute); got != want {
				t.Errorf("after %d: revision %d, want %d", invalid, got, want)
			}
		}
	})
}

// Guards against a node that hears of a revision only from a renewal, and waits for the next check.
func TestHintOfRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ts := &testSetup{hints: make(chan membership.RevisionHint)}
		ts.control.set(3, "lombardy")
		ts.peer.set(3, "lombardy")
		ro, stop := ts.start(t)
		defer stop()
		if got := revisionAfter(ro, time.Minute); got != 3 {
			t.Fatalf("revision %d, want 3", got)
		}
		ts.peer.set(4, "lombardy")
		ro.Hint(4, netip.MustParseAddrPort(peerAddress))
		if got := revisionAfter(ro, 500*time.Millisecond); got != 4 {
			t.Errorf("revision %d after a hint, want 4", got)
		}
	})
}

// testSetup has the sources and the settings of a Rollout with one control replica and
// one peer. adopted lists the revisions that came into force.
type testSetup struct {
	control, peer   fakeSource
	hints           chan membership.RevisionHint
	folder          string
	refusedRevision uint64
	adopted         []uint64
}

// start starts a Rollout. The returned function stops it and waits for its end.
func (ts *testSetup) start(t *testing.T) (*Rollout, context.CancelFunc) {
	t.Helper()
	ro, err := New(Settings{
		Deployment:    "lombardy",
		DataFolder:    ts.folder,
		Controls:      []string{controlAddress},
		ControlClient: func(string) Fetcher { return &ts.control },
		PeerClient:    func(string) Fetcher { return &ts.peer },
		Hints:         ts.hints,
		PresentPeers:  func() []string { return []string{peerAddress} },
		OnChange: func(revision uint64, cfg *schema.Configuration) error {
			if revision == ts.refusedRevision {
				return errors.New("not understood")
			}
			if cfg.GetVersion() != revision {
				t.Errorf("version %d with revision %d", cfg.GetVersion(), revision)
			}
			ts.adopted = append(ts.adopted, revision)
			return nil
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := ro.Run(ctx); err != nil {
			t.Errorf("Run() = %v", err)
		}
	}()
	return ro, func() {
		cancel()
		<-done
	}
}

// hint sends a hint that the peer has a revision.
func (ts *testSetup) hint(revision uint64) {
	ts.hints <- membership.RevisionHint{Revision: revision, Address: netip.MustParseAddrPort(peerAddress)}
}

// revisionAfter returns the revision in force after the time d.
func revisionAfter(ro *Rollout, d time.Duration) uint64 {
	time.Sleep(d)
	synctest.Wait()
	revision, _ := ro.Current()
	return revision
}

// TestRollout restarts a node several times with the same data folder and different
// sources.
func TestRollout(t *testing.T) {
	ts := &testSetup{folder: t.TempDir()}
	wantAfter := func(t *testing.T, ro *Rollout, d time.Duration, want uint64) {
		t.Helper()
		if got := revisionAfter(ro, d); got != want {
			t.Errorf("revision %d after %v, want %d", got, d, want)
		}
	}
	for _, stage := range []struct {
		name string
		run  func(t *testing.T, ro *Rollout)
	}{
		{"control is followed, and hints", func(t *testing.T, ro *Rollout) {
			ts.control.set(3, "lombardy")
			wantAfter(t, ro, time.Second, 3)
			ts.peer.set(4, "lombardy")
			ts.hint(4)
			wantAfter(t, ro, time.Second, 4)
			ts.peer.set(2, "lombardy")
			wantAfter(t, ro, time.Minute, 4)
		}},
		{"a newer peer goes before the copy", func(t *testing.T, ro *Rollout) {
			ts.control.set(0, "")
			ts.peer.set(6, "lombardy")
			wantAfter(t, ro, time.Second, 0)
			wantAfter(t, ro, 4*time.Second, 6)
		}},
		{"the copy serves when nobody answers", func(t *testing.T, ro *Rollout) {
			ts.peer.set(0, "")
			wantAfter(t, ro, 2*time.Second, 0)
			wantAfter(t, ro, 4*time.Second, 6)
		}},
		{"the copy does not serve while a peer hints at a newer one", func(t *testing.T, ro *Rollout) {
			ts.hint(8)
			wantAfter(t, ro, 8*time.Second, 0)
			wantAfter(t, ro, 10*time.Second, 6)
		}},
		{"other deployments and unusable configurations are refused", func(t *testing.T, ro *Rollout) {
			ts.control.set(6, "lombardy")
			wantAfter(t, ro, time.Second, 6)
			ts.peer.set(9, "mexico")
			ts.hint(9)
			wantAfter(t, ro, time.Second, 6)
			ts.refusedRevision = 10
			ts.control.set(10, "lombardy")
			wantAfter(t, ro, time.Minute, 6)
			ts.control.set(11, "lombardy")
			wantAfter(t, ro, time.Minute, 11)
			if ro.refused.Get() < 2 {
				t.Errorf("%d refused", ro.refused.Get())
			}
		}},
	} {
		t.Run(stage.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ts.hints = make(chan membership.RevisionHint, 8)
				ro, stop := ts.start(t)
				defer stop()
				stage.run(t, ro)
			})
		})
	}
	if want := []uint64{3, 4, 6, 6, 6, 6, 11}; !slices.Equal(ts.adopted, want) {
		t.Errorf("in force were %v, want %v", ts.adopted, want)
	}
}

// TestCopyDamage checks that a copy with any bit flipped, or cut at any length, is not
// used.
func TestCopyDamage(t *testing.T) {
	folder := t.TempDir()
	lc, err := openCopy(folder)
	if err != nil {
		t.Fatal(err)
	}
	if _, cfg, err := lc.read(); cfg != nil || err != nil {
		t.Fatalf("read() of nothing = %v, %v", cfg, err)
	}
	for revision := uint64(1); revision <= 2; revision++ {
		if err := lc.write(revision, &schema.Configuration{Deployment: "lombardy", Version: revision}); err != nil {
			t.Fatal(err)
		}
	}
	if revision, cfg, err := lc.read(); revision != 2 || cfg.GetVersion() != 2 || err != nil {
		t.Fatalf("read() = %d, %v, %v", revision, cfg, err)
	}
	path := filepath.Join(folder, copyName)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range whole {
		bad := append([]byte(nil), whole...)
		bad[i] ^= 1
		for _, data := range [][]byte{bad, whole[:i]} {
			if err := os.WriteFile(path, data, fileMode); err != nil {
				t.Fatal(err)
			}
			if _, _, err := lc.read(); !errors.Is(err, ErrDamaged) {
				t.Fatalf("read() of %x = %v", data, err)
			}
		}
	}
}
