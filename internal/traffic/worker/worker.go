// Package worker runs short tasks on goroutines that are reused. A new goroutine starts
// with a small stack, which is copied each time it grows. A goroutine that has run such a
// task already has a large enough stack.
package worker

import "sync"

// Pool holds idle goroutines. The zero Pool is ready to use. A Pool is safe for concurrent
// use.
type Pool struct {
	mu sync.Mutex
	// idle holds the task channels of the idle goroutines, the latest last.
	idle   []chan func()
	closed bool
}

// maxIdle bounds the idle goroutines. It is about the number of tasks that run
// concurrently in a process.
const maxIdle = 256

// Go runs a task on a goroutine that runs nothing else meanwhile. It does not wait for the
// task.
func (po *Pool) Go(task func()) {
	if tasks := po.take(); tasks != nil {
		tasks <- task
		return
	}
	go po.run(task)
}

// take removes and returns the task channel of the goroutine that became idle last, or
// nil.
func (po *Pool) take() chan func() {
	po.mu.Lock()
	defer po.mu.Unlock()
	last := len(po.idle) - 1
	if last < 0 {
		return nil
	}
	tasks := po.idle[last]
	po.idle[last] = nil
	po.idle = po.idle[:last]
	return tasks
}

// run runs a task, and then the tasks that it receives, until the pool is full or closed.
func (po *Pool) run(task func()) {
	// A goroutine that was taken gets exactly one task. Because of the buffer, the sender
	// need not wait.
	tasks := make(chan func(), 1)
	for task != nil {
		task()
		if !po.put(tasks) {
			return
		}
		task = <-tasks
	}
}

// put adds an idle goroutine to the pool. It returns false if the pool is full or closed.
func (po *Pool) put(tasks chan func()) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed || len(po.idle) >= maxIdle {
		return false
	}
	po.idle = append(po.idle, tasks)
	return true
}

// Close ends the idle goroutines, and lets the others end after their tasks. Go still
// works after Close, without reuse.
func (po *Pool) Close() {
	po.mu.Lock()
	idle := po.idle
	po.idle, po.closed = nil, true
	po.mu.Unlock()
	for _, tasks := range idle {
		close(tasks)
	}
}
