package main

import (
	"camphortrail/config"
	"camphortrail/internal/fleet/node"
	"camphortrail/internal/state/control"

	"github.com/apex/log"
)

// settingsFlag is the flag with the settings file of a process.
type settingsFlag struct {
	Settings string `long:"settings" required:"true" value-name:"FILE" description:"JSON file with the settings of this process"`
}

// watchSettings checks the settings file after each change and at each SIGHUP. Changes are in
// force from the next start: a running process already knows the members of the deployment, and
// its addresses must not change.
func (sf *settingsFlag) watchSettings() {
	watchReload(ctx, sf.Settings, func() error {
		_, err := config.LoadSettings(sf.Settings)
		return err
	})
}

// nodeCommand is the command node.
type nodeCommand struct{ settingsFlag }

// Execute runs a node until the context of the commands ends.
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

// controlCommand is the command control.
type controlCommand struct{ settingsFlag }

// Execute runs a control replica until the context of the commands ends.
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
