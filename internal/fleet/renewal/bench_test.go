package renewal

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/internal/customers/freshness"
	"camphortrail/internal/state/boottime"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/peer"
	"camphortrail/retry"
	"camphortrail/schema"
)

// nodesOfDomain is the number of nodes of a failure domain at the size to design for.
const nodesOfDomain = 220

// newBenchRenewal returns a renewal with a proof that is fresh.
func newBenchRenewal(b *testing.B) *Renewal {
	b.Helper()
	rn := New(Options{
		Name: "own", Bound: freshness.Margin + maxBenchTime, Metrics: metrics.NewSet(), Log: &log.Logger{Handler: discard.Default},
		Controls: func() []string { return nil }, Discard: func(call.VM) {},
	})
	rn.SetConfiguration(1, true)
	now := boottime.Now()
	qu, send, _ := rn.machine.Next(now)
	if !send {
		b.Fatal("no query is due")
	}
	rn.Receive(freshness.Control, &schema.RenewalAnswer{Number: qu.Number, Proved: true, Revision: 1})
	for i := range nodesOfDomain {
		rn.SetNode(call.VM(fmt.Sprint("vm-", i)), "127.0.0.1:1")
	}
	return rn
}

// maxBenchTime is longer than a benchmark takes.
const maxBenchTime = freshness.AnswerTimeout * 10_000

// BenchmarkFresh measures the question whether keys may be trusted, once for each request.
func BenchmarkFresh(b *testing.B) {
	rn := newBenchRenewal(b)
	b.ReportAllocs()
	for b.Loop() {
		if !rn.Fresh(1) {
			b.Fatal("not fresh")
		}
	}
}

// BenchmarkParent measures the choice of the receiver of a query.
func BenchmarkParent(b *testing.B) {
	var nodes []call.VM
	for i := range nodesOfDomain {
		nodes = append(nodes, call.VM(fmt.Sprint("vm-", i)))
	}
	freshness.Order(nodes)
	b.ReportAllocs()
	for b.Loop() {
		freshness.Parent(nodes, nodes[nodesOfDomain-1], func(call.VM) bool { return false })
	}
}

// BenchmarkExchange measures a query and its answer over a link on loopback, at both nodes
// together, and reports their sizes without the frames of the link.
func BenchmarkExchange(b *testing.B) {
	rn := newBenchRenewal(b)
	gd := guard.New(guard.Options{Trees: calltree.New(retry.DefaultLimits()), Seed: 1, Incarnation: 1, AnswerRenewal: rn.Answer})
	srv := httptest.NewServer(gd)
	defer srv.Close()
	answers := make(chan *schema.RenewalAnswer, 1)
	pl := peer.New(peer.Options{
		OnSuspicion: func(call.VM, bool) {}, OnRenewal: func(_ call.VM, msg *schema.RenewalAnswer) { answers <- msg },
	})
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = pl.Run(ctx)
	}()
	defer func() { stop(); <-done }()
	query := &schema.Renewal{From: "zona-industriale-ovest-12", Number: 1 << 63, Active: true}
	var answer *schema.RenewalAnswer
	b.ReportAllocs()
	for b.Loop() {
		pl.SendRenewal("parent", strings.TrimPrefix(srv.URL, "http://"), query)
		answer = <-answers
	}
	b.ReportMetric(float64(proto.Size(query)), "query-B")
	b.ReportMetric(float64(proto.Size(answer)), "answer-B")
}
