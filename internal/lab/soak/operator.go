package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"reflect"
	"slices"
	"strings"
	"sync"
	"time"

	"camphortrail/call"
	"camphortrail/platform/document"
)

const (
	minChangeGap, maxChangeGap   = 400 * time.Millisecond, 2 * time.Second
	stormChanges                 = 8
	stormGap                     = 60 * time.Millisecond
	manyRoutes                   = 350
	maxAddedRoutes               = 24
	minReadGap, maxReadGap       = 20 * time.Millisecond, 80 * time.Millisecond
	firstBackoff, maxBackoff     = 50 * time.Millisecond, 800 * time.Millisecond
	maxRedirects, maxOtherErrors = 2, 3
	// changeTime is the time after which the operator gives a change without a clear answer up.
	changeTime = 20 * time.Second
)

// manyPrefix begins the prefixes of the many routes, which come and go together.
const manyPrefix = "/many-"

// Operator changes the configuration of a fleet and reads it, as the users' operator does.
type Operator struct {
	fl  *Fleet
	rnd *rand.Rand // of the goroutine of Run
	// AfterAck is called after each acknowledgement, if it is not nil.
	AfterAck func()
	// Pause is locked while the operator begins no changes.
	Pause sync.Mutex

	mu       sync.Mutex
	picks    *rand.Rand
	controls []*Machine // those that the operator knows
	nextID   ChangeID
	version  Version
	current  Configuration // the newest that is known to be accepted
	contents map[string]ChangeID
	sent     map[ChangeID]Configuration
	// dropped are prefixes of routes that were dropped, changed those that the last accepted
	// configuration changed, and added is the number of those added.
	dropped, changed []string
	added            int
}

// NewOperator returns an operator that begins with a configuration that was not sent yet.
func NewOperator(fl *Fleet, seed Seed) *Operator {
	return &Operator{
		fl: fl, rnd: seed.Rand("operator"), picks: seed.Rand("operator-replicas"), controls: slices.Clone(fl.Controls),
		contents: make(map[string]ChangeID), sent: make(map[ChangeID]Configuration),
	}
}

// Begin sends the first configuration until it is acknowledged, or ctx ends.
func (op *Operator) Begin(ctx context.Context) error {
	first := op.fl.FirstConfiguration()
	op.version, first.BaseVersion = first.Version, 0
	for op.deliver(ctx, first, "", 0) != http.StatusOK {
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return nil
}

// SetControls changes the replicas that the operator knows, after SeedLag.
func (op *Operator) SetControls(ctx context.Context, controls []*Machine) {
	if pause(ctx, SeedLag) == nil {
		op.mu.Lock()
		defer op.mu.Unlock()
		op.controls = slices.Clone(controls)
	}
}

// Current returns the newest configuration that is known to be accepted, the prefixes of routes
// that were dropped, and those of routes that it changed.
func (op *Operator) Current() (co Configuration, dropped, changed []string) {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.current, slices.Clone(op.dropped), op.changed
}

// Run changes the configuration until ctx ends.
func (op *Operator) Run(ctx context.Context) {
	for pause(ctx, op.between(minChangeGap, maxChangeGap)) == nil {
		op.Pause.Lock() // waits for the end of a pause
		op.Pause.Unlock()
		switch op.rnd.IntN(10) {
		case 0:
			op.storm(ctx)
		case 1, 2:
			op.race(ctx)
		case 3, 4:
			op.invalid(ctx)
		case 5:
			co := op.next()
			op.toggleMany(&co)
			op.deliver(ctx, co, "", 0)
		case 6, 7:
			co := op.next()
			op.edit(&co)
			op.deliver(ctx, co, "", 1+op.rnd.IntN(2))
		default:
			co := op.next()
			op.edit(&co)
			if op.deliver(ctx, co, "", 0) == http.StatusOK {
				op.deliver(ctx, co, "", 0)
			}
		}
	}
}

func (op *Operator) between(least, most time.Duration) time.Duration {
	return least + time.Duration(op.rnd.Int64N(int64(most-least)))
}

// next returns a copy of the current configuration with the next version, on top of the current one.
func (op *Operator) next() Configuration {
	op.mu.Lock()
	defer op.mu.Unlock()
	return op.onTopOf(op.current)
}

// onTopOf returns a copy of a configuration with the next version. The caller holds op.mu.
func (op *Operator) onTopOf(co Configuration) Configuration {
	op.version += Version(1 + op.rnd.IntN(3))
	return Configuration{Version: op.version, BaseVersion: co.Version, Resources: slices.Clone(co.Resources)}
}

// storm sends changes in quick succession, each on top of the one before.
func (op *Operator) storm(ctx context.Context) {
	var wg sync.WaitGroup
	co := op.next()
	for range stormChanges {
		op.edit(&co)
		sent := co
		wg.Go(func() { op.deliver(ctx, sent, "", 0) })
		op.mu.Lock()
		co = op.onTopOf(sent)
		op.mu.Unlock()
		if pause(ctx, stormGap) != nil {
			break
		}
	}
	wg.Wait()
}

// race sends two different changes on top of the same version, half of them with the same number.
func (op *Operator) race(ctx context.Context) {
	first := op.next()
	second := Configuration{Version: first.Version, BaseVersion: first.BaseVersion, Resources: slices.Clone(first.Resources)}
	if op.rnd.IntN(2) == 0 {
		op.mu.Lock()
		op.version++
		second.Version = op.version
		op.mu.Unlock()
	}
	op.edit(&first)
	op.addRoute(&second)
	var wg sync.WaitGroup
	wg.Go(func() { op.deliver(ctx, first, "", 0) })
	wg.Go(func() { op.deliver(ctx, second, "", 0) })
	wg.Wait()
}

// invalid sends an invalid change. Each has an added route, so that it could be seen in force.
func (op *Operator) invalid(ctx context.Context) {
	co := op.next()
	ro := op.addRoute(&co)
	fault := "unknown service"
	switch op.rnd.IntN(7) {
	case 0:
		ro.Service = "nobody"
	case 1:
		fault = "same host and prefix"
		co.Resources = append(co.Resources, document.NewRoute("twin", ro))
	case 2:
		fault, ro.TimeoutMS = "timeout of 0", 0
	case 3:
		fault, ro.TimeoutMS = "timeout over ten minutes", 600_001
	case 4:
		fault, ro.Attempts = "0 attempts", 0
	case 5:
		fault = "version not above the current one"
		co.Version = co.BaseVersion
	default:
		fault = faultTruncated
	}
	last := len(co.Resources) - 1
	if co.Resources[last].Metadata.Name == "twin" {
		last--
	}
	co.Resources[last] = document.NewRoute(co.Resources[last].Metadata.Name, ro)
	op.deliver(ctx, co, fault, 0)
}

// faultTruncated is the fault of a document that ends too early.
const faultTruncated = "cut short"

// edit changes a route at random: its services, weights or timeout, or adds or drops one.
func (op *Operator) edit(co *Configuration) {
	list := op.editable(*co)
	choice := op.rnd.IntN(6)
	if len(list) == 0 || choice < 2 && len(list) < maxAddedRoutes {
		op.addRoute(co)
		return
	}
	i := list[op.rnd.IntN(len(list))]
	name := co.Resources[i].Metadata.Name
	ro, _ := co.Resources[i].Spec.(Route)
	services := op.fl.opt.Services
	switch choice {
	case 2:
		op.mu.Lock()
		op.dropped = append(op.dropped, ro.Prefix)
		op.mu.Unlock()
		co.Resources = slices.Delete(co.Resources, i, i+1)
		return
	case 3:
		ro.TrafficSplit, ro.Service = nil, services[op.rnd.IntN(len(services))].Name
	case 4:
		at := op.rnd.IntN(len(services))
		ro.Service = ""
		ro.TrafficSplit = []Share{
			{Service: services[at].Name, Weight: 10 * (1 + op.rnd.IntN(9))},
			{Service: services[(at+1)%len(services)].Name, Weight: 10 * (1 + op.rnd.IntN(9))},
		}
	default:
		ro.TimeoutMS = int64(500 * (1 + op.rnd.IntN(8)))
	}
	co.Resources[i] = document.NewRoute(name, ro)
}

// editable returns the indices of the routes that were added one by one.
func (op *Operator) editable(co Configuration) []int {
	var list []int
	for i, rs := range co.Resources {
		if ro, ok := rs.Spec.(Route); ok && strings.HasPrefix(ro.Prefix, "/added-") {
			list = append(list, i)
		}
	}
	return list
}

// addRoute adds a route with a prefix of its own and returns it.
func (op *Operator) addRoute(co *Configuration) Route {
	op.mu.Lock()
	op.added++
	name := fmt.Sprintf("added-%d", op.added)
	op.mu.Unlock()
	services := op.fl.opt.Services
	ro := newRoute(Safe, services[op.rnd.IntN(len(services))].Name, 1)
	ro.Prefix = "/" + name + "/"
	co.Resources = append(co.Resources, document.NewRoute(name, ro))
	return ro
}

// toggleMany adds many routes, or drops them.
func (op *Operator) toggleMany(co *Configuration) {
	isMany := func(rs Resource) bool {
		ro, ok := rs.Spec.(Route)
		return ok && strings.HasPrefix(ro.Prefix, manyPrefix)
	}
	if slices.ContainsFunc(co.Resources, isMany) {
		co.Resources = slices.DeleteFunc(co.Resources, isMany)
		return
	}
	services := op.fl.opt.Services
	for i := range manyRoutes {
		ro := newRoute(Safe, services[i%len(services)].Name, 2)
		ro.Prefix = fmt.Sprintf("%s%d/", manyPrefix, i)
		co.Resources = append(co.Resources, document.NewRoute(fmt.Sprintf("many-%d", i), ro))
	}
}

// deliver sends a change to one replica after another until it has a clear answer, and returns the
// status, or 0 if there is none. lose is the number of answers that are lost on their way.
func (op *Operator) deliver(ctx context.Context, co Configuration, fault string, lose int) int {
	ctx, stop := context.WithTimeout(ctx, changeTime)
	defer stop()
	body := document.Encode(co)
	if fault == faultTruncated {
		body = body[:len(body)-2]
	}
	id := op.idOf(body, co)
	rc := op.fl.Recorder
	for backoff, others := firstBackoff, 0; ; backoff = min(2*backoff, maxBackoff) {
		at := rc.Now()
		if fault == "" {
			rc.Add(ConfigSent{co.Version, at})
		}
		rc.Add(ChangeSent{ID: id, At: at, Configuration: co, Fault: fault})
		vm, status := op.put(ctx, body)
		rc.Add(ChangeAnswered{ID: id, Sent: at, At: rc.Now(), VM: vm, Status: status, Lost: lose > 0})
		switch {
		case lose > 0:
			lose--
			status = 0
		case status == http.StatusOK && fault == "":
			rc.Add(ConfigAnswered{co.Version, rc.Now(), status})
			op.accept(co)
			return status
		case status == http.StatusOK:
			return status
		}
		others += btoi(status/100 == 4)
		if slices.Contains([]int{400, 409, 412, 413, 422}, status) || others >= maxOtherErrors && isRefusal(status) {
			return status
		}
		if pause(ctx, backoff) != nil {
			return 0
		}
	}
}

func btoi(is bool) int {
	if is {
		return 1
	}
	return 0
}

// idOf returns the id of the change with a content.
func (op *Operator) idOf(body []byte, co Configuration) ChangeID {
	op.mu.Lock()
	defer op.mu.Unlock()
	id, ok := op.contents[string(body)]
	if !ok {
		op.nextID++
		id = op.nextID
		op.contents[string(body)], op.sent[id] = id, co
	}
	return id
}

// accept records an accepted configuration.
func (op *Operator) accept(co Configuration) {
	op.mu.Lock()
	if co.Version > op.current.Version {
		op.changed = changedPrefixes(op.current, co)
		op.current = co
	}
	op.mu.Unlock()
	if op.AfterAck != nil {
		op.AfterAck()
	}
}

// changedPrefixes returns the prefixes of the routes that differ between two configurations.
func changedPrefixes(from, to Configuration) []string {
	old, changed := routesOf(from), []string(nil)
	for prefix, rs := range routesOf(to) {
		if before, ok := old[prefix]; !ok || !reflect.DeepEqual(before, rs) {
			changed = append(changed, prefix)
		}
		delete(old, prefix)
	}
	return slices.Sorted(slices.Values(append(changed, slices.Collect(maps.Keys(old))...)))
}

// put sends a body to a random replica, follows redirects and returns the replica that answered.
func (op *Operator) put(ctx context.Context, body []byte) (call.VM, int) {
	op.mu.Lock()
	ma := op.controls[op.picks.IntN(len(op.controls))]
	op.mu.Unlock()
	ctx, stop := context.WithTimeout(ctx, time.Second+time.Duration(len(body)>>10)*time.Millisecond)
	defer stop()
	res, _ := op.ask(ctx, http.MethodPut, "http://"+ma.ControlAddress()+configurationPath, body)
	return ma.Name, res
}

// ask sends a request, follows redirects and returns the status and the body of the answer.
func (op *Operator) ask(ctx context.Context, method, url string, body []byte) (int, []byte) {
	for hops := 0; ; hops++ {
		rq, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil
		}
		rq.Header.Set("Content-Type", "application/json")
		res, err := client.Transport.RoundTrip(rq)
		if err != nil {
			return 0, nil
		}
		content, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		switch {
		case err != nil:
			return 0, nil
		case res.StatusCode != http.StatusTemporaryRedirect || hops == maxRedirects:
			return res.StatusCode, content
		}
		url = res.Header.Get("Location")
	}
}

// Read reads the configuration at a replica once.
func (op *Operator) Read(ctx context.Context, ma *Machine, final bool) ConfigRead {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	re := ConfigRead{Sent: op.fl.Recorder.Now(), VM: ma.Name, Final: final}
	var content []byte
	re.Status, content = op.ask(ctx, http.MethodGet, "http://"+ma.ControlAddress()+configurationPath, nil)
	re.At = op.fl.Recorder.Now()
	op.mu.Lock()
	re.ID = op.contents[string(content)]
	co := op.sent[re.ID]
	if re.Status == http.StatusOK && re.ID > 0 && co.Version > op.current.Version {
		op.current = co // a change without a clear answer is in force
	}
	op.mu.Unlock()
	op.fl.Recorder.Add(re)
	return re
}

// ReadAll reads the configuration at each replica that the operator knows until ctx ends.
func (op *Operator) ReadAll(ctx context.Context, seed Seed) {
	var wg sync.WaitGroup
	for i := range op.controls {
		rnd := seed.Rand(fmt.Sprintf("reader-%d", i))
		wg.Go(func() {
			for pause(ctx, minReadGap+time.Duration(rnd.Int64N(int64(maxReadGap-minReadGap)))) == nil {
				op.mu.Lock()
				ma := op.controls[i%len(op.controls)]
				op.mu.Unlock()
				op.Read(ctx, ma, false)
			}
		})
	}
	wg.Wait()
}

// prefixesOf returns the prefixes of the routes of a configuration, sorted.
func prefixesOf(co Configuration) []string { return slices.Sorted(maps.Keys(routesOf(co))) }
