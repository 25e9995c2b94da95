// Package announce lets the upstream beside a node announce itself over HTTP.
//
// POST /announce registers an upstream and must be repeated within the time given in the
// answer. POST /drain marks it as draining, DELETE /drain ends that, and DELETE /announce
// removes it. The last three apply to the service in the body, or to all upstreams if
// there is no body.
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

// expireInterval is the time between two checks for expired announcements.
const expireInterval = 500 * time.Millisecond

// Registry holds the announcements of the upstreams beside one node.
type Registry struct {
	now      func() time.Time
	onChange func([]membership.Upstream)
	// drains receives a value when an upstream has stated that it drains.
	drains chan struct{}

	mu      sync.Mutex
	leases  leases
	reports reportHistory
	recall  recallState
	// expected is what newer settings say of the upstream, or nil.
	expected *expectation
}

// expectation is the service and address of the upstream that the settings of the node name since
// a time.
type expectation struct {
	service call.Service
	address string
	since   time.Time
}

// fits reports whether an upstream may be announced: it is the one that the settings name, or has
// started after they did and so is newer.
func (ex *expectation) fits(up membership.Upstream) bool {
	return ex == nil || up.Service == ex.service && up.Address == ex.address || up.StartTime.After(ex.since)
}

// New returns an empty Registry. The Registry calls onChange with all upstreams after each
// change, one call at a time.
func New(now func() time.Time, onChange func([]membership.Upstream)) *Registry {
	return &Registry{now: now, onChange: onChange, drains: make(chan struct{}, 1)}
}

// SetDrainPeriod sets the time for which an upstream still serves requests after the answer to its
// report that it drains. It is announced as draining late in that time. Without a drain period, an
// upstream that drains gets no new work. It must be called before the first report.
func (rg *Registry) SetDrainPeriod(period time.Duration) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	rg.leases.drainPeriod = period
}

// Handler returns the handler of the HTTP requests.
func (rg *Registry) Handler() http.Handler {
	mux := chi.NewRouter()
	mux.Post("/announce", rg.announce)
	mux.Delete("/announce", rg.serviceHandler(func(svc call.Service) bool { return rg.leases.remove(svc) }))
	mux.Post("/drain", rg.serviceHandler(func(svc call.Service) bool { return rg.leases.setDraining(svc, true) }))
	mux.Delete("/drain", rg.serviceHandler(func(svc call.Service) bool { return rg.leases.setDraining(svc, false) }))
	return mux
}

// Run expires announcements that are not repeated in time, and marks upstreams as draining when
// their time has come, until ctx ends.
func (rg *Registry) Run(ctx context.Context) error {
	timer := time.NewTimer(expireInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-rg.drains:
		case <-timer.C:
			rg.Expire()
		}
		timer.Reset(rg.untilExpire())
	}
}

// untilExpire returns the time until Expire is to be called next.
func (rg *Registry) untilExpire() time.Duration {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if next := rg.leases.nextDrain(); !next.IsZero() {
		return min(max(next.Sub(rg.now()), 0), expireInterval)
	}
	return expireInterval
}

// Expire marks as draining or removes the upstreams whose announcements were not repeated
// in time.
func (rg *Registry) Expire() { rg.update(func() bool { return rg.leases.expire(rg.now()) }) }

// Expect states that settings in force since the given time name the service and the address of
// the upstream. It removes another upstream that started earlier. Reports of one may still arrive,
// late or because it has not ended yet; they do not announce it again.
func (rg *Registry) Expect(svc call.Service, address string, since time.Time) {
	ex := &expectation{service: svc, address: address, since: since}
	rg.update(func() bool {
		rg.expected = ex
		return rg.leases.retain(ex.fits)
	})
}

// Drain marks all upstreams as draining until Resume is called, including those announced
// later.
func (rg *Registry) Drain() { rg.update(func() bool { return rg.leases.setNodeDraining(true) }) }

// Resume ends the effect of Drain.
func (rg *Registry) Resume() { rg.update(func() bool { return rg.leases.setNodeDraining(false) }) }

// update calls change with the mutex held, and onChange if the announced upstreams have
// changed.
func (rg *Registry) update(change func() (changed bool)) {
	rg.mu.Lock()
	defer rg.mu.Unlock()
	if change() {
		rg.onChange(rg.leases.upstreams())
	}
}

// announce handles POST /announce.
func (rg *Registry) announce(w http.ResponseWriter, r *http.Request) {
	msg, bad := decodeRequest(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if bad != nil {
		writeAnswer(w, http.StatusBadRequest, bad.message())
		return
	}
	up, bad := validate(msg)
	if bad != nil {
		writeAnswer(w, http.StatusBadRequest, bad.message())
		return
	}
	ok := false
	rg.update(func() (changed bool) {
		changed, ok = rg.leases.announce(rg.now(), up, msg.GetInstance())
		return changed
	})
	if !ok {
		writeAnswer(w, http.StatusBadRequest, &schema.AnnounceError{
			Field: "service", Value: msg.GetService(), Reason: "the node has as many upstreams as it can announce",
		})
		return
	}
	writeAnswer(w, http.StatusOK, &schema.AnnounceAnswer{RepeatWithinMs: uint32(RepeatInterval / time.Millisecond)})
}

// serviceHandler returns a handler that applies change to the service in the body, or to
// all services if there is no body.
func (rg *Registry) serviceHandler(change func(svc call.Service) (changed bool)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		msg, bad := decodeRequest(http.MaxBytesReader(w, r.Body, maxBodyBytes))
		if bad != nil {
			writeAnswer(w, http.StatusBadRequest, bad.message())
			return
		}
		rg.update(func() bool { return change(call.Service(msg.GetService())) })
		w.WriteHeader(http.StatusNoContent)
	}
}

// writeAnswer writes a message as JSON.
func writeAnswer(w http.ResponseWriter, status int, msg proto.Message) {
	data, err := protojson.Marshal(msg)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
