package withdrawal

import (
	"time"

	"camphortrail/call"
)

// stamped is an attempt with the stamp that it was sent with.
type stamped struct {
	stamp time.Duration
	id    call.AttemptID
}

// byStamp is a heap of attempts, those with the earliest stamp first. It holds no
// pointers, as container/heap would.
type byStamp []stamped

// first returns the attempt with the earliest stamp.
func (bs byStamp) first() (stamped, bool) {
	if len(bs) == 0 {
		return stamped{}, false
	}
	return bs[0], true
}

func (bs *byStamp) push(st stamped) {
	list := append(*bs, st)
	at := len(list) - 1
	for at > 0 {
		up := (at - 1) / 2
		if list[up].stamp <= st.stamp {
			break
		}
		list[at] = list[up]
		at = up
	}
	list[at] = st
	*bs = list
}

// pop takes the attempt with the earliest stamp out.
func (bs *byStamp) pop() (stamped, bool) {
	list := *bs
	if len(list) == 0 {
		return stamped{}, false
	}
	first, last := list[0], list[len(list)-1]
	list = list[:len(list)-1]
	*bs = list
	at := 0
	for {
		down := 2*at + 1
		if down >= len(list) {
			break
		}
		if down+1 < len(list) && list[down+1].stamp < list[down].stamp {
			down++
		}
		if list[down].stamp >= last.stamp {
			break
		}
		list[at] = list[down]
		at = down
	}
	if len(list) > 0 {
		list[at] = last
	}
	return first, true
}
