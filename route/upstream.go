package route

import (
	"math"
	"time"

	"camphortrail/call"
)

const (
	// latencyDivisor is the reciprocal of the weight of a new sample in the latency of a
	// VM.
	latencyDivisor = 8
	// serviceLatencyDivisor is the reciprocal of the weight of a new sample in the latency
	// of a service.
	serviceLatencyDivisor = 32
	// latencyHalfLife is the time without answers in which the latency of a VM moves half
	// of the way to that of its service.
	latencyHalfLife = 200 * time.Millisecond
	// failurePenalty is the least latency of a failure, as a multiple of the current
	// latency of the VM.
	failurePenalty = 2
	// ejectFailures is the number of failures in a row that eject a VM.
	ejectFailures = 3
	// ejectSilence is the time without any answer after which a VM can be ejected.
	// Failures alone do not suffice, since attempts also fail at a VM that is only slow.
	ejectSilence = 100 * time.Millisecond
	// The mean duration of an ejection is minEjection at first. It doubles with each
	// further failure, at most maxDoublings times and up to maxEjection.
	minEjection  = 100 * time.Millisecond
	maxEjection  = 2 * time.Second
	maxDoublings = 5
	// warmUpStartShare is the share of the slots that counts at the start of a warm-up.
	warmUpStartShare = 0.1
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
	// warmUpFrom is the time at which the warm-up began.
	warmUpFrom instant
	// outstanding counts the attempts without an answer: index i counts those of
	// importance i or higher, since less important ones do not delay an attempt.
	outstanding [call.MaxImportance + 1]int
	// latency is an exponentially weighted moving average over the answers, in
	// nanoseconds.
	latency float64
	// latencyAt is the time of the last sample.
	latencyAt instant
	// level, delayedLevel and occupancy are those of the last answer.
	level        call.Level
	delayedLevel call.Level
	occupancy    call.Occupancy
	// answeredAt is the time of the last answer.
	answeredAt instant
	// failures counts the failures in a row since the last answer.
	failures     int
	ejectedUntil instant
	lastChosen   instant
	// placement is for placement by cost.
	placement placement
}

// addOutstanding adds change to the outstanding attempts of an importance.
func (up *upstream) addOutstanding(imp call.Importance, change int) {
	if imp == 0 || imp > call.MaxImportance {
		imp = call.MaxImportance
	}
	for at := range up.outstanding[:imp+1] {
		up.outstanding[at] = max(up.outstanding[at]+change, 0)
	}
}

// ejected reports whether the VM is left out because of failures. After its ejection it
// gets one attempt at a time until the first answer.
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

// currentLevel returns the level of the last answer, or zero if that is older than ttl.
func (up *upstream) currentLevel(now instant, ttl time.Duration) call.Level {
	if up.level == 0 || now.since(up.answeredAt) >= ttl {
		return 0
	}
	return up.level
}

// currentDelayedLevel returns the level up to which work would be delayed. If the VM
// refuses work of some level, it delays all work of that importance.
func (up *upstream) currentDelayedLevel(now instant, ttl time.Duration) call.Level {
	if now.since(up.answeredAt) >= ttl {
		return 0
	}
	if up.level == 0 {
		return up.delayedLevel
	}
	return max(up.delayedLevel, call.LevelOf(up.level.Importance(), math.MaxUint8))
}

// currentLatency returns the latency in nanoseconds, which moves towards that of the service
// while no answer comes.
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

// addLatency adds a sample to the latency.
func (up *upstream) addLatency(now instant, sample, service float64) {
	current := up.currentLatency(now, service)
	if up.latency == 0 {
		current = sample
	}
	up.latency = current + (sample-current)/latencyDivisor
	up.latencyAt = now
}

// score estimates how late the answer to an attempt would come. Only comparisons of
// scores mean anything.
func (up *upstream) score(now instant, imp call.Importance, service float64) float64 {
	weight := float64(up.slots)
	if since := now.since(up.warmUpFrom); since < up.warmUp {
		weight *= warmUpStartShare + (1-warmUpStartShare)*float64(since)/float64(up.warmUp)
	}
	return float64(up.outstanding[imp]+1) * up.currentLatency(now, service) / weight
}
