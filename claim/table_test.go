package claim_test

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/claim"
	"camphortrail/schema"

	"github.com/cockroachdb/datadriven"
	"google.golang.org/protobuf/encoding/protowire"
)

var states = map[claim.State]string{
	claim.Invalid:  "invalid",
	claim.Granted:  "granted",
	claim.Held:     "held",
	claim.Finished: "finished",
	claim.Mismatch: "mismatch",
	claim.Fenced:   "fenced",
	claim.Full:     "full",
	claim.Released: "released",
}

// TestTable runs the scripts in testdata/table. A line consists of the time in seconds,
// the operation, tenant, key and attempt, followed by the digest of a claim, the epoch and
// answer of a complete, or the epoch of a release.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/table", func(t *testing.T, path string) {
		tb := claim.New(small)
		datadriven.RunTest(t, path, func(t *testing.T, td *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(td.Input) {
				args := strings.Fields(line)
				var second int
				_, _ = fmt.Sscan(args[0], &second)
				at := epoch.Add(time.Duration(second) * time.Second)
				res := tb.Step(at, parse(t, args[1:]))
				fmt.Fprintf(&out, "%s: %s %d %s\n", strings.TrimSpace(line), states[res.State], res.Epoch, res.Answer)
			}
			return out.String()
		})
	})
}

// parse returns the operation of a script line without its time.
func parse(t *testing.T, args []string) claim.Operation {
	t.Helper()
	tn, key := call.Deployment(args[1]), claim.Key(args[2])
	var at call.AttemptID
	copy(at[:], args[3])
	var ep claim.Epoch
	_, _ = fmt.Sscan(args[4], &ep)
	switch args[0] {
	case "claim":
		return claim.Claim{Tenant: tn, Key: key, Attempt: at, Digest: claim.Digest(args[4]), Retention: 3 * time.Second}
	case "complete":
		return claim.Complete{Tenant: tn, Key: key, Attempt: at, Epoch: ep, Answer: []byte(args[5])}
	case "release":
		return claim.Release{Tenant: tn, Key: key, Attempt: at, Epoch: ep}
	}
	t.Fatalf("unknown operation %q", args[0])
	return nil
}

func TestSchemaRoundTrip(t *testing.T) {
	at := call.AttemptID{1, 2}
	for _, op := range []claim.Operation{
		claim.Claim{Tenant: "t", Key: "k", Attempt: at, Digest: "d", Retention: time.Minute},
		claim.Complete{Tenant: "t", Key: "k", Attempt: at, Epoch: 7, Answer: []byte{0x08, 200, 1}},
		claim.Release{Tenant: "t", Key: "k", Attempt: at, Epoch: 7},
	} {
		msg, err := claim.ToSchema(op)
		if err != nil {
			t.Fatal(err)
		}
		got, err := claim.FromSchema(msg)
		if err != nil || !reflect.DeepEqual(got, op) {
			t.Errorf("%T: got %+v, %v", op, got, err)
		}
	}
	for _, bad := range []*schema.ClaimOperation{
		nil,
		{AttemptId: at[:]},
		{Kind: schema.ClaimOperation_KIND_CLAIM, AttemptId: at[:15]},
	} {
		if _, err := claim.FromSchema(bad); !errors.Is(err, claim.ErrBadOperation) {
			t.Errorf("FromSchema(%v) error = %v, want ErrBadOperation", bad, err)
		}
	}
}

// TestRestoreRefusesDamage restores truncated snapshots, one with a duplicate entry and
// one whose entry is newer than the table.
func TestRestoreRefusesDamage(t *testing.T) {
	tb := claim.New(small)
	tb.Step(epoch, claim.Claim{Tenant: "t", Key: "k"})
	data := tb.Snapshot()
	entry := data
	for range 2 {
		_, _, size := protowire.ConsumeField(entry)
		entry = entry[size:]
	}
	bad := [][]byte{nil, []byte("{"), entry, append(data[:len(data):len(data)], entry...)}
	for size := len(data) - len(entry) + 1; size < len(data); size++ {
		bad = append(bad, data[:size])
	}
	for _, bad := range bad {
		if _, err := claim.Restore(bad, small); !errors.Is(err, claim.ErrBadSnapshot) {
			t.Errorf("Restore(%x) error = %v, want ErrBadSnapshot", bad, err)
		}
	}
}

func ExampleTable() {
	tb := claim.New(claim.DefaultLimits())
	now := time.Unix(1_000_000, 0)
	first := claim.Claim{Tenant: "lombardia", Key: "tag-17", Attempt: call.AttemptID{1}, Retention: time.Minute}
	res := tb.Step(now, first)
	fmt.Println("first send granted:", res.State == claim.Granted)

	again := first
	again.Attempt = call.AttemptID{2}
	fmt.Println("resend held:", tb.Step(now, again).State == claim.Held)

	tb.Step(now, claim.Complete{
		Tenant: first.Tenant, Key: first.Key, Attempt: first.Attempt, Epoch: res.Epoch, Answer: []byte("issued"),
	})
	fmt.Printf("resend answered: %s\n", tb.Step(now, again).Answer)
	// Output:
	// first send granted: true
	// resend held: true
	// resend answered: issued
}
