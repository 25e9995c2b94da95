package deployment

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/customers/freshness"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/lab/standin"
	"camphortrail/internal/traffic/entry"
	"camphortrail/internal/traffic/header"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// The keys of the two customers, and one that is nobody's.
const (
	withdrawnKey = "key-that-is-withdrawn"
	lastingKey   = "key-that-lasts"
	unknownKey   = "key-of-nobody"
)

// quickStop makes a node stop without the time that callers need to go elsewhere.
var quickStop = node.StopPlan{NoticePeriod: 50 * time.Millisecond, FinishTimeout: 5 * time.Second}

// startCustomers starts a fleet whose configuration names customers with the given keys, and waits
// until all nodes serve their requests.
func startCustomers(t *testing.T, opt Options, nodes int) *fleet {
	t.Helper()
	up := standin.UpstreamOptions{Service: front, Slots: 50, ServiceTime: time.Millisecond}
	opt.ControlReplicaCount, opt.Stop = 3, quickStop
	fl := startFleetWith(t, opt, 5*time.Second, slices.Repeat([]standin.UpstreamOptions{up}, nodes)...)
	fl.applyCustomers(2, withdrawnKey, lastingKey)
	for i := range fl.Nodes {
		fl.waitFor("keys at node "+strconv.Itoa(i), func() bool {
			return fl.Nodes[i].Revision() >= fl.revision && fl.sendKey(i, withdrawnKey).succeeded()
		})
	}
	return fl
}

// applyCustomers applies a configuration with a customer for each key, and returns the time at
// which it was acknowledged.
func (fl *fleet) applyCustomers(version uint64, keys ...string) time.Time {
	fl.t.Helper()
	cfg := configuration(version, 5*time.Second)
	cfg.Routes = []*schema.Route{{
		Name: "route", Host: "h", PathPrefix: "/", Importance: 5, Idempotent: true, DeadlineMs: 5000, Attempts: 2,
		Shares: []*schema.RouteShare{{Service: string(front), Weight: 1}},
	}}
	for i, key := range keys {
		cfg.Customers = append(cfg.Customers, &schema.Customer{
			Name: "customer-" + strconv.Itoa(i), KeyDigests: []string{config.DigestOfKey(key).String()},
		})
	}
	ctx, stop := context.WithTimeout(fl.t.Context(), testTimeout)
	defer stop()
	rs, err := fl.Client.Apply(ctx, cfg)
	if err != nil || rs.GetResult() != schema.ApplyResult_APPLY_RESULT_ACCEPTED {
		fl.t.Fatal("configuration not accepted: ", rs, err)
	}
	fl.revision = rs.GetRevision()
	return time.Now()
}

// sendKey sends a look-up with a key to a node.
func (fl *fleet) sendKey(node int, key string) reply {
	return fl.send(fl.t.Context(), node, front, lookups, "1", header.Authorization, "Token "+key)
}

// sendRouted passes a request with a key to the entry of a node, as a front end does.
func (fl *fleet) sendRouted(node int, key string) {
	fl.Nodes[node].Entry().ServeRequest(fl.t.Context(), &entry.Request{
		ID: call.RequestID{64}, Label: "label", Method: http.MethodGet, Host: "h", URI: "/" + string(front) + "/" + lookups + "/1", Deadline: time.Now().Add(5 * time.Second),
		Header: http.Header{header.Authorization: {"Token " + key}}, Key: &key,
		KeyHeader: header.Authorization, CustomerHeader: header.Customer,
	})
}

// metric returns the value of a metric of a node, or -1 if the node does not have it.
func (fl *fleet) metric(i int, name string) float64 {
	for line := range strings.Lines(fl.metrics(i)) {
		if text, ok := strings.CutPrefix(line, name+" "); ok {
			if value, err := strconv.ParseFloat(strings.TrimSpace(text), 64); err == nil {
				return value
			}
		}
	}
	return -1
}

// metrics returns the metrics of a node.
func (fl *fleet) metrics(i int) string {
	_, _, local := fl.Nodes[i].Addresses()
	res, err := http.Get("http://" + local + "/metrics")
	if err != nil {
		return ""
	}
	defer res.Body.Close()
	data, _ := io.ReadAll(res.Body) // a part is as good as none: the caller asks again
	return string(data)
}

// TestWithdrawnKeyInCut guards against a node that accepts a key later than the bound after its
// withdrawal was acknowledged, while the node is cut off from control or has just been started
// there, and against keys that stay refused after the cut.
func TestWithdrawnKeyInCut(t *testing.T) {
	t.Parallel()
	const bound = 2 * time.Second
	fl := startCustomers(t, Options{RevocationBound: bound, PartitionDomain: domain}, 3)
	fl.SetPartitioned(true)
	acknowledged := fl.applyCustomers(3, lastingKey)
	// check sends a request with the withdrawn key to a node, and reports whether it is refused.
	check := func(i int) bool {
		sent := time.Now()
		rp := fl.sendKey(i, withdrawnKey)
		if rp.succeeded() && sent.Sub(acknowledged) > bound {
			t.Fatalf("node %d accepts the key %v after its withdrawal", i, sent.Sub(acknowledged))
		}
		return rp.status == http.StatusServiceUnavailable && rp.reason == entry.ReasonKeyStale && rp.outcome == call.NotRun
	}
	for i := range fl.Nodes {
		fl.waitFor("refusal at node "+strconv.Itoa(i), func() bool { return check(i) })
	}
	const restarted = 1
	fl.StopNode(restarted)
	if err := fl.StartNode(restarted); err != nil {
		t.Fatal(err)
	}
	fl.waitFor("configuration at the restarted node", func() bool { return fl.Nodes[restarted].Revision() > 0 })
	for range 20 {
		if !check(restarted) {
			t.Fatal("a node that was started in the cut does not refuse the key")
		}
	}
	if rp := fl.sendKey(restarted, lastingKey); rp.reason != entry.ReasonKeyStale {
		t.Errorf("the other key gets %v in the cut, want %s", rp, entry.ReasonKeyStale)
	}
	fl.SetPartitioned(false)
	for i := range fl.Nodes {
		fl.waitFor("the end of the withdrawn key", func() bool {
			return fl.sendKey(i, withdrawnKey).status == http.StatusUnauthorized
		})
		fl.waitFor("the other key", func() bool { return fl.sendKey(i, lastingKey).succeeded() })
	}
}

// TestKeysWithoutLeader guards against keys that stop to be trusted while control elects another
// leader, and against proofs that are not renewed by the new one.
func TestKeysWithoutLeader(t *testing.T) {
	t.Parallel()
	fl := startCustomers(t, Options{RevocationBound: time.Minute}, 2)
	stopped := fl.stopLeader()
	for fl.leader() < 0 || fl.leader() == stopped {
		for i := range fl.Nodes {
			if rp := fl.sendKey(i, lastingKey); !rp.succeeded() {
				t.Fatalf("node %d while there is no leader: %v", i, rp)
			}
		}
	}
	for i := range fl.Nodes {
		before := fl.metric(i, "camphortrail_key_proof_age_seconds")
		fl.waitFor("a proof of the new leader", func() bool {
			age := fl.metric(i, "camphortrail_key_proof_age_seconds")
			return age >= 0 && (age < before || before < 0.5)
		})
	}
}

// TestParentOfRenewalsLost guards against nodes whose proofs age because the node that they query
// does not answer, while the membership still has it.
func TestParentOfRenewalsLost(t *testing.T) {
	t.Parallel()
	cut := &partition{inside: make(map[string]bool)}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		if cut.drops(false, address) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &partitionedConn{Conn: conn, partition: cut, address: address}, nil
	}
	const nodes = 3
	fl := startCustomers(t, Options{RevocationBound: time.Minute, Dial: dial}, nodes)
	var names []call.VM
	for _, settings := range fl.nodeSettings {
		names = append(names, call.VM(settings.GetName()))
	}
	ordered := slices.Clone(names)
	freshness.Order(ordered)
	root := slices.Index(names, ordered[0])
	_, address, _ := fl.Nodes[root].Addresses()
	cut.addInside(address)
	cut.active.Store(true)
	began := time.Now()
	for i := range fl.Nodes {
		if i != root {
			fl.waitFor("a proof by another way", func() bool {
				age := fl.metric(i, "camphortrail_key_proof_age_seconds")
				return age >= 0 && age < time.Since(began).Seconds()-0.5
			})
			if fl.metric(i, "camphortrail_renewal_failures_total") == 0 {
				t.Errorf("node %d did not notice that the root is silent", i)
			}
		}
	}
}

// syncBuffer is a buffer for several writers.
type syncBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

// Write implements io.Writer.
func (sb *syncBuffer) Write(data []byte) (int, error) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	return sb.data.Write(data)
}

// contains returns those of the texts that the buffer contains.
func (sb *syncBuffer) contains(texts ...string) (found []string) {
	sb.mu.Lock()
	defer sb.mu.Unlock()
	for _, text := range texts {
		if bytes.Contains(sb.data.Bytes(), []byte(text)) {
			found = append(found, text)
		}
	}
	return found
}

// recordedConn copies all that is sent and received to a buffer.
type recordedConn struct {
	net.Conn
	to *syncBuffer
}

// Write implements net.Conn.
func (rc *recordedConn) Write(data []byte) (int, error) {
	_, _ = rc.to.Write(data)
	return rc.Conn.Write(data)
}

// Read implements net.Conn.
func (rc *recordedConn) Read(data []byte) (int, error) {
	n, err := rc.Conn.Read(data)
	_, _ = rc.to.Write(data[:n])
	return n, err
}

// TestKeysAreNotTold guards against a key in a log line, an event, a metric, or a message between
// nodes.
func TestKeysAreNotTold(t *testing.T) {
	t.Parallel()
	logged, decided, sent := new(syncBuffer), new(syncBuffer), new(syncBuffer)
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := new(net.Dialer).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recordedConn{conn, sent}, nil
	}
	fl := startCustomers(t, Options{
		RevocationBound: time.Minute, Dial: dial, Events: decided,
		Log: &log.Logger{Handler: jsonlog.New(logged), Level: log.DebugLevel},
	}, 3)
	metrics := new(syncBuffer)
	for i := range fl.Nodes {
		for range 20 {
			fl.sendKey(i, lastingKey)
			fl.sendKey(i, unknownKey)
			fl.send(t.Context(), i, front, lookups, "1", header.Authorization, unknownKey)
			fl.sendRouted(i, lastingKey)
			fl.sendRouted(i, unknownKey)
		}
		_, _ = io.WriteString(metrics, fl.metrics(i))
	}
	fl.applyCustomers(3, lastingKey)
	for i := range fl.Nodes {
		fl.waitFor("the end of the withdrawn key", func() bool { return fl.sendKey(i, withdrawnKey).status == http.StatusUnauthorized })
	}
	fl.waitFor("events", func() bool { return len(decided.contains(entry.ReasonKeyUnknown, "customer-1")) == 2 })
	if len(sent.contains("customer-1")) == 0 || len(metrics.contains(`customer="customer-1"`)) == 0 || len(logged.contains("keys of customers are trusted")) == 0 {
		t.Error("the messages, metrics or logs of the requests were not seen")
	}
	for name, buffer := range map[string]*syncBuffer{"log": logged, "events": decided, "messages": sent, "metrics": metrics} {
		if found := buffer.contains(withdrawnKey, lastingKey, unknownKey); len(found) > 0 {
			t.Errorf("%s contain the keys %v", name, found)
		}
	}
}

// BenchmarkRenew measures a query of the root of a failure domain to the leader, at both together.
func BenchmarkRenew(b *testing.B) {
	fl := startFleetWith(b, Options{ControlReplicaCount: 1}, time.Second, standin.UpstreamOptions{Service: front, Slots: 1})
	client := schemaconnect.NewControlClient(fl.Client.HTTP, "http://"+fl.Client.ControlAddresses[0])
	b.ReportAllocs()
	for b.Loop() {
		rs, err := client.Renew(b.Context(), connect.NewRequest(&schema.Renewal{From: "zona-industriale-ovest-12", Number: 1 << 63}))
		if err != nil || !rs.Msg.GetProved() {
			b.Fatal("no proof: ", err)
		}
	}
}
