package shares

import (
	"cmp"
	"slices"
	"time"

	"camphortrail/call"
)

// heaviest appends the customers with the most recent requests over all importances to the list, at
// most n.
func heaviest(now time.Time, accounts []account, n int, list []call.Customer) []call.Customer {
	asked := make(map[call.Customer]float64, len(accounts))
	for i := range accounts {
		ac := &accounts[i]
		ac.age(now)
		asked[ac.key.customer] += ac.asked
	}
	all := make([]call.Customer, 0, len(asked))
	for cu := range asked {
		all = append(all, cu)
	}
	slices.SortFunc(all, func(a, b call.Customer) int {
		return cmp.Or(cmp.Compare(asked[b], asked[a]), cmp.Compare(a, b))
	})
	return append(list, all[:min(n, len(all))]...)
}
