package control

import (
	"testing"
	"time"

	"camphortrail/quorum"
)

// TestReplicasStartedTogetherDrawDifferentTimeouts checks the seeds of replicas that start at
// the same time, as they do after they were killed together. With equal election timeouts
// they would split the vote repeatedly.
func TestReplicasStartedTogetherDrawDifferentTimeouts(t *testing.T) {
	begin := time.Unix(1000, 0)
	seen := make(map[uint64]quorum.Replica)
	for _, id := range []quorum.Replica{"core-a-1", "core-b-1", "core-c-1"} {
		seed := electionSeed(begin, id)
		if other, ok := seen[seed]; ok {
			t.Errorf("%s and %s draw the same election timeouts", other, id)
		}
		seen[seed] = id
	}
}
