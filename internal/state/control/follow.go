package control

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/quorum"
)

const (
	// followTimeout is the time in which a replica that answers must have stored what was
	// committed at its begin. A snapshot of a large state takes less.
	followTimeout = 5 * time.Second
	// silentTime is the time without an answer after which a replica counts as down.
	silentTime = 2 * time.Second
)

// replicaState says how a replica follows the log of its leader.
type replicaState uint8

const (
	// following is the state of a replica that stores what is committed.
	following replicaState = iota
	// down is the state of a replica that does not answer.
	down
	// behind is the state of a replica that answers, and has not stored in time what was
	// committed. A majority must not depend on it.
	behind
)

// String returns the state in lower case.
func (rs replicaState) String() string {
	switch rs {
	case down:
		return "down"
	case behind:
		return "behind"
	default:
		return "following"
	}
}

// follower is what a leader tracks of another replica.
type follower struct {
	state replicaState
	// entries is the number of committed entries that the replica has not stored.
	entries quorum.Index
	// target is the commit index at the time since. The replica must reach it within
	// followTimeout.
	target quorum.Index
	since  time.Time
}

// followers tracks how the other replicas follow the log of this one. The zero value tracks none.
type followers map[quorum.Replica]*follower

// transition is a change of the state of a replica.
type transition struct {
	replica  quorum.Replica
	from, to replicaState
	entries  quorum.Index
}

// update takes over what the leader knows at the time now, and returns the transitions in the order
// of the replicas. A nil list means that this replica does not lead.
func (fs *followers) update(now time.Time, commit quorum.Index, list []quorum.Progress) []transition {
	old := *fs
	*fs = make(followers, len(list))
	var changes []transition
	for _, pg := range list {
		fo := old[pg.Replica]
		if fo == nil {
			fo = &follower{target: commit, since: now}
		}
		(*fs)[pg.Replica] = fo
		fo.entries = commit - min(pg.Match, commit)
		was := fo.state
		switch {
		case pg.Match >= fo.target:
			fo.state, fo.target, fo.since = following, commit, now
		case now.Sub(pg.LastContact) >= silentTime:
			fo.state, fo.target, fo.since = down, commit, now
		case now.Sub(fo.since) >= followTimeout:
			fo.state = behind
		}
		if fo.state != was {
			changes = append(changes, transition{pg.Replica, was, fo.state, fo.entries})
		}
	}
	slices.SortFunc(changes, func(a, b transition) int { return cmp.Compare(a.replica, b.replica) })
	return changes
}

// worst returns the largest number of entries that a replica is missing, and how many replicas do not
// follow.
func (fs followers) worst() (entries quorum.Index, count int) {
	for _, fo := range fs {
		entries = max(entries, fo.entries)
		if fo.state != following {
			count++
		}
	}
	return entries, count
}
