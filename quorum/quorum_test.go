package quorum_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"camphortrail/internal/lab/fuzzing"
	"camphortrail/quorum"
)

func init() {
	fuzzing.SetFlags(0, 50)
}

// TestAcceptedEntriesAreNotLost runs replicas under random faults. It checks that
// accepted entries are never lost or reordered, that all replicas apply the same entries,
// that a replica with a lease has committed all answered entries, and that the replicas
// recover once the faults end. The clocks run at rates that differ by up to a quarter.
func TestAcceptedEntriesAreNotLost(t *testing.T) {
	var total, refused int
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.SampledFrom([]int{1, 2, 3, 3, 4, 5}).Draw(t, "size")
		nw := newNetwork(t, size, rapid.Uint64().Draw(t, "seed"))
		for _, id := range nw.ids {
			nw.hosts[id].rate = rapid.IntRange(88, 112).Draw(t, "rate")
		}
		if rapid.Bool().Draw(t, "settled") {
			nw.run(3 * time.Second)
		}
		t.Repeat(faults(nw))
		nw.finish(t)
		total += len(nw.applied)
		refused += nw.rejected
	})
	if total == 0 || refused == 0 {
		t.Fatalf("%d entries accepted, %d proposals rejected; want some of both", total, refused)
	}
	t.Logf("%d entries accepted, %d proposals rejected", total, refused)
}

// faults returns the random actions: load, crashes, lost disks, partitions, and bad links
// and disks.
func faults(nw *network) map[string]func(*rapid.T) {
	host := func(t *rapid.T) quorum.Replica { return rapid.SampledFrom(nw.ids).Draw(t, "replica") }
	work := func(t *rapid.T) {
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			for _, id := range nw.ids {
				nw.propose(id)
			}
			nw.run(time.Duration(nw.rng.IntN(6)) * tick)
		}
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			nw.run(time.Duration(rapid.IntRange(1, 120).Draw(t, "ticks")) * tick)
		},
		"work":       work,
		"work again": work,
		"calm": func(t *rapid.T) {
			nw.heal()
			nw.run(2 * time.Second)
			work(t)
		},
		"compact": func(t *rapid.T) { nw.compact(host(t)) },
		"stop":    func(t *rapid.T) { nw.stop(host(t)) },
		"start":   func(t *rapid.T) { nw.start(host(t)) },
		"restart": func(t *rapid.T) {
			id := host(t)
			nw.stop(id)
			nw.start(id)
		},
		"pause":    func(t *rapid.T) { nw.hosts[host(t)].paused = true },
		"continue": func(t *rapid.T) { nw.hosts[host(t)].paused = false },
		"lose disk": func(t *rapid.T) {
			id := host(t)
			lost := nw.learnerCount()
			if !nw.isLearner(id) {
				lost++
			}
			if lost > (len(nw.ids)-1)/2 {
				t.Skip("a majority would be lost")
			}
			nw.stop(id)
			nw.loseDisk(id)
			nw.start(id)
		},
		"transfer": func(t *rapid.T) {
			id := host(t)
			if ho := nw.hosts[id]; ho.up && !ho.paused {
				nw.step(id, quorum.Transfer{})
			}
		},
		"cut": func(t *rapid.T) {
			for _, id := range nw.ids {
				nw.cut[id] = rapid.Bool().Draw(t, "cut")
			}
		},
		"break link": func(t *rapid.T) {
			a, b := host(t), host(t)
			nw.brokenLinks[link{a, b}] = true
			nw.brokenLinks[link{b, a}] = rapid.Bool().Draw(t, "both ways")
			nw.run(time.Second)
		},
		"heal": func(*rapid.T) {
			clear(nw.cut)
			clear(nw.brokenLinks)
		},
		"disk fails": func(t *rapid.T) { nw.hosts[host(t)].failing = true },
		"disk works": func(t *rapid.T) { nw.hosts[host(t)].failing = false },
		"link quality": func(t *rapid.T) {
			nw.loss = rapid.SampledFrom([]int{0, 0, 5, 30}).Draw(t, "loss")
			nw.duplicate = rapid.SampledFrom([]int{0, 0, 20}).Draw(t, "double")
			nw.slow = rapid.SampledFrom([]int{0, 0, 10}).Draw(t, "slow")
			nw.slowDisk = rapid.SampledFrom([]int{0, 0, 80}).Draw(t, "slow disk")
		},
	}
}

// finish ends the faults, and checks that every replica votes and holds all accepted
// entries.
func (nw *network) finish(t failer) {
	t.Helper()
	for _, id := range nw.ids {
		nw.stop(id)
	}
	nw.heal()
	nw.run(10 * time.Second)
	nw.checkAccepts(t)
	for _, id := range nw.ids {
		if got := nw.hosts[id].applied; !slices.Equal(got, nw.applied) {
			t.Fatalf("%s holds %v, accepted were %v", id, got, nw.applied)
		}
		if nw.isLearner(id) {
			t.Fatalf("%s is still a learner", id)
		}
	}
}

// checkAccepts checks that there is a leader and that it commits a proposal.
func (nw *network) checkAccepts(t failer) {
	t.Helper()
	before := len(nw.applied)
	id, ok := nw.leader()
	if !ok {
		t.Fatalf("no leader after the faults ended")
	}
	nw.propose(id)
	nw.run(2 * time.Second)
	if len(nw.applied) != before+1 {
		t.Fatalf("proposal not accepted after the faults ended")
	}
}
