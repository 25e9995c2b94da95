package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	fail(err)
	return &record{file: file, start: time.Now()}
}

// add writes a line with the time since the start.
func (re *record) add(format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.file, "%8.3f s  %s\n", time.Since(re.start).Seconds(), fmt.Sprintf(format, args...))
}
