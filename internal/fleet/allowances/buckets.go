package allowances

import (
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/internal/customers/allowance"
	"camphortrail/schema"
)

// maxGrantGap is the time without calls of Grant after which the replica is taken for a new leader
// if Lead is never called. It is more than the interval of renewals while no customer sends, and
// less than two changes of the leader usually take.
const maxGrantGap = 1500 * time.Millisecond

// Buckets issues tokens on a control replica. Its methods are safe for concurrent use.
type Buckets struct {
	mu     sync.Mutex
	bucket *allowance.Bucket
	// configuration is the one whose caps are in force.
	configuration *schema.Configuration
	// told is true if Lead was called. Otherwise term counts the times of leadership that can be
	// told apart, and lastGrant is the time of the latest call of Grant.
	told      bool
	term      uint64
	lastGrant time.Time

	demands []allowance.Demand
	grants  []allowance.Grant
}

// NewBuckets returns empty buckets.
func NewBuckets(bo allowance.Bounds) *Buckets { return &Buckets{bucket: allowance.NewBucket(bo)} }

// Lead tells that the replica leads in a term of the replicated log. It should be called before
// each Grant with the present term. The buckets of a new term begin empty, as the leader before
// may just have spent full ones. Without Lead, a new term is told by a pause in the calls of Grant:
// a replica that loses its leadership and has it again within maxGrantGap is not found out.
func (bu *Buckets) Lead(now time.Time, term uint64) {
	bu.mu.Lock()
	defer bu.mu.Unlock()
	bu.told = true
	bu.bucket.Lead(now, term)
}

// Grant answers the demands of a child with tokens under the caps of the configuration in force.
// It may only be called while the replica is the leader, and should be called also without demands.
// The answer must not be sent if the lease has ended since.
func (bu *Buckets) Grant(now time.Time, _ string, cfg *schema.Configuration, list []*schema.CustomerDemand) []*schema.CustomerAllowance {
	if cfg == nil {
		return nil
	}
	bu.mu.Lock()
	defer bu.mu.Unlock()
	if !bu.told {
		if bu.term == 0 || now.Sub(bu.lastGrant) > maxGrantGap {
			bu.term++
			bu.bucket.Lead(now, bu.term)
		}
		bu.lastGrant = now
	}
	if len(list) == 0 {
		return nil
	}
	if bu.configuration != cfg {
		bu.configuration = cfg
		bu.bucket.Configure(now, len(cfg.GetFailureDomains()), capsOf(cfg))
	}
	bu.demands = readDemands(bu.demands[:0], list)
	bu.grants = bu.bucket.Grant(now, bu.demands, bu.grants[:0])
	return writeGrants(bu.grants)
}

// capsOf returns the caps of a configuration.
func capsOf(cfg *schema.Configuration) map[call.Customer]allowance.Cap {
	caps := make(map[call.Customer]allowance.Cap, len(cfg.GetCustomers()))
	for _, cu := range cfg.GetCustomers() {
		if cu.GetRequestsPer_1000S() > 0 {
			caps[call.Customer(cu.GetName())] = allowance.Cap{
				Rate: float64(cu.GetRequestsPer_1000S()) / 1000, Burst: float64(cu.GetBurstThousandths()) / 1000,
			}
		}
	}
	return caps
}
