package renewal

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/apex/log"

	"camphortrail/call"
	"camphortrail/internal/customers/freshness"
	"camphortrail/internal/state/boottime"
	"camphortrail/membership"
	"camphortrail/schema"
)

// MinQueryInterval is the least time between two queries to the parent.
const MinQueryInterval = freshness.MinQueryInterval

// idleWake is the time until the next step if no customers are in force and nothing happens.
const idleWake = time.Hour

// Options configure a Renewal.
type Options struct {
	// Name is the VM of the node.
	Name call.VM
	// Bound is the time after which a withdrawn key is no longer accepted, or 0 if there is no
	// bound and all keys are trusted.
	Bound time.Duration
	Seed  uint64
	// Send sends a query to another node. Its answer is passed to Receive.
	Send func(vm call.VM, address string, msg *schema.Renewal)
	// Discard replaces the connection to a node that did not answer.
	Discard func(vm call.VM)
	// Controls returns the addresses of the control replicas, and NewControlClient a client of the
	// one at an address.
	Controls         func() []string
	NewControlClient func(address string) ControlClient
	// Hint, if set, is told a revision that the node lacks, and a process that probably has it.
	Hint func(revision uint64, address string)
	// NewAllowances returns what decides on allowances, if it is set.
	NewAllowances func(askNow func()) Allowances
	Log           log.Interface
	Metrics       *metrics.Set
}

// Renewal renews the proofs of a node, answers those that query it, and tells whether keys of
// customers may be trusted. Its methods are safe for concurrent use.
type Renewal struct {
	opt        Options
	allowances Allowances
	control    *controlQuerier
	// wake receives a value when Run must step the machine.
	wake chan struct{}

	queries, failures, answered *metrics.Counter
	// root says whether the node is the root of its failure domain.
	root atomic.Bool

	mu        sync.Mutex
	machine   *freshness.Machine
	addresses map[call.VM]string
	// reported says whether the log says last that keys are trusted. It says nothing before the
	// configuration names customers.
	reported trust
}

// trust is what the log says of the keys of customers.
type trust uint8

const (
	notReported trust = iota
	trusted
	notTrusted
)

// New returns a renewal of a node that has no configuration yet. Its Run method must run.
func New(opt Options) *Renewal {
	rng := rand.New(rand.NewPCG(opt.Seed, opt.Seed+1))
	rn := &Renewal{
		opt: opt, wake: make(chan struct{}, 1), addresses: make(map[call.VM]string),
		machine: freshness.New(freshness.Settings{Name: opt.Name, Bound: opt.Bound, FirstNumber: rng.Uint64()}, rng),
		control: newControlQuerier(opt.Controls, opt.NewControlClient),
		queries: opt.Metrics.NewCounter("camphortrail_renewal_queries_total"), failures: opt.Metrics.NewCounter("camphortrail_renewal_failures_total"),
		answered: opt.Metrics.NewCounter("camphortrail_renewal_answered_total"),
	}
	opt.Metrics.NewGauge("camphortrail_key_proof_age_seconds", rn.proofAgeSeconds)
	opt.Metrics.NewGauge("camphortrail_keys_trusted", rn.trustedGauge)
	if opt.NewAllowances != nil {
		rn.allowances = opt.NewAllowances(rn.askNow)
	}
	return rn
}

// signal makes Run step the machine.
func (rn *Renewal) signal() {
	select {
	case rn.wake <- struct{}{}:
	default:
	}
}

// askNow makes the node query its parent at once, but not before MinQueryInterval has passed since
// the last query.
func (rn *Renewal) askNow() {
	rn.mu.Lock()
	rn.machine.AskNow()
	rn.mu.Unlock()
	rn.signal()
}

// SetConfiguration notes the revision in force, and whether its configuration names customers.
// Without customers nothing is sent.
func (rn *Renewal) SetConfiguration(revision uint64, customers bool) {
	rn.mu.Lock()
	rn.machine.SetConfiguration(boottime.Now(), revision, customers && (rn.opt.Bound > 0 || rn.allowances != nil))
	rn.mu.Unlock()
	rn.signal()
}

// SetNode adds a present node of the failure domain, or changes its address.
func (rn *Renewal) SetNode(vm call.VM, address string) {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	rn.addresses[vm] = address
	rn.machine.Add(vm)
	rn.root.Store(rn.machine.IsRoot())
}

// RemoveNode removes a node that is not present any more.
func (rn *Renewal) RemoveNode(vm call.VM) {
	rn.mu.Lock()
	delete(rn.addresses, vm)
	rn.machine.Remove(vm)
	rn.root.Store(rn.machine.IsRoot())
	rn.mu.Unlock()
	rn.signal()
}

// IsRoot reports whether the node is the root of its failure domain. It never blocks.
func (rn *Renewal) IsRoot() bool { return rn.root.Load() }

// Fresh reports whether the keys of the configuration with the given revision may be trusted. It
// implements entry.Freshness, and counts as a request with a key.
func (rn *Renewal) Fresh(revision uint64) bool {
	now := boottime.Now()
	rn.mu.Lock()
	fresh, wasIdle := rn.machine.Fresh(now, revision), rn.machine.Used(now)
	rn.mu.Unlock()
	if wasIdle {
		rn.signal()
	}
	return fresh
}

// Answer answers the query of another node.
func (rn *Renewal) Answer(msg *schema.Renewal) *schema.RenewalAnswer {
	out := &schema.RenewalAnswer{Number: msg.GetNumber()}
	if rn.allowances != nil {
		out.Allowances = rn.allowances.Grant(boottime.Now(), msg.GetFrom(), msg.GetDemands())
	}
	rn.answered.Inc()
	rn.mu.Lock()
	now := boottime.Now()
	before, _ := rn.machine.Wake(now)
	an := rn.machine.AnswerChild(now, msg.GetActive())
	after, _ := rn.machine.Wake(now)
	rn.mu.Unlock()
	if after.Before(before) {
		rn.signal()
	}
	out.Proved, out.Revision = an.Proved, an.Revision
	// The age is rounded up, so that no proof seems younger than it is.
	out.ProofAgeUs = uint64((an.Age + time.Microsecond - 1) / time.Microsecond)
	return out
}

// Receive takes the answer of another node. It drops an answer that is not waited for.
func (rn *Renewal) Receive(from call.VM, msg *schema.RenewalAnswer) {
	now := boottime.Now()
	an := freshness.Answer{Revision: msg.GetRevision()}
	// An age that a Duration does not hold is beyond every limit, and no configuration has a revision
	// above membership.MaxRevision.
	us := msg.GetProofAgeUs()
	if msg.GetProved() && us < uint64(time.Hour/time.Microsecond) && an.Revision <= membership.MaxRevision {
		an.Proved, an.Age = true, time.Duration(us)*time.Microsecond
	}
	rn.mu.Lock()
	qu, ok := rn.machine.Receive(now, from, msg.GetNumber(), an)
	missing, isMissing := rn.machine.Missing(now)
	address := rn.addresses[from]
	rn.mu.Unlock()
	if !ok {
		return
	}
	if isMissing && rn.opt.Hint != nil {
		if from == freshness.Control {
			address = rn.control.leaderAddress()
		}
		rn.opt.Hint(missing, address)
	}
	if rn.allowances != nil {
		rn.allowances.Receive(qu.Sent, now, msg.GetAllowances())
	}
	rn.signal()
}

// Run sends queries until ctx ends.
func (rn *Renewal) Run(ctx context.Context) error {
	timer := time.NewTimer(idleWake)
	defer timer.Stop()
	for {
		timer.Reset(rn.step(ctx))
		select {
		case <-ctx.Done():
			return nil
		case <-rn.wake:
		case <-timer.C:
		}
	}
}

// step sends the query that is due, and returns the time until the next step.
func (rn *Renewal) step(ctx context.Context) time.Duration {
	rn.mu.Lock()
	now := boottime.Now()
	qu, send, failed := rn.machine.Next(now)
	address := rn.addresses[qu.To]
	rn.reportTrust(now)
	wake, ok := rn.machine.Wake(now)
	rn.mu.Unlock()
	if failed != freshness.Control {
		rn.failures.Inc()
		rn.opt.Discard(failed)
	}
	if send {
		rn.send(ctx, qu, address)
	}
	if !ok {
		return idleWake
	}
	return max(wake.Sub(boottime.Now()), 0)
}

// send sends a query.
func (rn *Renewal) send(ctx context.Context, qu freshness.Query, address string) {
	rn.queries.Inc()
	msg := &schema.Renewal{From: string(rn.opt.Name), Number: qu.Number, Active: qu.Active}
	if rn.allowances != nil {
		msg.Demands = rn.allowances.Demands(qu.Sent)
	}
	if qu.To != freshness.Control {
		rn.opt.Send(qu.To, address, msg)
		return
	}
	started := rn.control.start(ctx, msg, func(an *schema.RenewalAnswer) {
		if an == nil {
			rn.fail(msg.GetNumber())
			return
		}
		an.Number = msg.GetNumber()
		rn.Receive(freshness.Control, an)
	})
	if !started {
		rn.fail(msg.GetNumber())
	}
}

// fail notes that control did not answer a query.
func (rn *Renewal) fail(number uint64) {
	rn.failures.Inc()
	rn.mu.Lock()
	rn.machine.Failed(boottime.Now(), number)
	rn.mu.Unlock()
	rn.signal()
}

// reportTrust logs when keys start and stop to be trusted. The caller holds mu.
func (rn *Renewal) reportTrust(now time.Time) {
	if rn.opt.Bound == 0 || !rn.machine.Customers() {
		rn.reported = notReported
		return
	}
	state := notTrusted
	if rn.machine.Fresh(now, rn.machine.Revision()) {
		state = trusted
	}
	if state == rn.reported {
		return
	}
	rn.reported = state
	lg := rn.opt.Log.WithField("revision", rn.machine.Revision())
	if state == trusted {
		lg.Info("keys of customers are trusted")
		return
	}
	if age, ok := rn.machine.ProofAge(now); ok {
		lg = lg.WithField("proof-age-ms", age.Milliseconds())
	}
	lg.Warn("keys of customers are not trusted: no recent proof that the configuration is the newest one")
}

// proofAgeSeconds returns the age of the newest proof for the revision in force, or -1 if there is
// none.
func (rn *Renewal) proofAgeSeconds() float64 {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	age, ok := rn.machine.ProofAge(boottime.Now())
	if !ok {
		return -1
	}
	return age.Seconds()
}

// trustedGauge returns 1 if keys are trusted, and 0 otherwise.
func (rn *Renewal) trustedGauge() float64 {
	rn.mu.Lock()
	defer rn.mu.Unlock()
	if rn.machine.Fresh(boottime.Now(), rn.machine.Revision()) {
		return 1
	}
	return 0
}
