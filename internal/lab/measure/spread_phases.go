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

// use is what happened within a time.
type use struct {
	length    time.Duration
	processor time.Duration
	sent      sent
}

// spreadRest is a time without changes, and the memory after it.
type spreadRest struct {
	use
	heap uint64
}

// spreadSample is what the phases of one count of nodes brought.
type spreadSample struct {
	rest    spreadRest
	changes use
	// count is the number of changes, and inForce the time that each took
	// from its accepted answer until the last node had it in force.
	count   int
	inForce []time.Duration
	// drains are the times from the request until the last other node knew.
	// unaware counts other nodes, and ownUnaware nodes beside the upstream,
	// that did not know in time, over all drains.
	drains              []time.Duration
	unaware, ownUnaware int
}

// measure runs the phases: rest, changes, drains.
func (sp *spread) measure(ctx context.Context, times spreadTimes) (spreadSample, error) {
	sa := spreadSample{rest: sp.atRest(times), count: times.changes}
	var err error
	sa.changes = sp.during(func() { sa.inForce, err = sp.changeAll(ctx, times) })
	if err != nil {
		return sa, err
	}
	return sa, sp.drainSome(ctx, &sa)
}

func (sp *spread) atRest(times spreadTimes) spreadRest {
	return spreadRest{use: sp.during(func() { time.Sleep(times.rest) }), heap: heapBytes()}
}

// changeAll applies one change in each interval.
func (sp *spread) changeAll(ctx context.Context, times spreadTimes) ([]time.Duration, error) {
	var list []time.Duration
	for range times.changes {
		next := time.Now().Add(times.changeInterval)
		revision, err := sp.apply(ctx)
		if err != nil {
			return nil, err
		}
		took, late := until(ctx, sp.Nodes, time.Now(), inForceTimeout, inForcePoll, func(nd *node.Node) bool {
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

// drainSome drains the last upstreams at once, waits until the nodes route
// nothing new to them, and takes the drains back.
func (sp *spread) drainSome(ctx context.Context, sa *spreadSample) error {
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

// drained says what nodes knew of a drain within the timeout.
type drained struct {
	took                time.Duration
	unaware, ownUnaware int
}

func (sp *spread) drain(ctx context.Context, i int) (drained, error) {
	_, peers, _ := sp.Nodes[i].Addresses()
	vm := string(spreadPlaces(i, i+1)[0].Name)
	avoids := func(nd *node.Node) bool { return nd.KnowsDraining(vm) }
	others := slices.Delete(slices.Clone(sp.Nodes), i, i+1)
	begun := time.Now()
	if _, err := sp.Client.Drain(ctx, peers, false); err != nil {
		return drained{}, err
	}
	var dr drained
	dr.took, dr.unaware = until(ctx, others, begun, drainTimeout, drainPoll, avoids)
	_, dr.ownUnaware = until(ctx, sp.Nodes[i:i+1], begun, drainTimeout, drainPoll, avoids)
	_, err := sp.Client.Drain(ctx, peers, true)
	return dr, err
}

// until waits until all nodes have arrived, at most for the timeout. It
// returns the time from begun until the last one of those that did, and the
// number of the others.
func until(ctx context.Context, nodes []*node.Node, begun time.Time, timeout, poll time.Duration, arrived func(*node.Node) bool) (took time.Duration, late int) {
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

// during returns what the process used while body ran.
func (sp *spread) during(body func()) use {
	begun, processor, before := time.Now(), processorTime(), sp.traffic.read()
	body()
	after := sp.traffic.read()
	return use{
		length: time.Since(begun), processor: processorTime() - processor,
		sent: sent{udp: after.udp - before.udp, tcp: after.tcp - before.tcp},
	}
}

// processorTime returns the processor time that this process has used.
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
