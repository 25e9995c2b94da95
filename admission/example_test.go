package admission_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"camphortrail/admission"
	"camphortrail/call"
)

// An upstream with one slot runs one attempt at a time. Of the waiting attempts, the most
// important starts first.
func Example() {
	ct := admission.New(admission.Settings{}, rand.New(rand.NewPCG(1, 2)))
	now := time.Now()
	step := func(ev admission.Event) {
		for _, ac := range ct.Step(now, ev) {
			switch ac := ac.(type) {
			case *admission.Start:
				fmt.Printf("start %c\n", ac.ID[0])
			case *admission.Refuse:
				fmt.Printf("refuse %c: %v\n", ac.ID[0], ac.Reason)
			case *admission.Abort:
				fmt.Printf("abort %c\n", ac.ID[0])
			}
		}
	}
	arrive := func(name byte, imp call.Importance) {
		step(admission.Arrive{ID: call.AttemptID{name}, Importance: imp, Deadline: now.Add(time.Second)})
	}

	step(admission.Announce{Slots: 1})
	arrive('a', 1)
	arrive('b', 7)
	arrive('c', 1)
	now = now.Add(20 * time.Millisecond)
	step(admission.Finish{ID: call.AttemptID{'a'}, OK: true})
	step(admission.Drain{})
	fmt.Println("running:", ct.Running())
	// Output:
	// start a
	// refuse c: overload
	// start b
	// running: 1
}
