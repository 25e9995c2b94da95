package deployment

import (
	"net"
	"strconv"
	"testing"
)

// TestFreeAddress checks that the system cannot give the port of a stopped
// process to an outgoing connection.
func TestFreeAddress(t *testing.T) {
	low, err := outgoingPorts()
	if err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]bool)
	for range 100 {
		address, err := freeAddress()
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
