package quorum_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"camphortrail/quorum"
)

// tick is the step of virtual time.
const tick = 10 * time.Millisecond

// maxPackets bounds the messages that healthy replicas have on their way.
const maxPackets = 5000

// fataler is the part of testing.TB and rapid.T that the network needs.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// accepted is an entry whose proposer was told that it is committed, or one
// that was applied anywhere.
type accepted struct {
	index quorum.Index
	data  string
}

func (ac accepted) String() string { return fmt.Sprintf("%d=%s", ac.index, ac.data) }

// host runs one replica with its disk.
type host struct {
	set    quorum.Settings
	ma     *quorum.Machine
	disk   quorum.State
	write  *quorum.Persist
	since  time.Time
	up     bool
	paused bool
	list   []accepted
	// rate is the speed of the host's clock in percent.
	rate int
}

type link struct{ from, to quorum.Replica }

type packet struct {
	msg quorum.Message
	at  time.Time
}

// network joins replicas by unreliable links, and compares what they apply
// with the plain list of accepted entries.
type network struct {
	t       fataler
	rng     *rand.Rand
	begin   time.Time
	now     time.Time
	ids     []quorum.Replica
	hosts   map[quorum.Replica]*host
	packets []packet
	// cut holds the replicas of one side of a partition, and broken the
	// links that carry nothing in one direction.
	cut    map[quorum.Replica]bool
	broken map[link]bool
	// loss, double and slow are in percent of messages; slowDisk of writes.
	loss, double, slow, slowDisk int

	incarnations quorum.Incarnation
	proposals    quorum.Proposal
	open         map[quorum.Proposal]string
	// applied is the oracle: all entries that any replica applied, in order.
	applied []accepted
	// answered is the last index whose proposer was answered.
	answered quorum.Index
	rejected int
}

func newNetwork(t fataler, size int, seed uint64) *network {
	nw := &network{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), begin: time.Unix(1000, 0), now: time.Unix(1000, 0),
		hosts: make(map[quorum.Replica]*host), cut: make(map[quorum.Replica]bool),
		open: make(map[quorum.Proposal]string), broken: make(map[link]bool),
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

func (nw *network) start(id quorum.Replica) {
	ho := nw.hosts[id]
	if ho.up {
		return
	}
	st := ho.disk
	st.Entries = slices.Clone(st.Entries)
	ho.ma, ho.up, ho.paused, ho.list, ho.write = quorum.New(ho.set, st), true, false, nil, nil
}

// stop crashes a replica. A write that is under way is lost, or is not.
func (nw *network) stop(id quorum.Replica) {
	ho := nw.hosts[id]
	if ho.up && ho.write != nil && nw.rng.IntN(2) == 0 {
		ho.save()
	}
	ho.up, ho.write = false, nil
}

func (nw *network) loseDisk(id quorum.Replica) {
	nw.incarnations++
	nw.hosts[id].disk = quorum.State{Incarnation: nw.incarnations * 1000}
}

func (ho *host) save() {
	pe := ho.write
	ho.disk.HardState = pe.HardState
	if pe.Snapshot != nil {
		ho.disk.Snapshot = *pe.Snapshot
		ho.disk.Entries = nil
	}
	if pe.From != 0 {
		keep := int(pe.From - ho.disk.Snapshot.Index - 1)
		ho.disk.Entries = append(slices.Clone(ho.disk.Entries[:keep]), pe.Entries...)
	}
}

// clock returns the time on a host's clock.
func (nw *network) clock(ho *host) time.Time {
	return nw.begin.Add(nw.now.Sub(nw.begin) * time.Duration(ho.rate) / 100)
}

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
			ho.write, ho.since = &ac, nw.now
		case quorum.Apply:
			nw.apply(id, accepted{ac.Entry.Index, string(ac.Entry.Data)}, ac.Proposal)
		case quorum.Restore:
			nw.restore(id, ac.Snapshot)
		case quorum.Rejected:
			delete(nw.open, ac.Proposal)
			nw.rejected++
		}
	}
	nw.checkLeases()
}

func (nw *network) send(msg quorum.Message) {
	for range 1 + nw.chance(nw.double) {
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

func (nw *network) chance(percent int) int {
	if nw.rng.IntN(100) < percent {
		return 1
	}
	return 0
}

// apply checks an applied entry against the oracle.
func (nw *network) apply(id quorum.Replica, ac accepted, pr quorum.Proposal) {
	at, ok := slices.BinarySearchFunc(nw.applied, ac.index, func(ac accepted, i quorum.Index) int {
		return int(ac.index) - int(i)
	})
	switch {
	case ok && nw.applied[at] != ac:
		nw.t.Fatalf("%s applies %v, others applied %v", id, ac, nw.applied[at])
	case !ok && at != len(nw.applied):
		nw.t.Fatalf("%s applies %v before %v", id, ac, nw.applied[at])
	case !ok:
		nw.applied = append(nw.applied, ac)
	}
	ho := nw.hosts[id]
	ho.list = append(ho.list, ac)
	if at != len(ho.list)-1 {
		nw.t.Fatalf("%s applied %v as number %d, others as number %d", id, ac, len(ho.list)-1, at)
	}
	if pr != 0 {
		if want := nw.open[pr]; want != ac.data {
			nw.t.Fatalf("proposal %d answered with %v, want %q", pr, ac, want)
		}
		delete(nw.open, pr)
		nw.answered = max(nw.answered, ac.index)
	}
}

func (nw *network) restore(id quorum.Replica, sn quorum.Snapshot) {
	var list []accepted
	for _, ac := range nw.applied {
		if ac.index <= sn.Index {
			list = append(list, ac)
		}
	}
	if got := string(sn.Data); got != snapshotOf(list) {
		nw.t.Fatalf("%s restores %q at %d, want %q", id, got, sn.Index, snapshotOf(list))
	}
	nw.hosts[id].list = list
}

func snapshotOf(list []accepted) string {
	var text strings.Builder
	for _, ac := range list {
		fmt.Fprintln(&text, ac)
	}
	return text.String()
}

// checkLeases checks that a replica that presents its state as current knows
// everything that was answered, and that there is only one.
func (nw *network) checkLeases() {
	current := 0
	for _, id := range nw.ids {
		ho := nw.hosts[id]
		if !ho.up || !ho.ma.HasLease(nw.clock(ho)) {
			continue
		}
		current++
		if st := ho.ma.Status(); st.Commit < nw.answered {
			nw.t.Fatalf("%s is current at %d, but %d was answered", id, st.Commit, nw.answered)
		}
	}
	if current > 1 {
		nw.t.Fatalf("%d replicas are current", current)
	}
}

func (nw *network) propose(id quorum.Replica) {
	if ho := nw.hosts[id]; !ho.up || ho.paused {
		return
	}
	nw.proposals++
	data := fmt.Sprintf("p%d", nw.proposals)
	nw.open[nw.proposals] = data
	nw.step(id, quorum.Propose{Proposal: nw.proposals, Data: []byte(data)})
}

func (nw *network) compact(id quorum.Replica) {
	ho := nw.hosts[id]
	if !ho.up || ho.paused || len(ho.list) == 0 {
		return
	}
	last := ho.list[len(ho.list)-1].index
	nw.step(id, quorum.Compact{Index: last, Data: []byte(snapshotOf(ho.list))})
}

// run lets time pass.
func (nw *network) run(dur time.Duration) {
	for end := nw.now.Add(dur); nw.now.Before(end); nw.now = nw.now.Add(tick) {
		for _, id := range nw.ids {
			if ho := nw.hosts[id]; ho.up && !ho.paused {
				nw.step(id, quorum.Tick{})
				nw.sync(id)
			}
		}
		nw.deliver()
	}
}

func (nw *network) sync(id quorum.Replica) {
	ho := nw.hosts[id]
	for ho.write != nil && nw.chance(nw.slowDisk) == 0 {
		number := ho.write.Number
		ho.save()
		ho.write = nil
		nw.step(id, quorum.Persisted{Number: number})
	}
}

// deliver hands over the messages that are due. Those for a paused replica
// wait for it.
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
			nw.sync(ho.set.ID)
		}
	}
	nw.packets = append(nw.packets, later...)
	if len(nw.packets) > maxPackets {
		nw.t.Fatalf("%d messages on their way", len(nw.packets))
	}
}

func (nw *network) blocked(msg quorum.Message) bool {
	li := link{quorum.Source(msg), quorum.Destination(msg)}
	return nw.cut[li.from] != nw.cut[li.to] || nw.broken[li]
}

// heal ends all faults and restarts what is down.
func (nw *network) heal() {
	nw.loss, nw.double, nw.slow, nw.slowDisk = 0, 0, 0, 0
	clear(nw.cut)
	clear(nw.broken)
	for _, id := range nw.ids {
		nw.hosts[id].paused = false
		nw.start(id)
	}
}

func (nw *network) leader() (quorum.Replica, bool) {
	for _, id := range nw.ids {
		if ho := nw.hosts[id]; ho.up && !ho.paused && ho.ma.HasLease(nw.clock(ho)) {
			return id, true
		}
	}
	return "", false
}

// learners counts the replicas whose vote does not count.
func (nw *network) learners() int {
	count := 0
	for _, id := range nw.ids {
		if nw.learner(id) {
			count++
		}
	}
	return count
}

func (nw *network) learner(id quorum.Replica) bool {
	ho := nw.hosts[id]
	ma := ho.ma
	if !ho.up {
		ma = quorum.New(ho.set, ho.disk)
	}
	return ma.Status().Role == quorum.Learner
}
