package header

import (
	"errors"
	"net/http"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"camphortrail/internal/lab/fuzzing"
)

func init() { fuzzing.SetFlags(0, 0) }

// A header must not change on the way through a block, also when the block is appended to
// other bytes.
func TestBlockRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := http.Header(rapid.MapOf(rapid.String(), rapid.SliceOfN(rapid.String(), 1, 4)).Draw(t, "header"))
		prefix := rapid.SliceOf(rapid.Byte()).Draw(t, "prefix")
		got, err := ParseBlock(AppendBlock(prefix, want)[len(prefix):])
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %q, %v, want %q", got, err, want)
		}
	})
}

// The length of a long value takes several bytes, and that of an empty one is 0.
func TestLongValue(t *testing.T) {
	want := http.Header{"Long": {strings.Repeat("x", 1<<20)}, "Empty": {""}}
	if got, err := ParseBlock(AppendBlock(nil, want)); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("error %v", err)
	}
}

// Malformed bytes from another node must be rejected, also when a length in them is far
// larger than the block or doesn't fit in 64 bits.
func TestMalformedBlock(t *testing.T) {
	for _, block := range []string{
		"\x01", "\x01a", "\x05ab\x00", "\x01a\x02b", "\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff", "\x80",
		"\xff\xff\xff\xff\xff\xff\xff\xff\x7fa",
	} {
		if hd, err := ParseBlock([]byte(block)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%q: got %v, %v", block, hd, err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		block := rapid.SliceOf(rapid.Byte()).Draw(t, "block")
		if hd, err := ParseBlock(block); err == nil && len(block) > 0 && len(hd) == 0 {
			t.Fatalf("%q gives an empty header", block)
		}
	})
}

func BenchmarkBlock(b *testing.B) {
	hd := http.Header{
		"Content-Type": {"text/plain"}, "X-Request-Id": {"02567e73f848dd14"}, "X-Proof": {"3e1b.07.5a2.600.0.c9f2a4d1"},
		"Accept-Encoding": {"identity"}, "User-Agent": {"till"}, "Date": {"Fri, 04 Dec 2026 17:21:56 GMT"},
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := ParseBlock(AppendBlock(nil, hd)); err != nil {
			b.Fatal(err)
		}
	}
}
