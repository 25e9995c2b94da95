package queue_test

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"camphortrail/queue"
)

func TestOfferRefusesWhenFull(t *testing.T) {
	qu := queue.New[int](2)
	for v := range 2 {
		if !qu.Offer(v) {
			t.Fatalf("Offer(%d) rejected below capacity", v)
		}
	}
	if qu.Offer(2) {
		t.Fatal("Offer accepted a third value into two slots")
	}
	for want := range 2 {
		if got, err := qu.Take(t.Context()); err != nil || got != want {
			t.Fatalf("Take() = %d, %v; want %d", got, err, want)
		}
	}
}

func TestTakeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := queue.New[int](1).Take(ctx); !errors.Is(err, context.Canceled) {
		t.Fatalf("Take error = %v, want context.Canceled", err)
	}
}

func ExampleQueue_Offer() {
	qu := queue.New[string](1)
	fmt.Println(qu.Offer("first"), qu.Offer("second"))
	// Output: true false
}
