package inflight

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"
)

func TestWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var ct Counter
		ct.Enter()
		go func() {
			time.Sleep(time.Second)
			ct.Exit()
		}()
		start := time.Now()
		if err := ct.Wait(t.Context()); err != nil || time.Since(start) < time.Second {
			t.Fatalf("Wait ended after %v with %v", time.Since(start), err)
		}
		ct.Enter()
		ctx, stop := context.WithTimeout(t.Context(), time.Second)
		defer stop()
		if err := ct.Wait(ctx); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("Wait error = %v, want deadline exceeded", err)
		}
	})
}
