package deployment

import (
	"net"
	"os"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
)

// firstPort is the lowest port that is allocated. It is above the ports of the system and
// of common services.
const firstPort = 12000

// ephemeralRangeFile is the file in which Linux publishes the range of ports that it uses
// for outgoing connections.
const ephemeralRangeFile = "/proc/sys/net/ipv4/ip_local_port_range"

// errNoPort is returned when every port below the ephemeral range is in use.
var errNoPort = errors.New("deployment: no free port")

// ports holds the next and the last port that this process allocates.
var ports struct {
	mu         sync.Mutex
	next, last int
}

// allocateAddress returns a loopback address whose port is free for TCP and UDP. Calls in
// this process return different ports until all have been used. The port is below the
// ephemeral range: the system does not use it for an outgoing connection while the node
// or control replica that listens on it is stopped.
func allocateAddress() (string, error) {
	ports.mu.Lock()
	defer ports.mu.Unlock()
	if ports.last == 0 {
		low, err := lowestEphemeralPort()
		if err != nil {
			return "", err
		}
		ports.last = low - 1
		// Test processes that run at the same time start their search at different ports.
		ports.next = firstPort + os.Getpid()*997%(low-firstPort)
	}
	for range ports.last - firstPort {
		if ports.next > ports.last {
			ports.next = firstPort
		}
		address := net.JoinHostPort("127.0.0.1", strconv.Itoa(ports.next))
		ports.next++
		if isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

// lowestEphemeralPort returns the lowest port that the system uses for outgoing
// connections. It returns an error if that is not above firstPort.
func lowestEphemeralPort() (int, error) {
	text, err := os.ReadFile(ephemeralRangeFile)
	if err != nil {
		return 0, errors.Wrap(err, "deployment")
	}
	low, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\t")
	port, err := strconv.Atoi(low)
	if err != nil || port <= firstPort {
		return 0, errors.Errorf("deployment: %s: %q", ephemeralRangeFile, text)
	}
	return port, nil
}

// isFree reports whether a TCP and a UDP socket can listen on the address.
func isFree(address string) bool {
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
