package soak

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// What impairs upstreams and nodes seconds before planned work. The record counts it as impairments of
// their machines.

const (
	// troubledShare is the share of the nodes that a trouble concerns.
	troubledShare = 0.3
	// minMargin and maxMargin bound the time from the end of a trouble to the next round.
	minMargin, maxMargin = 500 * time.Millisecond, 3500 * time.Millisecond
	// slowFactor multiplies the work of a slow upstream.
	slowFactor = 4.7
	// spoiledShare is the share of answers that an upstream loses, or sends twice.
	spoiledShare = 0.3
	// coldFactor multiplies the work of an upstream that has just started.
	coldFactor = 2
	// controlFreeze is the time for which a control replica is suspended.
	controlFreeze = 2 * time.Second
)

// troubleKind is how an upstream is impaired.
type troubleKind int32

// The kinds of troubles. Those from silentNode on concern processes and not upstreams.
const (
	noTrouble troubleKind = iota
	slowUpstream
	lostAnswers
	secondAnswers
	closedConns
	silentNode
	silentControl
	troubleKinds
)

var troubleNames = [troubleKinds]string{"", "slow", "answers lost", "answers sent twice", "idle connections closed", "suspended", "control replica suspended"}

// trouble impairs some machines until a moment before the next round, which is due after wait.
func (st *stopper) trouble(ctx context.Context, wait time.Duration) {
	st.mu.Lock()
	kind := 1 + troubleKind(st.troubles.IntN(int(troubleKinds)-1))
	margin := minMargin + rand64(st.troubles, maxMargin-minMargin)
	order := st.troubles.Perm(len(st.fl.Nodes))
	control := st.fl.Controls[st.troubles.IntN(len(st.fl.Controls))]
	busy := st.busy[control.Name]
	st.mu.Unlock()
	length := wait - margin
	if length <= 0 {
		return
	}
	if kind == silentControl {
		if !busy {
			control.freeze(ctx, min(length, controlFreeze))
		}
		return
	}
	var group sync.WaitGroup
	for _, index := range order[:int(troubledShare*float64(len(order)))] {
		ma := st.fl.Nodes[index]
		group.Go(func() {
			if kind == silentNode {
				if suspended := min(length, maxPause); ma.mayBeSuspended(suspended) {
					ma.freeze(ctx, suspended)
				}
				return
			}
			rc := st.fl.Recorder
			rc.Add(Impaired{VM: ma.Name, At: rc.Now(), Cause: troubleNames[kind]})
			ma.trouble.Store(int32(kind))
			_ = pause(ctx, length) // it ends in either case
			ma.trouble.Store(int32(noTrouble))
			rc.Add(Impaired{VM: ma.Name, At: rc.Now(), Cause: troubleNames[kind], Over: true})
		})
	}
	group.Wait()
}

// freeze suspends the process for a time, which the record counts.
func (ma *Machine) freeze(ctx context.Context, length time.Duration) {
	ma.Signal(syscall.SIGSTOP)
	_ = pause(ctx, length) // it goes on in either case
	ma.Signal(syscall.SIGCONT)
}

// workFactor returns by how much longer a request works than it states.
func (up *Upstream) workFactor() float64 {
	factor := 1.0
	if troubleKind(up.ma.trouble.Load()) == slowUpstream {
		factor = slowFactor
	}
	if dep := up.ma.fl.opt.Deployment; dep != nil && time.Since(up.born) < time.Duration(dep.ColdMS)*time.Millisecond {
		factor *= coldFactor
	}
	return factor
}

// spoils reports whether the answer to a request is one of those that a trouble concerns.
func (up *Upstream) spoils(kind troubleKind, id RequestID) bool {
	if troubleKind(up.ma.trouble.Load()) != kind {
		return false
	}
	// The same requests in each run, as far as they arrive.
	return up.ma.fl.opt.Seed.Rand("spoil-"+string(id)).Float64() < spoiledShare
}

// loseAnswer resets the connection of a request that has run.
func loseAnswer(w http.ResponseWriter) {
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tc, ok := nc.(*net.TCPConn); ok {
		_ = tc.SetLinger(0)
	}
	_ = nc.Close()
}

// secondAnswerGap is the time between an answer and its copy.
const secondAnswerGap = 20 * time.Millisecond

// answerTwice sends an answer and, a little later, a copy of it.
func answerTwice(w http.ResponseWriter, status int, body []byte) {
	head := w.Header().Clone()
	nc, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer nc.Close()
	head.Set("Content-Length", strconv.Itoa(len(body)))
	res := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	for name, values := range head {
		res += name + ": " + values[0] + "\r\n"
	}
	res += "\r\n" + string(body)
	for range 2 {
		if _, err := nc.Write([]byte(res)); err != nil {
			return
		}
		time.Sleep(secondAnswerGap)
	}
}
