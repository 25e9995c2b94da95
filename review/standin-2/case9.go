package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["9"] = largeUploads }

// Figures of case 9.
const (
	case9Memory   = 284                    // memoryMb of a sidecar machine on the sheet of zapatera-mx
	case9Body     = 60 << 20               // bytes of an upload; maxBodyBytes is 64 MiB
	case9Small    = 1 << 20                // the same without the disruption
	case9Clients  = 3                      // clients, each on a machine of its own, with one upload at a time
	case9Length   = 40 * time.Second       // time of the uploads
	case9Poll     = 5 * time.Millisecond   // time between two looks at the memory of a process
	case9Restart  = 500 * time.Millisecond // "restarted after a short delay"
	case9Ends     = 3                      // RULES.md, Fault: three times in the day
	case9Machines = 2                      // RULES.md, Fault: two at least, a tenth of eleven is 1.1
)

// case9Services are those of the servers, one on each sidecar machine.
var case9Services = []string{"perdidos", "perdidos", "fichas", "consulta", "fichas", "consulta", "fichas", "consulta"}

// memoryUse is what the platform saw of the memory of a process.
type memoryUse struct{ ends, peakMB int }

// watchMemory is the platform: it kills a process that uses more than memoryMb, and starts it again
// after a short delay. Only memory of its own counts, without the program and its files, and without
// the bytes that have arrived and are not read.
func (ma *machine) watchMemory(ctx context.Context, limit int, mu *sync.Mutex, use *memoryUse) {
	for ctx.Err() == nil {
		time.Sleep(case9Poll)
		used := ma.anonymousMB()
		mu.Lock()
		use.peakMB = max(use.peakMB, used)
		mu.Unlock()
		over := used > limit
		if !over && ma.running() {
			continue
		}
		if over {
			ma.fl.rec.say("%s uses %d MB of %d MB and is killed by the platform", ma.name, used, limit)
			ma.kill()
		}
		mu.Lock()
		use.ends++
		mu.Unlock()
		time.Sleep(case9Restart)
		if ctx.Err() == nil && ma.start(false) != nil {
			return
		}
	}
}

// largeUploads: clients on three machines upload bodies that the config allows, each one at a time.
func largeUploads(rec *recorder, trouble bool) (int, error) {
	ctx, stop := context.WithCancel(context.Background())
	var watchers sync.WaitGroup
	fl, err := newFleet(rec, case9Services)
	if err != nil {
		stop()
		return cannotRun, err
	}
	defer fl.close()
	defer watchers.Wait()
	defer stop()
	fl.memory = case9Memory
	if err := fl.startAll(); err != nil {
		return cannotRun, err
	}
	op := newOperator(fl)
	if status, text := op.apply(op.document([]map[string]any{
		route("r-photos", "/photos/", "upload", "perdidos", 6000, 1500, 2, 2),
		route("r-issue", "/issue/", "safe", "fichas", 1000, 100, 1, 2),
		serviceSpec("perdidos"), serviceSpec("fichas"), serviceSpec("consulta"), limits(),
	}), 15*time.Second); status != 200 {
		return cannotRun, fmt.Errorf("configuration: %d %s", status, text)
	}
	var servers []*server
	for _, ma := range fl.sides {
		sv, err := startServer(ctx, ma, func(*http.Request) (time.Duration, int) { return 30 * time.Millisecond, 1500 })
		if err != nil {
			return cannotRun, err
		}
		servers = append(servers, sv)
	}
	if !awaitServing(fl.sides[2], "/issue/a") || upload(rec, fl.sides[2], 1000) != "200" {
		return cannotRun, fmt.Errorf("the fleet does not serve")
	}
	var mu sync.Mutex
	uses := make([]memoryUse, len(fl.sides))
	for i, ma := range fl.sides {
		watchers.Go(func() { ma.watchMemory(ctx, case9Memory, &mu, &uses[i]) })
	}
	body := number("BYTES", case9Body)
	if !trouble {
		body = case9Small
	}
	counts := make(map[string]int)
	end := time.Now().Add(case9Length)
	var group sync.WaitGroup
	for i := range case9Clients {
		group.Go(func() {
			for time.Now().Before(end) {
				res := upload(rec, fl.sides[2+i], body)
				mu.Lock()
				counts[res]++
				mu.Unlock()
				time.Sleep(time.Duration(200+rand.IntN(300)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	stop()
	watchers.Wait()
	runs, twice := 0, 0
	for _, sv := range servers[:2] {
		sv.mu.Lock()
		runs += len(sv.runs)
		for id, n := range sv.runs {
			rec.add("server on %s ran %s %d times", sv.ma.name, id, n)
			if n > 1 {
				twice++
			}
		}
		sv.mu.Unlock()
	}
	rec.say("uploads by status: %v; run by servers: %d, more than once at one: %d", counts, runs, twice)
	often := 0
	for i, ma := range fl.sides {
		rec.say("%s: ended %d times, used %d MB at most", ma.name, uses[i].ends, uses[i].peakMB)
		if uses[i].ends >= case9Ends {
			often++
		}
	}
	if often >= case9Machines {
		rec.say("Fault is broken")
		return broken, nil
	}
	rec.say("Fault held")
	return held, nil
}

// upload sends one request with a body on a new connection, and returns the status, or what was seen
// in its place.
func upload(rec *recorder, ma *machine, size int) (result string) {
	id, begun := newID(), time.Now()
	defer func() {
		rec.add("upload %s at %s: %d bytes, %s after %d ms", id, ma.name, size, result, time.Since(begun).Milliseconds())
	}()
	nc, err := net.DialTimeout("tcp", ma.addr(ma.fl.pt.outbound), time.Second)
	if err != nil {
		return "no connection"
	}
	defer nc.Close()
	_ = nc.SetDeadline(begun.Add(case8Deadline * time.Millisecond))
	go func() {
		_, err := io.WriteString(nc, "POST /photos/a HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: "+id+
			"\r\nX-Deadline-Ms: "+strconv.Itoa(case8Deadline)+"\r\nContent-Length: "+strconv.Itoa(size)+"\r\n\r\n")
		for left := size; left > 0 && err == nil; {
			var n int
			n, err = nc.Write(block[:min(left, len(block))])
			left -= n
		}
	}()
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return "no answer"
	}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return "no whole answer"
	}
	return strconv.Itoa(res.StatusCode)
}
