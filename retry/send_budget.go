package retry

import (
	"encoding/binary"

	"camphortrail/call"

	"github.com/cespare/xxhash/v2"
)

// SendBudget returns the part of a request's total that one of its sends may spend, and
// whether the send is within the total at all. The first send has number 0, and resend n
// has number n. Each resend itself costs one retry of the total. The parts of all sends
// and these costs add up to the total or less. The total therefore holds without
// coordination, even while earlier sends still spend their parts at other nodes. This
// requires that a caller numbers its sends without repeats.
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

// DigestOf returns the digest of a call to a service. The target is the path with its
// query; bodyHash identifies the body.
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
