package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["10"] = departureForgotten }

// Figures of case 10.
const (
	case10DrainMs = 2 * time.Second         // drainMs
	case10Window  = 3 * time.Second         // contactWindowMs
	case10Late    = 2500 * time.Millisecond // how late the last report from before arrives
	case10Kill    = 300 * time.Millisecond  // from the ack to the end of the node
	case10Restart = 500 * time.Millisecond  // "restarted after a short delay"
	case10Serves  = 8 * time.Second         // "at times many seconds"
	case10Gap     = 10 * time.Millisecond
	case10Margin  = 500 * time.Millisecond
)

// departureForgotten: a server says that it is gone and serves on for some seconds, the node beside it
// is killed and starts again, and a report from before arrives late.
func departureForgotten(rec *recorder, trouble bool) (int, error) {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	fl, err := newFleet(rec, []string{"entrega", "entrega", "fichas"})
	if err != nil {
		return cannotRun, err
	}
	defer fl.close()
	if err := fl.startAll(); err != nil {
		return cannotRun, err
	}
	op := newOperator(fl)
	if status, text := op.apply(op.document([]map[string]any{
		route("r-issue", "/issue/", "unsafe", "entrega", 6000, 1500, 0, 2),
		serviceSpec("entrega"), serviceSpec("fichas"), limits(),
	}), 15*time.Second); status != 200 {
		return cannotRun, fmt.Errorf("configuration: %d %s", status, text)
	}
	work := func(*http.Request) (time.Duration, int) { return 200 * time.Millisecond, 1500 }
	leaving, leave := context.WithCancel(ctx)
	defer leave()
	server, err := startServer(leaving, fl.sides[0], work)
	if err != nil {
		return cannotRun, err
	}
	var mu sync.Mutex
	arrivals := make(map[string]time.Time)
	server.hold = func(_ http.ResponseWriter, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		id := r.Header.Get("X-Request-Id")
		arrivals[id] = time.Now()
		rec.add("server on %s gets %s", fl.sides[0].name, id)
		return false
	}
	for _, ma := range fl.sides[1:] {
		if _, err := startServer(ctx, ma, work); err != nil {
			return cannotRun, err
		}
	}
	if !awaitServing(fl.sides[2], "/issue/a") {
		return cannotRun, fmt.Errorf("the fleet does not serve")
	}
	time.Sleep(2 * case10Window)
	// A report of the server leaves now and arrives late.
	late := server.nextReport()
	server.quiet.Store(true)
	ended := time.Now()
	for server.sendReport("DELETE", []byte("{}")) != http.StatusOK {
		if time.Since(ended) > 3*time.Second {
			return cannotRun, fmt.Errorf("no ack of the departure")
		}
	}
	acked := time.Now()
	rec.say("the departure of the server on %s is acknowledged", fl.sides[0].name)
	started := acked
	if trouble {
		time.Sleep(case10Kill)
		fl.sides[0].kill()
		rec.say("the node on %s is killed", fl.sides[0].name)
		time.Sleep(case10Restart)
		started = time.Now()
		if err := fl.sides[0].start(false); err != nil {
			return cannotRun, err
		}
	}
	var all []outcome
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(time.Until(ended.Add(case10Late)))
		rec.say("the late report gets %d", server.sendReport("PUT", late))
	})
	end := acked.Add(case10Serves)
	time.AfterFunc(time.Until(end), func() {
		rec.say("the server on %s ends", fl.sides[0].name)
		leave()
	})
	for time.Now().Before(end.Add(time.Second)) {
		group.Go(func() {
			oc := sendShort(fl.sides[2], "/issue/a")
			mu.Lock()
			defer mu.Unlock()
			all = append(all, oc)
		})
		time.Sleep(case10Gap)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	from := acked.Add(case10DrainMs + case10Margin)
	if touch := started.Add(case10Window + case10Margin); touch.After(from) {
		from = touch
	}
	reached, lost := 0, 0
	for _, at := range arrivals {
		if at.After(from) {
			reached++
		}
	}
	counts := make(map[int]int)
	for _, oc := range all {
		counts[oc.status]++
		if arrivals[oc.id].After(from) && oc.status != http.StatusOK {
			lost++
		}
		rec.add("request %s: status %d after %d ms", oc.id, oc.status, oc.took.Milliseconds())
	}
	rec.say("requests by status: %v; %d reached the server that is gone more than %.1f s after the ack, with all machines in touch; %d of these were lost when it ended", counts, reached, from.Sub(acked).Seconds(), lost)
	if reached > 0 {
		rec.say("DRAIN is broken")
		return broken, nil
	}
	rec.say("DRAIN held")
	return held, nil
}
