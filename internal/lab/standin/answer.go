package standin

import (
	"bytes"
	"encoding/hex"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Headers by which stand-ins trace a request independently of the system under test.
const (
	headerRoot   = "Standin-Root"
	headerSend   = "Standin-Send"
	headerParent = "Standin-Parent"
	headerCall   = "Standin-Call"
)

// Verdict is the result of comparing the body of an answer with the expected one.
type Verdict uint8

// The verdicts.
const (
	// NoAnswer means that no answer with status 200 arrived.
	NoAnswer Verdict = iota
	// Complete means that the body is the complete answer to the request.
	Complete
	// Partial means that the body is a prefix of the expected one.
	Partial
	// Foreign means that the body has content which does not belong to the request.
	Foreign
)

// digest is a hash of the method, the path, the root id and the body of a request.
type digest [8]byte

// digestOf returns the digest of a request.
func digestOf(method, path string, root RootID, body []byte) digest {
	hash := xxhash.New()
	for _, part := range []string{method, path, strconv.FormatUint(uint64(root), 16)} {
		_, _ = hash.WriteString(part)
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(body)
	return digest(hash.Sum(nil))
}

// answerBody returns the answer to the request with the given digest: the digest on each
// line until the body has at least size bytes, and "end" as the last line.
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

// compareBody compares the body of an answer with the one expected for the digest.
func compareBody(body []byte, dg digest, size int) Verdict {
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

// checkAnswer reads and compares the answer to the request with the given digest. It
// returns NoAnswer for another status than 200 and for a body that ends with an error.
func checkAnswer(res *http.Response, dg digest, size int) Verdict {
	body, err := io.ReadAll(io.LimitReader(res.Body, int64(2*size)+1024))
	if res.StatusCode != http.StatusOK || err != nil {
		return NoAnswer
	}
	return compareBody(body, dg, size)
}
