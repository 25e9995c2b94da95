// Package renewal runs the exchange of proofs that a configuration is recent. A node queries the
// node before it in the renewal tree of its failure domain, and the root of the tree queries the
// leader of the control replicas. The same messages carry the allowances of customers.
package renewal

import (
	"time"

	"camphortrail/schema"
)

// Allowances decides on the allowances that renewals carry. Times are of the boot clock.
type Allowances interface {
	// Demands returns what the node asks its parent for.
	Demands(now time.Time) []*schema.CustomerDemand
	// Receive takes the answer to the query that was sent at asked.
	Receive(asked, now time.Time, list []*schema.CustomerAllowance)
	// Grant answers the demands of a child.
	Grant(now time.Time, child string, list []*schema.CustomerDemand) []*schema.CustomerAllowance
}
