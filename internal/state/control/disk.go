package control

import (
	"context"
	"time"

	"camphortrail/quorum"
)

// runDisk saves what the machine requests to persist. A failed write ends the replica,
// because the content of its disk is unknown from then on.
func (co *Control) runDisk(ctx context.Context) error {
	for {
		pe, err := co.writes.Take(ctx)
		if err != nil {
			return err
		}
		begin := time.Now()
		if err := co.store.Save(pe); err != nil {
			return err
		}
		co.metrics.sync.UpdateDuration(begin)
		if err := co.written.Put(ctx, quorum.Persisted{Number: pe.Number}); err != nil {
			return err
		}
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
		if err := co.store.PrepareSnapshot(sn.Index, sn.Data); err != nil {
			return err
		}
		if err := co.compactions.Put(ctx, sn); err != nil {
			return err
		}
		co.snapshotPending.Store(false)
	}
}
