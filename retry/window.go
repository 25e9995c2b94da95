package retry

import "time"

// Window bounds further sends by a fraction of the first ones, and a slack, in any window of 10 s.
// What counts is the first sends in the window, in the window before, or in the one half a window
// before, whichever has most. Unlike that of Ratio, the bound holds for every window of that
// length, also while the number of requests falls. It is not safe for concurrent use.
type Window struct {
	fraction, slack float64
	sends           sendWindow
}

// NewWindow returns a window that allows per further sends for 100 first ones.
func NewWindow(per Percent) *Window { return &Window{fraction: float64(per) / 100} }

// SetPercent changes the percentage and retains the history.
func (wn *Window) SetPercent(per Percent) { wn.fraction = float64(per) / 100 }

// SetSlack changes the number of further sends that are allowed without first ones, and retains
// the history.
func (wn *Window) SetSlack(slack float64) { wn.slack = slack }

// FirstSend records the first send of a request.
func (wn *Window) FirstSend(now time.Time) {
	wn.advance(now)
	wn.sends.first[wn.sends.current%ringBuckets]++
}

// Available reports whether a further send is within the bound. A percentage of zero allows none.
func (wn *Window) Available(now time.Time) bool {
	wn.advance(now)
	return wn.fraction != 0 && wn.sends.available+wn.slack >= 1
}

// Allow reports whether a further send is within the bound, and counts it if so.
func (wn *Window) Allow(now time.Time) bool {
	if !wn.Available(now) {
		return false
	}
	wn.sends.spend()
	return true
}

func (wn *Window) advance(now time.Time) {
	if wn.sends.advance(now) {
		wn.sends.update(wn.fraction)
	}
}
