package retry

import "time"

const (
	// sharedWindow is the length of time over which further sends are bounded.
	sharedWindow = 10 * time.Second
	// sendBucket is the resolution of the window. The bound holds at every instant: buckets
	// that overlap a window in part count for further sends, but not for first ones.
	sendBucket = 50 * time.Millisecond
	// windowBuckets is the number of buckets in a window.
	windowBuckets = int64(sharedWindow / sendBucket)
	// ringBuckets is the number of buckets that are kept: two windows and the current bucket,
	// rounded up to a power of two.
	ringBuckets = 512
)

// sendWindow counts first and further sends in buckets of time.
type sendWindow struct {
	origin time.Time
	// current is the number of the current bucket, counted from origin.
	current int64
	// passed is the number of buckets that the last call of advance moved.
	passed  int64
	first   [ringBuckets]uint32
	further [ringBuckets]uint32
	// firstBefore and furtherBefore are scratch space of update: the sums of the buckets of the
	// last two windows before each of them, in the order of time.
	firstBefore, furtherBefore [2*windowBuckets + 2]float64
	// available is the number of further sends that are still allowed in the current bucket.
	available float64
	// leavingSoon and leavingInWindow are the further sends that leave the window within
	// soonTime and within a whole window.
	leavingSoon, leavingInWindow float64
}

const (
	// planTime is the time for which the further sends of a window are planned. A fault that
	// lasts as long gets all of them, and a longer one gets less in the rest of each window.
	planTime = 9 * time.Second
	// soonTime is the time for which what is left and what leaves the window must suffice.
	soonTime = time.Second
)

// advance moves to the bucket of the time now. It reports whether the counts have to be updated,
// because a bucket began. A time before the current bucket counts as in it.
func (sw *sendWindow) advance(now time.Time) (changed bool) {
	if sw.origin.IsZero() {
		sw.origin = now
		return true
	}
	target := int64(now.Sub(sw.origin) / sendBucket)
	if target <= sw.current {
		sw.passed = 0
		return false
	}
	sw.passed = target - sw.current
	for bucket := max(sw.current+1, target-ringBuckets+1); bucket <= target; bucket++ {
		sw.first[bucket%ringBuckets], sw.further[bucket%ringBuckets] = 0, 0
	}
	sw.current = target
	return true
}

// spend counts a further send.
func (sw *sendWindow) spend() {
	sw.available--
	sw.further[sw.current%ringBuckets]++
}

// update computes available and leaving at the start of a bucket, for a fraction of the first
// sends. A send in the current bucket n counts in all windows that begin in the buckets m =
// n-windowBuckets to n, some of which have not ended. They must keep the bound also if no further
// request arrives, so only first sends up to now count.
func (sw *sendWindow) update(fraction float64) {
	n := sw.current
	oldest := n - 2*windowBuckets
	for i := range len(sw.firstBefore) - 1 {
		bucket := oldest + int64(i)
		var first, further float64
		if bucket >= 0 && bucket <= n {
			first, further = float64(sw.first[bucket%ringBuckets]), float64(sw.further[bucket%ringBuckets])
		}
		if bucket == n {
			// The current bucket may not be over.
			first = 0
		}
		sw.firstBefore[i+1], sw.furtherBefore[i+1] = sw.firstBefore[i]+first, sw.furtherBefore[i]+further
	}
	// sum returns the sum of the buckets from begin up to, but without, end.
	sum := func(before *[2*windowBuckets + 2]float64, begin, end int64) float64 {
		at := func(bucket int64) int64 { return min(max(bucket-oldest, 0), 2*windowBuckets+1) }
		return before[at(end)] - before[at(begin)]
	}
	half := windowBuckets / 2
	for m := n - windowBuckets; m <= n; m++ {
		most := max(
			sum(&sw.firstBefore, m+1, m+windowBuckets),
			sum(&sw.firstBefore, m-windowBuckets+1, m),
			sum(&sw.firstBefore, m-half+1, m+half),
		)
		left := fraction*most - sum(&sw.furtherBefore, m, n+1)
		if m == n-windowBuckets || left < sw.available {
			sw.available = left
		}
	}
	sw.leavingSoon = sum(&sw.furtherBefore, n-windowBuckets, n-windowBuckets+int64(soonTime/sendBucket))
	sw.leavingInWindow = sum(&sw.furtherBefore, n-windowBuckets, n)
}

// sustainable returns the number of further sends in a second that are planned for: all of a window
// within planTime, as long as what is left and what leaves the window in time suffices.
func (sw *sendWindow) sustainable() float64 {
	planned := (sw.available + sw.leavingInWindow) / planTime.Seconds()
	soon := (sw.available + sw.leavingSoon) / soonTime.Seconds()
	return max(min(planned, soon), 0)
}
