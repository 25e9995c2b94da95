package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

func init() { scenarios["6"] = replicaAwayDuringChanges }

// Figures of case 6.
const (
	case6Routes  = 350                     // the dose of big_config in sites/brambilla-tag.toml
	case6Changes = 660                     // PROTOCOL.md: a day may contain hundreds of changes
	case6MinGap  = 7500 * time.Microsecond // eight config_storm at once, each with gap_s = 0.06
	case6AckMs   = 4 * time.Second         // ackMs
	case6SyncS   = 4 * time.Second         // syncS
	case6Window  = 3 * time.Second         // contactWindowMs
	case6Margin  = 2 * time.Second         // beyond syncS and contactWindowMs
	case6ReadFor = 15 * time.Second        // recoveryS: the config is read for so long at the end
)

// number returns a number of the environment, by which a person tries other figures.
func number(name string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(name)); err == nil {
		return n
	}
	return usual
}

// case6Gap returns the time from one change to the next.
func case6Gap() time.Duration {
	if ms := number("GAP_MS", 0); ms > 0 {
		return time.Duration(ms) * time.Millisecond
	}
	return case6MinGap
}

// leaderOf returns the core machine that answers a read of the config itself, or nil.
func (fl *fleet) leaderOf() *machine {
	cl := http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	defer cl.CloseIdleConnections()
	for _, co := range fl.cores {
		res, err := cl.Get("http://" + co.addr(fl.pt.control) + "/camphortrail/config")
		if err != nil {
			continue
		}
		res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return co
		}
	}
	return nil
}

// awaitLeader waits for a leader.
func (fl *fleet) awaitLeader(limit time.Duration) *machine {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if ma := fl.leaderOf(); ma != nil {
			return ma
		}
	}
	return nil
}

// readBack reads the config at any node until it comes, and returns its version, or -1.
func (fl *fleet) readBack(limit time.Duration) int {
	cl := http.Client{Timeout: time.Second}
	defer cl.CloseIdleConnections()
	for i, end := 0, time.Now().Add(limit); time.Now().Before(end); i++ {
		res, err := cl.Get("http://" + fl.cores[i%len(fl.cores)].addr(fl.pt.control) + "/camphortrail/config")
		if err == nil {
			data, err := io.ReadAll(res.Body)
			res.Body.Close()
			var doc struct{ Version int }
			if res.StatusCode == http.StatusOK && err == nil && json.Unmarshal(data, &doc) == nil {
				return doc.Version
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return -1
}

// loseDisk ends the process of a core machine, empties its data folder, and starts it again at its
// address, with bootstrap false.
func (ma *machine) loseDisk() error {
	ma.kill()
	if err := os.RemoveAll(filepath.Join(ma.folder, "data")); err != nil {
		return err
	}
	return ma.start(false)
}

// replicaAwayDuringChanges: one core machine is down while the config changes some hundred times, and
// comes back. Later another one loses its disk, and comes back, and then the third one.
func replicaAwayDuringChanges(rec *recorder, trouble bool) (int, error) {
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
	change := func() []byte {
		list := []map[string]any{serviceSpec("perdidos"), serviceSpec("fichas"), serviceSpec("consulta"), limits()}
		list = append(list, route("r-issue", "/issue/", "safe", "fichas", 1000+op.version%7*100, 100, 1, 2))
		for i := range case6Routes {
			list = append(list, route(fmt.Sprintf("r-more-%d", i), fmt.Sprintf("/more%d/", i), "safe", "consulta", 6000, 1500, 2, 2))
		}
		return op.document(list)
	}
	if status, text := op.apply(change(), 15*time.Second); status != 200 {
		return cannotRun, fmt.Errorf("first configuration: %d %s", status, text)
	}
	for _, ma := range fl.sides {
		if _, err := startServer(ctx, ma, func(*http.Request) (time.Duration, int) { return 20 * time.Millisecond, 1500 }); err != nil {
			return cannotRun, err
		}
	}
	if !awaitServing(fl.sides[2], "/issue/a") {
		return cannotRun, fmt.Errorf("the fleet does not serve")
	}
	leader := fl.awaitLeader(5 * time.Second)
	if leader == nil {
		return cannotRun, fmt.Errorf("no leader")
	}
	var others []*machine
	for _, co := range fl.cores {
		if co != leader {
			others = append(others, co)
		}
	}
	away, second := others[0], others[1]
	rec.say("leader %s", leader.name)
	if trouble {
		rec.say("%s is killed and stays down", away.name)
		away.kill()
	}
	killed := time.Now()
	acked, longest := 1, time.Duration(0)
	cl := http.Client{Timeout: time.Second}
	op.cl = cl
	for range number("CHANGES", case6Changes) {
		begun := time.Now()
		status, text := op.applyAt(leader, change(), case6AckMs)
		took := time.Since(begun)
		rec.add("change %d: %d after %d ms", op.version, status, took.Milliseconds())
		if status != 200 {
			return cannotRun, fmt.Errorf("change %d: %d %s", op.version, status, text)
		}
		acked, longest = op.version, max(longest, took)
		time.Sleep(max(0, case6Gap()-took))
	}
	rec.say("%d changes acknowledged in %.1f s, the slowest after %d ms; leader %s", acked-1, time.Since(killed).Seconds(), longest.Milliseconds(), nameOf(fl.leaderOf()))
	lost := func(ma *machine, what string) error {
		if !trouble {
			return nil
		}
		rec.say("%s %s", ma.name, what)
		return ma.loseDisk()
	}
	if trouble {
		rec.say("%s is started again, with its disk, after %.1f s", away.name, time.Since(killed).Seconds())
		if err := away.start(false); err != nil {
			return cannotRun, err
		}
	}
	time.Sleep(case6SyncS + case6Margin)
	if err := lost(second, "loses its disk and is started again"); err != nil {
		return cannotRun, err
	}
	time.Sleep(case6SyncS + case6Margin)
	// The core is stable: all of it runs, and nothing was done to it for contactWindowMs.
	begun := time.Now()
	status, text := op.apply(change(), 3*case6AckMs)
	rec.say("change %d with the whole core running: %d %s after %d ms", op.version, status, text, time.Since(begun).Milliseconds())
	noAck := status != 200
	if status == 200 {
		acked = op.version
	}
	rec.say("read back: version %d, acknowledged %d", fl.readBack(5*time.Second), acked)
	third := fl.leaderOf()
	if third == nil {
		third = leader
	}
	if err := lost(third, "loses its disk and is started again"); err != nil {
		return cannotRun, err
	}
	time.Sleep(case6SyncS)
	version := fl.readBack(case6ReadFor)
	rec.say("read back at the end: version %d, acknowledged %d", version, acked)
	if version < acked {
		rec.say("CONFIG is broken (read back at the end)")
		return broken, nil
	}
	if noAck {
		rec.say("Acks is broken")
		return broken, nil
	}
	rec.say("CONFIG held")
	return held, nil
}

func nameOf(ma *machine) string {
	if ma == nil {
		return "none"
	}
	return ma.name
}

// applyAt is apply, beginning with the given core machine.
func (op *operator) applyAt(first *machine, doc []byte, limit time.Duration) (int, string) {
	end := time.Now().Add(limit)
	for i := 0; time.Now().Before(end); i++ {
		host := first
		if i > 0 {
			host = op.fl.cores[i%len(op.fl.cores)]
		}
		status, text, err := op.once(host, doc)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, text
		}
		time.Sleep(50 * time.Millisecond)
	}
	return 0, "no clear answer"
}
