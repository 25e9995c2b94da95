// Package config reads the operators' configuration and the settings of a
// process, checks them, and compiles the lookup from a request to its service,
// class and limits.
package config

import (
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// ErrInvalid is matched by every Problem and Problems with errors.Is.
var ErrInvalid = errors.New("config: invalid")

// Problem is one invalid value in a configuration or in settings.
type Problem struct {
	// File is the path of the file, or empty if the checked message was not
	// read from a file.
	File string
	// Field is the path of the field within its file, such as
	// services[2].requests[0].deadline-ms, or empty for the whole file.
	Field string
	// Value is the refused value as JSON, or empty if there is none.
	Value string
	// Reason says why the value is refused.
	Reason string

	// otherField is the path, in the merged configuration, of a second field with which
	// Reason ends. It is empty if Reason names no other field.
	otherField string
}

// Error returns file, field, reason and value on one line.
func (pr *Problem) Error() string {
	var sb strings.Builder
	for _, part := range []string{pr.File, pr.Field} {
		if part != "" {
			sb.WriteString(part)
			sb.WriteString(": ")
		}
	}
	sb.WriteString(pr.Reason)
	if pr.Value != "" {
		sb.WriteString(" (value ")
		sb.WriteString(pr.Value)
		sb.WriteString(")")
	}
	return sb.String()
}

// Is reports whether target is ErrInvalid.
func (pr *Problem) Is(target error) bool { return target == ErrInvalid }

// Problems lists all problems that one check found, in the order of files and fields.
type Problems []*Problem

// Error returns one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, pr := range ps {
		lines[i] = pr.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the problems for errors.Is and errors.As.
func (ps Problems) Unwrap() []error {
	errs := make([]error, len(ps))
	for i, pr := range ps {
		errs[i] = pr
	}
	return errs
}

// err returns ps as an error, or nil if there are no problems.
func (ps Problems) err() error {
	if len(ps) == 0 {
		return nil
	}
	return ps
}

// findings collects the problems of one file or message.
type findings struct {
	file     string
	problems Problems
}

// add adds a problem. value is JSON, or empty if there is none.
func (fs *findings) add(field, value, reason string) {
	fs.problems = append(fs.problems, &Problem{File: fs.file, Field: field, Value: value, Reason: reason})
}

// addConflict adds a problem whose reason ends with the path of another field.
func (fs *findings) addConflict(field, value, reason, other string) {
	fs.problems = append(fs.problems, &Problem{
		File: fs.file, Field: field, Value: value, Reason: reason + " " + other, otherField: other,
	})
}

// addText adds a problem with a string value.
func (fs *findings) addText(field, value, reason string) {
	fs.add(field, strconv.Quote(value), reason)
}

// addNumber adds a problem with a whole number as its value.
func (fs *findings) addNumber(field string, value uint64, reason string) {
	fs.add(field, strconv.FormatUint(value, 10), reason)
}
