package main

import (
	"camphortrail/config"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/state/control"

	"github.com/apex/log"
)

// settingsFlag names the settings of a process.
type settingsFlag struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings of this process"`
}

// watchSettings checks the settings again when the process is told that they changed.
func (sf *settingsFlag) watchSettings() {
	watchReload(ctx, func() error {
		_, err := config.LoadSettings(sf.Settings)
		return err
	})
}

type nodeCommand struct{ settingsFlag }

// Execute runs a node.
func (cm *nodeCommand) Execute([]string) error {
	set, err := config.LoadSettings(cm.Settings)
	if err != nil {
		return err
	}
	nd, err := node.New(set, node.Options{Log: log.Log})
	if err != nil {
		return err
	}
	cm.watchSettings()
	return nd.Run(ctx)
}

type controlCommand struct{ settingsFlag }

// Execute runs a control replica.
func (cm *controlCommand) Execute([]string) error {
	set, err := config.LoadSettings(cm.Settings)
	if err != nil {
		return err
	}
	co, err := control.New(set, control.Options{Log: log.Log, Validate: config.Check})
	if err != nil {
		return err
	}
	cm.watchSettings()
	return co.Run(ctx)
}
