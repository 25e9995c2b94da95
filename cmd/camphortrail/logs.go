package main

import (
	"io"
	"os"

	"github.com/pkg/errors"
)

// readLogs passes the content of log files to read, or standard input if there are none.
func readLogs(names []string, read func(io.Reader) error) error {
	if len(names) == 0 {
		return errors.Wrap(read(os.Stdin), "standard input")
	}
	for _, name := range names {
		if err := readLog(name, read); err != nil {
			return err
		}
	}
	return nil
}

// readLog passes the content of one log file to read.
func readLog(name string, read func(io.Reader) error) error {
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer file.Close()
	return errors.Wrap(read(file), name)
}
