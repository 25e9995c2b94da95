package node

import (
	"time"

	"camphortrail/membership"
)

// commonStartTime is the difference of the start times up to which nodes count as started
// together. After a power failure they start within some seconds; in a planned restart, one after
// the other, fewer than half of them start within this time.
const commonStartTime = 4 * time.Second

// startedWithFleet reports whether most of the other nodes that are present started at about the
// same time as this one, or later. What entries learn of the call trees is then known nowhere.
// It returns true if no other node is known.
func startedWithFleet(members []membership.Member, own string, started time.Time) bool {
	others, earlier := 0, 0
	for _, me := range members {
		if me.Role != membership.NodeRole || !me.State.Present() || string(me.Name) == own {
			continue
		}
		others++
		if time.UnixMilli(int64(me.Incarnation)).Before(started.Add(-commonStartTime)) {
			earlier++
		}
	}
	return 2*earlier <= others
}
