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

// Pattern describes the requests that a caller sends.
type Pattern struct {
	Class      call.Class
	Importance call.Importance
	Method     string
	// Path is completed by the root id as last segment.
	Path string
	// Keyed says that requests carry an idempotency key.
	Keyed bool
	// BodyBytes is the size of the body; 0 means none.
	BodyBytes int
	// AnswerBytes is UpstreamOptions.AnswerBytes of the upstreams, for comparing answers.
	AnswerBytes int
}

// Phase is a period in which root requests arrive at random with a constant mean rate.
type Phase struct {
	Length time.Duration
	// Rate is the mean rate in root requests per second.
	Rate float64
}

// CallerOptions describes a caller.
type CallerOptions struct {
	Pattern Pattern
	Phases  []Phase
	// Targets are base URLs. Each send goes to one of them, chosen at random.
	Targets []string
	// SendTimeout bounds one send, RootTimeout all sends of a root.
	SendTimeout time.Duration
	RootTimeout time.Duration
	// Resends bounds the number of times that a root is sent again when the complete
	// answer did not arrive. A resend waits for a random backoff of up to Pause.
	Resends    int
	MaxBackoff time.Duration
	// HonourRetryAfter makes a resend wait for the Retry-After of the answer instead.
	HonourRetryAfter bool
	// MaxOutstanding bounds the roots in flight; a root that arrives beyond it fails at
	// once.
	MaxOutstanding int
	// Seed seeds the arrivals, which are the same for the same seed and phases, and the
	// choices of each root. FirstRoot is the id of the first root; the ids of callers that
	// share a Recorder must not overlap.
	Seed      uint64
	FirstRoot RootID
	Recorder  *Recorder
	Client    *http.Client
}

// Caller generates open-loop load: it sends root requests when they arrive, also while
// earlier ones wait for their answers.
type Caller struct {
	opt         CallerOptions
	arrivals    *rand.Rand
	outstanding atomic.Int64
	roots       sync.WaitGroup
}

// NewCaller returns a caller. If there is no client in opt it uses one of NewClient.
func NewCaller(opt CallerOptions) *Caller {
	if opt.Client == nil {
		opt.Client = NewClient()
	}
	return &Caller{opt: opt, arrivals: rand.New(rand.NewPCG(opt.Seed, 0))}
}

// NewClient returns an HTTP client that several callers may share.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true,
	}}
}

// Run sends requests through all phases and returns when all of them have ended. It
// starts no more after ctx has ended.
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
			if !sleep(ctx, time.Until(next)) {
				return
			}
			cr.startRoot(ctx, id, next)
			id++
		}
		next = end
		if !sleep(ctx, time.Until(end)) {
			return
		}
	}
}

// startRoot sends a root in the background, or records it as failed if too many are in
// flight.
func (cr *Caller) startRoot(ctx context.Context, id RootID, arrived time.Time) {
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
		cr.sendRoot(ctx, rt, rng)
	})
}
