package main

import (
	"fmt"
	"syscall"
	"time"
)

// caller: the server of a machine leaves, and a server of another service gets its address. The
// settings file of the node names the new service, and the node gets SIGHUP.
func caller(cl *cluster, trouble bool) bool {
	for _, zone := range []string{"centro-a", "centro-b", "centro-c"} {
		cl.add("control", "core", zone, "", 280)
	}
	ma := cl.add("node", "sidecar", "centro-a", "entrega", 284)
	mb := cl.add("node", "sidecar", "centro-b", "consulta", 284)
	mc := cl.add("node", "sidecar", "centro-c", "perdidos", 284)
	cl.startAll()
	must(cl.putConfig(config(1, 0, "safe", 6000, "entrega", "consulta", "fichas", "perdidos")) == 200, "the first config is not acknowledged")
	must(cl.awaitReady(20*time.Second), "the nodes are not ready")
	adA, adB := listenApp(ma), listenApp(mb)
	first := newServer(ma, adA, "i-e1", "entrega", 16, 20*time.Millisecond, 1500)
	target := newServer(mb, adB, "i-c1", "consulta", 16, 20*time.Millisecond, 1500)
	third := newServer(mc, listenApp(mc), "i-p1", "perdidos", 16, 20*time.Millisecond, 1500)
	end := time.Now().Add(15 * time.Second)
	for cl.send(ma, "GET", "hulo84.example", "/consulta/warm", 2*time.Second).status != 200 {
		must(time.Now().Before(end), "no request is served")
		time.Sleep(200 * time.Millisecond)
	}
	// The planned end of the first server, and the next one at its address reuseAfterS later.
	first.leave()
	time.Sleep(2100 * time.Millisecond)
	service := "entrega"
	if trouble {
		service = "fichas"
	}
	ma.mu.Lock()
	ma.service = service
	ma.writeSettings()
	ma.mu.Unlock()
	ma.signal(syscall.SIGHUP)
	cl.rec.add("the settings of %s name service %s; SIGHUP", ma.name, service)
	second := newServer(ma, adA, "i-x2", service, 16, 20*time.Millisecond, 1500)
	// configApplyMs, contactWindowMs and some time more.
	time.Sleep(8 * time.Second)
	before := len(target.runs())
	served, own := 0, 0
	for n := range 20 {
		if cl.send(ma, "GET", "hulo84.example", fmt.Sprintf("/consulta/%d", n), 3*time.Second).status == 200 {
			served++
		}
		if cl.send(mb, "GET", "hulo84.example", fmt.Sprintf("/%s/%d", service, n), 3*time.Second).status == 200 {
			own++
		}
	}
	second.end()
	target.end()
	third.end()
	wrong := 0
	for _, rq := range target.runs()[before:] {
		if rq.caller != service {
			wrong++
		}
	}
	cl.rec.add("of %d requests from %s that ran, %d had an X-Caller-Service that is not %s; the new server served %d", served, ma.name, wrong, service, own)
	fmt.Printf("%d of %d requests from the machine of %s ran with another X-Caller-Service; its new server served %d of 20\n", wrong, served, service, own)
	must(served > 0 && own > 0, "no request ran")
	return wrong == 0
}
