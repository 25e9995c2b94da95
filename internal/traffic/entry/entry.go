// Package entry serves requests of callers and calls of the upstream on the same VM. It
// sends attempts to the guards of the service, within the retry budget and the deadline,
// and answers with exactly one outcome: done, not-run or unknown.
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
	"camphortrail/cost"
	"camphortrail/internal/customers/shares"
	"camphortrail/internal/ops/events"
	"camphortrail/internal/ops/series"
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
	ReasonKeyUnknown          = "key-unknown"
	ReasonKeyStale            = "key-stale"
	ReasonCap                 = "cap"
)

// Claimer claims idempotency keys for requests, so that a request with a key runs once.
type Claimer interface {
	Do(ctx context.Context, op *schema.ClaimOperation) (*schema.ClaimResult, error)
}

// Options configure an entry.
type Options struct {
	// VM is the VM of the node.
	VM call.VM
	// Trees relates requests to the attempts on this VM that make them as calls. It is
	// shared with Guard, which is the guard of the same node.
	Trees *calltree.Trees
	Guard *guard.Guard
	Pool  *peer.Pool
	// Claims claims idempotency keys. If it is nil, no keys are claimed.
	Claims Claimer
	// Domain is the failure domain of the node.
	Domain call.FailureDomain
	// Seed is the seed of the entry's random choices and ids.
	Seed uint64
	// HopRetries, if set, is the number of retries at each hop. It replaces the retry
	// budget and switches load shedding off, as a baseline for measurements.
	HopRetries int
	Metrics    *metrics.Set
	// Events logs the decisions on requests, if it is set.
	Events *events.Log
	// PlaceByCost makes the entry choose VMs by the least expected time to completion, if the
	// configuration names a target of a route.
	PlaceByCost bool
	// RetrySlack, if set, is the number of retries to one service that all nodes
	// together may make without any successes.
	RetrySlack float64
	// Freshness tells whether keys of customers may be trusted, and Allowances keep customers
	// within their usage caps. Without them, all keys are trusted and there are no caps.
	Freshness  Freshness
	Allowances Allowances
}

// Entry serves requests. Its methods are safe for concurrent use.
type Entry struct {
	opt     Options
	started time.Time
	config  atomic.Pointer[config.Compiled]
	// stop is set when the entry stops.
	stop atomic.Pointer[stopTimes]
	// active counts all requests that are being served, and callers those of callers.
	active  inflight.Counter
	callers inflight.Counter
	traffic trafficCounters
	// customers counts the requests of customers.
	customers customerCounters

	mu     sync.Mutex
	rng    *rand.Rand
	routes *route.Table
	// costs estimates what requests cost at an upstream of usual speed. It is nil unless VMs are
	// chosen by cost.
	costs *cost.Model
	// ratios bounds the retries of each service relative to its successes.
	ratios map[call.Service]*retry.Ratio
	// windows bounds the retries of each service in any 10 s, if there is a retry slack. The bound
	// of ratios alone lets up to 2.4 times as many pass in some windows.
	windows map[call.Service]*retry.Window
	// addresses holds the peer addresses of the VMs.
	addresses map[call.VM]string
	// throttles decides which requests of callers are admitted.
	throttles *throttle.Controller
	// shares gives the requests of customers their positions.
	shares *shares.Controller
	// longestWaits holds the longest stated waits of callers by route.
	longestWaits map[call.Class]*longestWait
	// grants holds the latest grants of the guards of each service by VM.
	grants map[call.Service]map[call.VM]guardGrant
	// aggregations holds the aggregation of the demands for each service.
	aggregations map[call.Service]*aggregation
	neighbors    neighbors
	// sendNow receives a value when demands must be sent without waiting for the interval.
	sendNow chan struct{}
	// histograms holds the histograms of the classes and outcomes that occurred.
	histograms map[histogramKey]*metrics.Histogram
	// maxNodes is the largest number of nodes that was ever known. Nodes that are cut off
	// still count, because they go on spending their parts of the retry slack.
	maxNodes int
}

// New returns an entry without a configuration.
func New(opt Options) *Entry {
	rng := rand.New(rand.NewPCG(opt.Seed, ^opt.Seed))
	en := &Entry{
		opt:          opt,
		started:      time.Now(),
		rng:          rng,
		routes:       route.New(route.Settings{Domain: opt.Domain}, rng),
		ratios:       make(map[call.Service]*retry.Ratio),
		windows:      make(map[call.Service]*retry.Window),
		addresses:    make(map[call.VM]string),
		throttles:    throttle.New(),
		shares:       shares.New(),
		longestWaits: make(map[call.Class]*longestWait),
		grants:       make(map[call.Service]map[call.VM]guardGrant),
		aggregations: make(map[call.Service]*aggregation),
		sendNow:      make(chan struct{}, 1),

		histograms: make(map[histogramKey]*metrics.Histogram),
	}
	if opt.Metrics != nil {
		opt.Metrics.RegisterMetricsWriter(en.customers.write)
	}
	return en
}

// SetConfiguration applies a configuration. It drops the state of classes and services
// that the configuration does not name, except the retry ratios.
func (en *Entry) SetConfiguration(cd *config.Compiled) {
	en.mu.Lock()
	en.throttles.Retain(cd.HasClass)
	en.opt.Trees.Retain(cd.HasClass)
	maps.DeleteFunc(en.grants, func(svc call.Service, _ map[call.VM]guardGrant) bool { return !namesService(cd, svc) })
	maps.DeleteFunc(en.aggregations, func(svc call.Service, _ *aggregation) bool { return !namesService(cd, svc) })
	maps.DeleteFunc(en.histograms, func(ky histogramKey, _ *metrics.Histogram) bool { return !cd.HasClass(ky.class) })
	maps.DeleteFunc(en.longestWaits, func(class call.Class, _ *longestWait) bool { return !cd.HasClass(class) })
	for _, svc := range cd.Services {
		rt := en.ratios[svc.Name]
		if rt == nil {
			rt = retry.NewRatio(retry.Percent(svc.RetryRatioPercent))
			rt.SetMinRetries(en.minRetries())
			en.ratios[svc.Name] = rt
		}
		rt.SetPercent(retry.Percent(svc.RetryRatioPercent))
		en.configureWindow(svc)
	}
	en.configurePlacement(cd)
	en.mu.Unlock()
	en.customers.retain(func(name call.Customer) bool { _, ok := cd.Customer(name); return ok })
	en.config.Store(cd)
}

// configureWindow sets the percentage of the retry window of a service. The caller holds mu.
func (en *Entry) configureWindow(svc config.Service) {
	if en.opt.RetrySlack == 0 {
		return
	}
	wn := en.windows[svc.Name]
	if wn == nil {
		wn = retry.NewWindow(retry.Percent(svc.RetryRatioPercent))
		wn.SetSlack(en.windowSlack())
		en.windows[svc.Name] = wn
	}
	wn.SetPercent(retry.Percent(svc.RetryRatioPercent))
}

// configurePlacement sets the rule by which VMs are chosen. The caller holds mu.
func (en *Entry) configurePlacement(cd *config.Compiled) {
	byCost := en.opt.PlaceByCost && cd.HasTargets()
	en.routes.Step(time.Now(), route.Placement{ByCost: byCost})
	switch {
	case !byCost:
		en.costs = nil
	case en.costs == nil:
		en.costs = cost.NewModel()
	default:
		en.costs.Retain(cd.HasClass)
	}
}

// StartSlowly makes the entry limit the requests in flight until it knows what they take. It must
// be called before the first configuration.
func (en *Entry) StartSlowly() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.throttles.SlowStart()
}

// ApplyRouteEvent applies an event to the routing table.
func (en *Entry) ApplyRouteEvent(ev route.Event) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.routes.Step(time.Now(), ev)
}

// SetAddress sets the peer address of a VM.
func (en *Entry) SetAddress(vm call.VM, address string) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.addresses[vm] = address
}

// minSpendsPerWindow is how many times a node can spend its minimum of retries within the
// window of the retry ratio: the balance at the start of the window, and as much again that
// is refilled in the window.
const minSpendsPerWindow = 2

// minRetries returns the number of retries to one service that this node may make without
// successes: its part of the retry slack, or the default. The caller holds mu.
func (en *Entry) minRetries() float64 {
	if en.opt.RetrySlack == 0 {
		return retry.DefaultMinRetries
	}
	return en.opt.RetrySlack / float64(minSpendsPerWindow*max(en.maxNodes, 1))
}

// windowSlack returns the part of this node of the retry slack in any window. The caller holds mu.
func (en *Entry) windowSlack() float64 { return en.opt.RetrySlack / float64(max(en.maxNodes, 1)) }

// SetNodeCount sets the number of known nodes, which share the retry slack. A smaller
// number than before is ignored.
func (en *Entry) SetNodeCount(nodes int) {
	en.mu.Lock()
	defer en.mu.Unlock()
	if nodes <= en.maxNodes {
		return
	}
	en.maxNodes = nodes
	for _, rt := range en.ratios {
		rt.SetMinRetries(en.minRetries())
	}
	for _, wn := range en.windows {
		wn.SetSlack(en.windowSlack())
	}
}

// RoutingTable returns the upstreams of each service in the routing table.
func (en *Entry) RoutingTable() map[call.Service][]route.UpstreamInfo {
	en.mu.Lock()
	defer en.mu.Unlock()
	all := make(map[call.Service][]route.UpstreamInfo)
	for _, svc := range en.routes.Services() {
		all[svc] = en.routes.Upstreams(time.Now(), svc)
	}
	return all
}

// RefusalReason returns the reason why all requests of callers are refused, or an empty
// string if they are accepted.
func (en *Entry) RefusalReason() string {
	switch {
	case en.stopping():
		return ReasonStopping
	case en.config.Load() == nil:
		return ReasonNoConfiguration
	}
	return ""
}

// InFlight returns the number of requests that are being served.
func (en *Entry) InFlight() int { return en.active.Len() }

// WaitCallers waits until no request of a caller is being served, or until ctx ends. The calls of
// the upstream on the VM may go on.
func (en *Entry) WaitCallers(ctx context.Context) error { return en.callers.Wait(ctx) }

// Wait waits until no request is being served, or until ctx ends.
func (en *Entry) Wait(ctx context.Context) error { return en.active.Wait(ctx) }

// ServeHTTP serves one request of a caller, or one call of the upstream.
func (en *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	en.active.Enter()
	defer en.active.Exit()
	start := time.Now()
	rq, an := en.accept(r, start)
	if an != nil && mayHaveRunEarlier(r.Header) {
		// This send is refused, but an earlier one may have run.
		an.Outcome = call.Unknown
	}
	if an == nil {
		an = en.serveCounted(r.Context(), rq, en.serveUnthrottled)
	}
	en.customers.add(rq, an)
	if en.stopping() {
		w.Header().Set("Connection", "close")
	}
	en.writeAnswer(w, rq, an)
	en.observe(rq, an, time.Since(start))
}

// HasService reports whether the current configuration names the service. It returns true
// if there is no configuration yet.
func (en *Entry) HasService(svc call.Service) bool {
	cd := en.config.Load()
	return cd == nil || namesService(cd, svc)
}

// namesService reports whether the configuration names the service.
func namesService(cd *config.Compiled, svc call.Service) bool {
	return slices.ContainsFunc(cd.Services, func(sv config.Service) bool { return sv.Name == svc })
}

// Limits returns the current limits for the requests of callers, or the default limits
// if there is no configuration yet.
func (en *Entry) Limits() config.Limits {
	if cd := en.config.Load(); cd != nil {
		return cd.Limits
	}
	return config.DefaultLimits
}

// accept reads the request. If the answer is not nil, the request is refused, and may be
// nil.
func (en *Entry) accept(r *http.Request, now time.Time) (*request, *attempt.Answer) {
	cd := en.config.Load()
	if cd == nil {
		return nil, attempt.Refusal(ReasonNoConfiguration, time.Second)
	}
	if en.stopping() && r.Header.Get(header.Attempt) == "" {
		return nil, attempt.Refusal(ReasonStopping, time.Second)
	}
	rq, an := en.newRequest(r, cd, now)
	if an == nil {
		an = en.refuseWhileStopping(rq, now)
	}
	return rq, an
}

// writeAnswer writes the answer with the headers that report its outcome. rq may be nil.
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

// observe adds the duration of a request to the histogram of its class and outcome.
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

// histogramKey identifies the histogram of the requests of a class with an outcome.
type histogramKey struct {
	class   call.Class
	outcome call.Outcome
}

// histogram returns the histogram of request durations for a class and an outcome. The
// histograms are cached, because building their names is slow.
func (en *Entry) histogram(class call.Class, oc call.Outcome) *metrics.Histogram {
	ky := histogramKey{class, oc}
	en.mu.Lock()
	defer en.mu.Unlock()
	hg := en.histograms[ky]
	if hg == nil {
		hg = en.opt.Metrics.GetOrCreateHistogram(series.Name("camphortrail_request_duration_seconds", "class", string(class), "outcome", oc.String()))
		en.histograms[ky] = hg
	}
	return hg
}

// newRequestID returns a random request id.
func (en *Entry) newRequestID() call.RequestID {
	en.mu.Lock()
	defer en.mu.Unlock()
	return call.NewRequestID(en.rng)
}
