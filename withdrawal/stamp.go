package withdrawal

import (
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/pkg/errors"
)

// ErrBadStamp is returned by ParseStamp for text that is not a stamp.
var ErrBadStamp = errors.New("withdrawal: stamp is not 32 hexadecimal digits")

// Incarnation identifies one run of a guard's process. It is a random number, other than
// zero, that is drawn when the process starts.
type Incarnation uint64

// Stamp is a reading of a guard's own clock. The guard adds it to every acknowledgement,
// refusal and answer, and an entry adds the latest stamp of the guard to each attempt that
// it sends there. The stamp proves to the guard that the attempt was sent after that
// reading, without synchronized clocks. The zero Stamp is stale at every guard.
type Stamp struct {
	Incarnation Incarnation
	// Uptime is the time since the incarnation started.
	Uptime time.Duration
}

// String returns the stamp as 32 hexadecimal digits.
func (sp Stamp) String() string {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:8], uint64(sp.Incarnation))
	binary.BigEndian.PutUint64(b[8:], uint64(sp.Uptime))
	var text [2 * len(b)]byte
	hex.Encode(text[:], b[:])
	return string(text[:])
}

// ParseStamp parses the text that String returns. It returns ErrBadStamp if s is not such
// a text.
func ParseStamp(s string) (Stamp, error) {
	var b [16]byte
	if len(s) != 2*len(b) {
		return Stamp{}, ErrBadStamp
	}
	if _, err := hex.Decode(b[:], []byte(s)); err != nil {
		return Stamp{}, ErrBadStamp
	}
	return Stamp{
		Incarnation: Incarnation(binary.BigEndian.Uint64(b[:8])),
		Uptime:      time.Duration(binary.BigEndian.Uint64(b[8:])),
	}, nil
}

// Supersedes reports whether sp is newer than old, a stamp of the same guard. A stamp
// of another incarnation always is.
func (sp Stamp) Supersedes(old Stamp) bool {
	return sp.Incarnation != old.Incarnation || sp.Uptime > old.Uptime
}
