// Package worker runs short tasks on goroutines that are kept for the next ones. A
// new goroutine begins with a small stack, which is copied each time that it grows;
// one that has run a task before has a stack of the size that such tasks need.
package worker

import "sync"

// Pool holds idle goroutines. The zero Pool has none. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   []chan func()
	closed bool
}

// maxIdle bounds the goroutines that are kept: about the tasks that run side by side
// in a process.
const maxIdle = 256

// Go runs a task on a goroutine of its own for as long as it takes.
func (po *Pool) Go(task func()) {
	if wo := po.take(); wo != nil {
		wo <- task
		return
	}
	go po.run(task)
}

// take returns the worker that became idle last, or nil.
func (po *Pool) take() chan func() {
	po.mu.Lock()
	defer po.mu.Unlock()
	last := len(po.idle) - 1
	if last < 0 {
		return nil
	}
	wo := po.idle[last]
	po.idle[last] = nil
	po.idle = po.idle[:last]
	return wo
}

// run runs a task, and those that follow until the worker is not kept.
func (po *Pool) run(task func()) {
	// A worker that was taken gets one task, which the sender must not wait for.
	wo := make(chan func(), 1)
	for task != nil {
		task()
		if !po.put(wo) {
			return
		}
		task = <-wo
	}
}

// put keeps an idle worker, and reports whether it did.
func (po *Pool) put(wo chan func()) bool {
	po.mu.Lock()
	defer po.mu.Unlock()
	if po.closed || len(po.idle) >= maxIdle {
		return false
	}
	po.idle = append(po.idle, wo)
	return true
}

// Close ends the idle goroutines, and the others once their tasks are done. Tasks are
// run later too.
func (po *Pool) Close() {
	po.mu.Lock()
	idle := po.idle
	po.idle, po.closed = nil, true
	po.mu.Unlock()
	for _, wo := range idle {
		close(wo)
	}
}
