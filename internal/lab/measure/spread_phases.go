package measure

import (
	"context"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"camphortrail/internal/fleet/node"
)

// resourceUse is the processor time and the control traffic of this process in a period.
type resourceUse struct {
	length    time.Duration
	processor time.Duration
	sent      sentBytes
}

// idleUse is the use in a period without changes, and the heap in bytes after it.
type idleUse struct {
	resourceUse
	heap uint64
}

// spreadSample holds the measurements for one number of nodes.
type spreadSample struct {
	idle      idleUse
	changeUse resourceUse
	// changeCount is the number of changes. inForce holds, for each change, the time from
	// its accepted answer until the last node had it in force.
	changeCount int
	inForce     []time.Duration
	// drains holds the time of each drain from its request until the last other node avoided
	// the upstream. unaware counts the other nodes, and ownUnaware the nodes beside the
	// upstream, that did not avoid it in time, over all drains.
	drains              []time.Duration
	unaware, ownUnaware int
}

// measure measures a period without changes, the changes, and the drains.
func (sp *spread) measure(ctx context.Context, times spreadTimes) (spreadSample, error) {
	sa := spreadSample{idle: sp.measureIdle(times), changeCount: times.changes}
	var err error
	sa.changeUse = sp.measureUse(func() { sa.inForce, err = sp.applyChanges(ctx, times) })
	if err != nil {
		return sa, err
	}
	return sa, sp.drainLast(ctx, &sa)
}

// measureIdle measures a period without changes.
func (sp *spread) measureIdle(times spreadTimes) idleUse {
	return idleUse{resourceUse: sp.measureUse(func() { time.Sleep(times.idle) }), heap: heapBytes()}
}

// applyChanges applies one change in each interval. It returns the times until the last
// node had each of them in force.
func (sp *spread) applyChanges(ctx context.Context, times spreadTimes) ([]time.Duration, error) {
	var list []time.Duration
	for range times.changes {
		next := time.Now().Add(times.changeInterval)
		revision, err := sp.apply(ctx)
		if err != nil {
			return nil, err
		}
		took, late := waitAll(ctx, sp.Nodes, time.Now(), inForceTimeout, inForcePoll, func(nd *node.Node) bool {
			return nd.Revision() >= revision
		})
		if late > 0 {
			return nil, errors.Wrapf(ErrNotReady, "revision %d at %d nodes", revision, late)
		}
		list = append(list, took)
		time.Sleep(time.Until(next))
	}
	return list, nil
}

// drainLast drains the last spreadDrains upstreams at the same time, waits until no node
// routes new work to them, and resumes them.
func (sp *spread) drainLast(ctx context.Context, sa *spreadSample) error {
	var mu sync.Mutex
	group, ctx := errgroup.WithContext(ctx)
	for i := len(sp.Nodes) - spreadDrains; i < len(sp.Nodes); i++ {
		group.Go(func() error {
			dr, err := sp.drain(ctx, i)
			mu.Lock()
			defer mu.Unlock()
			sa.drains = append(sa.drains, dr.took)
			sa.unaware += dr.unaware
			sa.ownUnaware += dr.ownUnaware
			return err
		})
	}
	return group.Wait()
}

// drainResult holds the time until the last other node avoided a drained upstream, and
// the number of nodes that did not within drainTimeout.
type drainResult struct {
	took                time.Duration
	unaware, ownUnaware int
}

// drain drains the upstream of node i, waits for the nodes and resumes it.
func (sp *spread) drain(ctx context.Context, i int) (drainResult, error) {
	_, peers, _ := sp.Nodes[i].Addresses()
	vm := string(spreadVMs(i, i+1)[0].Name)
	avoids := func(nd *node.Node) bool { return nd.KnowsDraining(vm) }
	others := slices.Delete(slices.Clone(sp.Nodes), i, i+1)
	begun := time.Now()
	if _, err := sp.Client.Drain(ctx, peers, false); err != nil {
		return drainResult{}, err
	}
	var dr drainResult
	dr.took, dr.unaware = waitAll(ctx, others, begun, drainTimeout, drainPoll, avoids)
	_, dr.ownUnaware = waitAll(ctx, sp.Nodes[i:i+1], begun, drainTimeout, drainPoll, avoids)
	_, err := sp.Client.Drain(ctx, peers, true)
	return dr, err
}

// waitAll polls until arrived returns true for all nodes, at most for the timeout. It
// returns the time from begun until the last of the nodes that arrived, and the number of
// nodes that did not.
func waitAll(ctx context.Context, nodes []*node.Node, begun time.Time, timeout, poll time.Duration, arrived func(*node.Node) bool) (took time.Duration, late int) {
	left := slices.Clone(nodes)
	for {
		before := len(left)
		left = slices.DeleteFunc(left, arrived)
		now := time.Since(begun)
		if len(left) < before {
			took = now
		}
		if len(left) == 0 || now > timeout || ctx.Err() != nil {
			return took, len(left)
		}
		time.Sleep(poll)
	}
}

// measureUse returns what the process used while body ran.
func (sp *spread) measureUse(body func()) resourceUse {
	begun, processor, before := time.Now(), processorTime(), sp.traffic.read()
	body()
	after := sp.traffic.read()
	return resourceUse{
		length: time.Since(begun), processor: processorTime() - processor,
		sent: sentBytes{udp: after.udp - before.udp, tcp: after.tcp - before.tcp},
	}
}

// processorTime returns the processor time that this process has used so far.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &usage) != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
