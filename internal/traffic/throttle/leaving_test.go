package throttle

import (
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/allocation"
)

// TestLeavingCallersDoNotProlongRefusals guards against refusals for failures that keep up by
// themselves while callers leave: a caller that leaves is no failure, but the refusals of one
// second must not outnumber the successes of the next for that reason.
func TestLeavingCallersDoNotProlongRefusals(t *testing.T) {
	const (
		interval  = 100 * time.Millisecond
		treeTime  = 6
		recovery  = 5 * time.Second
		length    = 15 * time.Second
		leaveRate = 0.4
	)
	for seed := range uint64(4) {
		ctl, now, rng := New(), time.Unix(0, 0), rand.New(rand.NewPCG(seed, seed))
		fo := []call.FanOut{{Service: service0, Class: lookUp, Calls: 1, Occupancy: 100}}
		for range 6 {
			ctl.Admit(now, Request{Class: lookUp, Importance: 5}, 1)
			ctl.LearnCalls(now, lookUp, fo)
			ctl.Finish(now, lookUp, Result{Occupancy: 100})
		}
		var inFlight [treeTime]bool
		refused, asked := 0, 0
		for at := range int(length / interval) {
			now = now.Add(interval)
			ctl.SetGrant(now, service0, allocation.Grant{Shares: allocation.FullShares(), Slots: 1})
			if slot := &inFlight[at%treeTime]; *slot {
				*slot = false
				if rng.Float64() < leaveRate {
					ctl.CallerLeft(now, lookUp, Result{}, false)
				} else {
					ctl.Finish(now, lookUp, Result{Succeeded: true, Occupancy: 100, Took: treeTime * interval})
				}
			}
			de := ctl.Admit(now, Request{Class: lookUp, Importance: 5}, rng.Float64())
			inFlight[at%treeTime] = de.Admitted
			if now.Sub(time.Unix(0, 0)) < recovery {
				continue
			}
			if asked++; de.By == Failures {
				refused++
			}
		}
		if float64(refused) > maxAbortedRatio*float64(asked) {
			t.Errorf("seed %d: %d of %d requests refused for failures, though none has failed for %v", seed, refused, asked, recovery)
		}
	}
}

// TestSuccessRatioFollowsStep guards against a minimum share that stays raised for seconds, at the
// cost of the more important classes, after requests that a step of the capacity has broken: all
// requests of a second fail, and all later ones succeed.
func TestSuccessRatioFollowsStep(t *testing.T) {
	const interval, failing = 40 * time.Millisecond, time.Second
	ctl, begun := New(), time.Unix(0, 0)
	for at := time.Duration(0); at <= failing+stepTime; at += interval {
		now := begun.Add(at)
		ctl.Admit(now, Request{Class: lookUp, Importance: 5}, 1)
		ctl.Finish(now, lookUp, Result{Succeeded: at >= failing})
	}
	// No request is refused for failures from this ratio on.
	const want = 1 / successMultiplier
	if st := ctl.Stats(begun.Add(failing+stepTime), lookUp); st.SuccessRatio < want {
		t.Errorf("success ratio %.2f, %v after the last failure", st.SuccessRatio, stepTime)
	}
}

// TestRefusalsForFailuresEndSoonAfterStep guards against refusing a large part of what guards
// grant for seconds after failures that have ended: all requests of half a second fail, as in a
// step of the capacity, and all that are admitted later succeed.
func TestRefusalsForFailuresEndSoonAfterStep(t *testing.T) {
	const (
		interval = 40 * time.Millisecond
		treeTime = 15
		failing  = 500 * time.Millisecond
		length   = 6 * time.Second
	)
	fo := []call.FanOut{{Service: service0, Class: lookUp, Calls: 1, Occupancy: 100}}
	for seed := range uint64(4) {
		ctl, begun, rng := New(), time.Unix(0, 0), rand.New(rand.NewPCG(seed, seed))
		var inFlight [treeTime]bool
		var admittedAt [treeTime]time.Time
		refused, asked := 0, 0
		for at := range int(length / interval) {
			now := begun.Add(time.Duration(at) * interval)
			ctl.SetGrant(now, service0, allocation.Grant{Shares: allocation.FullShares(), Slots: 1})
			slot := at % treeTime
			if inFlight[slot] {
				ctl.Finish(now, lookUp, Result{Succeeded: admittedAt[slot].Sub(begun) >= failing, Occupancy: 100, Took: now.Sub(admittedAt[slot])})
				ctl.LearnCalls(now, lookUp, fo)
			}
			de := ctl.Admit(now, Request{Class: lookUp, Importance: 5}, rng.Float64())
			inFlight[slot], admittedAt[slot] = de.Admitted, now
			if now.Sub(begun) < failing+treeTime*interval+stepTime {
				continue
			}
			if asked++; de.By == Failures {
				refused++
			}
		}
		if float64(refused) > maxAbortedRatio*float64(asked) {
			t.Errorf("seed %d: %d of %d requests refused for failures, later than %v after the last one", seed, refused, asked, stepTime)
		}
	}
}

// slowMesh returns a mesh with one VM that is as slow as the slowest of a service, so that
// look-ups take longer than an issue may wait. Issues are sent behind a fraction of the look-ups.
func slowMesh() meshShape {
	shape := smallMesh(1, 1)
	shape.pipelined = 0.3
	for i := range shape.kinds {
		shape.kinds[i].call = shape.kinds[i].call * 8 / 5
	}
	return shape
}

// TestBlockedRequestsAreServed guards against admitting look-ups for whose answers issues wait
// past their deadlines while other look-ups are refused: the caller then closes the connection,
// and both are lost.
func TestBlockedRequestsAreServed(t *testing.T) {
	for seed := range uint64(2) {
		ms := replay("slow VM, pipelined", slowMesh(), seed)
		ct := ms.counts[lookUp]
		t.Logf("seed %d: look-ups %+v, issues %+v, releases %+v", seed, *ct, *ms.counts[issue], *ms.counts[release])
		if most := maxAbortedRatio * float64(ct.inTarget+ct.late+ct.aborted+ct.left); float64(ct.left) > most {
			t.Errorf("seed %d: callers left %d look-ups, want at most %.0f", seed, ct.left, most)
		}
		is := ms.counts[issue]
		if float64(is.inTarget) < minImportantRatio*float64(is.asked) {
			t.Errorf("seed %d: %d of %d issues served in time", seed, is.inTarget, is.asked)
		}
	}
}

// TestMeanDurationIsKnownAfterStart guards against requests that block others being admitted for
// seconds after a start, because their mean duration only approaches the true one from zero.
func TestMeanDurationIsKnownAfterStart(t *testing.T) {
	const took, blocks = 600 * time.Millisecond, 400 * time.Millisecond
	ctl, now := New(), time.Unix(0, 0)
	rq := Request{Class: lookUp, Importance: 5}
	ctl.Admit(now, rq, 1)
	ctl.Finish(now, lookUp, Result{Succeeded: true, Took: took})
	de := ctl.Admit(now, rq, 1)
	rq.Blocks = blocks
	if ctl.Confirm(now, rq, de).Admitted {
		t.Errorf("a request of %v is admitted that blocks another, which waits for %v", took, blocks)
	}
	if st := ctl.Stats(now, lookUp); st.MeanDuration != took {
		t.Errorf("mean duration %v after one of %v", st.MeanDuration, took)
	}
}
