package main

import (
	"os"

	"github.com/pkg/errors"

	"camphortrail/internal/ops/account"
)

// accountCommand is the command account.
type accountCommand struct {
	Span int `long:"span" default:"1" description:"seconds in a row"`
	Args struct {
		Files []string `positional-arg-name:"FILE" description:"logs of any processes; standard input without one"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints why requests were not served.
func (cm *accountCommand) Execute([]string) error {
	var ac account.Account
	if err := readLogs(cm.Args.Files, ac.Read); err != nil {
		return errors.Wrap(err, "account")
	}
	return ac.Print(os.Stdout, max(cm.Span, 1))
}
