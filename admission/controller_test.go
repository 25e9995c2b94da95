package admission

import (
	"bytes"
	"math/rand/v2"
	"testing"
	"time"

	"camphortrail/call"
	"camphortrail/internal/lab/fuzzing"

	"pgregory.net/rapid"
)

func init() {
	fuzzing.SetFlags(0, 200)
}

var epoch = time.Unix(1000, 0)

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

// before reports whether a must start before b. Equal attempts start newest first; ids
// rise in the order of arrival.
func before(a, b Arrive) bool {
	switch {
	case a.Importance != b.Importance:
		return a.Importance > b.Importance
	case a.Cohort != b.Cohort:
		return a.Cohort > b.Cohort
	case a.Depth != b.Depth:
		return a.Depth > b.Depth
	default:
		return bytes.Compare(a.ID[:], b.ID[:]) > 0
	}
}

// oracle checks the rules of the package with plain lists.
type oracle struct {
	t               *rapid.T
	ct              *Controller
	now             time.Time
	arrived         map[call.AttemptID]time.Time
	waiting         []Arrive
	running         []Arrive
	slots           int
	draining        bool
	importanceFloor call.Importance
}

// take removes the attempt from the list.
func take(list *[]Arrive, id call.AttemptID) (Arrive, bool) {
	for i, ar := range *list {
		if ar.ID == id {
			*list = append((*list)[:i:i], (*list)[i+1:]...)
			return ar, true
		}
	}
	return Arrive{}, false
}

func (or *oracle) step(ev Event) {
	ar, arrival := ev.(Arrive)
	if arrival {
		or.waiting = append(or.waiting, ar)
		or.arrived[ar.ID] = or.now
	}
	before := len(or.running) + len(or.waiting)
	for _, ac := range or.ct.Step(or.now, ev) {
		switch ac := ac.(type) {
		case *Start:
			or.checkStart(ac)
		case *Refuse:
			or.checkRefuse(ev, ac)
		case *Abort:
			if cl, ok := ev.(Cancel); !ok || cl.ID != ac.ID {
				or.t.Fatalf("abort of %v at %T", ac.ID, ev)
			}
		}
	}
	if arrival && or.draining && len(or.running)+len(or.waiting) >= before {
		or.t.Fatalf("arrival of %v admitted while draining", ar.ID)
	}
	or.checkState()
}

// reservedSlots is the rule of Controller.reservedSlots, recounted from the list of
// running attempts.
func (or *oracle) reservedSlots(imp call.Importance) (slots int) {
	const late = 10 * time.Millisecond
	if or.ct.serviceTime()/time.Duration(max(or.ct.Limit(or.now), 1)) < late {
		return 0
	}
	for _, ar := range or.running {
		if ar.Importance > imp {
			slots++
		}
	}
	return min(slots/6, (or.ct.Limit(or.now)+31)/32)
}

func (or *oracle) checkStart(st *Start) {
	ar, ok := take(&or.waiting, st.ID)
	if !ok {
		or.t.Fatalf("start of %v, which does not wait", st.ID)
	}
	if ar.Importance < or.importanceFloor {
		or.t.Fatalf("start of importance %d after %d was refused for lack of capacity", ar.Importance, or.importanceFloor)
	}
	for _, other := range or.waiting {
		if before(other, ar) {
			or.t.Fatalf("start of %+v before %+v", ar, other)
		}
	}
	if len(or.running)+or.reservedSlots(ar.Importance) >= or.ct.Limit(or.now) {
		or.t.Fatalf("start of importance %d while %d of %d run", ar.Importance, len(or.running), or.ct.Limit(or.now))
	}
	if or.now.After(ar.Deadline) {
		or.t.Fatalf("start after the deadline")
	}
	or.running = append(or.running, ar)
}

func (or *oracle) checkRefuse(ev Event, rf *Refuse) {
	ar, ok := take(&or.waiting, rf.ID)
	if !ok {
		or.t.Fatalf("refusal of %v, which does not wait", rf.ID)
	}
	switch rf.Reason {
	case Overload, QueueFull:
		or.importanceFloor = max(or.importanceFloor, ar.Importance)
	case Leaving:
		ar, arrival := ev.(Arrive)
		ok = or.draining && arrival && ar.ID == rf.ID
	case NoUpstream:
		ok = or.slots == 0
	case Deadline:
		ok = or.arrived[ar.ID].Equal(or.now)
	case Cancelled:
		cl, is := ev.(Cancel)
		ok = is && cl.ID == ar.ID
	}
	if !ok || (rf.Reason != Cancelled && rf.RetryAfter <= 0) {
		or.t.Fatalf("refusal %+v at %T", rf, ev)
	}
}

func (or *oracle) checkState() {
	lim := or.ct.Limit(or.now)
	if or.ct.Running() != len(or.running) || or.ct.Waiting() != len(or.waiting) {
		or.t.Fatalf("%d run and %d wait, want %d and %d", or.ct.Running(), or.ct.Waiting(), len(or.running), len(or.waiting))
	}
	for _, ar := range or.waiting {
		if ar.Importance < or.importanceFloor {
			or.t.Fatalf("importance %d waits after %d was refused for lack of capacity", ar.Importance, or.importanceFloor)
		}
		if len(or.running)+or.reservedSlots(ar.Importance) < lim {
			or.t.Fatalf("importance %d waits while %d of %d run", ar.Importance, len(or.running), lim)
		}
		if age := or.now.Sub(or.arrived[ar.ID]); age > 500*time.Millisecond {
			or.t.Fatalf("an attempt waits for %v, want at most 500 ms", age)
		}
	}
	if len(or.waiting) > or.ct.settings.MaxWaiting || or.slots == 0 && len(or.waiting) > 0 {
		or.t.Fatalf("%d attempts wait", len(or.waiting))
	}
	if len(or.waiting) == 0 && len(or.running) < lim {
		or.importanceFloor = 0
	}
	if or.importanceFloor > 0 && or.ct.Level() < call.LevelOf(or.importanceFloor, 0) {
		or.t.Fatalf("level %x while importance %d is refused", or.ct.Level(), or.importanceFloor)
	}
	if or.importanceFloor == 0 && or.ct.Level() != 0 {
		or.t.Fatalf("level %x without overload", or.ct.Level())
	}
}

// advance lets time pass, with a Tick whenever one is due.
func (or *oracle) advance(d time.Duration) {
	end := or.now.Add(d)
	for {
		due, ok := or.ct.NextWake(or.now)
		if ok != (len(or.waiting) > 0) {
			or.t.Fatalf("NextWake = %v while %d wait", ok, len(or.waiting))
		}
		if !ok || due.After(end) {
			or.now = end
			return
		}
		or.now = due
		or.step(Tick{})
		if again, ok := or.ct.NextWake(due); ok && !again.After(due) {
			or.t.Fatalf("tick due again at once")
		}
	}
}

func (or *oracle) arrive(t *rapid.T) {
	remaining := rapid.IntRange(0, 300).Draw(t, "remaining")
	or.step(Arrive{
		ID:         call.AttemptID{byte(len(or.arrived) >> 8), byte(len(or.arrived)), 1},
		Importance: call.Importance(rapid.IntRange(1, 7).Draw(t, "importance")),
		Cohort:     call.Cohort(rapid.IntRange(0, 40).Draw(t, "cohort")),
		Depth:      call.Depth(rapid.IntRange(0, 3).Draw(t, "depth")),
		Deadline:   or.now.Add(time.Duration(remaining*remaining) * time.Millisecond / 10),
		Abortable:  rapid.Bool().Draw(t, "abortable"),
	})
}

func (or *oracle) pick(t *rapid.T, list []Arrive) call.AttemptID {
	if len(list) == 0 {
		return call.AttemptID{}
	}
	return rapid.SampledFrom(list).Draw(t, "attempt").ID
}

func TestRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		st := Settings{MaxWaiting: rapid.SampledFrom([]int{2, 6, 4096}).Draw(t, "max-waiting")}
		or := &oracle{t: t, ct: New(st, testRand()), now: epoch, arrived: map[call.AttemptID]time.Time{}}
		arrive := func(t *rapid.T) { or.arrive(t) }
		finish := func(t *rapid.T) {
			id := or.pick(t, or.running)
			take(&or.running, id)
			or.step(Finish{ID: id, OK: rapid.Bool().Draw(t, "ok")})
		}
		pass := func(t *rapid.T) { or.advance(time.Duration(rapid.IntRange(0, 60).Draw(t, "ms")) * time.Millisecond) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": arrive, "arrive2": arrive, "arrive3": arrive, "arrive4": arrive,
			"finish": finish, "finish2": finish, "pass": pass,
			"cancel-waiting": func(t *rapid.T) { or.step(Cancel{ID: or.pick(t, or.waiting)}) },
			"cancel-running": func(t *rapid.T) { or.step(Cancel{ID: or.pick(t, or.running)}) },
			"announce": func(t *rapid.T) {
				or.slots = rapid.SampledFrom([]int{1, 4, 4, 15, 15, 40, 0}).Draw(t, "slots")
				or.step(Announce{Slots: or.slots})
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "leave") == 0 {
					or.draining = true
					or.step(Drain{})
				}
			},
			"resume": func(*rapid.T) {
				or.draining = false
				or.step(Resume{})
			},
		})
	})
}
