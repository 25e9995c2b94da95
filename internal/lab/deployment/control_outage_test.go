package deployment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/traffic/entry"
	"camphortrail/internal/traffic/header"
)

// TestControlReplicasDown stops all control replicas. Requests that need no claim must
// still be served, also by a node that is started during the outage. Keyed non-idempotent
// requests are refused and must run once after the replicas are back.
func TestControlReplicasDown(t *testing.T) {
	t.Parallel()
	up := standin.UpstreamOptions{Service: front, Slots: 50, ServiceTime: 5 * time.Millisecond}
	fl := startFleet(t, 3, 5*time.Second, up, up, up)
	for i := range fl.controlSettings {
		fl.StopControl(i)
	}
	const restarted = 1
	fl.StopNode(restarted)
	if err := fl.StartNode(restarted); err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithTimeout(t.Context(), testTimeout)
	defer stop()
	if err := fl.WaitReady(ctx, fl.revision); err != nil {
		t.Fatal(err)
	}
	fl.checkWithoutClaims("without control replicas")
	var group sync.WaitGroup
	for i := range fl.Nodes {
		group.Go(func() { fl.checkKeyRefused(i, "first", call.NotRun, header.ResendCount, "0") })
		group.Go(func() { fl.checkKeyRefused(i, "unstated", call.Unknown) })
		group.Go(func() { fl.checkKeyRefused(i, "resend", call.Unknown, header.ResendCount, "1") })
	}
	group.Wait()
	if ran := len(fl.effects()); ran > 0 {
		t.Fatalf("%d keys ran without a claim", ran)
	}
	for i := range fl.controlSettings {
		if err := fl.StartControl(i); err != nil {
			t.Fatal(err)
		}
	}
	probes := 0
	fl.waitFor("claims", func() bool {
		probes++
		key := fmt.Sprint("probe-", probes)
		return fl.send(t.Context(), restarted, front, charges, key, header.IdempotencyKey, key, header.ResendCount, "0").succeeded()
	})
	for i := range fl.Nodes {
		for _, name := range []string{"first", "unstated", "resend"} {
			group.Go(func() { fl.sendKeyUntilDone(keyOfNode(name, i), i+1) })
		}
	}
	group.Wait()
	effects := fl.effects()
	for i := range fl.Nodes {
		for _, name := range []string{"first", "unstated", "resend"} {
			if count := effects[keyOfNode(name, i)]; count != 1 {
				t.Errorf("key %s ran %d times, want once", keyOfNode(name, i), count)
			}
		}
	}
	fl.checkWithoutClaims("after the restart")
}

// checkWithoutClaims checks that each node serves the kinds of request that need no
// claim.
func (fl *fleet) checkWithoutClaims(when string) {
	fl.t.Helper()
	for i := range fl.Nodes {
		for _, kind := range []string{lookups, issues} {
			if rp := fl.send(fl.t.Context(), i, front, kind, "1"); !rp.succeeded() {
				fl.t.Errorf("%s: %s at node %d: %v", when, kind, i, rp)
			}
		}
	}
}

func keyOfNode(name string, node int) string { return fmt.Sprint(name, "-", node) }

// checkKeyRefused checks that a node refuses keyed work as claims-unavailable, with the
// given outcome.
func (fl *fleet) checkKeyRefused(node int, name string, want call.Outcome, headers ...string) {
	key := keyOfNode(name, node)
	rp := fl.send(fl.t.Context(), node, front, charges, key, append(headers, header.IdempotencyKey, key)...)
	if rp.err != nil || rp.status != http.StatusServiceUnavailable || rp.outcome != want || rp.reason != entry.ReasonClaimsUnavailable {
		fl.t.Errorf("key %s at node %d: %v, want outcome %v", key, node, rp, want)
	}
}
