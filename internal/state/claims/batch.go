package claims

import (
	"context"
	"slices"
	"time"

	"camphortrail/schema"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Errors of one call to a replica.
var (
	errNoLeader    = errors.New("replica knows no leader")
	errNotLeader   = errors.New("replica is not the leader")
	errResultCount = errors.New("number of results differs from number of operations")
)

// send sends a batch and passes the results to its jobs. It resends the batch until a replica
// applies it, which is safe because a repeated operation of an attempt has the same result.
func (cl *Client) send(ctx context.Context, batch []*job) {
	if len(batch) == 0 {
		return
	}
	req := &schema.ClaimRequest{}
	for _, jb := range batch {
		req.Operations = append(req.Operations, jb.op)
	}
	results, err := cl.apply(ctx, req)
	for i, jb := range batch {
		if err != nil {
			jb.reply <- result{err: errors.Wrap(ErrUnavailable, err.Error())}
			continue
		}
		jb.reply <- result{res: results[i]}
	}
}

// apply calls the supposed leader until the batch is applied or batchTimeout has passed, with
// exponential backoff. After an error it tries the next replica.
func (cl *Client) apply(ctx context.Context, req *schema.ClaimRequest) ([]*schema.ClaimResult, error) {
	ctx, cancel := context.WithTimeout(ctx, batchTimeout)
	defer cancel()
	backoff := minBackoff
	for {
		results, err := cl.callLeader(ctx, req)
		switch {
		case err == nil:
			return results, nil
		case errors.Is(err, errNotLeader):
			// callLeader has changed the leader. The hint may be outdated, so back off too.
		default:
			cl.leader = (cl.leader + 1) % max(1, len(cl.replicas))
		}
		if !sleep(ctx, backoff) {
			return nil, err
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// callLeader sends the batch to the supposed leader. On errNotLeader it has set the supposed
// leader to the one that the replica named.
func (cl *Client) callLeader(ctx context.Context, req *schema.ClaimRequest) ([]*schema.ClaimResult, error) {
	if len(cl.replicas) == 0 {
		return nil, errNoLeader
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	res, err := cl.replicas[cl.leader].Claim(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	if results := res.Msg.GetResults(); len(results) == len(req.GetOperations()) {
		return results, nil
	}
	if len(res.Msg.GetResults()) > 0 {
		return nil, errResultCount
	}
	hint := slices.Index(cl.addresses, res.Msg.GetLeader())
	if hint < 0 || hint == cl.leader {
		return nil, errNoLeader
	}
	cl.leader = hint
	return nil, errNotLeader
}

// sleep waits for d. It returns false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	tm := time.NewTimer(d)
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ctx.Done():
		return false
	}
}
