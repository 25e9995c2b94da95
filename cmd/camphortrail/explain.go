package main

import (
	"os"

	"github.com/apex/log"
	"github.com/pkg/errors"

	"camphortrail/internal/ops/explain"
)

type explainCommand struct {
	Args struct {
		Request string   `positional-arg-name:"ID" required:"true" description:"id by which the sender knows the request"`
		Files   []string `positional-arg-name:"FILE" description:"logs of any processes; standard input without one"`
	} `positional-args:"yes"`
}

// Execute prints the story of a request.
func (cm *explainCommand) Execute([]string) error {
	var st explain.Decisions
	if len(cm.Args.Files) == 0 {
		if err := st.Read(os.Stdin); err != nil {
			return errors.Wrap(err, "explain: standard input")
		}
	}
	for _, name := range cm.Args.Files {
		if err := readLog(&st, name); err != nil {
			return errors.Wrap(err, "explain")
		}
	}
	if skipped := st.Skipped(); skipped > 0 {
		log.WithField("lines", skipped).Info("lines that are no decisions passed over")
	}
	return errors.Wrap(st.Explain(os.Stdout, cm.Args.Request), "explain")
}

func readLog(st *explain.Decisions, name string) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return errors.Wrap(st.Read(file), name)
}
