// Package announce lets the upstream beside a node announce itself over HTTP.
//
// POST /announce registers an upstream, and is to be repeated as the answer
// says. POST /drain starts to leave, DELETE /drain takes that back, and DELETE
// /announce leaves. The last three are for the service of the body, or for all
// upstreams when there is no body.
package announce

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"camphortrail/call"
	"camphortrail/membership"
	"camphortrail/schema"
)

const expireInterval = 500 * time.Millisecond

// Registry takes announcements of the upstreams beside one node.
type Registry struct {
	now      func() time.Time
	onChange func([]membership.Upstream)

	mu      sync.Mutex
	leases  leases
	reports reports
}

// New returns an Announce without upstreams. It calls onChange with the whole
// set after each change, one call at a time.
func New(now func() time.Time, onChange func([]membership.Upstream)) *Registry {
	return &Registry{now: now, onChange: onChange}
}

// Handler returns the handler of the requests.
func (an *Registry) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post("/announce", an.announce)
	mux.Delete("/announce", an.forService(func(svc call.Service) bool { return an.leases.leave(svc) }))
	mux.Post("/drain", an.forService(func(svc call.Service) bool { return an.leases.drain(svc, true) }))
	mux.Delete("/drain", an.forService(func(svc call.Service) bool { return an.leases.drain(svc, false) }))
	return mux
}

// Run ends announcements that are not repeated in time, until ctx ends.
func (an *Registry) Run(ctx context.Context) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			an.Expire()
		}
	}
}

// Expire ends announcements that were not repeated in time.
func (an *Registry) Expire() { an.change(func() bool { return an.leases.expire(an.now()) }) }

// Drain marks all upstreams as draining, as if they had asked for it.
func (an *Registry) Drain() { an.change(func() bool { return an.leases.stop(true) }) }

// Resume takes Drain back.
func (an *Registry) Resume() { an.change(func() bool { return an.leases.stop(false) }) }

// change changes the leases and tells of it.
func (an *Registry) change(change func() (changed bool)) {
	an.mu.Lock()
	defer an.mu.Unlock()
	if change() {
		an.onChange(an.leases.upstreams())
	}
}

func (an *Registry) announce(w http.ResponseWriter, r *http.Request) {
	msg, bad := decode(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if bad != nil {
		answer(w, http.StatusBadRequest, bad.message())
		return
	}
	up, bad := check(msg)
	if bad != nil {
		answer(w, http.StatusBadRequest, bad.message())
		return
	}
	ok := false
	an.change(func() (changed bool) {
		changed, ok = an.leases.announce(an.now(), up, msg.GetInstance())
		return changed
	})
	if !ok {
		answer(w, http.StatusBadRequest, &schema.AnnounceError{
			Field: "service", Value: msg.GetService(), Reason: "the node has as many upstreams as it can announce",
		})
		return
	}
	answer(w, http.StatusOK, &schema.AnnounceAnswer{RepeatWithinMs: uint32(RepeatInterval / time.Millisecond)})
}

// forService returns a handler that changes the lease of one service or all.
func (an *Registry) forService(change func(svc call.Service) (changed bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		msg, bad := decode(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if bad != nil {
			answer(w, http.StatusBadRequest, bad.message())
			return
		}
		an.change(func() bool { return change(call.Service(msg.GetService())) })
		w.WriteHeader(http.StatusNoContent)
	}
}

func answer(w http.ResponseWriter, status int, msg proto.Message) {
	data, err := protojson.Marshal(msg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
