package link

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"

	"camphortrail/schema"
)

// largeBytes is the size of a frame that no socket buffer holds as a whole.
const largeBytes = 16 << 20

// awaitBegun waits until a part of the first large frame of the queue was written.
func awaitBegun(t *testing.T, lk *Link) {
	t.Helper()
	for end := time.Now().Add(receiveTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		lk.mu.Lock()
		begun := len(lk.large.frames) > 0 && lk.large.frames[0].begun
		lk.mu.Unlock()
		if begun {
			return
		}
	}
	t.Fatal("no part of the large frame was written")
}

// number returns the number of the attempt in a frame of attemptFrame, or -1 for other frames.
func number(fr *schema.Frame) int {
	if at := fr.GetAttempt(); at != nil {
		return int(binary.BigEndian.Uint64(at.GetAttemptId()[8:]))
	}
	return -1
}

// Guards against small frames that wait behind a large one, and against large frames that change
// places or lose a part.
func TestSmallFramesOvertakeLargeOnes(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	defer far.Close()
	for _, n := range []int{1, 2} {
		if err := near.Send(attemptFrame(n, largeBytes/n)); err != nil {
			t.Fatal(err)
		}
	}
	awaitBegun(t, near)
	const small = 5
	for n := range small {
		if err := near.Send(attemptFrame(10+n, 100)); err != nil {
			t.Fatal(err)
		}
	}
	var order []int
	for range small + 2 {
		fr, err := far.Receive(receiveTimeout)
		if err != nil {
			t.Fatal(err)
		}
		n := number(fr)
		order = append(order, n)
		if n <= 2 && !bytes.Equal(fr.GetAttempt().GetBody(), bytes.Repeat([]byte{byte(n)}, largeBytes/n)) {
			t.Errorf("the body of frame %d has changed", n)
		}
	}
	want := []int{10, 11, 12, 13, 14, 1, 2}
	for i := range want {
		if order[i] != want[i] {
			t.Fatalf("order %v, want %v", order, want)
		}
	}
}

// Guards against the cancellation of an attempt that overtakes it, after which the attempt would
// run although nobody waits for it.
func TestCancellationStaysBehindItsAttempt(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	defer far.Close()
	fr := attemptFrame(1, largeBytes)
	if err := near.Send(fr); err != nil {
		t.Fatal(err)
	}
	awaitBegun(t, near)
	cancel := &schema.Frame{Kind: &schema.Frame_CancelledAttempt{CancelledAttempt: fr.GetAttempt().GetAttemptId()}}
	other := &schema.Frame{Kind: &schema.Frame_CancelledAttempt{CancelledAttempt: attemptFrame(2, 0).GetAttempt().GetAttemptId()}}
	for _, fr := range []*schema.Frame{cancel, other} {
		if err := near.Send(fr); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []*schema.Frame{other, fr, cancel} {
		got, err := far.Receive(receiveTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(got.GetCancelledAttempt(), want.GetCancelledAttempt()) || number(got) != number(want) {
			t.Fatalf("frame %d is not the expected one", i)
		}
	}
}

// Guards against pieces for a node of an earlier version, which would take them for malformed
// frames. The upgrade is answered without the header of pieces.
func TestPeerWithoutPiecesGetsWholeFrames(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	got := make(chan []byte, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		nc, rw, err := http.NewResponseController(w).Hijack()
		if err != nil {
			t.Error(err)
			return
		}
		defer nc.Close()
		_, _ = nc.Write([]byte("HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: " + protocol + "\r\n\r\n"))
		for range 2 {
			prefix := make([]byte, lengthPrefixBytes)
			if _, err := rw.Read(prefix); err != nil {
				t.Error(err)
				return
			}
			data := make([]byte, min(binary.BigEndian.Uint32(prefix), maxFrameBytes))
			for at := 0; at < len(data); {
				n, err := rw.Read(data[at:])
				if err != nil {
					t.Error(err)
					return
				}
				at += n
			}
			got <- data
		}
	})}
	go func() { _ = server.Serve(ln) }()
	defer server.Close()
	lk := Open(dial, ln.Addr().String())
	defer lk.Close()
	for _, n := range []int{1, 2} {
		// The first frame is queued before it is known what the peer can read.
		if err := lk.Send(attemptFrame(n, 4*pieceBytes)); err != nil {
			t.Fatal(err)
		}
		fr, err := decode(<-got)
		if err != nil || number(fr) != n || len(fr.GetAttempt().GetBody()) != 4*pieceBytes {
			t.Errorf("frame %d: error %v", n, err)
		}
	}
}

// cutConn fails after a number of written bytes.
type cutConn struct {
	net.Conn
	left int
}

func (cc *cutConn) Write(data []byte) (int, error) {
	n, err := cc.Conn.Write(data[:min(len(data), cc.left)])
	if cc.left -= n; cc.left <= 0 && err == nil {
		cc.Conn.Close()
		err = net.ErrClosed
	}
	return n, err
}

// Guards against a part of a frame that is taken for a frame: when a link is lost in the middle of a
// large one, the receiver must get nothing of it, and the sender must not believe that nothing was
// sent.
func TestLinkLostInLargeFrame(t *testing.T) {
	for _, length := range []int{1000, pieceBytes + 500, 3 * pieceBytes, 5*pieceBytes + 100} {
		address, links := serveLinks(t)
		near := Open(func(ctx context.Context, network, address string) (net.Conn, error) {
			nc, err := dial(ctx, network, address)
			return &cutConn{nc, length}, err
		}, address)
		far := <-links
		if err := near.Send(attemptFrame(1, 6*pieceBytes)); err != nil {
			t.Fatal(err)
		}
		if fr, err := far.Receive(receiveTimeout); !errors.Is(err, ErrClosed) {
			t.Errorf("cut after %d bytes: frame %v, error %v, want ErrClosed", length, fr != nil, err)
		}
		if !near.MayHaveSent() {
			t.Errorf("cut after %d bytes: the link claims that nothing was sent", length)
		}
		near.Close()
		far.Close()
	}
}

// Frames that were queued before Shutdown must arrive whole, also while a large one is being sent.
func TestShutdownInLargeFrame(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer far.Close()
	if err := near.Send(attemptFrame(1, largeBytes)); err != nil {
		t.Fatal(err)
	}
	awaitBegun(t, near)
	done := make(chan struct{})
	go func() {
		near.Shutdown(t.Context())
		close(done)
	}()
	fr, err := far.Receive(receiveTimeout)
	if err != nil || len(fr.GetAttempt().GetBody()) != largeBytes {
		t.Errorf("error %v", err)
	}
	<-done
}

// Pieces that are too long, or that make up a frame that is, must end the link.
func TestMalformedPieces(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	<-near.ready
	defer near.Close()
	defer far.Close()
	if _, err := near.nc.Write(binary.BigEndian.AppendUint32(nil, pieceFlag|maxPieceBytes+1)); err != nil {
		t.Fatal(err)
	}
	if _, err := far.Receive(receiveTimeout); !errors.Is(err, ErrMalformed) {
		t.Errorf("error %v, want ErrMalformed", err)
	}
}

// Guards against a large frame that takes the whole queue while it is sent, so that all others on
// the link are rejected meanwhile: a body may be larger than the quota and than maxQueuedBytes.
func TestSmallFramesAreQueuedBesideAnyLargeOne(t *testing.T) {
	address, links := serveLinks(t)
	near := Open(dial, address)
	far := <-links
	defer near.Close()
	defer far.Close()
	quota := NewQuota(128 << 10)
	near.SetQuota(quota)
	const size = maxQueuedBytes + largeBytes
	if err := near.Send(attemptFrame(1, size)); err != nil {
		t.Fatal(err)
	}
	awaitBegun(t, near)
	if err := near.Send(attemptFrame(2, 100)); err != nil {
		t.Fatal(err)
	}
	// Another large frame counts.
	if err := near.Send(attemptFrame(3, 256<<10)); !errors.Is(err, ErrFull) {
		t.Errorf("a second large frame: %v", err)
	}
	for _, want := range []int{2, 1} {
		fr, err := far.Receive(receiveTimeout)
		if err != nil {
			t.Fatal(err)
		}
		if number(fr) != want || want == 1 && len(fr.GetAttempt().GetBody()) != size {
			t.Fatalf("frame %d of %d bytes, want %d", number(fr), len(fr.GetAttempt().GetBody()), want)
		}
	}
	if used := quota.Used(); used != 0 {
		t.Errorf("%d bytes of the quota are taken", used)
	}
}
