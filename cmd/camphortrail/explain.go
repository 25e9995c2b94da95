package main

import (
	"os"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/internal/ops/explain"
)

// explainCommand is the command explain.
type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"ID" required:"true" description:"id by which the sender knows the request"`
		Files   []string `positional-arg-name:"FILE" description:"logs of any processes; standard input without one"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints the decisions about a request.
func (cm *explainCommand) Execute([]string) error {
	var de explain.Decisions
	if err := readLogs(cm.Args.Files, de.Read); err != nil {
		return errors.Wrap(err, "explain")
	}
	if skipped := de.Skipped(); skipped > 0 {
		log.WithField("lines", skipped).Info("lines that are no decisions passed over")
	}
	return errors.Wrap(de.Explain(os.Stdout, cm.Args.Request), "explain")
}
