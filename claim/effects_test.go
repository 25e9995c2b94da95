package claim_test

import (
	"bytes"
	"reflect"
	"slices"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/claim"
	"camphortrail/internal/lab/fuzzing"

	"pgregory.net/rapid"
)

func init() {
	fuzzing.SetFlags(1000, 80)
}

var (
	epoch = time.Unix(1_000_000, 0)
	small = claim.Limits{
		Keys: 3, KeysPerTenant: 2, Bytes: 45, AnswerBytes: 20, KeyBytes: 30,
		ClaimTimeout: 5 * time.Second, AnswerRetention: 5 * time.Second, KeyRetention: time.Hour,
	}
)

// holder is an entry that handles one attempt of a request with an idempotency key.
type holder struct {
	claim claim.Claim
	epoch claim.Epoch
	// granted, ran and released record what the entry knows about its claim.
	granted, ran, released bool
}

// operation is an operation of a holder that has not been committed to the log.
type operation struct {
	from *holder
	op   claim.Operation
}

// outcome is the result of an operation that its holder has not received.
type outcome struct {
	from *holder
	res  claim.Result
}

// trial is a set of entries with a table and its replica. Operations and results are
// lost, duplicated and reordered, and entries disappear.
type trial struct {
	now      time.Time
	leader   *claim.Table
	replica  *claim.Table
	holders  []*holder
	flight   []operation
	outcomes []outcome
	effects  map[claim.Key]int
	answers  map[claim.Key]string
}

// sends sends the claim of a new or an existing holder.
func (tr *trial) sends(t *rapid.T) {
	if len(tr.holders) == 0 || rapid.Bool().Draw(t, "new") {
		tr.holders = append(tr.holders, &holder{claim: claim.Claim{
			Tenant:    call.Deployment(rapid.SampledFrom([]string{"t", "u"}).Draw(t, "tenant")),
			Key:       claim.Key(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")),
			Attempt:   call.AttemptID{byte(len(tr.holders)), 1},
			Digest:    claim.Digest(rapid.SampledFrom([]string{"d", "d", "d", "e"}).Draw(t, "digest")),
			Retention: time.Duration(rapid.IntRange(0, 9).Draw(t, "retention")) * time.Second,
		}})
	}
	ho := pick(t, tr.holders)
	tr.flight = append(tr.flight, operation{ho, ho.claim})
}

// applies commits an operation and leaves a copy of it in flight at random. The leader
// and the replica must return the same result.
func (tr *trial) applies(t *rapid.T) {
	if len(tr.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(tr.flight)-1).Draw(t, "operation")
	op := tr.flight[i]
	if rapid.IntRange(0, 2).Draw(t, "last copy") > 0 {
		tr.flight = slices.Delete(tr.flight, i, i+1)
	}
	// The clock of a new leader may be behind that of the previous one.
	at := tr.now.Add(-time.Duration(rapid.IntRange(0, 2).Draw(t, "behind")) * time.Second)
	res := tr.leader.Step(at, op.op)
	if same := tr.replica.Step(at, op.op); !reflect.DeepEqual(res, same) {
		t.Fatalf("leader answers %+v, replica %+v", res, same)
	}
	tr.outcomes = append(tr.outcomes, outcome{op.from, res})
}

// learns delivers the result of an operation to its holder. An answer in it must be the
// one recorded for the key.
func (tr *trial) learns(t *rapid.T) {
	if len(tr.outcomes) == 0 {
		return
	}
	i := rapid.IntRange(0, len(tr.outcomes)-1).Draw(t, "outcome")
	oc := tr.outcomes[i]
	tr.outcomes = slices.Delete(tr.outcomes, i, i+1)
	switch key := qualifiedKey(oc.from); oc.res.State {
	case claim.Granted:
		oc.from.granted = true
		oc.from.epoch = oc.res.Epoch
	case claim.Finished:
		if want := tr.answers[key]; len(oc.res.Answer) > 0 && string(oc.res.Answer) != want {
			t.Fatalf("key %v: answer %q, recorded %q", key, oc.res.Answer, want)
		}
	}
}

// runs executes a request whose claim was granted, possibly long before.
func (tr *trial) runs(t *rapid.T) {
	ho := pick(t, tr.holders)
	if ho == nil || !ho.granted || ho.ran || ho.released {
		return
	}
	ho.ran = true
	tr.effects[qualifiedKey(ho)]++
}

// ends sends the release of a claim whose request did not run, or its completion.
func (tr *trial) ends(t *rapid.T) {
	ho := pick(t, tr.holders)
	if ho == nil || !ho.granted {
		return
	}
	cl := ho.claim
	if !ho.ran {
		ho.released = true
		tr.flight = append(tr.flight, operation{ho, claim.Release{
			Tenant: cl.Tenant, Key: cl.Key, Attempt: cl.Attempt, Epoch: ho.epoch,
		}})
		return
	}
	answer := string(cl.Tenant) + string(cl.Key) + " answer"
	tr.answers[qualifiedKey(ho)] = answer
	tr.flight = append(tr.flight, operation{ho, claim.Complete{
		Tenant: cl.Tenant, Key: cl.Key, Attempt: cl.Attempt, Epoch: ho.epoch, Answer: []byte(answer),
	}})
}

func (tr *trial) passes(t *rapid.T) {
	tr.now = tr.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
}

// restarts replaces the replica by a table restored from the leader's snapshot.
func (tr *trial) restarts(t *rapid.T) {
	data := tr.leader.Snapshot()
	tb, err := claim.Restore(data, small)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(tb.Snapshot(), data) || !bytes.Equal(tr.replica.Snapshot(), data) || tb.Bytes() != tr.leader.Bytes() {
		t.Fatalf("snapshots differ:\n%x\n%x\n%x", data, tb.Snapshot(), tr.replica.Snapshot())
	}
	tr.replica = tb
}

// check fails if a request was executed twice or the table exceeds its limits.
func (tr *trial) check(t *rapid.T) {
	for key, n := range tr.effects {
		if n > 1 {
			t.Fatalf("key %v took effect %d times", key, n)
		}
	}
	if tr.leader.Len() > small.Keys || tr.leader.Bytes() > small.Bytes {
		t.Fatalf("%d keys, %d bytes", tr.leader.Len(), tr.leader.Bytes())
	}
}

// qualifiedKey returns the key together with its tenant.
func qualifiedKey(ho *holder) claim.Key {
	return claim.Key(ho.claim.Tenant) + "/" + ho.claim.Key
}

func pick(t *rapid.T, all []*holder) *holder {
	if len(all) == 0 {
		return nil
	}
	return rapid.SampledFrom(all).Draw(t, "holder")
}

// TestEffectsPerKey checks that no key is executed twice, whatever is lost, duplicated
// or reordered, and that a replica stays equal to the leader.
func TestEffectsPerKey(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &trial{
			now:     epoch,
			leader:  claim.New(small),
			replica: claim.New(small),
			effects: make(map[claim.Key]int),
			answers: make(map[claim.Key]string),
		}
		t.Repeat(map[string]func(*rapid.T){
			"sends":       tr.sends,
			"applies":     tr.applies,
			"apply more":  tr.applies,
			"learns":      tr.learns,
			"runs":        tr.runs,
			"ends":        tr.ends,
			"time passes": tr.passes,
			"restarts":    tr.restarts,
			"":            tr.check,
		})
	})
}
