//go:build !race

package throttle

// stepsSeeds is the number of seeds of the replays with steps.
const stepsSeeds = 2
