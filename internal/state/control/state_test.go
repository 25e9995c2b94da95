package control

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"camphortrail/claim"
	"camphortrail/config"
	"camphortrail/internal/lab/fuzzing"
	"camphortrail/quorum"
	"camphortrail/schema"
)

func init() {
	fuzzing.Fix(0, 0)
}

func stateOnly() *state {
	co := &Control{
		log:     discardLog(),
		opt:     Options{Claims: claim.DefaultLimits()},
		waiters: newWaiters(),
	}
	co.state = newState(co)
	return co.state
}

// apply applies an entry and returns the answer.
func (st *state) answerTo(t *rapid.T, index quorum.Index, cm *schema.Command) answer {
	data, err := proto.Marshal(cm)
	if err != nil {
		t.Fatal(err)
	}
	pr, wt := st.co.waiters.add()
	en := quorum.Entry{Index: index, Kind: quorum.Data, Data: data}
	if err := st.apply(quorum.Apply{Entry: en, Proposal: pr}); err != nil {
		t.Fatal(err)
	}
	return <-wt.answer
}

// same reports whether two answers are equal.
func same(a, b answer) bool {
	switch a := a.(type) {
	case decided:
		other, ok := b.(decided)
		return ok && proto.Equal(a.response, other.response)
	case claimed:
		other, ok := b.(claimed)
		return ok && proto.Equal(&schema.ClaimResponse{Results: a.results}, &schema.ClaimResponse{Results: other.results})
	}
	return false
}

// TestReplicasAnswerAlike applies the same entries to two replicas, of which
// one is often replaced by a new one that starts from its snapshot.
func TestReplicasAnswerAlike(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		one, other := stateOnly(), stateOnly()
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
			other = stateOnly()
			if err := other.restore(quorum.Snapshot{Index: index, Data: sn}); err != nil {
				t.Fatal(err)
			}
			if a, b := one.current.Load(), other.current.Load(); a.revision != b.revision || !proto.Equal(a.configuration, b.configuration) {
				t.Fatalf("in force after the snapshot: %+v, want %+v", b, a)
			}
		}
	})
}

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
