package allowance

import (
	"time"

	"camphortrail/call"
)

// maxFillTime bounds the time for which an empty bucket fills before nodes ask again.
const maxFillTime = 40 * time.Millisecond

// Bucket holds the token buckets of all customers with a cap. It belongs to the leader of the
// control replicas.
type Bucket struct {
	bo Bounds
	// term is the term of leadership, and led the time at which the replica began to lead.
	// All buckets were empty then.
	term    uint64
	led     time.Time
	domains int
	levels  map[call.Customer]*level
}

// level is the bucket of one customer.
type level struct {
	cap    Cap
	tokens float64
	at     time.Time
	// gone is the time at which the customer was removed or lost its cap, or zero.
	gone time.Time
}

// NewBucket returns buckets of no customer. Lead must be called before Grant.
func NewBucket(bo Bounds) *Bucket {
	return &Bucket{bo: bo, levels: make(map[call.Customer]*level)}
}

// Lead tells that the replica leads in a term. If the term is a new one, all buckets are empty:
// the leader before may have issued a full bucket just now. Terms begin at 1 and never fall, so
// that a lower one is old news.
func (bu *Bucket) Lead(now time.Time, term uint64) {
	if term <= bu.term {
		return
	}
	bu.term, bu.led = term, now
	for _, le := range bu.levels {
		le.tokens, le.at = 0, now
	}
}

// Configure sets the caps of all customers and the number of failure domains. Customers that
// have no cap may be left out.
func (bu *Bucket) Configure(now time.Time, domains int, caps map[call.Customer]Cap) {
	for name, le := range bu.levels {
		bu.fill(now, le)
		if _, ok := caps[name]; ok {
			continue
		}
		// A customer that returns soon must not find a full bucket after it spent one.
		if le.gone.IsZero() {
			le.gone, le.cap.Rate = now, 0
		} else if now.Sub(le.gone) > idleTime {
			delete(bu.levels, name)
		}
	}
	bu.domains = domains
	for name, cp := range caps {
		if cp.Rate <= 0 {
			continue
		}
		le := bu.levels[name]
		if le == nil {
			le = &level{at: bu.led}
			bu.levels[name] = le
		}
		le.cap, le.gone = cp, time.Time{}
		bu.fill(now, le)
	}
}

// fill adds what came into a bucket since it was filled before.
func (bu *Bucket) fill(now time.Time, le *level) {
	if passed := now.Sub(le.at); passed > 0 {
		le.tokens += bu.bo.rate(le.cap) * passed.Seconds()
		le.at = now
	}
	le.tokens = min(le.tokens, bu.bo.depth(le.cap, bu.domains))
}

// Grant issues tokens for demands and appends the answers to out.
func (bu *Bucket) Grant(now time.Time, demands []Demand, out []Grant) []Grant {
	for _, de := range demands {
		out = append(out, bu.grant(now, de))
	}
	return out
}

// grant issues tokens for one demand.
func (bu *Bucket) grant(now time.Time, de Demand) Grant {
	le := bu.levels[de.Customer]
	if le == nil || !le.gone.IsZero() {
		return Grant{Customer: de.Customer, Uncapped: true}
	}
	bu.fill(now, le)
	gr := Grant{Customer: de.Customer, Requests: min(de.Requests, uint32(le.tokens))}
	le.tokens -= float64(gr.Requests)
	if gr.Requests < de.Requests {
		gr.RetryAfter = bu.retryAfter(le)
	}
	return gr
}

// retryAfter returns the time until there are tokens again. While a deep bucket fills, that is
// longer than until the next token, so that fewer queries fetch more.
func (bu *Bucket) retryAfter(le *level) time.Duration {
	perSecond := bu.bo.rate(le.cap)
	next := time.Duration((1 - le.tokens) / perSecond * float64(time.Second))
	quarter := time.Duration(bu.bo.depth(le.cap, bu.domains) / 4 / perSecond * float64(time.Second))
	return max(next, min(quarter, maxFillTime))
}
