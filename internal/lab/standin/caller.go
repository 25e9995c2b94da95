package standin

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"camphortrail/call"
)

// Pattern is one kind of request that a caller sends.
type Pattern struct {
	Class      call.Class
	Importance call.Importance
	Method     string
	// Path is followed by the root id as last segment.
	Path  string
	Keyed bool
	// BodyBytes is the size of the body; 0 means none.
	BodyBytes int
	// AnswerBytes is the least size that the upstreams give to answers.
	AnswerBytes int
}

// Phase is a part of a caller's time with a steady rate of arrivals.
type Phase struct {
	Length time.Duration
	// Rate is in root requests a second.
	Rate float64
}

// CallerOptions describes a caller.
type CallerOptions struct {
	Pattern Pattern
	Phases  []Phase
	// Targets are the base URLs of nodes.
	Targets []string
	// SendTimeout bounds one send, Patience all sends of one root.
	SendTimeout time.Duration
	RootTimeout time.Duration
	// Resends is the number of times that a root is sent again when a send
	// did not bring its answer, after a random pause of up to Pause.
	Resends    int
	MaxBackoff time.Duration
	// HonourRetryAfter makes resends wait as long as an answer asks for.
	HonourRetryAfter bool
	// MaxOutstanding bounds the roots in flight; an arrival above it fails.
	MaxOutstanding int
	// Seed drives arrivals, which are the same for the same seed and phases,
	// and choices. FirstRoot is the id of the first root; ids of callers that
	// share a Recorder must not overlap.
	Seed      uint64
	FirstRoot RootID
	Recorder  *Recorder
	Client    *http.Client
}

// Caller sends root requests as they arrive, however slow the answers are.
type Caller struct {
	opt         CallerOptions
	arrivals    *rand.Rand
	outstanding atomic.Int64
	roots       sync.WaitGroup
}

// NewCaller returns a caller.
func NewCaller(opt CallerOptions) *Caller {
	if opt.Client == nil {
		opt.Client = NewClient()
	}
	return &Caller{opt: opt, arrivals: rand.New(rand.NewPCG(opt.Seed, 0))}
}

// NewClient returns an HTTP client for callers, which may share it.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: idleConnections, DisableCompression: true,
	}}
}

// Run sends requests through all phases, waits for their ends and returns.
func (cr *Caller) Run(ctx context.Context) {
	defer cr.roots.Wait()
	next := time.Now()
	id := cr.opt.FirstRoot
	for _, ph := range cr.opt.Phases {
		end := next.Add(ph.Length)
		for ph.Rate > 0 {
			arrival := next.Add(time.Duration(cr.arrivals.ExpFloat64() / ph.Rate * float64(time.Second)))
			if !arrival.Before(end) {
				break
			}
			next = arrival
			if !wait(ctx, time.Until(next)) {
				return
			}
			cr.start(ctx, id, next)
			id++
		}
		next = end
		if !wait(ctx, time.Until(end)) {
			return
		}
	}
}

func (cr *Caller) start(ctx context.Context, id RootID, arrived time.Time) {
	rt := Root{ID: id, Class: cr.opt.Pattern.Class, Importance: cr.opt.Pattern.Importance, Arrived: arrived}
	if cr.outstanding.Add(1) > int64(cr.opt.MaxOutstanding) {
		cr.outstanding.Add(-1)
		rt.Ended = time.Now()
		cr.opt.Recorder.addRoot(rt)
		return
	}
	rng := rand.New(rand.NewPCG(cr.opt.Seed, uint64(id)))
	cr.roots.Go(func() {
		defer cr.outstanding.Add(-1)
		cr.runRoot(ctx, rt, rng)
	})
}
