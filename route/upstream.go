package route

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// latencyWeight is the divisor of a new sample in the latency of a VM.
	latencyWeight = 8
	// serviceLatencyWeight is the divisor of a new sample in the latency of
	// a service.
	serviceLatencyWeight = 32
	// latencyHalfLife is the time without answers in which the latency of a
	// VM comes half the way to that of its service.
	latencyHalfLife = 200 * time.Millisecond
	// failurePenalty is the latency that a failure counts for, as a multiple
	// of the current one.
	failurePenalty = 2
	// ejectFailures is the number of failures in a row that eject a VM.
	ejectFailures = 3
	// ejectSilence is the time without any answer that ejects a VM, since
	// attempts also fail at one that is only slow.
	ejectSilence = 100 * time.Millisecond
	minEjection  = 100 * time.Millisecond
	maxEjection  = 2 * time.Second
	maxDoublings = 5
	// warmUpStart is the share of the slots counted at the start of a
	// warm-up.
	warmUpStart = 0.1
)

// upstream is one VM of a service.
type upstream struct {
	vm          call.VM
	domain      call.FailureDomain
	tier        tier
	slots       int
	draining    bool
	suspect     bool
	incarnation uint64
	warmUp      time.Duration
	since       instant
	// outstanding counts the attempts without an answer, by lowest
	// importance: less important ones do not delay an attempt.
	outstanding [call.MaxImportance + 1]int
	// latency is the moving mean of the answers, in nanoseconds.
	latency   float64
	latencyAt instant
	level     call.Level
	pressure  call.Level
	occupancy call.Occupancy
	// levelAt is the time of the last answer.
	levelAt instant
	// failures counts the last failures in a row.
	failures     int
	ejectedUntil instant
	lastChosen   instant
}

// count adds change to the outstanding attempts of an importance.
func (up *upstream) count(imp call.Importance, change int) {
	if imp == 0 || imp > call.MaxImportance {
		imp = call.MaxImportance
	}
	for at := range up.outstanding[:imp+1] {
		up.outstanding[at] = max(up.outstanding[at]+change, 0)
	}
}

// ejected reports whether the VM is left out because of failures. After its
// time it gets one attempt at once until the first answer.
func (up *upstream) ejected(now instant) bool {
	if now < up.ejectedUntil {
		return true
	}
	return up.failures >= ejectFailures && up.ejectedUntil != never && up.outstanding[0] > 0
}

// usable reports whether the VM is reachable and takes new work.
func (up *upstream) usable(now instant) bool {
	return !up.draining && !up.suspect && !up.ejected(now)
}

func (up *upstream) currentLevel(now instant, life time.Duration) call.Level {
	if up.level == 0 || now.since(up.levelAt) >= life {
		return 0
	}
	return up.level
}

// currentPressure returns the level up to which work would be delayed. A
// level counts for the whole importance that it is part of.
func (up *upstream) currentPressure(now instant, life time.Duration) call.Level {
	if now.since(up.levelAt) >= life {
		return 0
	}
	if up.level == 0 {
		return up.pressure
	}
	return max(up.pressure, call.LevelOf(up.level.Importance(), math.MaxUint8))
}

// currentLatency returns the latency, drawn to that of the service while no
// answer comes.
func (up *upstream) currentLatency(now instant, service float64) float64 {
	if up.latency == 0 {
		return max(service, 1)
	}
	age := now.since(up.latencyAt)
	if age < latencyHalfLife {
		return up.latency
	}
	return service + math.Ldexp(up.latency-service, -int(age/latencyHalfLife))
}

func (up *upstream) addLatency(now instant, sample, service float64) {
	current := up.currentLatency(now, service)
	if up.latency == 0 {
		current = sample
	}
	up.latency = current + (sample-current)/latencyWeight
	up.latencyAt = now
}

// score estimates how late an attempt would be answered, for comparison.
func (up *upstream) score(now instant, imp call.Importance, service float64) float64 {
	weight := float64(up.slots)
	if since := now.since(up.since); since < up.warmUp {
		weight *= warmUpStart + (1-warmUpStart)*float64(since)/float64(up.warmUp)
	}
	return float64(up.outstanding[imp]+1) * up.currentLatency(now, service) / weight
}
