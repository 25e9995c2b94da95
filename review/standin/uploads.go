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
	// uploadBytes is the length of an uploaded body, an eighth of maxBodyBytes.
	uploadBytes = 8 << 20
	// uploadReadTime is the time that a slow server takes to read it.
	uploadReadTime = 8 * time.Second
	// uploadDeadline is the deadline of the client and the timeoutMs of the route.
	uploadDeadline = 20 * time.Second
	// uploadInterval is the time between two uploads on a machine.
	uploadInterval = 200 * time.Millisecond
)

// zeros is an endless body.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) { return len(p), nil }

// upload sends a request with a long body, as fast as the node takes it.
func (cl *cluster) upload(ma *machine, path string, size int) bool {
	id := newID()
	cl.rec.add("client on %s sends POST %s with %d bytes as %s", ma.name, path, size, id)
	status, err := sendBody(ma.outbound(), path, id, size)
	cl.rec.add("client gets %d for %s: %v", status, id, err)
	return err == nil && status == http.StatusOK
}

func sendBody(address, path, id string, size int) (int, error) {
	nc, err := dial(address, 0)
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	_ = nc.SetDeadline(time.Now().Add(uploadDeadline))
	if _, err = fmt.Fprintf(nc, "POST %s HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		path, id, uploadDeadline.Milliseconds(), size); err != nil {
		return 0, err
	}
	if _, err = io.Copy(nc, io.LimitReader(zeros{}, int64(size))); err != nil {
		return 0, err
	}
	res, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// uploads: clients of two machines upload bodies within maxBodyBytes, each to a service of its
// own, and the servers read them slowly. The platform kills a process that uses more than
// memoryMb.
func uploads(cl *cluster, trouble bool) bool {
	for _, zone := range []string{"centro-a", "centro-b", "centro-c"} {
		cl.add("control", "core", zone, "", 280)
	}
	fronts := []*machine{cl.add("node", "sidecar", "centro-a", "entrega", 284), cl.add("node", "sidecar", "centro-b", "consulta", 284)}
	services := []string{"perdidos", "fichas"}
	backs := []*machine{cl.add("node", "sidecar", "centro-c", services[0], 284), cl.add("node", "sidecar", "centro-a", services[1], 284)}
	cl.startAll()
	must(cl.putConfig(config(1, 0, "unsafe", int(uploadDeadline.Milliseconds()), "perdidos", "fichas", "entrega", "consulta")) == 200,
		"the first config is not acknowledged")
	must(cl.awaitReady(20*time.Second), "the nodes are not ready")
	var servers []*server
	for i, ma := range backs {
		servers = append(servers, newServer(ma, listenApp(ma), fmt.Sprintf("i-p%d", i), services[i], 64, 10*time.Millisecond, 1500))
	}
	for i, ma := range fronts {
		end := time.Now().Add(15 * time.Second)
		for !cl.upload(ma, "/"+services[i]+"/warm", uploadBytes) {
			must(time.Now().Before(end), "no request is served")
			time.Sleep(200 * time.Millisecond)
		}
	}
	for _, sv := range servers {
		if trouble {
			sv.readTime.Store(int64(uploadReadTime))
		}
	}
	stop := make(chan struct{})
	for _, ma := range cl.machines {
		go ma.watchMemory(stop)
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	sent, served := 0, 0
	end := time.Now().Add(50 * time.Second)
	for n := 0; time.Now().Before(end); n++ {
		for i, ma := range fronts {
			group.Go(func() {
				ok := cl.upload(ma, fmt.Sprintf("/%s/%d", services[i], n), uploadBytes)
				mu.Lock()
				defer mu.Unlock()
				sent++
				if ok {
					served++
				}
			})
		}
		time.Sleep(uploadInterval)
	}
	group.Wait()
	close(stop)
	for _, sv := range servers {
		sv.end()
	}
	cl.rec.add("%d of %d uploads were served", served, sent)
	fmt.Printf("%d of %d uploads were served\n", served, sent)
	return cl.heldMemory()
}
