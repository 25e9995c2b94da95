package throttle

import "time"

// minUnreachable is the number of requests in a row that must fail, as a service of their tree
// cannot be reached, before others are refused.
const minUnreachable = 3

// unreachableLifetime is the time without a result after which a service no longer counts as
// unreachable. It is several times probeInterval.
const unreachableLifetime = 2 * time.Second

// unreachability tells whether a service of the trees of a class cannot be reached. The load
// pattern is a failure domain that is cut off, or a service whose last VM is gone: every tree does
// the work of all services above and fails. Whether there are free slots does not matter.
type unreachability struct {
	// inARow counts the requests that failed for that reason since the last success, and seenAt
	// is the time of the last one.
	inARow int
	seenAt time.Time
}

// add records the result of a request.
func (un *unreachability) add(now time.Time, rs Result) {
	switch {
	case rs.Succeeded:
		un.inARow = 0
	case rs.Unreachable:
		un.inARow++
		un.seenAt = now
	}
}

// latest reports whether requests have failed since the last success. Their trees have not met
// the services that they could not reach, so they say nothing of the load there.
func (un *unreachability) latest() bool { return un.inARow > 0 }

// active reports whether requests are refused.
func (un *unreachability) active(now time.Time) bool {
	return un.inARow >= minUnreachable && now.Sub(un.seenAt) < unreachableLifetime
}
