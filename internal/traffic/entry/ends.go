package entry

import (
	"strconv"
	"strings"
	"time"

	"camphortrail/call"
	"camphortrail/internal/traffic/peer"
)

// attemptEnd says what ended an attempt that brought no answer of an upstream.
type attemptEnd struct {
	vm call.VM
	// step is the reason of the guard's answer or a peer.Step, and after the time since the request
	// arrived.
	step  string
	after time.Duration
}

// endOf returns the end of an attempt at the VM with the result rs.
func endOf(now time.Time, rq *request, vm call.VM, rs peer.Result) attemptEnd {
	ae := attemptEnd{vm: vm, step: string(rs.Step), after: now.Sub(rq.begun)}
	if rs.Answer != nil {
		ae.step = rs.Answer.Reason
	}
	return ae
}

// describeEnds returns the ends of the attempts for the log; see events.Event.
func (rq *request) describeEnds() string {
	var text strings.Builder
	for i, ae := range rq.ends {
		if i > 0 {
			text.WriteByte(' ')
		}
		text.WriteString(ae.step + "+" + strconv.FormatInt(ae.after.Milliseconds(), 10) + "@" + string(ae.vm))
	}
	return text.String()
}
