package node

import (
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/membership"
)

func TestStartedWithFleet(t *testing.T) {
	started := time.UnixMilli(1_800_000_000_000)
	member := func(name call.VM, role membership.Role, after time.Duration) membership.Member {
		return membership.Member{
			Name: name, Role: role, State: membership.Alive, Incarnation: membership.Incarnation(started.Add(after).UnixMilli()),
		}
	}
	const node, control = membership.NodeRole, membership.ControlRole
	for _, tt := range []struct {
		name    string
		members []membership.Member
		want    bool
	}{
		{"no other node", []membership.Member{member("own", node, 0), member("c", control, -time.Hour)}, true},
		{"all start", []membership.Member{member("a", node, -3*time.Second), member("b", node, 2*time.Second)}, true},
		{"one starts", []membership.Member{member("a", node, -time.Hour), member("b", node, -time.Minute), member("d", node, 0)}, false},
		{"one after the other", []membership.Member{
			member("a", node, -8*time.Second), member("b", node, -6*time.Second), member("c", node, -5*time.Second),
			member("d", node, -3*time.Second), member("e", node, -time.Second),
		}, false},
		{"most start", []membership.Member{member("a", node, -time.Hour), member("b", node, 0), member("d", node, 0)}, true},
	} {
		if got := startedWithFleet(tt.members, "own", started); got != tt.want {
			t.Errorf("%s: %t, want %t", tt.name, got, tt.want)
		}
	}
}
