// Command standin plays the cases of the review: it starts the project's programs with the
// commands of the deploy file, with stand-ins for clients, servers, the operator and the
// platform (see ../REPORT.md).
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// cases maps the name of a case to its function, which returns whether the rule held.
var cases = map[string]func(cl *cluster, trouble bool) bool{
	"reuse":    reuse,
	"slowread": slowread,
	"uploads":  uploads,
	"caller":   caller,
	"patience": patience,
}

// longestCase bounds the time of a case.
const longestCase = 115 * time.Second

func main() { os.Exit(run()) }

// run returns 0 if the rule held, 1 if it was broken and 2 if the case could not run.
func run() (status int) {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "standin CASE ROOT FOLDER")
		return 2
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return 2
	}
	rec := newRecord(filepath.Join(os.Args[3], "record.txt"))
	defer func() {
		if pc := recover(); pc != nil {
			rec.add("the case could not run: %v", pc)
			fmt.Fprintln(os.Stderr, pc)
			status = 2
		}
	}()
	cl := newCluster(root, rec)
	defer cl.close()
	go cl.closeEarly()
	if cases[os.Args[1]](cl, os.Getenv("TROUBLE") != "0") {
		rec.add("the rule held")
		return 0
	}
	rec.add("the rule was broken")
	return 1
}

// closeEarly ends all processes, and this one with status 2, at a signal or after longestCase.
func (cl *cluster) closeEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longestCase):
	}
	cl.rec.add("the case was ended early")
	cl.close()
	os.Exit(2)
}

// must ends the case if the condition does not hold.
func must(ok bool, what string) {
	if !ok {
		panic(what)
	}
}
