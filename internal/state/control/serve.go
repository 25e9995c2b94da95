package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"camphortrail/internal/traffic/connlimit"
	"camphortrail/schema/schemaconnect"
)

const (
	// maxRequestBytes bounds one message from a client or another replica.
	maxRequestBytes = 16 << 20
	// minCompressBytes is the size from which a message is compressed.
	minCompressBytes = 4 << 10
	// readHeaderTimeout bounds the time in which the header of a request must arrive.
	readHeaderTimeout = 5 * time.Second
)

// replicaMetrics holds the metrics of a replica: the time from proposal to commit, the time
// to save to disk, dropped messages and failed exchanges with other replicas.
type replicaMetrics struct {
	set    *metrics.Set
	commit *metrics.Histogram
	sync   *metrics.Histogram
	// writeFailures counts the writes to the disk that failed.
	writeFailures *metrics.Counter
	dropped       *metrics.Counter
	failed        *metrics.Counter
}

func newReplicaMetrics(co *Control) *replicaMetrics {
	set := metrics.NewSet()
	rm := &replicaMetrics{
		set:           set,
		commit:        set.NewHistogram("camphortrail_control_commit_seconds"),
		sync:          set.NewHistogram("camphortrail_control_sync_seconds"),
		writeFailures: set.NewCounter("camphortrail_control_write_failures_total"),
		dropped:       set.NewCounter("camphortrail_control_messages_dropped_total"),
		failed:        set.NewCounter("camphortrail_control_exchanges_failed_total"),
	}
	set.NewGauge("camphortrail_control_commit_index", func() float64 {
		return float64(co.view.Load().status.Commit)
	})
	set.NewGauge("camphortrail_control_revision", func() float64 {
		return float64(co.state.current.Load().revision)
	})
	set.NewGauge("camphortrail_control_behind_entries", func() float64 { return float64(co.view.Load().behindEntries) })
	set.NewGauge("camphortrail_control_replicas_not_following", func() float64 { return float64(co.view.Load().notFollowing) })
	set.NewGauge("camphortrail_control_current", func() float64 {
		if co.isCurrent(co.state.current.Load().applied) {
			return 1
		}
		return 0
	})
	return rm
}

const (
	// maxEndpointHeaderBytes bounds the head of a request to an additional endpoint, and
	// endpointReadTimeout the time to read it with its body, a document of some megabytes.
	maxEndpointHeaderBytes = 16 << 10
	endpointReadTimeout    = 10 * time.Second
)

// serve starts the servers of all addresses, each as a task, and returns them.
func (co *Control) serve(start func(func(context.Context) error)) []*http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	mux := http.NewServeMux()
	mux.Handle(schemaconnect.NewControlHandler(co,
		connect.WithReadMaxBytes(maxRequestBytes), connect.WithCompressMinBytes(minCompressBytes)))
	servers := []*http.Server{{Handler: mux, Protocols: &protocols, ReadHeaderTimeout: readHeaderTimeout}}
	listeners := []net.Listener{co.peerListener}
	if co.localListener != nil {
		servers = append(servers, &http.Server{Handler: co.localHandler(), ReadHeaderTimeout: readHeaderTimeout})
		listeners = append(listeners, co.localListener)
	}
	for i, ln := range co.endpoints {
		sv := &http.Server{
			Handler: co.opt.Endpoints[i].Handler(co), ReadHeaderTimeout: readHeaderTimeout,
			MaxHeaderBytes: maxEndpointHeaderBytes, ReadTimeout: endpointReadTimeout,
		}
		connlimit.Limit(sv, connlimit.DefaultMax)
		servers = append(servers, sv)
		listeners = append(listeners, ln)
	}
	for i, sv := range servers {
		start(func(context.Context) error {
			if err := sv.Serve(listeners[i]); err != http.ErrServerClosed {
				return err
			}
			return nil
		})
	}
	return servers
}

// localHandler serves metrics and health on the local address.
func (co *Control) localHandler() http.Handler {
	ro := chi.NewRouter()
	ro.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { co.metrics.set.WritePrometheus(w) })
	ro.Get("/health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
	return ro
}
