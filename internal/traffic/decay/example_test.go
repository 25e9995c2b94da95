package decay_test

import (
	"fmt"
	"time"

	"camphortrail/internal/traffic/decay"
)

func ExampleClock() {
	var cl decay.Clock
	now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
	count := 0.0
	for range 3 {
		count = count*cl.Factor(now, time.Second) + 1
		fmt.Println(count)
		now = now.Add(time.Second)
	}
	// Output:
	// 1
	// 1.5
	// 1.75
}
