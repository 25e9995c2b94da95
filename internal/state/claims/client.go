// Package claims sends the operations on idempotency keys to the control
// replicas, in batches.
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
	// ErrUnavailable means that no replica answered in time. The operation
	// may have been applied; it may be given to Do again.
	ErrUnavailable = errors.New("claims: control replicas are unavailable")
	// ErrBusy means that too many operations wait, and that this one was
	// not sent. It wraps ErrUnavailable.
	ErrBusy = errors.Wrap(ErrUnavailable, "too many operations wait")
)

// Bounds of a Client.
const (
	// maxWaiting bounds the operations that wait for the next batch.
	maxWaiting = 8192
	// maxBatch and maxBatchBytes bound one batch.
	maxBatch      = 512
	maxBatchBytes = 1 << 20
	// callTimeout bounds one call to a replica.
	callTimeout = 300 * time.Millisecond
	// batchTimeout bounds all calls for one batch.
	batchTimeout = 2 * time.Second
	// minBackoff and maxPause bound the pause after a failed call.
	minBackoff = 10 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

// Client sends operations to the leader of the control replicas. One batch is
// in flight while the next one collects.
type Client struct {
	addresses []string
	replicas  []schemaconnect.ControlClient
	// leader is the index of the replica to ask first.
	leader  int
	jobs    *queue.Queue[*job]
	stopped chan struct{}
}

// job is one operation that a caller of Do waits for.
type job struct {
	ctx    context.Context
	op     *schema.ClaimOperation
	result chan result
}

type result struct {
	res *schema.ClaimResult
	err error
}

// NewClient returns a client of the replicas at the addresses (IP:port).
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

// Do has op applied and returns its result. It fails with ErrUnavailable
// when ctx ends, when no replica answers, and after Run has returned.
func (cl *Client) Do(ctx context.Context, op *schema.ClaimOperation) (*schema.ClaimResult, error) {
	jb := &job{ctx: ctx, op: op, result: make(chan result, 1)}
	if !cl.jobs.Offer(jb) {
		return nil, ErrBusy
	}
	select {
	case ans := <-jb.result:
		return ans.res, ans.err
	case <-ctx.Done():
		return nil, errors.Wrap(ErrUnavailable, ctx.Err().Error())
	case <-cl.stopped:
		return nil, errors.Wrap(ErrUnavailable, "client has ended")
	}
}

// Run sends batches until ctx ends, and returns its error. It must be called
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

// collect returns a batch that begins with first, and the operation that had
// no more room in it. Operations that nobody waits for are left out.
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

// nextWaiting returns a waiting operation, or nil.
func (cl *Client) nextWaiting() *job {
	select {
	case jb := <-cl.jobs.Out():
		return jb
	default:
		return nil
	}
}
