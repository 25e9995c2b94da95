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
	if len(cm.Args.Files) == 0 {
		if err := de.Read(os.Stdin); err != nil {
			return errors.Wrap(err, "explain: standard input")
		}
	}
	for _, name := range cm.Args.Files {
		if err := readLog(&de, name); err != nil {
			return errors.Wrap(err, "explain")
		}
	}
	if skipped := de.Skipped(); skipped > 0 {
		log.WithField("lines", skipped).Info("lines that are no decisions passed over")
	}
	return errors.Wrap(de.Explain(os.Stdout, cm.Args.Request), "explain")
}

// readLog reads one log file.
func readLog(de *explain.Decisions, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return errors.Wrap(de.Read(file), name)
}
