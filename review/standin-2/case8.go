package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

func init() { scenarios["8"] = slowPipelines }

// Figures of case 8.
const (
	case8Timeout   = 1000 * time.Millisecond // timeoutMs of the short route
	case8Grace     = 500 * time.Millisecond  // RULES.md, CONFIG: half a second later
	case8Deadline  = 6000                    // X-Deadline-Ms of all clients
	case8Answer    = 6 << 20                 // bytes of a long answer
	case8Readers   = 4
	case8Ahead     = 4       // requests sent before the first is answered
	case8SlowRate  = 2 << 20 // bytes a second of a client that reads slowly
	case8Length    = 45 * time.Second
	case8VictimGap = 20 * time.Millisecond
)

var nextID atomic.Int64

func newID() string { return fmt.Sprintf("%08x%08x", rand.Uint32(), nextID.Add(1)) }

// outcome is what a client saw of one request.
type outcome struct {
	id     string
	at     time.Time
	took   time.Duration // until the whole answer, or until the client gave up
	status int           // 0 if there was none
}

// slowPipelines: clients that send safe requests ahead read long answers slowly, and other clients
// of the same machine send short requests.
func slowPipelines(rec *recorder, trouble bool) (int, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fl, err := newFleet(rec, []string{"perdidos", "fichas", "consulta"})
	if err != nil {
		return cannotRun, err
	}
	defer fl.close()
	if err := fl.startAll(); err != nil {
		return cannotRun, err
	}
	op := newOperator(fl)
	status, text := op.apply(op.document([]map[string]any{
		route("r-photos", "/photos/", "download", "perdidos", 6000, 1500, 2, 2),
		route("r-issue", "/issue/", "safe", "fichas", int(case8Timeout/time.Millisecond), 100, 1, 2),
		serviceSpec("perdidos"), serviceSpec("fichas"), serviceSpec("consulta"), limits(),
	}), 15*time.Second)
	if status != 200 {
		return cannotRun, fmt.Errorf("configuration: %d %s", status, text)
	}
	var servers []*server
	for _, ma := range fl.sides {
		sv, err := startServer(ctx, ma, func(r *http.Request) (time.Duration, int) {
			if r.URL.Path == "/issue/a" {
				return time.Duration(12+rand.IntN(24)) * time.Millisecond, 1500
			}
			// Long answers take 0.1 s to 1 s of work.
			return time.Duration(100+rand.IntN(900)) * time.Millisecond, case8Answer
		})
		if err != nil {
			return cannotRun, err
		}
		servers = append(servers, sv)
	}
	node := fl.sides[2]
	if !awaitServing(node, "/issue/a") || !awaitServing(node, "/photos/a") {
		return cannotRun, fmt.Errorf("the fleet does not serve")
	}
	time.Sleep(4 * time.Second) // all machines have been in touch for contactWindowMs
	rate := 0
	if trouble {
		rate = case8SlowRate
	}
	end := time.Now().Add(case8Length)
	var group sync.WaitGroup
	var long longCounts
	for range case8Readers {
		group.Go(func() { readAhead(rec, node, rate, end, &long) })
	}
	var mu sync.Mutex
	var all []outcome
	unready := 0
	group.Go(func() {
		for time.Now().Before(end) {
			if !node.ready() {
				unready++
			}
			time.Sleep(time.Second)
		}
	})
	for time.Now().Before(end) {
		group.Go(func() {
			oc := sendShort(node, "/issue/a")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, oc)
		})
		time.Sleep(case8VictimGap)
	}
	group.Wait()
	return judgeShort(rec, servers, all, unready, &long), nil
}

// awaitServing waits until a request is served.
func awaitServing(ma *machine, path string) bool {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if oc := sendShort(ma, path); oc.status == 200 {
			return true
		}
	}
	return false
}

// sendShort sends a request on a new connection and waits for the answer until its deadline.
func sendShort(ma *machine, path string) outcome {
	oc := outcome{id: newID(), at: time.Now()}
	defer func() { oc.took = time.Since(oc.at) }()
	nc, err := net.DialTimeout("tcp", ma.addr(ma.fl.pt.outbound), time.Second)
	if err != nil {
		return oc
	}
	defer nc.Close()
	_ = nc.SetDeadline(oc.at.Add(case8Deadline * time.Millisecond))
	if _, err := io.WriteString(nc, requestText(path, oc.id)); err != nil {
		oc.took = time.Since(oc.at)
		return oc
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err == nil {
		if _, err = io.Copy(io.Discard, res.Body); err == nil {
			oc.status = res.StatusCode
		}
	}
	oc.took = time.Since(oc.at)
	return oc
}

func requestText(path, id string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: " + id +
		"\r\nX-Deadline-Ms: " + strconv.Itoa(case8Deadline) + "\r\n\r\n"
}

// longCounts counts the long answers.
type longCounts struct{ whole, refused, gaveUp atomic.Int64 }

// readAhead sends downloads on one connection after the other. It keeps case8Ahead requests on the
// connection, and sends the next 0.3 s after the one before. It reads at the given rate, or as fast
// as it can if that is 0, and gives a connection up at the deadline of its oldest request.
func readAhead(rec *recorder, ma *machine, rate int, end time.Time, lc *longCounts) {
	for time.Now().Before(end) {
		readConnection(rec, ma, rate, end, lc)
		time.Sleep(100 * time.Millisecond)
	}
}

// sent is a request on a connection that has no whole answer yet.
type sent struct {
	id string
	at time.Time
}

func readConnection(rec *recorder, ma *machine, rate int, end time.Time, lc *longCounts) {
	nc, err := net.DialTimeout("tcp", ma.addr(ma.fl.pt.outbound), time.Second)
	if err != nil {
		return
	}
	defer nc.Close()
	if rate > 0 {
		_ = nc.(*net.TCPConn).SetReadBuffer(64 << 10)
	}
	var mu sync.Mutex
	var waiting []sent
	closed := make(chan struct{})
	defer close(closed)
	go func() { // sends ahead
		for {
			mu.Lock()
			n := len(waiting)
			if n < case8Ahead && time.Now().Before(end) {
				se := sent{newID(), time.Now()}
				waiting = append(waiting, se)
				if _, err := io.WriteString(nc, requestText("/photos/a", se.id)); err != nil {
					mu.Unlock()
					return
				}
			}
			mu.Unlock()
			select {
			case <-closed:
				return
			case <-time.After(300 * time.Millisecond):
			}
		}
	}()
	go func() { // gives up at the deadline of the oldest request
		for {
			mu.Lock()
			late := len(waiting) > 0 && time.Since(waiting[0].at) > case8Deadline*time.Millisecond
			idle := len(waiting) == 0 && time.Now().After(end)
			mu.Unlock()
			if late || idle {
				if late {
					lc.gaveUp.Add(1)
				}
				_ = nc.Close()
				return
			}
			select {
			case <-closed:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	}()
	br := bufio.NewReaderSize(&slowReader{nc, rate}, 32<<10)
	for {
		res, err := http.ReadResponse(br, nil)
		if err != nil {
			return
		}
		n, err := io.Copy(io.Discard, res.Body)
		if err != nil {
			return
		}
		mu.Lock()
		if len(waiting) == 0 {
			mu.Unlock()
			return
		}
		first := waiting[0]
		waiting = waiting[1:]
		mu.Unlock()
		rec.add("long %s: status %d, %d bytes after %d ms", first.id, res.StatusCode, n, time.Since(first.at).Milliseconds())
		if res.StatusCode == 200 {
			lc.whole.Add(1)
		} else {
			lc.refused.Add(1)
		}
		if res.Close {
			return
		}
	}
}

// slowReader reads at a rate.
type slowReader struct {
	nc   net.Conn
	rate int
}

func (sr *slowReader) Read(p []byte) (int, error) {
	if sr.rate == 0 {
		return sr.nc.Read(p)
	}
	n, err := sr.nc.Read(p[:min(len(p), 32<<10)])
	time.Sleep(time.Duration(n) * time.Second / time.Duration(sr.rate))
	return n, err
}

// judgeShort applies the rule CONFIG to the short requests.
func judgeShort(rec *recorder, servers []*server, all []outcome, unready int, lc *longCounts) int {
	sort.Slice(all, func(i, j int) bool { return all[i].at.Before(all[j].at) })
	late, unanswered, longest, never := 0, 0, time.Duration(0), 0
	for _, oc := range all {
		rec.add("short %s: sent at %.3f, status %d after %d ms", oc.id, oc.at.Sub(rec.begun).Seconds(), oc.status, oc.took.Milliseconds())
		if oc.took > case8Timeout {
			late++
		}
		if oc.took > case8Timeout+case8Grace {
			unanswered++
		}
		if oc.status == 0 {
			never++
		}
		longest = max(longest, oc.took)
	}
	runs := 0
	for _, sv := range servers {
		sv.mu.Lock()
		runs += len(sv.runs)
		sv.mu.Unlock()
	}
	rec.say("short requests: %d; without an answer at timeoutMs: %d; half a second later: %d; never answered: %d; longest %d ms", len(all), late, unanswered, never, longest.Milliseconds())
	rec.say("long answers: %d whole, %d refused, %d connections given up; readiness checks missed: %d; requests that servers ran: %d", lc.whole.Load(), lc.refused.Load(), lc.gaveUp.Load(), unready, runs)
	if unanswered >= 8 && 2*unanswered > late {
		rec.say("CONFIG is broken")
		return broken
	}
	rec.say("CONFIG held")
	return held
}
