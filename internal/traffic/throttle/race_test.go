//go:build race

package throttle

// stepsSeeds is the number of seeds of the replays with steps. These run in one
// goroutine: the race detector makes them ten times slower and finds nothing in them.
const stepsSeeds = 1
