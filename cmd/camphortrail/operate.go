package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"camphortrail/config"
	"camphortrail/internal/ops/operator"
	"camphortrail/internal/traffic/peer"
	"camphortrail/schema"
)

// The folders of the configuration and of the settings within the folder of a deployment.
const (
	configurationFolder = "configuration"
	settingsFolder      = "settings"
)

// folderArgument is the argument of commands that read a configuration.
type folderArgument struct {
	Arguments struct {
		Folder string `positional-arg-name:"FOLDER" description:"folder of the configuration, or of a deployment with the folders configuration and settings"`
	} `positional-args:"true" required:"true"`
}

// folder returns the folder of the configuration: the one within the folder of a deployment
// if it exists, the argument otherwise.
func (fa *folderArgument) folder() string {
	inner := filepath.Join(fa.Arguments.Folder, configurationFolder)
	if st, err := os.Stat(inner); err == nil && st.IsDir() {
		return inner
	}
	return fa.Arguments.Folder
}

// load reads and checks the configuration of the folder.
func (fa *folderArgument) load() (*schema.Configuration, error) { return config.Load(fa.folder()) }

// timeoutFlag bounds the running time of a command.
type timeoutFlag struct {
	Timeout time.Duration `long:"timeout" default:"10s" description:"time after which the command gives up"`
}

// context returns a context that ends after the timeout.
func (tf *timeoutFlag) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, tf.Timeout)
}

// newClient returns a client for a deployment with control replicas at these peer addresses.
func newClient(controls []string) *operator.Client {
	return &operator.Client{HTTP: &http.Client{Transport: peer.NewReconnectingTransport(nil)}, ControlAddresses: controls}
}

// checkCommand is the command check.
type checkCommand struct{ folderArgument }

// Execute checks the configuration of a folder and the settings beside it, and prints a
// summary and the files that were not read.
func (cm *checkCommand) Execute([]string) error {
	cfg, err := cm.load()
	if err != nil {
		return err
	}
	paths, err := filepath.Glob(filepath.Join(cm.Arguments.Folder, settingsFolder, "*.json"))
	if err != nil {
		return errors.Wrap(err, "check")
	}
	var problems []string
	for _, path := range paths {
		if _, err := config.LoadSettings(path); err != nil {
			problems = append(problems, err.Error())
		}
	}
	if len(problems) > 0 {
		return errors.New(strings.Join(problems, "\n"))
	}
	fmt.Printf("accepted: deployment %s, version %d, %d services, %d settings\n",
		cfg.GetDeployment(), cfg.GetVersion(), len(cfg.GetServices()), len(paths))
	unread, err := config.UnreadFiles(cm.Arguments.Folder, cm.folder(), paths)
	if err != nil {
		return errors.Wrap(err, "check")
	}
	for _, path := range unread {
		fmt.Println("not read:", path)
	}
	return nil
}

// applyCommand is the command apply.
type applyCommand struct {
	folderArgument
	timeoutFlag
	Control []string `long:"control" required:"true" value-name:"IP:PORT" description:"peer address of a control replica; may be repeated"`
}

// Execute applies the configuration of a folder and prints its revision.
func (cm *applyCommand) Execute([]string) error {
	cfg, err := cm.load()
	if err != nil {
		return err
	}
	ctx, stop := cm.context()
	defer stop()
	rs, err := newClient(cm.Control).Apply(ctx, cfg)
	if err != nil {
		return err
	}
	if rs.GetVersionInForce() > cfg.GetVersion() {
		fmt.Printf("accepted before: version %d was revision %d; version %d is in force\n",
			cfg.GetVersion(), rs.GetRevision(), rs.GetVersionInForce())
		return nil
	}
	fmt.Printf("accepted: version %d is revision %d\n", cfg.GetVersion(), rs.GetRevision())
	return nil
}

// showCommand is the command show.
type showCommand struct {
	timeoutFlag
	Node    string   `long:"node" required:"true" value-name:"IP:PORT" description:"peer address of any node"`
	Control []string `long:"control" value-name:"IP:PORT" description:"peer address of a control replica; may be repeated"`
	JSON    bool     `long:"json" description:"print one JSON object"`
	Details bool     `long:"details" description:"print a line for each node and upstream after the summary"`
}

// Execute prints the state of a deployment.
func (cm *showCommand) Execute([]string) error {
	ctx, stop := cm.context()
	defer stop()
	rp, err := newClient(cm.Control).Show(ctx, cm.Node)
	if err != nil {
		return err
	}
	if cm.JSON {
		return json.NewEncoder(os.Stdout).Encode(rp)
	}
	if err := rp.WriteSummary(os.Stdout); err != nil || !cm.Details {
		return err
	}
	return rp.WriteDetails(os.Stdout)
}

// drainCommand is the command drain.
type drainCommand struct {
	timeoutFlag
	Node   string `long:"node" required:"true" value-name:"IP:PORT" description:"peer address of the node"`
	Resume bool   `long:"resume" description:"take new work again"`
}

// Execute starts or ends the drain of the upstream beside a node, and prints the number of
// attempts in flight.
func (cm *drainCommand) Execute([]string) error {
	ctx, stop := cm.context()
	defer stop()
	inFlight, err := newClient(nil).Drain(ctx, cm.Node, cm.Resume)
	if err != nil {
		return err
	}
	fmt.Printf("in flight: %d\n", inFlight)
	return nil
}
