package main

import (
	"os"
	"runtime/debug"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"

	"camphortrail/admission"
	"camphortrail/config"
	"camphortrail/internal/fleet/allowances"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/lab/soak/faultdisk"
	"camphortrail/internal/state/control"
	"camphortrail/platform"
	"camphortrail/store"
)

const (
	// heapMemoryPercent is the memory limit of the Go runtime, in percent of the memory of
	// the VM. The rest is for what the limit does not include: the program itself and the
	// buffers of sockets.
	heapMemoryPercent = 60
	// maxHeapGrowthPercent is how far the heap of a busy node may grow over its live part
	// before it is collected, in percent of that part. The limit of heapMemoryPercent
	// applies as well.
	maxHeapGrowthPercent = 400
	// freeSlotDivisor sets the slots of an upstream that stay free to 1/freeSlotDivisor:
	// some of the platform's upstreams slow down when they are nearly full.
	freeSlotDivisor = 16
	// answerMemoryDivisor bounds the answers that are being read to 1/answerMemoryDivisor of
	// the memory of the VM.
	answerMemoryDivisor = 8
	// linkMemoryDivisor bounds what is queued for other nodes to 1/linkMemoryDivisor of the
	// memory of the VM. The queue of a link holds a frame of any size.
	linkMemoryDivisor = 8
	// stopNotice is the time for which a stopping node still serves requests. The platform
	// stops sending requests to it after two failed readiness checks, 1 s apart.
	stopNotice = 2500 * time.Millisecond
	// stopDrain is the time in which the upstream gets no new work, after the requests of
	// callers have ended. It is longer than 200 nodes take to learn of the drain.
	stopDrain = time.Second
	// stopReserve is the part of the grace time that is left for the process to exit.
	stopReserve = 800 * time.Millisecond
	// stopLateTime is the part of it that a process may use that acted late on its SIGTERM.
	stopLateTime = 400 * time.Millisecond
)

// loadPlatformSettings reads the settings file of the platform, sends the log to standard
// output and sets the memory limit of the runtime.
func loadPlatformSettings() (*platform.Settings, error) {
	log.SetHandler(jsonlog.New(os.Stdout))
	set, err := platform.LoadSettings(os.Getenv(platform.SettingsVariable))
	if err == nil {
		debug.SetMemoryLimit(set.MemoryMB << 20 * heapMemoryPercent / 100)
	}
	return set, err
}

// watchPlatformSettings passes the settings of the platform to apply after each change and at
// each SIGHUP.
func watchPlatformSettings(apply func(newer *platform.Settings)) {
	path := os.Getenv(platform.SettingsVariable)
	watchReload(ctx, path, func() error {
		newer, err := platform.LoadSettings(path)
		if err == nil {
			apply(newer)
		}
		return err
	})
}

// platformNodeCommand is the command platform-node.
type platformNodeCommand struct{}

// Execute runs a node with the settings of the platform.
func (cm *platformNodeCommand) Execute([]string) error {
	set, err := loadPlatformSettings()
	if err != nil {
		return err
	}
	nd, err := node.New(set.NodeSettings(), node.Options{
		Log: log.Log, ClientMemory: set.ClientMemory(), MaxQueuedBytes: set.MemoryMB << 20 / linkMemoryDivisor,
		BindIP: set.PeerBindIP(), NewCallerServer: set.NewCallerServer, UpstreamProtocol: platform.UpstreamProtocol{}, RetrySlack: set.RetrySlack,
		RetryRatio: set.GuardRetryRatio(), PlaceByCost: set.Placement == platform.PlacementByCost,
		Events: os.Stdout, Admission: admission.Settings{FreeSlotDivisor: freeSlotDivisor},
		MaxBufferedBytes: set.MemoryMB << 20 / answerMemoryDivisor, MaxHeapGrowthPercent: maxHeapGrowthPercent,
		RevocationBound: set.RevocationBound(), UsageBounds: set.UsageBounds(), UpstreamDrainPeriod: set.UpstreamDrainPeriod(), FirstStart: set.FirstStart,
		Endpoints: []node.Endpoint{
			{Address: set.ReadinessAddress, Handler: set.NewReadinessHandler},
			{Address: set.ControlAddress, Handler: set.NewReportHandler},
		},
		Stop: node.StopPlan{NoticePeriod: stopNotice, DrainPeriod: stopDrain, FinishTimeout: set.Grace() - stopNotice - stopReserve, LateTime: stopLateTime, AcceptCallers: true},
	})
	if err != nil {
		return err
	}
	watchPlatformSettings(func(newer *platform.Settings) { set.Update(nd, newer) })
	return nd.Run(ctx)
}

// platformControlCommand is the command platform-control.
type platformControlCommand struct{}

// Execute runs a control replica with the settings of the platform.
func (cm *platformControlCommand) Execute([]string) error { return runPlatformControl(nil) }

// platformControlFaultsCommand is the command platform-control-faults, which only tests of
// processes start.
type platformControlFaultsCommand struct{}

// Execute runs a control replica on a disk with faults; see package faultdisk.
func (cm *platformControlFaultsCommand) Execute([]string) error {
	return runPlatformControl(faultdisk.Wrap)
}

// runPlatformControl runs a control replica whose data folder is wrapped, unless wrap is nil.
func runPlatformControl(wrap store.WrapFolder) error {
	set, err := loadPlatformSettings()
	if err != nil {
		return err
	}
	buckets := allowances.NewBuckets(set.UsageBounds())
	co, err := control.New(set.ControlSettings(), control.Options{
		Log: log.Log, Validate: config.Check, Elastic: true, Voters: set.Voters(),
		Lead: buckets.Lead, Grant: buckets.Grant, BindIP: set.PeerBindIP(), WrapFolder: wrap,
		Endpoints: []control.Endpoint{{Address: set.ControlAddress, Handler: set.NewOperatorHandler}},
	})
	if err != nil {
		return err
	}
	watchPlatformSettings(func(*platform.Settings) {})
	return co.Run(ctx)
}
