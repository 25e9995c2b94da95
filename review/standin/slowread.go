package main

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

const (
	// slowAnswerBytes is the length of an answer to a download.
	slowAnswerBytes = 8 << 20
	// slowReadTime is the time that a slow client takes for it, within idleTimeoutMs, the
	// timeoutMs of the route and the deadline of the client.
	slowReadTime = 10 * time.Second
	// downloadInterval is the time between two downloads on a machine.
	downloadInterval = 400 * time.Millisecond
)

// download reads an answer, slowly or at once, and returns whether it came whole.
func (cl *cluster) download(ma *machine, path string, slow bool) bool {
	id := newID()
	cl.rec.add("client on %s sends GET %s as %s", ma.name, path, id)
	status, read, err := readAnswer(ma.outbound(), path, id, slow)
	cl.rec.add("client gets %d and %d bytes for %s: %v", status, read, id, err)
	return err == nil && status == http.StatusOK && read > slowAnswerBytes
}

func readAnswer(address, path, id string, slow bool) (status, read int, err error) {
	rcvbuf := 0
	if slow {
		rcvbuf = 64 << 10
	}
	nc, err := dial(address, rcvbuf)
	if err != nil {
		return 0, 0, err
	}
	defer nc.Close()
	const deadline = 20 * time.Second
	_ = nc.SetDeadline(time.Now().Add(deadline))
	if _, err = fmt.Fprintf(nc, "GET %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n\r\n", path, id, deadline.Milliseconds()); err != nil {
		return 0, 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, 0, err
	}
	const parts = 100
	for err == nil {
		var n int64
		n, err = io.CopyN(io.Discard, res.Body, slowAnswerBytes/parts)
		read += int(n)
		if slow {
			time.Sleep(slowReadTime / parts)
		}
	}
	if err == io.EOF {
		err = nil
	}
	return res.StatusCode, read, err
}

// slowread: clients of two machines download large answers and read them slowly. The platform
// kills a process that uses more than memoryMb.
func slowread(cl *cluster, trouble bool) bool {
	for _, zone := range []string{"centro-a", "centro-b", "centro-c"} {
		cl.add("control", "core", zone, "", 280)
	}
	fronts := []*machine{cl.add("node", "sidecar", "centro-a", "entrega", 284), cl.add("node", "sidecar", "centro-b", "consulta", 284)}
	back := cl.add("node", "sidecar", "centro-c", "perdidos", 284)
	cl.startAll()
	must(cl.putConfig(config(1, 0, "download", 20000, "perdidos", "entrega", "consulta")) == 200, "the first config is not acknowledged")
	must(cl.awaitReady(20*time.Second), "the nodes are not ready")
	sv := newServer(back, listenApp(back), "i-p1", "perdidos", 64, 10*time.Millisecond, slowAnswerBytes)
	for _, ma := range fronts {
		end := time.Now().Add(15 * time.Second)
		for !cl.download(ma, "/perdidos/warm", false) {
			must(time.Now().Before(end), "no request is served")
			time.Sleep(200 * time.Millisecond)
		}
	}
	stop := make(chan struct{})
	for _, ma := range cl.machines {
		go ma.watchMemory(stop)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, whole := 0, 0
	end := time.Now().Add(50 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		for _, ma := range fronts {
			group.Go(func() {
				ok := cl.download(ma, fmt.Sprintf("/perdidos/%d", n), trouble)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if ok {
					whole++
				}
			})
		}
		time.Sleep(downloadInterval)
	}
	group.Wait()
	close(stop)
	sv.end()
	cl.rec.add("%d of %d downloads came whole", whole, sent)
	fmt.Printf("%d of %d downloads came whole\n", whole, sent)
	return cl.heldMemory()
}

// heldMemory reports whether the rule Fault held: on fewer than two machines, processes ended by
// themselves three times.
func (cl *cluster) heldMemory() bool {
	broken := 0
	for _, ma := range cl.machines {
		cl.rec.add("%s: %d processes ended by themselves, at most %d MB used", ma.name, ma.ends, ma.peak)
		fmt.Printf("%s: %d ends, peak %d MB of %d\n", ma.name, ma.ends, ma.peak, ma.memoryMB)
		if ma.ends >= 3 {
			broken++
		}
	}
	return broken < 2
}
