package virtualtime_test

import (
	"fmt"
	"time"

	"camphortrail/internal/lab/virtualtime"
)

func ExampleScheduler() {
	ag := virtualtime.New(time.Unix(0, 0))
	ag.After(2*time.Second, func() { fmt.Println("second", ag.Now().Unix()) })
	ag.After(time.Second, func() {
		fmt.Println("first", ag.Now().Unix())
		ag.After(time.Hour, func() { fmt.Println("never") })
	})
	ag.Advance(time.Minute)
	fmt.Println("end", ag.Now().Unix())
	// Output:
	// first 1
	// second 2
	// end 60
}
