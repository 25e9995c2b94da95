package main

import (
	"os"

	"camphortrail/internal/lab/demo"
	"camphortrail/internal/lab/measure"
)

// demoCommand is the command demo.
type demoCommand struct{}

// Execute runs the demonstration and prints its progress.
func (cm *demoCommand) Execute([]string) error { return demo.Run(ctx, os.Stdout) }

// measureCommand is the command measure.
type measureCommand struct {
	Arguments struct {
		Scenario string `positional-arg-name:"SCENARIO" description:"surge, slow-deep, silent, faults, latency, rollout, failover, partition or spread"`
	} `positional-args:"true" required:"true"`
	Seconds int    `long:"seconds" default:"30" description:"length of the run over all arms, in seconds"`
	Seed    uint64 `long:"seed" default:"1" description:"seed of arrivals and choices"`
}

// Execute runs a scenario and prints its results.
func (cm *measureCommand) Execute([]string) error {
	return measure.Run(ctx, measure.Options{
		Scenario: cm.Arguments.Scenario, Seconds: cm.Seconds, Seed: cm.Seed,
	}, os.Stdout)
}
