package standin

import (
	"bytes"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers that stand-ins add to follow a request without the system's help.
const (
	headerRoot   = "Standin-Root"
	headerSend   = "Standin-Send"
	headerParent = "Standin-Parent"
	headerCall   = "Standin-Call"
)

// Verdict says what an answer's body is.
type Verdict uint8

// The verdicts.
const (
	// NoAnswer means that no answer with status 200 arrived.
	NoAnswer Verdict = iota
	// Complete means the complete answer to the caller's own request.
	Complete
	// Partial means a body that ends early.
	Partial
	// Foreign means a body that does not belong to the request.
	Foreign
)

// digest identifies a request: what is asked for, by which root, with which
// body.
type digest [8]byte

func digestOf(method, path string, root RootID, body []byte) digest {
	hash := xxhash.New()
	for _, part := range []string{method, path, strconv.FormatUint(uint64(root), 16)} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return digest(hash.Sum(nil))
}

// answerBody returns the answer to the request with the given digest: lines
// of the digest, and a last line that tells the end.
func answerBody(dg digest, size int) []byte {
	line := hex.EncodeToString(dg[:]) + "\n"
	var buf bytes.Buffer
	for buf.Len()+len(line) < size {
		buf.WriteString(line)
	}
	buf.WriteString(line)
	buf.WriteString("end\n")
	return buf.Bytes()
}

// judge compares the body of an answer with the one that the request with the
// given digest must get.
func judge(body []byte, dg digest, size int) Verdict {
	want := answerBody(dg, size)
	switch {
	case bytes.Equal(body, want):
		return Complete
	case bytes.HasPrefix(want, body):
		return Partial
	default:
		return Foreign
	}
}

// readAnswer judges the answer of an upstream. An answer whose body ends
// with an error is not taken for whole.
func readAnswer(res *http.Response, dg digest, size int) Verdict {
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(2*size)+1024))
	if res.StatusCode != http.StatusOK || err != nil {
		return NoAnswer
	}
	return judge(body, dg, size)
}
