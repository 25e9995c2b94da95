package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"camphortrail/internal/lab/soak"
)

// errFindings is returned if a soak has broken rules.
var errFindings = errors.New("rules were broken")

// soakCommand is the command soak.
type soakCommand struct {
	Seed     uint64        `long:"seed" default:"1" description:"seed of the plan of events"`
	For      time.Duration `long:"for" default:"2m" description:"length of the run after all nodes are ready"`
	Scenario string        `long:"scenario" default:"lost" description:"what happens: see --list"`
	Scale    float64       `long:"scale" default:"1" description:"factor on the number of upstreams of each service"`
	Deploy   string        `long:"deployment" description:"JSON file that describes the deployment (default: one of 19 nodes)"`
	List     bool          `long:"list" description:"print the names of the scenarios and end"`
	Program  string        `long:"program" description:"command camphortrail of the fleet (default: this one)"`
	Report   string        `long:"report" description:"file for the report, as JSON (default: standard output)"`
	Keep     string        `long:"keep" description:"folder in which settings, logs and disks stay (default: a temporary folder)"`
}

// Execute runs a scenario on real processes and reports the rules that were broken.
func (cm *soakCommand) Execute([]string) error {
	if cm.List {
		for _, name := range soak.Scenarios() {
			fmt.Println(name)
		}
		return nil
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if cm.Program != "" {
		program = cm.Program
	}
	folder := cm.Keep
	if folder == "" {
		if folder, err = os.MkdirTemp("", "camphortrail-soak-"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(folder) }()
	}
	opt := soak.Options{Seed: soak.Seed(cm.Seed), Program: program, Folder: folder, Services: soak.Services()}
	if cm.Deploy != "" {
		if opt.Deployment, err = soak.LoadDeployment(cm.Deploy); err != nil {
			return err
		}
		opt.Deployment.Scale(cm.Scale)
	} else {
		dep := soak.Deployment{Services: opt.Services}
		dep.Scale(cm.Scale)
	}
	re, err := soak.Run(ctx, cm.Scenario, cm.For, opt, os.Stderr)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(re, "", "  ")
	if err != nil {
		return err
	}
	if err := writeReport(cm.Report, append(text, '\n')); err != nil {
		return err
	}
	if len(re.Findings) > 0 {
		return errors.Wrapf(errFindings, "%d findings", len(re.Findings))
	}
	return nil
}

// writeReport writes a report to a file, or to standard output if the path is empty.
func writeReport(path string, text []byte) error {
	if path == "" {
		_, err := os.Stdout.Write(text)
		return err
	}
	return os.WriteFile(path, text, 0o644)
}
