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

func (nd *Node) peerHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Handle(link.Path, nd.guard)
	path, handler := schemaconnect.NewPeerHandler(&peerService{nd})
	mux.Mount(path, handler)
	return mux
}

func (nd *Node) localHandler() http.Handler {
	mux := chi.NewRouter()
	mux.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) { nd.metrics.WritePrometheus(w) })
	mux.Get("/health", nd.serveHealth)
	mux.Mount("/", nd.announce.Handler())
	return mux
}

// serveHealth answers with status 204 while the node takes requests, and else
// with status 503 and the reason for which it refuses them.
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

// peerService serves the calls of other processes.
type peerService struct{ nd *Node }

func (ps *peerService) Withdraw(_ context.Context, rq *connect.Request[schema.WithdrawRequest]) (*connect.Response[schema.WithdrawResponse], error) {
	rs, err := ps.nd.guard.AnswerWithdraw(rq.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	return connect.NewResponse(rs), nil
}

func (ps *peerService) Fetch(_ context.Context, rq *connect.Request[schema.FetchRequest]) (*connect.Response[schema.FetchResponse], error) {
	revision, cfg := ps.nd.rollout.Current()
	rs := &schema.FetchResponse{Revision: revision}
	if revision > rq.Msg.GetHaveRevision() {
		rs.Configuration = cfg
	}
	return connect.NewResponse(rs), nil
}

func (ps *peerService) Drain(_ context.Context, rq *connect.Request[schema.DrainRequest]) (*connect.Response[schema.DrainResponse], error) {
	if rq.Msg.GetResume() {
		ps.nd.announce.Resume()
	} else {
		ps.nd.announce.Drain()
	}
	ld := ps.nd.guard.Load()
	return connect.NewResponse(&schema.DrainResponse{InFlight: uint32(ld.Running + ld.Waiting)}), nil
}

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

// exportMetrics adds the present work of the guard to the metrics.
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
