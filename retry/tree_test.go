package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/fuzzing"
	"camphortrail/retry"

	"pgregory.net/rapid"
)

func init() {
	fuzzing.SetFlags(1000, 80)
}

var (
	epoch   = time.Unix(1_000_000, 0)
	treeLim = retry.Limits{Accounts: 64, Calls: 4, Retention: 20 * time.Second}
)

const treeDeadline = 10 * time.Second

// logicalCall identifies what is sent: a call of an account or, if zero, the request.
type logicalCall struct {
	parent retry.AccountID
	digest retry.Digest
}

// sender is an entry or a running upstream, with its account.
type sender struct {
	node    int
	account retry.AccountID
	// attempt and from are set for an inbound attempt.
	attempt call.AttemptID
	from    *sender
	// until is the time at which the account expires. The upstream has stopped by then.
	until time.Time
}

// message is an attempt on its way down or its answer on its way up.
type message struct {
	sent    time.Time
	node    int
	from    *sender
	attempt call.AttemptID
	carry   retry.Budget
	answer  bool
}

// tree is a request that spreads over some nodes, through a network that loses,
// duplicates and reorders messages. It counts the sends.
type tree struct {
	now     time.Time
	rng     *rand.Rand
	request call.RequestID
	total   retry.Budget
	nodes   [3]*retry.Ledger
	resend  uint32
	senders []*sender
	flight  []message
	sends   map[logicalCall]int
}

func (tr *tree) step(node int, ev retry.Event) retry.Result {
	return tr.nodes[node].Step(tr.now, ev)
}

// launch sends an attempt for a call that was granted.
func (tr *tree) launch(sd *sender, lo logicalCall, node int) {
	tr.sends[lo]++
	at := call.NewAttemptID(tr.rng)
	carry := tr.step(sd.node, retry.Send{Account: sd.account, Attempt: at}).Budget
	tr.flight = append(tr.flight, message{sent: tr.now, node: node, from: sd, attempt: at, carry: carry})
}

// callerSends sends the root request with a new number, once or twice to one node.
func (tr *tree) callerSends(t *rapid.T) {
	node := rapid.IntRange(0, 2).Draw(t, "node")
	copies := rapid.IntRange(1, 2).Draw(t, "copies")
	for range copies {
		res := tr.step(node, retry.OpenRequest{
			Request:  tr.request,
			Total:    tr.total,
			Resend:   tr.resend,
			Deadline: tr.now.Add(treeDeadline),
		})
		if res.Decision == retry.Refused {
			continue
		}
		sd := &sender{node: node, account: retry.RequestAccount(tr.request)}
		tr.senders = append(tr.senders, sd)
		tr.launch(sd, logicalCall{}, rapid.IntRange(0, 2).Draw(t, "guard"))
	}
	tr.resend++
}

func (tr *tree) upstreamCalls(t *rapid.T) {
	sd := tr.pick(t)
	if sd == nil || sd.from == nil || !tr.now.Before(sd.until) {
		return
	}
	dg := retry.Digest(rapid.IntRange(1, 6).Draw(t, "digest"))
	res := tr.step(sd.node, retry.Call{Account: sd.account, Digest: dg})
	if res.Decision != retry.Refused {
		tr.launch(sd, logicalCall{sd.account, dg}, rapid.IntRange(0, 2).Draw(t, "guard"))
	}
}

func (tr *tree) entryRetries(t *rapid.T) {
	sd := tr.pick(t)
	if sd == nil {
		return
	}
	lo := logicalCall{}
	if sd.from != nil {
		lo = logicalCall{sd.account, 1}
	}
	if tr.sends[lo] == 0 || tr.step(sd.node, retry.Retry{Account: sd.account}).Decision != retry.Charged {
		return
	}
	tr.launch(sd, lo, rapid.IntRange(0, 2).Draw(t, "guard"))
}

func (tr *tree) deliver(t *rapid.T) {
	if len(tr.flight) == 0 {
		return
	}
	i := rapid.IntRange(0, len(tr.flight)-1).Draw(t, "message")
	ms := tr.flight[i]
	if rapid.Bool().Draw(t, "last copy") {
		tr.flight = append(tr.flight[:i:i], tr.flight[i+1:]...)
	}
	switch {
	case rapid.IntRange(0, 4).Draw(t, "lost") == 0:
	case ms.answer:
		tr.step(ms.from.node, retry.Return{Account: ms.from.account, Attempt: ms.attempt, Unused: ms.carry})
	case tr.now.Sub(ms.sent) < treeLim.Retention:
		tr.arrive(ms)
	}
}

func (tr *tree) arrive(ms message) {
	res := tr.step(ms.node, retry.OpenAttempt{
		Attempt:  ms.attempt,
		Budget:   ms.carry,
		Deadline: tr.now.Add(treeDeadline),
	})
	if res.Decision == retry.FirstSend {
		tr.senders = append(tr.senders, &sender{
			node: ms.node, account: retry.AttemptAccount(ms.attempt), attempt: ms.attempt, from: ms.from,
			until: tr.now.Add(treeDeadline + treeLim.Retention),
		})
	}
}

func (tr *tree) ends(t *rapid.T) {
	sd := tr.pick(t)
	if sd == nil {
		return
	}
	unused := tr.step(sd.node, retry.Close{Account: sd.account}).Budget
	if sd.from != nil {
		tr.flight = append(tr.flight, message{
			sent: tr.now, from: sd.from, attempt: sd.attempt, carry: unused, answer: true,
		})
	}
}

func (tr *tree) gives(t *rapid.T) {
	if len(tr.flight) == 0 {
		return
	}
	ms := tr.flight[rapid.IntRange(0, len(tr.flight)-1).Draw(t, "message")]
	tr.step(ms.from.node, retry.Lost{Account: ms.from.account, Attempt: ms.attempt})
}

func (tr *tree) passes(t *rapid.T) {
	tr.now = tr.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "ms")) * time.Millisecond)
	for i := range tr.nodes {
		tr.step(i, retry.Tick{})
	}
}

func (tr *tree) pick(t *rapid.T) *sender {
	if len(tr.senders) == 0 {
		return nil
	}
	return tr.senders[rapid.IntRange(0, len(tr.senders)-1).Draw(t, "sender")]
}

func (tr *tree) check(t *rapid.T) {
	extra := 0
	for _, n := range tr.sends {
		extra += n - 1
	}
	if extra > int(tr.total) {
		t.Fatalf("%d attempts beyond first sends, total %d", extra, tr.total)
	}
	for _, lg := range tr.nodes {
		if lg.Len() > treeLim.Accounts {
			t.Fatalf("%d accounts, limit %d", lg.Len(), treeLim.Accounts)
		}
	}
}

func TestTreeStaysWithinTotal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tr := &tree{
			now:   epoch,
			rng:   rand.New(rand.NewPCG(1, 1)),
			total: retry.Budget(rapid.IntRange(0, 5).Draw(t, "total")),
			sends: make(map[logicalCall]int),
		}
		tr.request = call.NewRequestID(tr.rng)
		for i := range tr.nodes {
			tr.nodes[i] = retry.New(treeLim)
		}
		t.Repeat(map[string]func(*rapid.T){
			"caller sends":   tr.callerSends,
			"upstream calls": tr.upstreamCalls,
			"entry retries":  tr.entryRetries,
			"deliver":        tr.deliver,
			"deliver more":   tr.deliver,
			"ends":           tr.ends,
			"gives up":       tr.gives,
			"time passes":    tr.passes,
			"":               tr.check,
		})
	})
}
