// Package fuzzing makes property-based tests repeatable: every run draws the same cases,
// and a failure leaves no file behind.
package fuzzing

import (
	"flag"
	"strconv"
)

// SetFlags sets the flags of package rapid: a fixed seed, no failure files, the number of
// checks, and the number of steps in each check. 0 keeps the default of rapid. Call it
// from the init function of a test: flags on the command line are parsed later and
// override it.
func SetFlags(checks, steps int) {
	values := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	if checks > 0 {
		values["rapid.checks"] = strconv.Itoa(checks)
	}
	if steps > 0 {
		values["rapid.steps"] = strconv.Itoa(steps)
	}
	for name, value := range values {
		if err := flag.Set(name, value); err != nil {
			panic("fuzzing: " + err.Error())
		}
	}
}
