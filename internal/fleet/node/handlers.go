package node

import (
	"context"
	"io"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"

	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/link"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"
)

// peerHandler returns the handler of the peer address: the links of other entries to the
// guard, and the RPCs of peerService.
func (nd *Node) peerHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Handle(link.Path, nd.guard)
	path, handler := schemaconnect.NewPeerHandler(&peerService{nd})
	mux.Mount(path, handler)
	return mux
}

// localHandler returns the handler of the local address: metrics, health and the
// announcements of the upstream.
func (nd *Node) localHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { nd.metrics.WritePrometheus(w) })
	mux.Get("/health", nd.serveHealth)
	mux.Mount("/", nd.announcements.Handler())
	return mux
}

// serveHealth answers with status 204 while the node admits requests. Otherwise it
// answers with status 503 and the reason why requests are refused.
func (nd *Node) serveHealth(w http.ResponseWriter, _ *http.Request) {
	reason := nd.entry.RefusalReason()
	if reason == "" {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, reason+"\n")
}

// peerService implements the RPCs that other processes send to the peer address.
type peerService struct{ nd *Node }

// Withdraw withdraws attempts of another entry from the guard and returns their states.
func (ps *peerService) Withdraw(_ context.Context, rq *connect.Request[schema.WithdrawRequest]) (*connect.Response[schema.WithdrawResponse], error) {
	rs, err := ps.nd.guard.AnswerWithdraw(rq.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(rs), nil
}

// Fetch returns the configuration in force if its revision is higher than the caller's.
func (ps *peerService) Fetch(_ context.Context, rq *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	revision, cfg := ps.nd.rollout.Current()
	rs := &schema.FetchResponse{Revision: revision}
	if revision > rq.Msg.GetHaveRevision() {
		rs.Configuration = cfg
	}
	return connect.NewResponse(rs), nil
}

// Drain marks the upstreams beside the node as draining, or ends that if Resume is set.
// It returns the number of attempts still in the guard.
func (ps *peerService) Drain(_ context.Context, rq *connect.Request[schema.DrainRequest]) (*connect.Response[schema.DrainResponse], error) {
	if rq.Msg.GetResume() {
		ps.nd.announcements.Resume()
	} else {
		ps.nd.announcements.Drain()
	}
	ld := ps.nd.guard.Load()
	return connect.NewResponse(&schema.DrainResponse{InFlight: uint32(ld.Running + ld.Waiting)}), nil
}

// Status describes the node and all members it knows. The load is set only for the
// upstream beside the node, because other nodes do not report theirs here.
func (ps *peerService) Status(context.Context, *connect.Request[schema.StatusRequest]) (*connect.Response[schema.StatusResponse], error) {
	nd := ps.nd
	revision, _ := nd.rollout.Current()
	rs := &schema.StatusResponse{Name: nd.set.GetName(), FailureDomain: nd.set.GetFailureDomain(), Revision: revision}
	if revision > 0 {
		rs.InForceS = uint64(time.Since(nd.rollout.InForceSince()).Seconds())
	}
	ld := nd.guard.Load()
	for _, me := range nd.gossip.Members() {
		rs.Members = append(rs.Members, &schema.MemberStatus{
			Name: string(me.Name), Address: me.Address.String(), FailureDomain: string(me.FailureDomain),
			Role: string(me.Role), State: me.State.String(),
		})
		for _, up := range me.Upstreams {
			st := &schema.UpstreamStatus{
				Vm: string(me.Name), FailureDomain: string(me.FailureDomain), Service: string(up.Service),
				State: me.State.String(), Slots: up.Slots,
			}
			if up.Draining {
				st.State = "draining"
			}
			if string(me.Name) == nd.set.GetName() {
				st.Running, st.Waiting, st.Level = uint32(ld.Running), uint32(ld.Waiting), uint32(ld.Level)
			}
			rs.Upstreams = append(rs.Upstreams, st)
		}
	}
	return connect.NewResponse(rs), nil
}

// exportMetrics adds gauges for the load of the guard, the revision in force and the
// dropped signals of the pool.
func (nd *Node) exportMetrics() {
	gauge := func(name string, value func(guard.Load) int) *metrics.Gauge {
		return nd.metrics.NewGauge(name, func() float64 { return float64(value(nd.guard.Load())) })
	}
	gauge("camphortrail_guard_slots", func(ld guard.Load) int { return ld.Slots })
	gauge("camphortrail_guard_running", func(ld guard.Load) int { return ld.Running })
	gauge("camphortrail_guard_waiting", func(ld guard.Load) int { return ld.Waiting })
	gauge("camphortrail_guard_level", func(ld guard.Load) int { return int(ld.Level) })
	nd.metrics.NewGauge("camphortrail_configuration_revision", func() float64 {
		revision, _ := nd.rollout.Current()
		return float64(revision)
	})
	nd.metrics.NewGauge("camphortrail_unwatched_attempt_events", func() float64 { return float64(nd.pool.DroppedSignals()) })
}
