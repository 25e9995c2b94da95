package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

// config returns a config with one route for each service, of the given kind.
func config(version, base int, kind string, timeoutMS int, services ...string) []byte {
	var list []string
	for _, name := range services {
		list = append(list, fmt.Sprintf(`{"type":"services","metadata":{"name":%q},"spec":{"healthPath":"/healthz","maxConns":1684,"protocol":"h1","tls":false}}`, name),
			fmt.Sprintf(`{"type":"routes","metadata":{"name":"r-%[1]s"},"spec":{"host":"hulo84.example","prefix":"/%[1]s/","kind":%[2]q,"timeoutMs":%[3]d,"sloMs":1500,"priority":0,"service":%[1]q,"attempts":2}}`, name, kind, timeoutMS))
	}
	list = append(list, `{"type":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	return []byte(fmt.Sprintf(`{"version":%d,"baseVersion":%d,"resources":[%s]}`, version, base, strings.Join(list, ",")))
}

// reuse: one of three servers of a busy service falls silent, and its address goes to a server of
// another service reuseAfterS later. What waits at the node for the first server goes to the
// second one.
func reuse(cl *cluster, trouble bool) bool {
	for _, zone := range []string{"centro-a", "centro-b", "centro-c"} {
		cl.add("control", "core", zone, "", 280)
	}
	front := cl.add("node", "sidecar", "centro-a", "portal", 284)
	ma := cl.add("node", "sidecar", "centro-b", "consulta", 284)
	mb := cl.add("node", "sidecar", "centro-c", "fichas", 284)
	more := []*machine{cl.add("node", "sidecar", "centro-a", "consulta", 284), cl.add("node", "sidecar", "centro-c", "consulta", 284)}
	cl.startAll()
	must(cl.putConfig(config(1, 0, "unsafe", 6000, "consulta", "fichas", "portal")) == 200, "the first config is not acknowledged")
	must(cl.awaitReady(20*time.Second), "the nodes are not ready")
	adA, adB := listenApp(ma), listenApp(mb)
	first := newServer(ma, adA, "i-c1", "consulta", 20, 50*time.Millisecond, 1500)
	other := newServer(mb, adB, "i-f1", "fichas", 128, 50*time.Millisecond, 1500)
	servers := []*server{first, other}
	for i, mm := range more {
		servers = append(servers, newServer(mm, listenApp(mm), fmt.Sprintf("i-c%d", 2+i), "consulta", 20, 50*time.Millisecond, 1500))
	}
	end := time.Now().Add(15 * time.Second)
	for cl.send(front, "POST", "hulo84.example", "/consulta/warm", 2*time.Second).status != 200 {
		must(time.Now().Before(end), "no request is served")
		time.Sleep(200 * time.Millisecond)
	}
	stop := make(chan struct{})
	var group sync.WaitGroup
	var mu sync.Mutex
	var answers []answer
	group.Go(func() {
		tick := time.NewTicker(time.Millisecond)
		defer tick.Stop()
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-tick.C:
			}
			group.Go(func() {
				an := cl.send([]*machine{front, mb}[n%2], "POST", "hulo84.example", fmt.Sprintf("/consulta/%d", n), 6*time.Second)
				mu.Lock()
				answers = append(answers, an)
				mu.Unlock()
			})
		}
	})
	time.Sleep(5 * time.Second)
	if trouble {
		first.fallSilent()
		time.Sleep(2100 * time.Millisecond)
		ma.service = "fichas"
		ma.writeSettings()
		servers = append(servers, newServer(ma, adA, "i-f2", "fichas", 128, 50*time.Millisecond, 1500))
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	for _, sv := range servers {
		sv.end()
	}
	wrong, foreign := 0, 0
	for _, sv := range servers {
		for _, rq := range sv.runs() {
			if !strings.HasPrefix(rq.path, "/"+sv.service+"/") {
				wrong++
			}
		}
	}
	for _, an := range answers {
		if an.status == 200 && !strings.HasPrefix(an.body, "consulta ") {
			foreign++
		}
	}
	cl.rec.add("requests that ran at a service that their route does not name: %d; clients that got its answer: %d", wrong, foreign)
	fmt.Printf("%d requests of /consulta/ ran at another service, %d clients got its answer with 200\n", wrong, foreign)
	return wrong == 0
}
