// Package entry takes requests from callers and from the upstream beside the
// node, sends attempts to the guards of the service and answers with one
// outcome.
package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/traffic/attempt"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/internal/traffic/guard"
	"camphortrail/internal/traffic/header"
	"camphortrail/internal/traffic/inflight"
	"camphortrail/internal/traffic/peer"
	"camphortrail/internal/traffic/throttle"
	"camphortrail/retry"
	"camphortrail/route"
	"camphortrail/schema"
)

// Reasons of refusals and of unknown outcomes.
const (
	ReasonNoConfiguration     = "no-configuration"
	ReasonNoService           = "no-service"
	ReasonRequestTooLarge     = "request-too-large"
	ReasonRequestIncomplete   = "request-incomplete"
	ReasonKeyMissing          = "idempotency-key-missing"
	ReasonBadHeader           = "bad-header"
	ReasonRetryTotal          = "retry-total"
	ReasonStopping            = "stopping"
	ReasonNoUpstream          = "no-upstream"
	ReasonUnreachable         = "unreachable"
	ReasonOverload            = "overload"
	ReasonKindFails           = "kind-fails"
	ReasonDeadline            = "deadline"
	ReasonAnswerLost          = "answer-lost"
	ReasonKeyInProgress       = "key-in-progress"
	ReasonKeyFinished         = "key-finished"
	ReasonKeyOfAnotherRequest = "key-of-another-request"
	ReasonClaimsUnavailable   = "claims-unavailable"
)

// Claimer claims idempotency keys.
type Claimer interface {
	Do(ctx context.Context, op *schema.ClaimOperation) (*schema.ClaimResult, error)
}

// Options describe an entry.
type Options struct {
	VM     call.VM
	Trees  *calltree.Trees
	Guard  *guard.Guard
	Pool   *peer.Pool
	Claims Claimer
	Domain call.FailureDomain
	Seed   uint64
	// HopRetries, if set, replaces the retry policy by this number of
	// retries at each hop, without a total, and switches shedding off.
	HopRetries int
	Metrics    *metrics.Set
	// Events takes the decisions on requests, if set.
	Events *events.Log
	// RetrySlack, if set, is the number of retries to a service that all
	// nodes together may make without successes.
	RetrySlack float64
}

// Entry takes requests. Its methods are safe for concurrent use.
type Entry struct {
	opt      Options
	config   atomic.Pointer[config.Compiled]
	stopping atomic.Bool
	active   inflight.Counter
	traffic  trafficCounters

	mu        sync.Mutex
	rng       *rand.Rand
	routes    *route.Table
	ratios    map[call.Service]*retry.Ratio
	addresses map[call.VM]string
	throttles *throttle.Controller
	// longestWaits holds the longest waits that callers state, by route.
	longestWaits map[call.Class]*longestWait
	// grants holds what the guards of a service told of their room, by VM.
	grants map[call.Service]map[call.VM]guardGrant
	// histograms are those of the requests that were seen so far.
	histograms map[histogramKey]*metrics.Histogram
	// maxNodes is the largest number of maxNodes that was known at a time: those
	// that are cut off go on spending their shares.
	maxNodes int
}

// New returns an entry without a configuration.
func New(opt Options) *Entry {
	rng := rand.New(rand.NewPCG(opt.Seed, ^opt.Seed))
	return &Entry{
		opt:       opt,
		rng:       rng,
		routes:    route.New(route.Settings{Domain: opt.Domain}, rng),
		ratios:    make(map[call.Service]*retry.Ratio),
		addresses: make(map[call.VM]string),
		throttles: throttle.New(),
		longestWaits:     make(map[call.Class]*longestWait),
		grants:     make(map[call.Service]map[call.VM]guardGrant),

		histograms: make(map[histogramKey]*metrics.Histogram),
	}
}

// SetConfiguration brings a configuration into force.
func (en *Entry) SetConfiguration(cd *config.Compiled) {
	en.mu.Lock()
	en.throttles.Retain(cd.Names)
	en.opt.Trees.Retain(cd.Names)
	maps.DeleteFunc(en.grants, func(svc call.Service, _ map[call.VM]guardGrant) bool { return !hasService(cd, svc) })
	maps.DeleteFunc(en.histograms, func(ky histogramKey, _ *metrics.Histogram) bool { return !cd.Names(ky.class) })
	maps.DeleteFunc(en.longestWaits, func(class call.Class, _ *longestWait) bool { return !cd.Names(class) })
	for _, svc := range cd.Services {
		rt := en.ratios[svc.Name]
		if rt == nil {
			rt = retry.NewRatio(retry.Percent(svc.RetryRatio))
			rt.SetMinRetries(en.retryFloor())
			en.ratios[svc.Name] = rt
		}
		rt.SetPercent(retry.Percent(svc.RetryRatio))
	}
	en.mu.Unlock()
	en.config.Store(cd)
}

// ApplyRouteEvent applies an event to the routing table.
func (en *Entry) ApplyRouteEvent(ev route.Event) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.routes.Step(time.Now(), ev)
}

// SetAddress states the peer address of a VM.
func (en *Entry) SetAddress(vm call.VM, address string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.addresses[vm] = address
}

// slackFloorsPerWindow is the number of floors that may be spent within the window in
// which retries are counted: the one that is there, and what comes back of it
// meanwhile.
const slackFloorsPerWindow = 2

// retryFloor returns the part of the retry slack of this node. The lock is
// held.
func (en *Entry) retryFloor() float64 {
	if en.opt.RetrySlack == 0 {
		return retry.DefaultMinRetries
	}
	return en.opt.RetrySlack / float64(slackFloorsPerWindow*max(en.maxNodes, 1))
}

// SetNodeCount states the number of nodes that are known, which share the retry
// slack.
func (en *Entry) SetNodeCount(nodes int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if nodes <= en.maxNodes {
		return
	}
	en.maxNodes = nodes
	for _, rt := range en.ratios {
		rt.SetMinRetries(en.retryFloor())
	}
}

// RoutingTable returns the routing table.
func (en *Entry) RoutingTable() map[call.Service][]route.UpstreamInfo {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make(map[call.Service][]route.UpstreamInfo)
	for _, svc := range en.routes.Services() {
		all[svc] = en.routes.Upstreams(time.Now(), svc)
	}
	return all
}

// Stop refuses new requests of callers. Calls of the upstream beside the node
// go on.
func (en *Entry) Stop() { en.stopping.Store(true) }

// RefusalReason returns the reason for which all requests of callers are refused, or
// an empty string if they are taken.
func (en *Entry) RefusalReason() string {
	switch {
	case en.stopping.Load():
		return ReasonStopping
	case en.config.Load() == nil:
		return ReasonNoConfiguration
	}
	return ""
}

// Wait waits until no request is handled any more, or until ctx ends.
func (en *Entry) Wait(ctx context.Context) error { return en.active.Wait(ctx) }

// ServeHTTP answers one request.
func (en *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	en.active.Enter()
	defer en.active.Exit()
	begun := time.Now()
	rq, an := en.accept(r, begun)
	if an != nil && mayHaveRunEarlier(r.Header) {
		// The refusal is of this send; another one may have run.
		an.Outcome = call.Unknown
	}
	if an == nil {
		an = en.serveUntilDeadline(r.Context(), rq)
	}
	if en.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	en.writeAnswer(w, rq, an)
	en.observe(rq, an, time.Since(begun))
}

// HasService reports whether the configuration in force names the service. Before
// there is one, every service may be named.
func (en *Entry) HasService(svc call.Service) bool {
	cd := en.config.Load()
	return cd == nil || hasService(cd, svc)
}

// hasService reports whether the configuration hasService the service.
func hasService(cd *config.Compiled, svc call.Service) bool {
	return slices.ContainsFunc(cd.Services, func(sv config.Service) bool { return sv.Name == svc })
}

// Limits returns the limits in force for what callers send.
func (en *Entry) Limits() config.Limits {
	if cd := en.config.Load(); cd != nil {
		return cd.Limits
	}
	return config.DefaultLimits
}

// accept returns the request, or the answer to one that is refused.
func (en *Entry) accept(r *http.Request, now time.Time) (*request, *attempt.Answer) {
	cd := en.config.Load()
	if cd == nil {
		return nil, attempt.Refusal(ReasonNoConfiguration, time.Second)
	}
	if en.stopping.Load() && r.Header.Get(header.Attempt) == "" {
		return nil, attempt.Refusal(ReasonStopping, time.Second)
	}
	return en.newRequest(r, cd, now)
}

func (en *Entry) writeAnswer(w http.ResponseWriter, rq *request, an *attempt.Answer) {
	hd := w.Header()
	for name, values := range an.Header {
		hd[name] = values
	}
	hd.Set(header.Outcome, an.Outcome.String())
	if rq != nil && rq.id != (call.RequestID{}) {
		hd.Set(header.Request, rq.id.String())
	}
	if an.Reason != "" {
		hd.Set(header.Reason, an.Reason)
	}
	if an.RetryAfter > 0 {
		hd.Set(header.RetryAfterMS, strconv.FormatInt(an.RetryAfter.Milliseconds(), 10))
		hd.Set(header.RetryAfter, strconv.Itoa(int((an.RetryAfter+time.Second-1)/time.Second)))
	}
	hd.Set("Content-Length", strconv.Itoa(len(an.Body)))
	w.WriteHeader(an.Status)
	_, _ = w.Write(an.Body)
}

// observe counts the request in the histogram of its class and outcome.
func (en *Entry) observe(rq *request, an *attempt.Answer, took time.Duration) {
	if en.opt.Metrics == nil {
		return
	}
	var class call.Class
	if rq != nil {
		class = rq.kind.Class
	}
	en.histogram(class, an.Outcome).Update(took.Seconds())
}

// histogramKey names the histogram of the requests of a class with an outcome.
type histogramKey struct {
	class   call.Class
	outcome call.Outcome
}

// histogram returns the histogram of the times that requests took. It is kept, as the
// name is long to make.
func (en *Entry) histogram(class call.Class, oc call.Outcome) *metrics.Histogram {
	ky := histogramKey{class, oc}
	en.mu.Lock()
	defer en.mu.Unlock()
	hg := en.histograms[ky]
	if hg == nil {
		name := `camphortrail_request_duration_seconds{class="` + string(class) + `",outcome="` + oc.String() + `"}`
		hg = en.opt.Metrics.GetOrCreateHistogram(name)
		en.histograms[ky] = hg
	}
	return hg
}

func (en *Entry) newRequestID() call.RequestID {
	en.mu.Lock()
	defer en.mu.Unlock()
	return call.NewRequestID(en.rng)
}
