package control

import (
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"

	"camphortrail/claim"
	"camphortrail/quorum"
	"camphortrail/schema"
	"camphortrail/store"
)

// fillableDisk is a disk that can be full. Every other write that fails reaches the disk all
// the same, as if only its sync had failed.
type fillableDisk struct {
	disk
	full   *atomic.Bool
	failed int
}

func (fd *fillableDisk) Save(pe quorum.Persist) error {
	if !fd.full.Load() {
		return fd.disk.Save(pe)
	}
	if fd.failed++; fd.failed%2 == 0 {
		_ = fd.disk.Save(pe)
	}
	return errors.Wrap(store.ErrWriteFailed, "no space left on device")
}

func (fd *fillableDisk) PrepareSnapshot(i quorum.Index, data []byte) error {
	if fd.full.Load() {
		return errors.Wrap(store.ErrWriteFailed, "no space left on device")
	}
	return fd.disk.PrepareSnapshot(i, data)
}

// newFillableFleet returns a fleet and, for each replica, whether its disk is full. The options
// of a replica do not tell which one it is, but fleets start their replicas in order.
func newFillableFleet(t *testing.T, size int) (*fleet, []atomic.Bool) {
	t.Helper()
	full := make([]atomic.Bool, size)
	next := 0
	fl := newFleetWith(t, size, Options{
		Claims: claim.DefaultLimits(),
		wrapDisk: func(di disk) disk {
			next++
			return &fillableDisk{disk: di, full: &full[(next-1)%size]}
		},
	})
	return fl, full
}

// TestFullDisksOneAfterAnother fills the disk of each replica in turn, that of the leader
// twice. Changes must be accepted all the while, and no replica may end.
func TestFullDisksOneAfterAnother(t *testing.T) {
	t.Parallel()
	fl, full := newFillableFleet(t, 3)
	version := uint64(0)
	change := func() {
		version++
		fl.mustAccept(configuration(version, "cassa"))
	}
	change()
	for _, id := range []int{fl.leader(), 0, 1, 2, -1} {
		if id < 0 {
			id = fl.leader()
		}
		full[id].Store(true)
		change()
		fl.until("another leader", func() bool { return fl.leader() != id })
		change()
		full[id].Store(false)
		fl.until("replica has the log again", func() bool {
			return fl.controls[id].state.current.Load().revision == fl.controls[fl.leader()].state.current.Load().revision
		})
	}
	change()
}

// TestFullMajority fills the disks of two of three replicas. Changes must be refused or remain
// unanswered, and be accepted again once one of the disks has room.
func TestFullMajority(t *testing.T) {
	t.Parallel()
	fl, full := newFillableFleet(t, 3)
	fl.mustAccept(configuration(1, "cassa"))
	full[0].Store(true)
	full[1].Store(true)
	for i := range fl.clients {
		if rs := fl.apply(i, configuration(2, "sportello")); rs.GetResult() == schema.ApplyResult_APPLY_RESULT_ACCEPTED {
			t.Fatalf("accepted without a majority: %v", rs)
		}
	}
	full[0].Store(false)
	fl.mustAccept(configuration(3, "planimetrie"))
}

// TestFullDiskAtStart restarts a replica whose disk is full, and the whole deployment with one
// full disk. The replica must stay up and take part once its disk has room.
func TestFullDiskAtStart(t *testing.T) {
	t.Parallel()
	fl, full := newFillableFleet(t, 3)
	fl.mustAccept(configuration(1, "cassa"))
	for i := range 3 {
		fl.stop(i)
	}
	full[1].Store(true)
	for i := range 3 {
		fl.start(i)
	}
	fl.mustAccept(configuration(2, "cassa"))
	full[1].Store(false)
	fl.kill(0)
	fl.mustAccept(configuration(3, "cassa"))
}
