// Package claims implements the client that sends claim operations on idempotency keys to the
// control replicas, in batches.
package claims

import (
	"context"
	"time"

	"camphortrail/queue"
	"camphortrail/schema"
	"camphortrail/schema/schemaconnect"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"google.golang.org/protobuf/proto"
)

// Errors of Client.Do.
var (
	// ErrUnavailable means that no replica answered in time. The operation may have been
	// applied; it can safely be passed to Do again.
	ErrUnavailable = errors.New("claims: control replicas are unavailable")
	// ErrBusy means that too many operations are waiting and that this one was not sent.
	// It wraps ErrUnavailable.
	ErrBusy = errors.Wrap(ErrUnavailable, "too many operations wait")
)

// Bounds of a Client.
const (
	// maxWaiting is the maximum number of operations that wait for the next batch.
	maxWaiting = 8192
	// maxBatch and maxBatchBytes bound the number and total size of the operations of a batch.
	maxBatch      = 512
	maxBatchBytes = 1 << 20
	// callTimeout is the deadline of one call to a replica.
	callTimeout = 300 * time.Millisecond
	// batchTimeout is the deadline of all calls for one batch.
	batchTimeout = 2 * time.Second
	// minBackoff and maxBackoff bound the backoff after a failed call.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Client sends operations to the leader of the control replicas. One batch is in flight at a
// time; operations that arrive meanwhile form the next one.
type Client struct {
	addresses []string
	replicas  []schemaconnect.ControlClient
	// leader is the index of the replica that is called first.
	leader int
	jobs   *queue.Queue[*job]
	// stopped is closed when Run returns.
	stopped chan struct{}
}

// job is an operation for whose result a caller of Do waits.
type job struct {
	ctx   context.Context
	op    *schema.ClaimOperation
	reply chan result
}

// result is the result or error that Do returns.
type result struct {
	res *schema.ClaimResult
	err error
}

// NewClient returns a client of the control replicas at the addresses (IP:port).
func NewClient(addresses []string, httpClient connect.HTTPClient) *Client {
	cl := &Client{
		addresses: addresses,
		jobs:      queue.New[*job](maxWaiting),
		stopped:   make(chan struct{}),
	}
	for _, addr := range addresses {
		cl.replicas = append(cl.replicas, schemaconnect.NewControlClient(httpClient, "http://"+addr))
	}
	return cl
}

// Do sends op to the control replicas and returns its result. It returns ErrUnavailable if ctx
// ends, if no replica answers in time, and after Run has returned, and ErrBusy if too many
// operations are waiting.
func (cl *Client) Do(ctx context.Context, op *schema.ClaimOperation) (*schema.ClaimResult, error) {
	jb := &job{ctx: ctx, op: op, reply: make(chan result, 1)}
	if !cl.jobs.Offer(jb) {
		return nil, ErrBusy
	}
	select {
	case rs := <-jb.reply:
		return rs.res, rs.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnavailable, ctx.Err().Error())
	case <-cl.stopped:
		return nil, errors.Wrap(ErrUnavailable, "client has ended")
	}
}

// Run sends batches until ctx ends, and returns the error of ctx. It must be called exactly
// once.
func (cl *Client) Run(ctx context.Context) error {
	defer close(cl.stopped)
	var next *job
	for {
		if next == nil {
			jb, err := cl.jobs.Take(ctx)
			if err != nil {
				return err
			}
			next = jb
		}
		var batch []*job
		batch, next = cl.collect(next)
		cl.send(ctx, batch)
	}
}

// collect returns a batch that begins with first and contains the waiting operations up to the
// bounds, and the operation that exceeded them, if any. Operations whose caller has given up
// are dropped.
func (cl *Client) collect(first *job) (batch []*job, next *job) {
	size := 0
	for jb := first; jb != nil; jb = cl.nextWaiting() {
		if jb.ctx.Err() != nil {
			continue
		}
		size += proto.Size(jb.op)
		if len(batch) > 0 && (size > maxBatchBytes || len(batch) == maxBatch) {
			return batch, jb
		}
		batch = append(batch, jb)
	}
	return batch, nil
}

// nextWaiting returns the next waiting operation, or nil if there is none.
func (cl *Client) nextWaiting() *job {
	select {
	case jb := <-cl.jobs.Out():
		return jb
	default:
		return nil
	}
}
