package control

import (
	"context"
	"time"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/quorum"
	"camphortrail/store"
)

const (
	// minWriteRetry and maxWriteRetry bound the time between a failed write and the next one,
	// which doubles with each failure. A full disk often has room again after some seconds, and
	// a change that is sent then must not wait long.
	minWriteRetry = 20 * time.Millisecond
	maxWriteRetry = 320 * time.Millisecond
	// writeFailureLogInterval is the interval of warnings while writes fail.
	writeFailureLogInterval = 10 * time.Second
)

// disk is where the replica persists its state. It is a store.Store.
type disk interface {
	Save(pe quorum.Persist) error
	PrepareSnapshot(i quorum.Index, data []byte) error
	Close() error
}

// runDisk saves what the machine requests to persist. While writes fail, for example because
// the disk is full, it reports that to the machine, which repeats its complete state, and
// tries again after a while.
func (co *Control) runDisk(ctx context.Context) error {
	wf := writeFailures{log: co.log}
	if co.writeFailure != nil {
		wf.add(co.writeFailure)
		if err := co.written.Put(ctx, quorum.PersistFailed{}); err != nil {
			return err
		}
	}
	for {
		pe, err := co.writes.Take(ctx)
		if err != nil {
			return err
		}
		if err := wf.wait(ctx); err != nil {
			return err
		}
		begin := time.Now()
		err = co.disk.Save(pe)
		if errors.Is(err, store.ErrClosed) {
			return err
		}
		var ev quorum.Event = quorum.Persisted{Number: pe.Number}
		if err != nil {
			wf.add(err)
			co.metrics.writeFailures.Inc()
			ev = quorum.PersistFailed{Number: pe.Number}
		} else {
			wf.reset()
			co.metrics.sync.UpdateDuration(begin)
		}
		if err := co.written.Put(ctx, ev); err != nil {
			return err
		}
	}
}

// writeFailures counts and logs the writes that failed since the last successful one.
type writeFailures struct {
	log           log.Interface
	count         int
	since, logged time.Time
}

// add records a failed write.
func (wf *writeFailures) add(err error) {
	now := time.Now()
	if wf.count == 0 {
		wf.since = now
	}
	wf.count++
	if now.Sub(wf.logged) >= writeFailureLogInterval {
		wf.logged = now
		wf.log.WithError(err).WithField("failures", wf.count).
			Warn("write to the disk failed; the replica neither leads nor votes until a write succeeds")
	}
}

// reset records a successful write.
func (wf *writeFailures) reset() {
	if wf.count > 0 {
		wf.log.WithFields(log.Fields{"failures": wf.count, "took-ms": time.Since(wf.since).Milliseconds()}).
			Info("writes to the disk succeed again")
	}
	wf.count, wf.logged = 0, time.Time{}
}

// wait waits before the next write, if the last one failed. It returns an error if ctx ends.
func (wf *writeFailures) wait(ctx context.Context) error {
	if wf.count == 0 {
		return nil
	}
	timer := time.NewTimer(min(minWriteRetry<<min(wf.count-1, 8), maxWriteRetry))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// runSnapshots writes snapshots concurrently with the log, and then requests the compaction
// of the log.
func (co *Control) runSnapshots(ctx context.Context) error {
	for {
		sn, err := co.snapshots.Take(ctx)
		if err != nil {
			return err
		}
		if err := co.prepareSnapshot(ctx, sn); err != nil {
			return err
		}
		if err := co.compactions.Put(ctx, sn); err != nil {
			return err
		}
		co.snapshotPending.Store(false)
	}
}

// prepareSnapshot writes a snapshot, and repeats failed writes until ctx ends.
func (co *Control) prepareSnapshot(ctx context.Context, sn quorum.Compact) error {
	wf := writeFailures{log: co.log}
	for {
		err := co.disk.PrepareSnapshot(sn.Index, sn.Data)
		if err == nil {
			wf.reset()
			return nil
		}
		wf.add(err)
		co.metrics.writeFailures.Inc()
		if err := wf.wait(ctx); err != nil {
			return err
		}
	}
}
