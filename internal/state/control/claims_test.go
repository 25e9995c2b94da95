package control

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"

	"camphortrail/internal/traffic/peer"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// operation returns a claim operation of the attempt.
func operation(kind schema.ClaimOperation_Kind, key string, attempt byte) *schema.ClaimOperation {
	id := make([]byte, 16)
	id[0] = attempt
	return &schema.ClaimOperation{Kind: kind, Tenant: deployment, Key: key, AttemptId: id, RetentionS: 60}
}

// claim sends operations to the replica that leads, and repeats this until the results are
// known. Repeating is safe because an attempt that holds a claim is granted it again.
func (fl *fleet) claim(operations ...*schema.ClaimOperation) []*schema.ClaimResult {
	fl.t.Helper()
	var results []*schema.ClaimResult
	fl.until("claim", func() bool {
		for _, client := range fl.clients {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			rs, err := client.Claim(ctx, connect.NewRequest(&schema.ClaimRequest{Operations: operations}))
			cancel()
			if err == nil && len(rs.Msg.GetResults()) > 0 {
				results = rs.Msg.GetResults()
				return true
			}
		}
		return false
	})
	return results
}

func (fl *fleet) claimOne(op *schema.ClaimOperation) *schema.ClaimResult {
	fl.t.Helper()
	return fl.claim(op)[0]
}

// TestClaimSurvivesLeader kills the leader between a claim and its completion.
func TestClaimSurvivesLeader(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	granted := fl.claimOne(operation(schema.ClaimOperation_KIND_CLAIM, "tag-1", 1))
	if granted.GetState() != schema.ClaimResult_STATE_GRANTED {
		t.Fatalf("first claim: %v", granted)
	}
	fl.kill(fl.leader())
	if rs := fl.claimOne(operation(schema.ClaimOperation_KIND_CLAIM, "tag-1", 2)); rs.GetState() != schema.ClaimResult_STATE_HELD {
		t.Fatalf("claim by another attempt: %v", rs)
	}
	complete := operation(schema.ClaimOperation_KIND_COMPLETE, "tag-1", 1)
	complete.Epoch, complete.Answer = granted.GetEpoch(), &schema.RecordedAnswer{Status: 201, Body: []byte("issued")}
	fl.claimOne(complete)
	rs := fl.claimOne(operation(schema.ClaimOperation_KIND_CLAIM, "tag-1", 3))
	if rs.GetState() != schema.ClaimResult_STATE_FINISHED || string(rs.GetAnswer().GetBody()) != "issued" {
		t.Fatalf("claim of a finished key: %v", rs)
	}
}

func TestMalformedClaimIsRefused(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 1)
	op := &schema.ClaimOperation{Kind: schema.ClaimOperation_KIND_CLAIM, Key: "tag"}
	_, err := fl.clients[0].Claim(context.Background(), connect.NewRequest(&schema.ClaimRequest{Operations: []*schema.ClaimOperation{op}}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument {
		t.Fatalf("claim without an attempt id: %v, want invalid argument", err)
	}
}

// TestSnapshotReachesLearner commits more than fits into the log before a snapshot, and replaces
// the data folder of a replica by an empty one. The replica must recover the state from a
// snapshot.
func TestSnapshotReachesLearner(t *testing.T) {
	t.Parallel()
	fl := newFleet(t, 3)
	first := fl.mustAccept(configuration(1, "perdidos"))
	body := make([]byte, 60<<10)
	for i := range 160 {
		key := fmt.Sprint("key-", i)
		granted := fl.claimOne(operation(schema.ClaimOperation_KIND_CLAIM, key, 1))
		complete := operation(schema.ClaimOperation_KIND_COMPLETE, key, 1)
		complete.Epoch, complete.Answer = granted.GetEpoch(), &schema.RecordedAnswer{Status: 200, Body: body}
		fl.claimOne(complete)
	}
	leader := fl.leader()
	lost := (leader + 1) % 3
	fl.kill(lost)
	fl.folders[lost] = t.TempDir()
	fl.start(lost)
	fl.waitForVoters()
	fl.kill(leader)
	if again := fl.mustAccept(configuration(1, "perdidos")); again != first {
		t.Fatalf("resent apply got revision %d, want %d", again, first)
	}
	rs := fl.claimOne(operation(schema.ClaimOperation_KIND_CLAIM, "key-0", 2))
	if rs.GetState() != schema.ClaimResult_STATE_FINISHED || len(rs.GetAnswer().GetBody()) != len(body) {
		t.Fatalf("finished claim after the repair: %v", rs.GetState())
	}
	fl.kill(lost)
	if fl.controls[lost].machine.Status().Snapshot == 0 {
		t.Fatal("the replica was repaired without a snapshot")
	}
}

// BenchmarkApply applies one configuration per iteration and reports the latency.
func BenchmarkApply(b *testing.B) {
	for _, size := range []int{1, 3} {
		b.Run(fmt.Sprint(size, "-replicas"), func(b *testing.B) {
			fl := newFleet(b, size)
			leader := fl.leader()
			took := make([]time.Duration, 0, b.N)
			version := uint64(0)
			for b.Loop() {
				version++
				begin := time.Now()
				if rs := fl.apply(leader, configuration(version, "cassa")); rs.GetResult() != schema.ApplyResult_APPLY_RESULT_ACCEPTED {
					b.Fatal(rs)
				}
				took = append(took, time.Since(begin))
			}
			report(b, took)
		})
	}
}

// BenchmarkClaim sends claims concurrently and reports the latency and the claims per sync.
func BenchmarkClaim(b *testing.B) {
	const senders, connections = 64, 16
	for _, size := range []int{1, 3} {
		b.Run(fmt.Sprint(size, "-replicas"), func(b *testing.B) {
			fl := newFleet(b, size)
			address := fl.replicas[fl.leader()].GetAddress()
			clients := make([]schemaconnect.ControlClient, connections)
			for i := range clients {
				transport := peer.NewTransport()
				defer transport.CloseIdleConnections()
				clients[i] = schemaconnect.NewControlClient(&http.Client{Transport: transport}, "http://"+address)
			}
			var mu sync.Mutex
			var took []time.Duration
			var group sync.WaitGroup
			each := (b.N + senders - 1) / senders
			b.ResetTimer()
			for se := range senders {
				group.Go(func() {
					for i := range each {
						op := operation(schema.ClaimOperation_KIND_CLAIM, fmt.Sprint(se, "-", i), 1)
						begin := time.Now()
						rq := connect.NewRequest(&schema.ClaimRequest{Operations: []*schema.ClaimOperation{op}})
						if rs, err := clients[se%connections].Claim(context.Background(), rq); err != nil || len(rs.Msg.GetResults()) != 1 {
							b.Error(rs, err)
							return
						}
						mu.Lock()
						took = append(took, time.Since(begin))
						mu.Unlock()
					}
				})
			}
			group.Wait()
			report(b, took)
			b.ReportMetric(float64(len(took))/fl.syncs(), "claims/sync")
		})
	}
}

// syncs returns the mean number of synced writes per replica.
func (fl *fleet) syncs() float64 {
	var text bytes.Buffer
	for _, co := range fl.controls {
		co.metrics.set.WritePrometheus(&text)
	}
	total := 0
	for line := range strings.Lines(text.String()) {
		if count, ok := strings.CutPrefix(line, "camphortrail_control_sync_seconds_count "); ok {
			n, _ := strconv.Atoi(strings.TrimSpace(count))
			total += n
		}
	}
	return float64(total) / float64(len(fl.controls))
}

// report reports percentiles of the latencies.
func report(b *testing.B, took []time.Duration) {
	slices.Sort(took)
	for name, percent := range map[string]int{"p50-ms": 50, "p99-ms": 99} {
		at := took[(len(took)-1)*percent/100]
		b.ReportMetric(float64(at.Microseconds())/1000, name)
	}
}
