// Package route chooses the VM of a service that gets an attempt. It knows
// the VMs by announcements, and their load by the calls that the own node
// sent and by the answers to them.
package route

import (
	"math/rand/v2"
	"time"

	"camphortrail/call"

	"github.com/pkg/errors"
)

// Errors of Choose.
var (
	// ErrNoUpstream means that no VM of the service can take the attempt.
	ErrNoUpstream = errors.New("route: no upstream")
	// ErrShed means that all reachable VMs of the service refuse work of
	// this level.
	ErrShed = errors.New("route: shed for overload")
)

// Settings tune a Table. Zero fields take the defaults.
type Settings struct {
	// Domain is the own failure domain.
	Domain call.FailureDomain
	// MaxUpstreams bounds the table; further ones are ignored (default
	// 8192).
	MaxUpstreams int
	// LevelLife is the time for which a returned level counts (default
	// 250 ms).
	LevelLife time.Duration
	// TrickleInterval is the shortest time between two attempts of one
	// service that are let through although they should be shed (default
	// 25 ms).
	TrickleInterval time.Duration
	// ProbeInterval is the time after which a VM of the own failure domain
	// that was not chosen gets an attempt of low importance (default 1 s).
	ProbeInterval time.Duration
}

// Request describes the attempt that needs a VM.
type Request struct {
	Service    call.Service
	Importance call.Importance
	Cohort     call.Cohort
	// Exclude names the VMs that must not be chosen.
	Exclude []call.VM
}

// Table holds the upstreams by service. It is not safe for concurrent use.
type Table struct {
	st  Settings
	rng *rand.Rand
}

// New returns an empty table. Choices are drawn from rng.
func New(st Settings, rng *rand.Rand) *Table { return &Table{st: st, rng: rng} }

// Step applies an event at the time now, which never runs backwards.
func (tb *Table) Step(_ time.Time, _ Event) {}

// Choose returns the VM for an attempt at the time now. It returns
// ErrNoUpstream or ErrShed if there is none. The caller reports the attempt
// by Sent.
func (tb *Table) Choose(_ time.Time, _ Request) (call.VM, error) { return "", ErrNoUpstream }

// Entry describes an upstream for operators.
type Entry struct {
	VM          call.VM
	Domain      call.FailureDomain
	Slots       int
	Draining    bool
	Suspect     bool
	Ejected     bool
	Outstanding int
	Latency     time.Duration
	Level       call.Level
}

// VMs returns the upstreams of a service at the time now, ordered by name.
func (tb *Table) VMs(_ time.Time, _ call.Service) []Entry { return nil }

// Services returns the names of all services, ordered.
func (tb *Table) Services() []call.Service { return nil }
