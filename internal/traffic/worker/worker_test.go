package worker

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
)

func TestEachTaskRunsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var po Pool
		var ran atomic.Int64
		var group sync.WaitGroup
		const senders, tasks = 8, 2000
		for range senders {
			group.Go(func() {
				for range tasks {
					po.Go(func() { ran.Add(1) })
				}
			})
		}
		group.Wait()
		synctest.Wait()
		if ran.Load() != senders*tasks {
			t.Errorf("%d tasks ran, want %d", ran.Load(), senders*tasks)
		}
		if len(po.idle) == 0 || len(po.idle) > maxIdle {
			t.Errorf("%d goroutines are idle, want some and at most %d", len(po.idle), maxIdle)
		}
		po.Close()
		// The test fails if a goroutine is left.
	})
}

// A task that blocks does not delay the tasks after it.
func TestTasksRunConcurrently(t *testing.T) {
	synctest.Test(t, func(*testing.T) {
		var po Pool
		first, last := make(chan bool), make(chan bool)
		for range 3 {
			po.Go(func() {})
			synctest.Wait()
		}
		po.Go(func() { <-first })
		po.Go(func() { <-first })
		po.Go(func() { close(last) })
		<-last
		close(first)
		synctest.Wait()
		po.Close()
		po.Go(func() {})
	})
}

func ExamplePool() {
	var po Pool
	defer po.Close()
	done := make(chan bool)
	po.Go(func() {
		fmt.Println("done")
		close(done)
	})
	<-done
	// Output: done
}
