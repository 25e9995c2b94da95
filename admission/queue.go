package admission

import (
	"time"

	"camphortrail/call"
)

const (
	// Waiting tasks are counted by group of cohorts.
	cohortGroups    = 16
	cohortsPerGroup = 256 / cohortGroups
	// From its high bits a rank holds 8 bits each of importance, cohort and depth, and 40
	// bits of the number of the arrival.
	depthShift      = 40
	cohortShift     = depthShift + 8
	importanceShift = cohortShift + 8
	arrivalMask     = 1<<depthShift - 1
)

// rank orders waiting tasks: the highest rank starts first, the lowest is refused first.
// From the high bits to the low ones it holds importance, cohort, depth and the number of
// the arrival.
type rank uint64

func rankOf(ar *Arrive, arrival uint64) rank {
	return rank(ar.Importance)<<importanceShift | rank(ar.Cohort)<<cohortShift |
		rank(ar.Depth)<<depthShift | rank(arrival&arrivalMask)
}

func (rk rank) importance() call.Importance { return call.Importance(rk >> importanceShift) }

func (rk rank) depth() call.Depth { return call.Depth(rk >> depthShift) }

func (rk rank) level() call.Level { return call.Level(rk >> cohortShift) }

// queue holds the waiting tasks by rank and by the time at which they expire.
type queue struct {
	best, worst, expiry heap
	// byImportance counts the tasks by importance, and byCohortGroup also by group of
	// cohorts.
	byImportance  [call.MaxImportance + 1]int
	byCohortGroup [call.MaxImportance + 1][cohortGroups]int
}

func (qu *queue) len() int { return qu.best.len() }

func (qu *queue) push(task int32, rk rank, expiresAt time.Duration) {
	qu.best.push(task, ^uint64(rk))
	qu.worst.push(task, uint64(rk))
	qu.expiry.push(task, uint64(expiresAt))
	qu.adjustCounts(rk, 1)
}

func (qu *queue) remove(task int32, rk rank) {
	qu.best.remove(task)
	qu.worst.remove(task)
	qu.expiry.remove(task)
	qu.adjustCounts(rk, -1)
}

func (qu *queue) adjustCounts(rk rank, change int) {
	level := rk.level()
	qu.byImportance[level.Importance()] += change
	qu.byCohortGroup[level.Importance()][level.Cohort()/cohortsPerGroup] += change
}

// countAhead returns the number of tasks that start before a new one of the given level.
// Tasks of the same importance in the same group of cohorts are not counted.
func (qu *queue) countAhead(lv call.Level) (n int) {
	for imp := lv.Importance() + 1; imp <= call.MaxImportance; imp++ {
		n += qu.byImportance[imp]
	}
	for group := int(lv.Cohort()/cohortsPerGroup) + 1; group < cohortGroups; group++ {
		n += qu.byCohortGroup[lv.Importance()][group]
	}
	return n
}

// bestTask returns the task of the highest rank.
func (qu *queue) bestTask() (task int32, rk rank) {
	en := qu.best.first()
	return en.task, rank(^en.key)
}

// worstTask returns the task of the lowest rank.
func (qu *queue) worstTask() (task int32, rk rank) {
	en := qu.worst.first()
	return en.task, rank(en.key)
}

// firstExpiry returns the task that expires first, and its time since the epoch.
func (qu *queue) firstExpiry() (task int32, expiresAt time.Duration) {
	en := qu.expiry.first()
	return en.task, time.Duration(en.key)
}
