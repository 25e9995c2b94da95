// Package announce lets the upstream beside a node announce itself over HTTP.
package announce

import (
	"context"
	"net/http"
	"time"

	"camphortrail/membership"
)

// Announce takes announcements of the upstreams beside one node.
type Announce struct{}

// New returns an Announce without upstreams. It calls onChange with the whole
// set after each change, one call at a time.
func New(now func() time.Time, onChange func([]membership.Upstream)) *Announce {
	return &Announce{}
}

// Handler returns the handler of POST /announce, POST /drain and
// DELETE /announce.
func (an *Announce) Handler() http.Handler { return nil }

// Run ends announcements that are not repeated in time, until ctx ends.
func (an *Announce) Run(ctx context.Context) error { return nil }

// Drain marks all upstreams as draining, as if they had asked for it.
func (an *Announce) Drain() {}

// Resume takes Drain back.
func (an *Announce) Resume() {}
