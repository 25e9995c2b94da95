package node

import (
	"context"
	"net/http"

	"camphortrail/internal/state/claims"
	"camphortrail/internal/traffic/entry"
)

// claimClient claims idempotency keys from the control replicas.
type claimClient interface {
	entry.Claimer
	Run(ctx context.Context) error
}

// newClaims returns a client for the control replicas at the given addresses, or nil if
// there are none.
func newClaims(controls []string, rpc *http.Client) claimClient {
	if len(controls) == 0 {
		return nil
	}
	return claims.NewClient(controls, rpc)
}
