package buffer

import (
	"bufio"
	"maps"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"camphortrail/internal/lab/fuzzing"
)

func init() { fuzzing.SetFlags(0, 0) }

// oracle is the memory of each holder as the test knows it.
type oracle struct{ reading, kept int64 }

// Guards against a sum beyond the limit, memory that is never returned, and an ordinary request
// that is refused beside larger holders. The oracle adds up what was granted and released.
func TestLedgerAgainstOracle(t *testing.T) {
	const limit, holders = 4 << 20, 12
	// ordinary is the memory of an ordinary request. All connections may have one at once.
	const ordinary = 32 << 10
	rapid.Check(t, func(t *rapid.T) {
		ld := NewLedger(limit)
		list := make([]*Holder, holders)
		want := make([]oracle, holders)
		for at := range list {
			list[at] = new(Holder)
		}
		index := func(h *Holder) int {
			for at := range list {
				if list[at] == h {
					return at
				}
			}
			t.Fatal("unknown victim")
			return 0
		}
		// charge charges as Budget does, where victims give up their memory at once.
		charge := func(at int, part Part, bytes int64) bool {
			for range 3 * holders {
				before := want[at].reading + want[at].kept + bytes
				dec, vi := ld.Charge(list[at], part, bytes)
				switch dec {
				case Granted:
					if part == Reading {
						want[at].reading += bytes
					} else {
						want[at].kept += bytes
					}
					return true
				case Refused:
					return false
				}
				if vi.Holder == nil {
					t.Fatal("waits although nothing is on its way back")
				}
				victim := index(vi.Holder)
				if held := want[victim].reading + want[victim].kept; held < before {
					t.Fatalf("a holder of %d was evicted for one of %d", held, before)
				}
				if vi.Abort {
					ld.ReleaseReading(vi.Holder)
					want[victim].reading = 0
				}
				if vi.Cancel {
					ld.Release(vi.Holder, Kept, want[victim].kept)
					want[victim].kept = 0
				}
				// The connection is closed, and another takes its place.
				if want[victim] == (oracle{}) {
					list[victim] = new(Holder)
				}
			}
			t.Fatal("evicts without end")
			return false
		}
		check := func() {
			var sum int64
			for at, or := range want {
				sum += or.reading + or.kept
				if list[at].reading != or.reading || list[at].kept != or.kept {
					t.Fatalf("holder %d: %d and %d, want %+v", at, list[at].reading, list[at].kept, or)
				}
			}
			if ld.Used() != sum || sum > limit {
				t.Fatalf("%d bytes are used, want %d, at most %d", ld.Used(), sum, limit)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"charge": func(t *rapid.T) {
				part := Part(rapid.IntRange(0, 1).Draw(t, "part"))
				charge(rapid.IntRange(1, holders-1).Draw(t, "holder"), part, rapid.Int64Range(1, limit/2).Draw(t, "bytes"))
			},
			// Takes all that is left but a few bytes.
			"fill": func(t *rapid.T) {
				left := rapid.Int64Range(0, smallBytes).Draw(t, "left")
				if bytes := limit - limit/ReserveDivisor - ld.Used() - left; bytes > 0 {
					charge(rapid.IntRange(1, holders-1).Draw(t, "holder"), Kept, bytes)
				}
			},
			// Lets small holders take the reserve.
			"fill reserve": func(*rapid.T) {
				for at := 1; at < holders; at++ {
					bytes := min(smallBytes-list[at].total(), limit-ld.Used())
					if bytes > 0 {
						charge(at, Kept, bytes)
					}
				}
			},
			"keep": func(t *rapid.T) {
				at := rapid.IntRange(1, holders-1).Draw(t, "holder")
				kept := ld.Keep(list[at], rapid.Int64Range(0, limit).Draw(t, "bytes"))
				want[at] = oracle{kept: want[at].kept + kept}
			},
			"release": func(t *rapid.T) {
				at := rapid.IntRange(1, holders-1).Draw(t, "holder")
				bytes := rapid.Int64Range(0, want[at].kept).Draw(t, "bytes")
				ld.Release(list[at], Kept, bytes)
				want[at].kept -= bytes
			},
			"stall": func(t *rapid.T) {
				ld.SetStalled(list[rapid.IntRange(1, holders-1).Draw(t, "holder")], rapid.Bool().Draw(t, "stalled"))
			},
			"ordinary": func(t *rapid.T) {
				if ld.Used()+ordinary <= limit {
					if dec, vi := ld.Charge(list[0], Reading, ordinary); dec != Granted {
						t.Fatalf("an ordinary request that fits was not admitted: %v, %+v", dec, vi)
					}
					ld.ReleaseReading(list[0])
				}
				if !charge(0, Reading, ordinary) {
					t.Fatal("an ordinary request was refused")
				}
				want[0] = oracle{kept: ld.Keep(list[0], ordinary)}
				ld.Release(list[0], Kept, ordinary)
				want[0] = oracle{}
			},
			"": func(*rapid.T) { check() },
		})
		for at := range list {
			ld.ReleaseReading(list[at])
			ld.Release(list[at], Kept, limit)
		}
		if ld.Used() != 0 || ld.returning != 0 || len(ld.holders) != 0 {
			t.Fatalf("%d bytes are left, %d on their way back, of %d holders", ld.Used(), ld.returning, len(ld.holders))
		}
	})
}

// Guards against connections that send ahead and take the memory of all others: each gets a share,
// and as much remains free.
func TestSendingAheadLeavesShare(t *testing.T) {
	const limit, request, conns = 8 << 20, 24 << 10, 7
	ld := NewLedger(limit)
	var list [conns]Holder
	for range limit / request {
		for at := range list {
			if ld.MayRead(&list[at]) {
				ld.Charge(&list[at], Kept, request)
			}
		}
	}
	if free, most := ld.limit-ld.Used(), int64(limit/(conns+1)); free < most-conns*request {
		t.Errorf("%d bytes are free, want about %d", free, most)
	}
}

// The memory that is charged for a head must cover what it takes once it is parsed, with the two
// copies that a request makes of it.
func TestHeadCost(t *testing.T) {
	const heads, base = 50, 24 << 10
	for name, line := range map[string]func(n int) string{
		"short": func(n int) string { return strconv.FormatInt(int64(n), 36) + ":\r\n" },
		"same":  func(int) string { return "a:\r\n" },
		"usual": func(n int) string { return "X-Header-" + strconv.Itoa(n) + ": some value of a header\r\n" },
	} {
		var sb strings.Builder
		for n := 0; sb.Len() < 16_000; n++ {
			sb.WriteString(line(n))
		}
		text := "GET / HTTP/1.1\r\nHost: a\r\n" + sb.String() + "\r\n"
		kept := make([]any, 0, heads)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range heads {
			r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
			if err != nil {
				t.Fatal(err)
			}
			kept = append(kept, r, maps.Clone(r.Header), maps.Clone(r.Header))
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		taken := int64(after.HeapAlloc-before.HeapAlloc) / heads
		charged := base + HeadCost(len(text), strings.Count(text, "\n"))
		t.Logf("%s: %d bytes are taken for a head of %d, %d charged", name, taken, len(text), charged)
		if taken > charged {
			t.Errorf("%s: %d bytes are taken, %d charged", name, taken, charged)
		}
		runtime.KeepAlive(kept)
	}
}

// BenchmarkAccount measures what the account adds to a request in calm, beside connections that hold
// memory.
func BenchmarkAccount(b *testing.B) {
	bb := NewBudget(64 << 20)
	for range 1000 {
		var rs Reservation
		rs.Init(bb, new(endless))
		_ = rs.GrowKept(24 << 10)
	}
	var rs Reservation
	rs.Init(bb, new(endless))
	b.ReportAllocs()
	for b.Loop() {
		if rs.Grow(24<<10) != nil {
			b.Fatal("no memory")
		}
		rs.Drop(rs.Keep(24 << 10))
	}
}
