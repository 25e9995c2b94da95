package entry

import (
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/config"
	"camphortrail/internal/traffic/calltree"
	"camphortrail/retry"
)

// The retries of an entry must stay within its part of the bound in any 10 s, also right after a
// start and with many nodes. Without a retry slack there is no such bound.
func TestRetryWindowOfEntry(t *testing.T) {
	const svc call.Service = "deep"
	cd := &config.Compiled{Services: []config.Service{{Name: svc, RetryRatioPercent: 5}}}
	open := New(Options{Trees: calltree.New(retry.DefaultLimits())})
	open.SetConfiguration(cd)
	if len(open.windows) > 0 {
		t.Error("retries are bounded without a slack")
	}
	en := New(Options{Trees: calltree.New(retry.DefaultLimits()), RetrySlack: 12})
	en.SetNodeCount(2)
	en.SetConfiguration(cd)
	allowed := func() (n int) {
		for en.windows[svc].Allow(time.Now()) {
			n++
		}
		return n
	}
	if got := allowed(); got != 6 {
		t.Errorf("%d retries without first sends at one of 2 nodes, want half of the slack of 12", got)
	}
	en.SetNodeCount(12)
	if got := allowed(); got != 0 {
		t.Errorf("%d more retries at one of 12 nodes, want none", got)
	}
}
