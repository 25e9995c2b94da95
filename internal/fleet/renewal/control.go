package renewal

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"camphortrail/internal/customers/freshness"
	"camphortrail/schema"
)

const (
	// maxControlQueries bounds the queries to control that wait for an answer at the same time. An
	// answer takes some milliseconds, and queries are MinQueryInterval apart.
	maxControlQueries = 4
	// repeatInterval is the time after which replicas that refused are asked again while another one
	// does not answer.
	repeatInterval = 50 * time.Millisecond
	// maxControlClients bounds the clients that are kept. Control replicas come and go.
	maxControlClients = 32
)

// ControlClient sends queries to a control replica.
type ControlClient interface {
	Renew(ctx context.Context, rq *connect.Request[schema.Renewal]) (*connect.Response[schema.RenewalAnswer], error)
}

// controlQuerier sends queries to the leader of the control replicas. It finds the leader by
// trying the replicas, and remembers it.
type controlQuerier struct {
	// list returns the addresses of the replicas. The caller may change the slice.
	list      func() []string
	newClient func(address string) ControlClient

	mu      sync.Mutex
	clients map[string]ControlClient
	// leader is the replica that answered last, or empty.
	leader string
	// timeouts is the number of queries that were not answered in time, and lastTimeout the number
	// of the last one for each replica. Replicas are tried in the order of their last timeouts, so
	// that several that are cut off do not hide the others.
	timeouts    uint64
	lastTimeout map[string]uint64
	running     int
}

func newControlQuerier(list func() []string, newClient func(address string) ControlClient) *controlQuerier {
	return &controlQuerier{list: list, newClient: newClient, clients: make(map[string]ControlClient), lastTimeout: make(map[string]uint64)}
}

// start sends a query in the background, and passes the answer to done, or nil if no replica
// answers within freshness.AnswerTimeout. It returns false if too many queries wait already.
func (cq *controlQuerier) start(ctx context.Context, msg *schema.Renewal, done func(*schema.RenewalAnswer)) bool {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	if cq.running >= maxControlQueries {
		return false
	}
	cq.running++
	go func() {
		an := cq.query(ctx, msg)
		cq.mu.Lock()
		cq.running--
		cq.mu.Unlock()
		done(an)
	}()
	return true
}

// query asks the replicas one after the other until one answers. A replica that does not lead
// refuses at once. One that did not answer in time before is asked beside the others, which are
// asked again meanwhile: after the loss of a leader, another one may be elected at any moment.
func (cq *controlQuerier) query(ctx context.Context, msg *schema.Renewal) *schema.RenewalAnswer {
	ctx, stop := context.WithTimeout(ctx, freshness.AnswerTimeout)
	defer stop()
	tried, pending := make(map[string]bool), make(map[string]bool)
	results := make(chan result, maxControlClients)
	for ctx.Err() == nil {
		address := cq.next(tried)
		switch {
		case address != "" && cq.isSuspect(address) && len(pending) < maxControlClients:
			tried[address], pending[address] = true, true
			go func() { results <- result{address, cq.ask(ctx, address, msg)} }()
		case address != "":
			tried[address] = true
			if an := cq.ask(ctx, address, msg); an != nil {
				return an
			}
		case len(pending) == 0:
			return nil
		default:
			select {
			case rs := <-results:
				if rs.answer != nil {
					return rs.answer
				}
				delete(pending, rs.address)
			case <-time.After(repeatInterval):
				tried = maps.Clone(pending)
			case <-ctx.Done():
			}
		}
	}
	return nil
}

// result is the answer of a replica, or nil.
type result struct {
	address string
	answer  *schema.RenewalAnswer
}

// ask asks one replica. It returns nil if the replica refuses or does not answer in time.
func (cq *controlQuerier) ask(ctx context.Context, address string, msg *schema.Renewal) *schema.RenewalAnswer {
	rs, err := cq.client(address).Renew(ctx, connect.NewRequest(msg))
	cq.note(address, err == nil, ctx.Err() != nil)
	if err != nil {
		return nil
	}
	return rs.Msg
}

// isSuspect reports whether a replica has not answered since a query to it was not answered in time.
func (cq *controlQuerier) isSuspect(address string) bool {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	return cq.lastTimeout[address] > 0
}

// next returns the replica to try next, or an empty address. It is the leader, if it is known.
func (cq *controlQuerier) next(tried map[string]bool) string {
	cq.mu.Lock()
	leader := cq.leader
	cq.mu.Unlock()
	if leader != "" && !tried[leader] {
		return leader
	}
	list := slices.DeleteFunc(cq.list(), func(address string) bool { return tried[address] })
	if len(list) == 0 {
		return ""
	}
	cq.mu.Lock()
	defer cq.mu.Unlock()
	return slices.MinFunc(list, func(a, b string) int { return cmp.Compare(cq.lastTimeout[a], cq.lastTimeout[b]) })
}

// note remembers the leader, and a replica that did not answer in time.
func (cq *controlQuerier) note(address string, answered, timedOut bool) {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	switch {
	case answered:
		cq.leader = address
		delete(cq.lastTimeout, address)
		return
	case timedOut:
		if len(cq.lastTimeout) >= maxControlClients {
			clear(cq.lastTimeout)
		}
		cq.timeouts++
		cq.lastTimeout[address] = cq.timeouts
	}
	if cq.leader == address {
		cq.leader = ""
	}
}

// leaderAddress returns the address of the replica that answered last, or an empty address.
func (cq *controlQuerier) leaderAddress() string {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	return cq.leader
}

// client returns the client of a replica.
func (cq *controlQuerier) client(address string) ControlClient {
	cq.mu.Lock()
	defer cq.mu.Unlock()
	cl := cq.clients[address]
	if cl == nil {
		if len(cq.clients) >= maxControlClients {
			clear(cq.clients)
		}
		cl = cq.newClient(address)
		cq.clients[address] = cl
	}
	return cl
}
