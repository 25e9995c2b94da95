package upstream

import (
	"io"
	"net/http"

	"github.com/pkg/errors"
)

// ErrCutOff is returned by the body of an answer that ends with its connection, if anything failed on that:
// the rest of the body may be missing.
var ErrCutOff = errors.New("upstream: body ends with a connection that failed")

// endsWithConnection reports whether the end of the connection is the only sign of the end of the body.
func endsWithConnection(res *http.Response, method string) bool {
	return method != http.MethodHead && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// untilClose is a body that ends with its connection. The reader of a connection that was reset may see
// just the end, if the goroutine that writes the request was told of the reset.
type untilClose struct {
	io.ReadCloser
	conn  *conn
	write write
	// end is the error that Read returned at the end of the body.
	end error
}

// Read returns ErrCutOff in place of io.EOF if anything failed on the connection.
func (uc *untilClose) Read(data []byte) (int, error) {
	if uc.end != nil {
		return 0, uc.end
	}
	n, err := uc.ReadCloser.Read(data)
	if err == io.EOF && (isReset(uc.conn.raw) || uc.write.failed()) {
		err = ErrCutOff
	}
	uc.end = err
	return n, err
}
