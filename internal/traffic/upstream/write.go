package upstream

import "time"

// write is the writing of a request.
type write struct {
	// err is the error of writing the head, and the body if that is short. body is the writing of a long one.
	err  error
	body *bodyWrite
}

// bodyWrite is the writing of a long body in a goroutine of its own. err may be read once done is closed.
type bodyWrite struct {
	done chan struct{}
	err  error
}

// ended reports whether the write has ended. It waits up to bodyWriteGrace for that.
func (wr write) ended() bool {
	if wr.body == nil {
		return true
	}
	timer := time.NewTimer(bodyWriteGrace)
	defer timer.Stop()
	select {
	case <-wr.body.done:
		return true
	case <-timer.C:
		return false
	}
}

// succeeded reports whether the whole request has been written.
func (wr write) succeeded() bool { return wr.ended() && wr.errSoFar() == nil }

// failed reports whether the request could not be written. A write that a reset ends returns at once.
func (wr write) failed() bool { return wr.ended() && wr.errSoFar() != nil }

// errSoFar returns the error of the write if it has ended with one.
func (wr write) errSoFar() error {
	if wr.err != nil || wr.body == nil {
		return wr.err
	}
	select {
	case <-wr.body.done:
		return wr.body.err
	default:
		return nil
	}
}
