package retry

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// arrivalHalfLife is the time in which the weight of past arrivals halves. It is longer
	// than most call trees, so that what a tree needs for its next calls is known.
	arrivalHalfLife = 500 * time.Millisecond
	// refusalHalfLife is the time in which the weight of past answers halves. A guard of 900
	// sends in a second has about 300 answers in that time.
	refusalHalfLife = 250 * time.Millisecond
	// maxRefusedShare is the share of refusals above which no attempt is sent again: more than
	// ten sends would be spent on each that succeeds.
	maxRefusedShare = 0.9
	// minAnswers is the weight of answers below which the share of refusals is not known.
	minAnswers = 8
	// maxProgress bounds Rank.Progress. Longer trees count as of that length.
	maxProgress = 7
	// cohortsPerCell is the number of cohorts whose attempts are counted together.
	cohortsPerCell = 32
	cohortCells    = 256 / cohortsPerCell
	rankCells      = (int(call.MaxImportance) + 1) * (maxProgress + 1) * cohortCells
)

// Rank orders attempts by what is lost if they are not sent again.
type Rank struct {
	Importance call.Importance
	// Progress is the number of calls on the way to the attempt that are done or running: its
	// depth, and the calls that were done before it.
	Progress int
	// Cohort is the same for the calls of a request. It decides among attempts of the same
	// importance and progress, so that the same trees are carried through.
	Cohort call.Cohort
}

// position returns the position of the rank among all.
func (rk Rank) position() int {
	imp := min(int(rk.Importance), int(call.MaxImportance))
	progress := min(max(rk.Progress, 0), maxProgress)
	return (imp*(maxProgress+1)+progress)<<8 | int(rk.Cohort)
}

// SharedTotal decides which attempts that an upstream refused without running them a guard sends
// to it again. In any window of 10 s it allows at most a fraction of the first sends that arrived
// at the guard: of those in the window, in the window before, or in the one half a window before,
// whichever has most. Since each guard keeps to its own fraction, guards need no coordination.
//
// Attempts of lower rank get only what those of higher rank are not expected to need, judging by
// their arrivals and the share of refusals. Its size is fixed. It is not safe for concurrent use.
type SharedTotal struct {
	fraction float64
	sends    sendWindow
	// arrivals holds the recent arrivals by cell of rank, with arrivalHalfLife.
	arrivals [rankCells]float64
	// answers and refusals count what the upstream answered, with refusalHalfLife.
	answers, refusals float64
	// threshold is the lowest position that is sent again.
	threshold int
}

// NewSharedTotal returns a total of a fraction of the first sends.
func NewSharedTotal(fraction float64) *SharedTotal { return &SharedTotal{fraction: fraction} }

// Arrive records an attempt that arrived. isFirst is true if it is the first one for its request.
func (st *SharedTotal) Arrive(now time.Time, rk Rank, isFirst bool) {
	st.advance(now)
	st.arrivals[rk.position()/cohortsPerCell]++
	if isFirst {
		st.sends.first[st.sends.current%ringBuckets]++
	}
}

// Answered records that the upstream answered a send, and whether it refused it.
func (st *SharedTotal) Answered(now time.Time, refused bool) {
	st.advance(now)
	st.answers++
	if refused {
		st.refusals++
	}
}

// Allow reports whether a refused attempt may be sent again, and counts the further send if so.
func (st *SharedTotal) Allow(now time.Time, rk Rank) bool {
	st.advance(now)
	if st.sends.available < 1 || rk.position() < st.threshold || st.refusedShare() > maxRefusedShare {
		return false
	}
	st.sends.spend()
	return true
}

// advance moves to the time now. Once in each bucket it computes the threshold anew.
func (st *SharedTotal) advance(now time.Time) {
	if !st.sends.advance(now) {
		return
	}
	moved := st.sends.passed
	st.sends.update(st.fraction)
	st.updateThreshold()
	decayArrivals := math.Exp2(-float64(moved) * float64(sendBucket) / float64(arrivalHalfLife))
	for i := range st.arrivals {
		st.arrivals[i] *= decayArrivals
	}
	decayAnswers := math.Exp2(-float64(moved) * float64(sendBucket) / float64(refusalHalfLife))
	st.answers *= decayAnswers
	st.refusals *= decayAnswers
}

// refusedShare returns the recent share of sends that the upstream refused.
func (st *SharedTotal) refusedShare() float64 {
	if st.answers < minAnswers {
		return 0
	}
	return st.refusals / st.answers
}

// updateThreshold sets the threshold to the lowest position down to which all attempts can be
// sent again until they succeed, with the further sends that can go on for a window.
func (st *SharedTotal) updateThreshold() {
	st.threshold = 0
	share := min(st.refusedShare(), maxRefusedShare)
	if share == 0 {
		return
	}
	// The weight of one arrival in a second is that of a geometric series over buckets.
	perSecond := (1 - math.Exp2(-float64(sendBucket)/float64(arrivalHalfLife))) / sendBucket.Seconds()
	needed := share / (1 - share) * perSecond
	left := st.sends.sustainable()
	for cell := rankCells - 1; cell >= 0; cell-- {
		need := st.arrivals[cell] * needed
		if need > left {
			refused := int(math.Ceil((1 - left/need) * cohortsPerCell))
			st.threshold = cell*cohortsPerCell + refused
			return
		}
		left -= need
	}
}

const (
	firstFurtherDelay = 2 * time.Millisecond
	maxFurtherDelay   = 10 * time.Millisecond
)

// FurtherDelay returns the time between the refusal of an attempt that was sent a number of times
// and its next send. An upstream that refuses part of what it gets answers within a millisecond,
// and a call tree has little time.
func FurtherDelay(sends int) time.Duration {
	delay := firstFurtherDelay
	for range min(sends-1, 16) {
		delay += delay / 4
	}
	return min(delay, maxFurtherDelay)
}
