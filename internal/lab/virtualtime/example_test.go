package virtualtime_test

import (
	"fmt"
	"time"

	"camphortrail/internal/lab/virtualtime"
)

func ExampleScheduler() {
	sc := virtualtime.New(time.Unix(0, 0))
	sc.After(2*time.Second, func() { fmt.Println("second", sc.Now().Unix()) })
	sc.After(time.Second, func() {
		fmt.Println("first", sc.Now().Unix())
		sc.After(time.Hour, func() { fmt.Println("never") })
	})
	sc.Advance(time.Minute)
	fmt.Println("end", sc.Now().Unix())
	// Output:
	// first 1
	// second 2
	// end 60
}
