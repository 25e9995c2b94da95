package deployment

import (
	"net"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// firstPort is the lowest port that is given out: above those that the system
// and common services use.
const firstPort = 12000

// portRange is where Linux states the ports that it picks for outgoing
// connections.
const portRange = "/proc/sys/net/ipv4/ip_local_port_range"

// errNoPort is returned when no port is free.
var errNoPort = errors.New("deployment: no free port")

// ports gives out the ports of one process.
var ports struct {
	mu         sync.Mutex
	next, last int
}

// freeAddress returns a loopback address whose port is free for TCP and UDP,
// and which no other call of this process gets. The system does not pick it
// for outgoing connections, so it stays free while the process that listens
// there is stopped.
func freeAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.last == 0 {
		low, err := outgoingPorts()
		if err != nil {
			return "", err
		}
		ports.last = low - 1
		// Processes that run at the same time begin at different ports.
		ports.next = firstPort + os.Getpid()*997%(low-firstPort)
	}
	for range ports.last - firstPort {
		if ports.next > ports.last {
			ports.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		ports.next++
		if free(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// outgoingPorts returns the lowest port that the system picks for outgoing
// connections.
func outgoingPorts() (int, error) {
	text, err := os.ReadFile(portRange)
	if err != nil {
		return 0, errors.Wrap(err, "deployment")
	}
	low, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\t")
	port, err := strconv.Atoi(low)
	if err != nil || port <= firstPort {
		return 0, errors.Errorf("deployment: %s: %q", portRange, text)
	}
	return port, nil
}

// free reports whether both protocols can listen at the address.
func free(address string) bool {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer ln.Close()
	conn, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}
