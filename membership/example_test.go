package membership_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"camphortrail/membership"
)

func Example() {
	first := netip.MustParseAddrPort("10.0.0.1:7000")
	second := netip.MustParseAddrPort("10.0.0.2:7000")
	now := time.UnixMilli(1_700_000_000_000)
	one := membership.New(membership.Settings{
		Deployment: "lombardy", Name: "vm-1", Address: first, FailureDomain: "monza",
		Role: membership.NodeRole, Incarnation: 1_700_000_000_000,
	}, rand.New(rand.NewPCG(1, 1)))
	two := membership.New(membership.Settings{
		Deployment: "lombardy", Name: "vm-2", Address: second, FailureDomain: "monza",
		Role: membership.NodeRole, Incarnation: 1_700_000_000_000,
		Contacts: []netip.AddrPort{first},
	}, rand.New(rand.NewPCG(2, 2)))

	for _, ac := range two.Step(now, membership.Tick{}) {
		if sd, ok := ac.(membership.SendDatagram); ok && sd.Address == first {
			one.Step(now, membership.Receive{Datagram: sd.Datagram})
		}
	}
	for mb := range one.Members {
		fmt.Println(mb.Name, mb.State)
	}
	// Output:
	// vm-1 alive
	// vm-2 alive
}
