//go:build race

package throttle

// stepsSeeds is the number of seeds of the replays with steps, which run in one
// goroutine: the race detector makes them ten times longer and finds nothing in them.
const stepsSeeds = 1
