package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["7"] = quotedName }

// Figures of case 7.
const (
	case7Name     = `r-"late"`             // the name of the new route
	case7Plain    = "r-late"               // the same without the disruption
	case7Length   = 20 * time.Second       // time of the requests after the change
	case7Gap      = 50 * time.Millisecond  // from one request at a machine to the next
	case7Restart  = 500 * time.Millisecond // "restarted after a short delay"
	case7Ends     = 3                      // RULES.md, Fault: three times in the day
	case7Machines = 2                      // RULES.md, Fault: two at least
)

// restartWhenEnded is the platform: it starts the process of the machine again when it ends by itself.
func (ma *machine) restartWhenEnded(ctx context.Context, mu *sync.Mutex, ends *int) {
	for {
		ma.mu.Lock()
		exited := ma.exited
		ma.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-exited:
		}
		mu.Lock()
		*ends++
		mu.Unlock()
		time.Sleep(case7Restart)
		if ctx.Err() != nil || ma.start(false) != nil {
			return
		}
	}
}

// quotedName: the operator adds a route with a quotation mark in its name.
func quotedName(rec *recorder, trouble bool) (int, error) {
	ctx, stop := context.WithCancel(context.Background())
	fl, err := newFleet(rec, []string{"fichas", "fichas", "consulta", "consulta"})
	if err != nil {
		stop()
		return cannotRun, err
	}
	defer fl.close()
	var watchers sync.WaitGroup
	defer watchers.Wait()
	defer stop()
	if err := fl.startAll(); err != nil {
		return cannotRun, err
	}
	op := newOperator(fl)
	list := []map[string]any{
		route("r-issue", "/issue/", "safe", "fichas", 1000, 100, 1, 2), serviceSpec("fichas"), serviceSpec("consulta"), limits(),
	}
	if status, text := op.apply(op.document(list), 15*time.Second); status != http.StatusOK {
		return cannotRun, fmt.Errorf("configuration: %d %s", status, text)
	}
	for _, ma := range fl.sides {
		if _, err := startServer(ctx, ma, func(*http.Request) (time.Duration, int) { return 20 * time.Millisecond, 1500 }); err != nil {
			return cannotRun, err
		}
	}
	for _, ma := range fl.sides {
		if !awaitServing(ma, "/issue/a") {
			return cannotRun, fmt.Errorf("the fleet does not serve")
		}
	}
	var mu sync.Mutex
	ends := make([]int, len(fl.sides))
	for i, ma := range fl.sides {
		watchers.Go(func() { ma.restartWhenEnded(ctx, &mu, &ends[i]) })
	}
	name := case7Plain
	if trouble {
		name = case7Name
	}
	status, text := op.apply(op.document(append(list, route(name, "/late/", "safe", "consulta", 6000, 1500, 2, 2))), 10*time.Second)
	rec.say("the change with the route %s gets %d %s", name, status, text)
	if status != http.StatusOK {
		return held, nil
	}
	time.Sleep(2 * time.Second) // configApplyMs
	counts := make(map[string]int)
	var group sync.WaitGroup
	for end := time.Now().Add(case7Length); time.Now().Before(end); time.Sleep(case7Gap) {
		for _, ma := range fl.sides {
			for _, path := range []string{"/issue/a", "/late/a"} {
				group.Go(func() {
					oc := sendShort(ma, path)
					mu.Lock()
					defer mu.Unlock()
					rec.add("request %s for %s at %s: status %d after %d ms", oc.id, path, ma.name, oc.status, oc.took.Milliseconds())
					counts[fmt.Sprintf("%s %d", path, oc.status)]++
				})
			}
		}
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.say("requests by path and status (0 is no answer): %v", counts)
	often := 0
	for i, ma := range fl.sides {
		rec.say("%s: ended by itself %d times", ma.name, ends[i])
		if ends[i] >= case7Ends {
			often++
		}
	}
	if often >= case7Machines {
		rec.say("Fault is broken")
		return broken, nil
	}
	rec.say("Fault held")
	return held, nil
}
