package process

import (
	"runtime"
	"testing"
	"time"
)

// The delay of timers does not show that the processor is short, since the runtime runs timers
// before waiting goroutines. The run wait of goroutines must show it.
func TestRunWaitOfGoroutinesIsMeasured(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	me := NewMeter()
	// The runtime measures the wait of only one goroutine in eight.
	const many, turn = 400, 100 * time.Microsecond
	done := make(chan bool, many)
	for range many {
		go func() {
			end := time.Now().Add(turn)
			for n := 0; time.Now().Before(end); n++ {
				_ = n
			}
			done <- true
		}()
	}
	for range many {
		<-done
	}
	ps := me.Take()
	if least := (many / 4 * turn).Microseconds(); ps.RunWaitP99US < least {
		t.Errorf("goroutines waited for %d us to run, mean %d; want at least %d", ps.RunWaitP99US, ps.RunWaitMeanUS, least)
	}
	if least := (many / 2 * turn).Milliseconds(); ps.ProcessorMS < least {
		t.Errorf("%d ms of processor time, want at least %d", ps.ProcessorMS, least)
	}
	if ps = me.Take(); ps.RunWaitP99US > turn.Microseconds()*many || ps.ProcessorMS > (many*turn).Milliseconds() {
		t.Errorf("usage is reported a second time: %+v", ps)
	}
}
