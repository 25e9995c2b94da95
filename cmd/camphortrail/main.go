// Command camphortrail runs and operates the processes of a deployment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jessevdk/go-flags"
	"github.com/pkg/errors"

	"camphortrail/internal/ops/hangup"
)

// ctx is the context of all commands. It ends with SIGINT or SIGTERM.
var ctx context.Context

func main() {
	os.Exit(run())
}

// run runs the command that the arguments name and returns the exit status.
func run() int {
	var stop context.CancelFunc
	ctx, stop = signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	log.SetHandler(jsonlog.New(os.Stderr))
	parser := flags.NewParser(nil, flags.HelpFlag|flags.PassDoubleDash)
	parser.CommandHandler = execute
	for _, cm := range []struct {
		name, short, long string
		data              any
		hidden            bool
	}{
		{"node", "Run the node beside an upstream", "Runs the node beside an upstream until SIGTERM.", &nodeCommand{}, false},
		{"control", "Run a control replica", "Runs a control replica until SIGTERM.", &controlCommand{}, false},
		{"platform-node", "Run a node on the platform", "Runs a node with the settings that the platform lays out, until SIGTERM.", &platformNodeCommand{}, false},
		{"platform-control", "Run a control replica on the platform", "Runs a control replica with the settings that the platform lays out, until SIGTERM.", &platformControlCommand{}, false},
		{"platform-control-faults", "Run a control replica with disk faults", "Runs platform-control on a disk whose faults a test of processes switches, and which can lose what was not synced.", &platformControlFaultsCommand{}, true},
		{"check", "Check a folder of files", "Checks a configuration, and the settings beside it, without applying it.", &checkCommand{}, false},
		{"apply", "Apply a configuration", "Applies all files of a folder as one configuration.", &applyCommand{}, false},
		{"show", "Show what is in force", "Shows revisions in force, upstreams by service and state, and control replicas.", &showCommand{}, false},
		{"drain", "Drain the upstream beside a node", "Makes the upstream beside a node take no new work.", &drainCommand{}, false},
		{"account", "Account for unserved requests", "Prints from logs, by second, how many requests of callers had no room and how many were lost beside room, by cause.", &accountCommand{}, false},
		{"explain", "Explain a request", "Prints what the logs of processes say of a request and of the calls made for it, in causal order.", &explainCommand{}, false},
		{"demo", "Run an example deployment", "Runs an example deployment on loopback with real requests, within 30 s.", &demoCommand{}, false},
		{"measure", "Measure a scenario", "Runs a scenario with both arms and prints a JSON object for each.", &measureCommand{}, false},
		{"soak", "Soak a deployment", "Runs a deployment of real processes on loopback with signals and changes, and checks the rules of the users.", &soakCommand{}, false},
	} {
		command, err := parser.AddCommand(cm.name, cm.short, cm.long, cm.data)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		command.Hidden = cm.hidden
	}
	_, err := parser.Parse()
	return exitStatus(err)
}

// execute runs a command. SIGHUP ends it, unless it is one that runs until it is told to stop.
func execute(command flags.Commander, args []string) error {
	switch command.(type) {
	case *nodeCommand, *controlCommand, *platformNodeCommand, *platformControlCommand:
	default:
		hangup.Restore()
	}
	return command.Execute(args)
}

// exitStatus prints the error and returns the exit status: 0 without an error and for help,
// 2 for wrong arguments, 1 otherwise.
func exitStatus(err error) int {
	var usage *flags.Error
	switch {
	case err == nil:
		return 0
	case errors.As(err, &usage) && usage.Type == flags.ErrHelp:
		fmt.Println(usage.Message)
		return 0
	case errors.As(err, &usage):
		fmt.Fprintln(os.Stderr, usage.Message)
		return 2
	}
	fmt.Fprintln(os.Stderr, err)
	return 1
}
