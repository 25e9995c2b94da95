package deployment

import (
	"net"
	"strconv"
	"testing"
)

// TestFreeAddress checks that allocated ports are unique and below the ephemeral range.
// The system could use a port in that range for an outgoing connection while the process
// that listens on it is stopped, which then could not start again.
func TestFreeAddress(t *testing.T) {
	low, err := lowestEphemeralPort()
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for range 100 {
		address, err := allocateAddress()
		if err != nil {
			t.Fatal(err)
		}
		_, text, err := net.SplitHostPort(address)
		if err != nil {
			t.Fatal(err)
		}
		if port, err := strconv.Atoi(text); err != nil || port >= low || seen[address] {
			t.Fatalf("%s, again %v, want a new one below port %d, error %v", address, seen[address], low, err)
		}
		seen[address] = true
	}
}
