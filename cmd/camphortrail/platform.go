package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"camphortrail/admission"
	"camphortrail/config"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/state/control"
	"camphortrail/platform"
)

const (
	// heapMemoryPercent is the part of a machine's memory, in percent, that the
	// runtime keeps the heap within; the rest is for stacks, sockets and the
	// program.
	heapMemoryPercent = 60
	// maxHeapGrowthPercent is how far the heap of a busy node grows over what lives on it
	// before it is collected, in percent, within heapShare.
	maxHeapGrowthPercent = 400
	// freeSlotDivisor is the part of the slots of an upstream, 1 in so many, that is
	// left free: some of the platform's upstreams slow down when they are nearly
	// full.
	freeSlotDivisor = 16
	// answerMemoryDivisor is the part of a machine's memory, 1 in so many, that bodies of
	// answers take while they are read; buffers that grow take up to three times it.
	answerMemoryDivisor = 16
	// stopNotice is the time for which a stopping node serves on. The
	// platform takes it out after two questions a second apart.
	stopNotice = 2500 * time.Millisecond
	// stopDrain is the end of the notice in which the upstream gets no new work:
	// longer than 200 nodes take to learn that (docs/CAPACITY.md).
	stopDrain = time.Second
	// stopReserve is kept of the grace time for the end of the process.
	stopReserve = 800 * time.Millisecond
)

// loadPlatformSettings reads the settings that the platform has laid out.
func loadPlatformSettings() (*platform.Settings, error) {
	log.SetHandler(jsonlog.New(os.Stdout))
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err == nil {
		debug.SetMemoryLimit(set.MemoryMB << 20 * heapMemoryPercent / 100)
	}
	return set, err
}

// checkPlatformSettings reads the settings again.
func checkPlatformSettings() error {
	_, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	return err
}

type platformNodeCommand struct{}

// Execute runs a node on the platform.
func (cm *platformNodeCommand) Execute([]string) error {
	set, err := loadPlatformSettings()
	if err != nil {
		return err
	}
	nd, err := node.New(set.NodeSettings(), node.Options{
		Log: log.Log, NewCallerServer: set.NewCallerServer, UpstreamProtocol: platform.UpstreamProtocol{}, RetrySlack: set.RetrySlack,
		Events: os.Stdout, Admission: admission.Settings{FreeSlotDivisor: freeSlotDivisor},
		MaxBufferedBytes: set.MemoryMB << 20 / answerMemoryDivisor, MaxHeapGrowthPercent: maxHeapGrowthPercent,
		Endpoints: []node.Endpoint{
			{Address: set.ReadinessAddress, Handler: set.NewReadinessHandler},
			{Address: set.ControlAddress, Handler: set.NewReportHandler},
		},
		Stop: node.StopPlan{NoticePeriod: stopNotice, DrainPeriod: stopDrain, FinishTimeout: set.Grace() - stopNotice - stopReserve, AcceptCallers: true},
	})
	if err != nil {
		return err
	}
	watchReload(ctx, checkPlatformSettings)
	return nd.Run(ctx)
}

type platformControlCommand struct{}

// Execute runs a control replica on the platform.
func (cm *platformControlCommand) Execute([]string) error {
	set, err := loadPlatformSettings()
	if err != nil {
		return err
	}
	co, err := control.New(set.ControlSettings(), control.Options{
		Log: log.Log, Validate: config.Check, Elastic: true,
		Endpoints: []control.Endpoint{{Address: set.ControlAddress, Handler: set.NewOperatorHandler}},
	})
	if err != nil {
		return err
	}
	watchReload(ctx, checkPlatformSettings)
	return co.Run(ctx)
}
