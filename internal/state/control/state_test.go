package control

import (
	"bytes"
	"fmt"
	"math"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"camphortrail/claim"
	"camphortrail/config"
	"camphortrail/internal/lab/fuzzing"
	"camphortrail/queue"
	"camphortrail/quorum"
	"camphortrail/schema"
)

func init() {
	fuzzing.SetFlags(0, 0)
}

// newStateOnly returns a state of a replica without a log.
func newStateOnly() *state {
	co := &Control{
		log:     discardLog(),
		opt:     Options{Claims: claim.DefaultLimits()},
		waiters: newWaiters(),
	}
	co.state = newState(co)
	return co.state
}

// answerTo applies an entry with the command and returns the result.
func (st *state) answerTo(t *rapid.T, index quorum.Index, cm *schema.Command) proposalResult {
	data, err := proto.Marshal(cm)
	if err != nil {
		t.Fatal(err)
	}
	pr, wt := st.co.waiters.add()
	en := quorum.Entry{Index: index, Kind: quorum.DataEntry, Data: data}
	if err := st.apply(quorum.Apply{Entry: en, Proposal: pr}); err != nil {
		t.Fatal(err)
	}
	return <-wt.result
}

// same reports whether two results are equal.
func same(a, b proposalResult) bool {
	switch a := a.(type) {
	case configurationResult:
		other, ok := b.(configurationResult)
		return ok && proto.Equal(a.response, other.response)
	case claimResults:
		other, ok := b.(claimResults)
		return ok && proto.Equal(&schema.ClaimResponse{Results: a.results}, &schema.ClaimResponse{Results: other.results})
	}
	return false
}

// TestReplicasReturnEqualResults applies the same entries to two replicas. One of them is
// repeatedly replaced by a new one that is restored from its snapshot.
func TestReplicasReturnEqualResults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		one, other := newStateOnly(), newStateOnly()
		var unixMS int64
		for index := quorum.Index(1); index < 80; index++ {
			unixMS += int64(rapid.IntRange(0, 200_000).Draw(t, "passed"))
			cm := command(t)
			cm.LogUnixMs = unixMS
			a, b := one.answerTo(t, index, cm), other.answerTo(t, index, cm)
			if !same(a, b) {
				t.Fatalf("%v answered with %+v and %+v", cm, a, b)
			}
			if rapid.IntRange(0, 5).Draw(t, "restore") > 0 {
				continue
			}
			sn, err := other.snapshot()
			if err != nil {
				t.Fatal(err)
			}
			other = newStateOnly()
			if err := other.restore(quorum.Snapshot{Index: index, Data: sn}); err != nil {
				t.Fatal(err)
			}
			if a, b := one.current.Load(), other.current.Load(); a.revision != b.revision || !proto.Equal(a.configuration, b.configuration) {
				t.Fatalf("in force after the snapshot: %+v, want %+v", b, a)
			}
		}
	})
}

// command returns a random command.
func command(t *rapid.T) *schema.Command {
	if rapid.Bool().Draw(t, "configuration") {
		cfg := configuration(uint64(rapid.IntRange(1, 12).Draw(t, "version")), rapid.SampledFrom([]string{"cassa", "fichas"}).Draw(t, "name"))
		dg, err := config.DigestOf(cfg)
		if err != nil {
			t.Fatal(err)
		}
		return &schema.Command{Kind: &schema.Command_Configuration{Configuration: cfg}, Digest: dg[:]}
	}
	batch := new(schema.ClaimBatch)
	for range rapid.IntRange(1, 4).Draw(t, "operations") {
		op := operation(
			schema.ClaimOperation_Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
			fmt.Sprint("key-", rapid.IntRange(1, 3).Draw(t, "key")),
			byte(rapid.IntRange(1, 3).Draw(t, "attempt")),
		)
		op.Epoch = uint64(rapid.IntRange(1, 6).Draw(t, "epoch"))
		if op.GetKind() == schema.ClaimOperation_KIND_COMPLETE {
			op.Answer = &schema.RecordedAnswer{Status: 200, Body: []byte{byte(op.GetEpoch())}}
		}
		batch.Operations = append(batch.Operations, op)
	}
	return &schema.Command{Kind: &schema.Command_Claims{Claims: batch}}
}

// TestUnreadableEntryIsSkipped applies entries that cannot be decoded. An error would end each
// replica again at every start.
func TestUnreadableEntryIsSkipped(t *testing.T) {
	st := newStateOnly()
	for i, data := range [][]byte{{0xff}, {0x0a, 0x7f}, bytes.Repeat([]byte{0x0a}, 1<<10), nil} {
		if err := st.apply(quorum.Apply{Entry: quorum.Entry{Index: quorum.Index(i + 1), Kind: quorum.DataEntry, Data: data}}); err != nil {
			t.Errorf("entry %x: %v", data[:min(4, len(data))], err)
		}
	}
	checkFollows(t, st, 5)
}

// checkFollows checks that the state accepts a configuration in the entry at the index.
func checkFollows(t *testing.T, st *state, index quorum.Index) {
	t.Helper()
	last, _ := st.history.Last()
	version := uint64(last.Version) + 1
	if version == 0 {
		return // no version is higher
	}
	data, err := proto.Marshal(&schema.Command{Digest: []byte{1}, Kind: &schema.Command_Configuration{Configuration: &schema.Configuration{Version: version}}})
	if err != nil {
		t.Fatal(err)
	}
	if err := st.apply(quorum.Apply{Entry: quorum.Entry{Index: index, Kind: quorum.DataEntry, Data: data}}); err != nil {
		t.Fatal(err)
	}
	if inForce := st.current.Load(); inForce.configuration.GetVersion() != version || inForce.revision != config.Revision(index) {
		t.Errorf("in force is version %d, want %d", inForce.configuration.GetVersion(), version)
	}
}

// FuzzEntry applies an arbitrary entry and a valid one after it. A state that is restored from
// the snapshot must accept the next version too.
func FuzzEntry(f *testing.F) {
	for _, cm := range []*schema.Command{
		{},
		{Kind: &schema.Command_Configuration{}},
		{Kind: &schema.Command_Configuration{Configuration: &schema.Configuration{Version: math.MaxUint64}}, LogUnixMs: math.MaxInt64},
		{Kind: &schema.Command_Claims{Claims: &schema.ClaimBatch{Operations: []*schema.ClaimOperation{
			operation(schema.ClaimOperation_KIND_CLAIM, "k", 1), operation(schema.ClaimOperation_KIND_COMPLETE, "k", 1),
			{},
			{Kind: schema.ClaimOperation_KIND_CLAIM, AttemptId: make([]byte, 16), RetentionS: math.MaxUint32},
		}}}, LogUnixMs: math.MinInt64},
	} {
		data, err := proto.Marshal(cm)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		st := newStateOnly()
		if err := st.apply(quorum.Apply{Entry: quorum.Entry{Index: 1, Kind: quorum.DataEntry, Data: data}}); err != nil {
			t.Fatal(err)
		}
		checkFollows(t, st, 2)
		sn, err := st.snapshot()
		if err != nil {
			t.Fatal(err)
		}
		again := newStateOnly()
		if err := again.restore(quorum.Snapshot{Index: 2, Data: sn}); err != nil {
			t.Fatal(err)
		}
		checkFollows(t, again, 3)
	})
}

// TestMalformedMessageDoesNotAffectOthers sends a malformed message between two valid ones.
// The valid ones must be delivered.
func TestMalformedMessageDoesNotAffectOthers(t *testing.T) {
	co := newStateOnly().co
	co.set = &schema.Settings{Deployment: deployment}
	co.messages = queue.New[quorum.Event](4)
	join := &schema.QuorumMessage{Kind: schema.QuorumMessage_KIND_JOIN, From: "b", To: "a", Incarnation: 1}
	malformed := &schema.QuorumMessage{Kind: schema.QuorumMessage_KIND_VOTE, From: "b", To: "a", Incarnation: 1, Term: math.MaxUint64}
	_, err := co.Exchange(t.Context(), connect.NewRequest(&schema.ExchangeRequest{
		Deployment: deployment, Messages: []*schema.QuorumMessage{join, malformed, join},
	}))
	if connect.CodeOf(err) != connect.CodeInvalidArgument || !strings.Contains(err.Error(), "term 18446744073709551615") {
		t.Errorf("error %v", err)
	}
	if got := len(co.messages.Out()); got != 2 {
		t.Errorf("%d messages taken, want 2", got)
	}
}
