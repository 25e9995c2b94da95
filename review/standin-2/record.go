// Program standin2 holds the stand-ins of the second review: clients, servers, the operator and the
// platform, as the users' pages describe them, and the scenario of each case.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"sync"
	"time"
)

// recorder writes record.txt: what was sent, answered and run.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, begun: time.Now()}, nil
}

// add writes one line, with the seconds since the start.
func (rc *recorder) add(format string, args ...any) {
	rc.mu.Lock()
	defer rc.mu.Unlock()
	fmt.Fprintf(rc.file, "%9.3f "+format+"\n", append([]any{time.Since(rc.begun).Seconds()}, args...)...)
}

// say writes one line to the record and to the standard output.
func (rc *recorder) say(format string, args ...any) {
	rc.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// root returns the folder of the repository, which run.sh states.
func root() string {
	if dir := os.Getenv("REPOSITORY"); dir != "" {
		return dir
	}
	_, file, _, _ := runtime.Caller(0)
	return filepath.Dir(filepath.Dir(filepath.Dir(file)))
}

// The exit codes of a script.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

// scenario runs a case. trouble is false if the disruption is to be left out.
type scenario func(rec *recorder, trouble bool) (int, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		os.Exit(cannotRun)
	}
	rec, err := newRecorder(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(cannotRun)
	}
	// A case ends within 120 seconds, whatever happens. The processes that it started end with it.
	time.AfterFunc(110*time.Second, func() {
		rec.say("the case has not ended within 110 s")
		os.Exit(cannotRun)
	})
	code, err := scenarios[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.say("the case could not run: %v", err)
		code = cannotRun
	}
	os.Exit(code)
}
