package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"camphortrail/quorum"
)

// tick is the step of the virtual time.
const tick = 10 * time.Millisecond

// maxPackets bounds the messages in transit. Healthy replicas stay below it.
const maxPackets = 5000

// failer is the part of testing.TB and rapid.T that the network uses.
type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// appliedEntry is a data entry that a replica applied.
type appliedEntry struct {
	index quorum.Index
	data  string
}

func (ae appliedEntry) String() string { return fmt.Sprintf("%d=%s", ae.index, ae.data) }

// host runs one replica with its disk and clock.
type host struct {
	set  quorum.Settings
	ma   *quorum.Machine
	disk quorum.State
	// write is the outstanding write, and writeStarted when it began.
	write        *quorum.Persist
	writeStarted time.Time
	// failing makes writes fail. failed holds the writes that failed since the last complete
	// one; the disk may hold any of them after a crash.
	failing bool
	failed  []quorum.Persist
	up      bool
	paused  bool
	// applied holds the entries in the content of the state machine.
	applied []appliedEntry
	// rate is the speed of the host's clock in percent.
	rate int
}

type link struct{ from, to quorum.Replica }

// packet is a message in transit that arrives at the given time.
type packet struct {
	msg quorum.Message
	at  time.Time
}

// network connects replicas by unreliable links in virtual time. It checks what the
// replicas apply and which of them hold a lease.
type network struct {
	t       failer
	rng     *rand.Rand
	begin   time.Time
	now     time.Time
	ids     []quorum.Replica
	hosts   map[quorum.Replica]*host
	packets []packet
	// domains holds the failure domains of the replicas, if they have any.
	domains map[quorum.Replica]quorum.FailureDomain
	// cut holds the replicas on one side of a partition.
	cut map[quorum.Replica]bool
	// brokenLinks holds the links, each in one direction, that deliver nothing.
	brokenLinks map[link]bool
	// loss, duplicate and slow are in percent of the messages, and slowDisk in percent of
	// the ticks of a write.
	loss, duplicate, slow, slowDisk int
	// syncTime is the least time that a write takes.
	syncTime time.Duration

	incarnations quorum.Incarnation
	proposals    quorum.Proposal
	// openProposals maps each proposal without an answer to its data.
	openProposals map[quorum.Proposal]string
	// applied is the reference: all entries that any replica applied, in order.
	applied []appliedEntry
	// answered is the last index whose proposal was answered by Apply.
	answered quorum.Index
	rejected int
	// sent counts the messages.
	sent int
}

// newNetwork starts replicas with empty disks, with small messages so that entries and
// snapshots take several.
func newNetwork(t failer, size int, seed uint64) *network {
	nw := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1000, 0), now: time.Unix(1000, 0),
		hosts: make(map[quorum.Replica]*host), cut: make(map[quorum.Replica]bool),
		openProposals: make(map[quorum.Proposal]string), brokenLinks: make(map[link]bool),
	}
	for i := range size {
		nw.ids = append(nw.ids, quorum.Replica(rune('a'+i)))
	}
	for i, id := range nw.ids {
		set := quorum.DefaultSettings(id, nw.ids)
		set.Seed = seed + uint64(i)
		set.MaxMessageBytes = 24
		set.MaxInFlight = 3
		nw.hosts[id] = &host{set: set, rate: 100}
		nw.loseDisk(id)
		nw.start(id)
	}
	return nw
}

// start starts a replica with the state on its disk.
func (nw *network) start(id quorum.Replica) {
	ho := nw.hosts[id]
	if ho.up {
		return
	}
	st := ho.disk
	st.Entries = slices.Clone(st.Entries)
	ho.ma, ho.up, ho.paused, ho.applied, ho.write = quorum.New(ho.set, st), true, false, nil, nil
}

// stop crashes a replica. An outstanding write completes with probability one half.
func (nw *network) stop(id quorum.Replica) {
	ho := nw.hosts[id]
	if ho.up && ho.write != nil && nw.rng.IntN(2) == 0 {
		ho.failed = append(ho.failed, *ho.write)
	}
	if len(ho.failed) > 0 && nw.rng.IntN(3) > 0 {
		ho.save(ho.failed[nw.rng.IntN(len(ho.failed))])
	}
	ho.up, ho.write, ho.failed = false, nil, nil
}

// loseDisk replaces the disk of a replica by a blank one with a higher incarnation.
func (nw *network) loseDisk(id quorum.Replica) {
	nw.incarnations++
	nw.hosts[id].disk, nw.hosts[id].failed = quorum.State{Incarnation: nw.incarnations * 1000}, nil
}

// save applies a write to the disk.
func (ho *host) save(pe quorum.Persist) {
	ho.disk.HardState = pe.HardState
	if pe.Complete {
		ho.disk.Snapshot, ho.disk.Entries = quorum.Snapshot{}, nil
	}
	if pe.Snapshot != nil {
		ho.disk.Snapshot = *pe.Snapshot
		ho.disk.Entries = nil
	}
	if pe.From != 0 {
		keep := int(pe.From - ho.disk.Snapshot.Index - 1)
		ho.disk.Entries = append(slices.Clone(ho.disk.Entries[:keep]), pe.Entries...)
	}
}

// clock returns the time on the clock of a host.
func (nw *network) clock(ho *host) time.Time {
	return nw.begin.Add(nw.now.Sub(nw.begin) * time.Duration(ho.rate) / 100)
}

// step passes an event to a replica and carries out its actions.
func (nw *network) step(id quorum.Replica, ev quorum.Event) {
	ho := nw.hosts[id]
	for _, ac := range slices.Clone(ho.ma.Step(nw.clock(ho), ev)) {
		switch ac := ac.(type) {
		case quorum.Send:
			nw.send(ac.Message)
		case quorum.Persist:
			if ho.write != nil {
				nw.t.Fatalf("%s persists while a write is outstanding", id)
			}
			if len(ho.failed) > 0 && !ac.Complete {
				nw.t.Fatalf("%s persists a part of its state after a failed write", id)
			}
			ho.write, ho.writeStarted = &ac, nw.now
		case quorum.Apply:
			nw.apply(id, appliedEntry{ac.Entry.Index, string(ac.Entry.Data)}, ac.Proposal)
		case quorum.Restore:
			nw.restore(id, ac.Snapshot)
		case quorum.Rejected:
			delete(nw.openProposals, ac.Proposal)
			nw.rejected++
		}
	}
	nw.checkLeases()
}

// send puts a message in transit, subject to loss, duplication and delay.
func (nw *network) send(msg quorum.Message) {
	nw.sent++
	for range 1 + nw.chance(nw.duplicate) {
		if nw.chance(nw.loss) == 1 {
			continue
		}
		delay := time.Duration(nw.rng.IntN(3)) * time.Millisecond
		if nw.chance(nw.slow) == 1 {
			delay = time.Duration(nw.rng.IntN(1500)) * time.Millisecond
		}
		nw.packets = append(nw.packets, packet{msg, nw.now.Add(delay)})
	}
}

// chance returns 1 with the given probability, and else 0.
func (nw *network) chance(percent int) int {
	if nw.rng.IntN(100) < percent {
		return 1
	}
	return 0
}

// apply checks an applied entry against the reference.
func (nw *network) apply(id quorum.Replica, ae appliedEntry, pr quorum.Proposal) {
	at, ok := slices.BinarySearchFunc(nw.applied, ae.index, func(ae appliedEntry, i quorum.Index) int {
		return int(ae.index) - int(i)
	})
	switch {
	case ok && nw.applied[at] != ae:
		nw.t.Fatalf("%s applies %v, others applied %v", id, ae, nw.applied[at])
	case !ok && at != len(nw.applied):
		nw.t.Fatalf("%s applies %v before %v", id, ae, nw.applied[at])
	case !ok:
		nw.applied = append(nw.applied, ae)
	}
	ho := nw.hosts[id]
	ho.applied = append(ho.applied, ae)
	if at != len(ho.applied)-1 {
		nw.t.Fatalf("%s applied %v as number %d, others as number %d", id, ae, len(ho.applied)-1, at)
	}
	if pr != 0 {
		if want := nw.openProposals[pr]; want != ae.data {
			nw.t.Fatalf("proposal %d answered with %v, want %q", pr, ae, want)
		}
		delete(nw.openProposals, pr)
		nw.answered = max(nw.answered, ae.index)
	}
}

// restore checks that a snapshot holds all reference entries up to its index.
func (nw *network) restore(id quorum.Replica, sn quorum.Snapshot) {
	var list []appliedEntry
	for _, ae := range nw.applied {
		if ae.index <= sn.Index {
			list = append(list, ae)
		}
	}
	if got := string(sn.Data); got != snapshotOf(list) {
		nw.t.Fatalf("%s restores %q at %d, want %q", id, got, sn.Index, snapshotOf(list))
	}
	nw.hosts[id].applied = list
}

// snapshotOf returns the content of the state machine after the given entries.
func snapshotOf(list []appliedEntry) string {
	var text strings.Builder
	for _, ae := range list {
		fmt.Fprintln(&text, ae)
	}
	return text.String()
}

// checkLeases checks that at most one replica holds a lease, and that it has committed
// every entry whose proposal was answered.
func (nw *network) checkLeases() {
	leases := 0
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		if !ho.up || !ho.ma.HasLease(nw.clock(ho)) {
			continue
		}
		leases++
		if st := ho.ma.Status(); st.Commit < nw.answered {
			nw.t.Fatalf("%s holds a lease with commit index %d, but index %d was answered", id, st.Commit, nw.answered)
		}
	}
	if leases > 1 {
		nw.t.Fatalf("%d replicas hold a lease", leases)
	}
}

// propose proposes a new entry at a replica that runs.
func (nw *network) propose(id quorum.Replica) {
	if ho := nw.hosts[id]; !ho.up || ho.paused {
		return
	}
	nw.proposals++
	data := fmt.Sprintf("p%d", nw.proposals)
	nw.openProposals[nw.proposals] = data
	nw.step(id, quorum.Propose{Proposal: nw.proposals, Data: []byte(data)})
}

// compact passes a snapshot of everything applied to a replica that runs.
func (nw *network) compact(id quorum.Replica) {
	ho := nw.hosts[id]
	if !ho.up || ho.paused || len(ho.applied) == 0 {
		return
	}
	last := ho.applied[len(ho.applied)-1].index
	nw.step(id, quorum.Compact{Index: last, Data: []byte(snapshotOf(ho.applied))})
}

// run advances the virtual time tick by tick.
func (nw *network) run(dur time.Duration) {
	for end := nw.now.Add(dur); nw.now.Before(end); nw.now = nw.now.Add(tick) {
		for _, id := range nw.ids {
			if ho := nw.hosts[id]; ho.up && !ho.paused {
				nw.step(id, quorum.Tick{})
				nw.finishWrites(id)
			}
		}
		nw.deliver()
	}
}

// finishWrites completes the writes of a replica, each with the probability that slowDisk
// leaves, or makes one fail.
func (nw *network) finishWrites(id quorum.Replica) {
	ho := nw.hosts[id]
	for ho.up && ho.write != nil && nw.now.Sub(ho.writeStarted) >= nw.syncTime && nw.chance(nw.slowDisk) == 0 {
		pe := *ho.write
		ho.write = nil
		if ho.failing {
			ho.failed = append(ho.failed, pe)
			nw.step(id, quorum.PersistFailed{Number: pe.Number})
			return
		}
		ho.save(pe)
		ho.failed = nil
		nw.step(id, quorum.Persisted{Number: pe.Number})
	}
}

// deliver delivers the messages that are due, in random order. Those for a paused replica
// stay in transit.
func (nw *network) deliver() {
	var later []packet
	packets := nw.packets
	nw.packets = nil
	nw.rng.Shuffle(len(packets), func(i, j int) { packets[i], packets[j] = packets[j], packets[i] })
	for _, pa := range packets {
		ho := nw.hosts[quorum.Destination(pa.msg)]
		switch {
		case pa.at.After(nw.now) || ho.paused:
			later = append(later, pa)
		case ho.up && !nw.blocked(pa.msg):
			nw.step(ho.set.ID, quorum.Receive{Message: pa.msg})
			nw.finishWrites(ho.set.ID)
		}
	}
	nw.packets = append(nw.packets, later...)
	if len(nw.packets) > maxPackets {
		nw.t.Fatalf("%d messages in transit", len(nw.packets))
	}
}

func (nw *network) blocked(msg quorum.Message) bool {
	li := link{quorum.Source(msg), quorum.Destination(msg)}
	return nw.cut[li.from] != nw.cut[li.to] || nw.brokenLinks[li]
}

// heal ends all faults and restarts the replicas that are down.
func (nw *network) heal() {
	nw.loss, nw.duplicate, nw.slow, nw.slowDisk = 0, 0, 0, 0
	clear(nw.cut)
	clear(nw.brokenLinks)
	for _, id := range nw.ids {
		nw.hosts[id].paused, nw.hosts[id].failing = false, false
		nw.start(id)
	}
}

// leader returns the replica that holds the lease.
func (nw *network) leader() (quorum.Replica, bool) {
	for _, id := range nw.ids {
		if ho := nw.hosts[id]; ho.up && !ho.paused && ho.ma.HasLease(nw.clock(ho)) {
			return id, true
		}
	}
	return "", false
}

// learnerCount returns the number of learners.
func (nw *network) learnerCount() int {
	count := 0
	for _, id := range nw.ids {
		if nw.isLearner(id) {
			count++
		}
	}
	return count
}

// isLearner reports whether the replica is a learner, or would start as one if it is
// down.
func (nw *network) isLearner(id quorum.Replica) bool {
	ho := nw.hosts[id]
	ma := ho.ma
	if !ho.up {
		ma = quorum.New(ho.set, ho.disk)
	}
	return ma.Status().Role == quorum.Learner
}
