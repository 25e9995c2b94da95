package soak

import (
	"fmt"
	"net/http"
)

// CheckPromises checks the rules TWICE and REFUSED: a request that is not idempotent runs at most
// once, and has not run if its answer promises that.
func CheckPromises(events []Event) []Finding {
	hi := newHistory(events, nil)
	var findings []Finding
	for _, fa := range hi.fates {
		if !fa.Kind.RunsOnce() {
			continue
		}
		runs := 0
		for _, ar := range fa.arrivals {
			if !ar.NotRun {
				runs++
			}
		}
		if runs > 1 {
			findings = append(findings, Finding{Twice, hi.describe(fa)})
		}
		if runs > 0 && fa.answer != nil && promisesNotRun(fa.answer.Status) {
			findings = append(findings, Finding{Refused, fmt.Sprintf("answered %d: %s", fa.answer.Status, hi.describe(fa))})
		}
	}
	return findings
}

// promisesNotRun reports whether a status promises that the request has not run and never will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
