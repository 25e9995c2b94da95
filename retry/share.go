package retry

import (
	"encoding/binary"

	"camphortrail/call"

	"github.com/cespare/xxhash/v2"
)

// SendBudget returns the part of a request's total that its send number resend
// may spend, the first send being number 0, and whether that send is within
// the total at all. Each resend is itself paid from the total. The parts of
// all sends and the payments add up to the total or less, so that the total
// holds without coordination while earlier sends, at other nodes, still
// spend their parts. It requires that a caller gives each send a number of
// its own.
func SendBudget(total Budget, resend uint32) (Budget, bool) {
	share := total - total/2
	rest := total / 2
	for range resend {
		if rest == 0 {
			return 0, false
		}
		rest--
		share = rest / 2
		rest -= share
	}
	return share, true
}

// Digest identifies a call within one account.
type Digest uint64

// DigestOf returns the digest of a call to a service. The target is the path
// with its query; bodyHash identifies the body.
func DigestOf(svc call.Service, method, target string, bodyHash uint64) Digest {
	var dg xxhash.Digest
	dg.Reset()
	for _, s := range [...]string{string(svc), method, target} {
		_, _ = dg.WriteString(s)
		_, _ = dg.Write([]byte{0})
	}
	var sum [8]byte
	binary.BigEndian.PutUint64(sum[:], bodyHash)
	_, _ = dg.Write(sum[:])
	return Digest(dg.Sum64())
}
