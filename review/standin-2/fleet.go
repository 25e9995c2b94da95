package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine of a fleet, as in the settings of the users' platform: they are the same
// on all machines of a day.
type ports struct{ outbound, app, ready, control, first int }

// machine is one machine of the fleet: an address, and the process that runs there.
type machine struct {
	fl      *fleet
	name    string
	zone    string
	ip      string
	service string // of a sidecar machine
	core    bool
	folder  string

	mu      sync.Mutex
	cmd     *exec.Cmd
	exited  chan struct{}
	stopped bool // the test ended the process
}

// fleet is a small deployment on loopback addresses: three core machines and some sidecar machines.
type fleet struct {
	rec     *recorder
	folder  string
	program string
	net     string // the first two bytes of the addresses
	pt      ports
	cores   []*machine
	sides   []*machine
	memory  int
	tenants bool
}

var zones = []string{"centro-a", "centro-b", "centro-c"}

// newFleet prepares a fleet with a sidecar machine for each service of the list. Nothing is started.
func newFleet(rec *recorder, services []string) (*fleet, error) {
	folder, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	program, err := filepath.Abs(filepath.Join(root(), "target", "camphortrail"))
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	fl := &fleet{rec: rec, folder: folder, program: program, memory: 284}
	for try := 0; ; try++ {
		fl.net = fmt.Sprintf("127.%d.%d", 30+rand.IntN(200), rand.IntN(250))
		base := 20000 + rand.IntN(8000)
		fl.pt = ports{outbound: base, app: base + 1, ready: base + 2, control: base + 3, first: base + 10}
		if fl.portsFree(len(services)) {
			break
		}
		if try > 20 {
			return nil, fmt.Errorf("no free ports")
		}
	}
	for i, z := range zones {
		fl.cores = append(fl.cores, fl.newMachine(fmt.Sprintf("core-%s-1", z), z, 1+i, "", true))
	}
	for i, svc := range services {
		z := zones[i%len(zones)]
		fl.sides = append(fl.sides, fl.newMachine(fmt.Sprintf("sidecar-%s-%d", z, 1+i/len(zones)), z, 11+i, svc, false))
	}
	return fl, nil
}

func (fl *fleet) portsFree(n int) bool {
	for _, host := range []int{1, 2, 3, 11, 11 + n} {
		for _, p := range []int{fl.pt.outbound, fl.pt.app, fl.pt.ready, fl.pt.control, fl.pt.first, fl.pt.first + 1} {
			ln, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", fl.net, host, p))
			if err != nil {
				return false
			}
			ln.Close()
		}
	}
	return true
}

func (fl *fleet) newMachine(name, zone string, host int, svc string, core bool) *machine {
	ma := &machine{fl: fl, name: name, zone: zone, ip: fmt.Sprintf("%s.%d", fl.net, host), service: svc, core: core}
	ma.folder = filepath.Join(fl.folder, name)
	return ma
}

func (ma *machine) addr(port int) string { return fmt.Sprintf("%s:%d", ma.ip, port) }

// writeSettings writes the settings file, in the form of deploy/settings.json. first is true at the
// first start of the whole system.
func (ma *machine) writeSettings(first bool) error {
	fl := ma.fl
	seeds := []string{}
	for _, co := range fl.cores {
		seeds = append(seeds, co.addr(fl.pt.control))
	}
	zs := map[string]string{}
	for _, z := range zones {
		zs[z] = "mx-centro"
	}
	set := map[string]any{
		"name": ma.name, "failure-domain": ma.zone, "failure-domains": zs, "ip": ma.ip,
		"ports": []int{fl.pt.first, fl.pt.first + 15}, "control-address": ma.addr(fl.pt.control),
		"seeds": seeds, "first-start": first, "memory-mb": fl.memory, "descriptors": 4100,
		"grace-s": 6, "drain-ms": 2000, "retry-ratio": 0.2, "retry-slack": 48, "placement": "",
	}
	if fl.tenants {
		set["revoke-ms"], set["quota-window-s"], set["quota-overage"], set["quota-slack"] = 5000, 5, 0.1, 20
	}
	if ma.core {
		set["data-folder"] = filepath.Join(ma.folder, "data")
		set["memory-mb"], set["descriptors"] = 280, 4096
	} else {
		set["caller-address"], set["readiness-address"] = ma.addr(fl.pt.outbound), ma.addr(fl.pt.ready)
		set["service"], set["upstream-address"] = ma.service, ma.addr(fl.pt.app)
	}
	data, err := json.MarshalIndent(set, "", " ")
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Join(ma.folder, "data"), 0o755); err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(ma.folder, "local.yaml"), data, 0o644)
}

// start starts the process of the machine, with the command of the deploy file.
func (ma *machine) start(first bool) error {
	if err := ma.writeSettings(first); err != nil {
		return err
	}
	verb := "platform-node"
	if ma.core {
		verb = "platform-control"
	}
	out, err := os.OpenFile(filepath.Join(ma.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command(ma.fl.program, verb)
	cmd.Dir = root()
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + ma.folder, "LANG=C", "GOMAXPROCS=1", "CAMPHORTRAIL_NODE_FILE=" + filepath.Join(ma.folder, "local.yaml")}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this program, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return err
	}
	ma.cmd, ma.exited, ma.stopped = cmd, make(chan struct{}), false
	exited := ma.exited
	go func() {
		err := cmd.Wait()
		out.Close()
		ma.mu.Lock()
		own := !ma.stopped
		ma.mu.Unlock()
		if own {
			ma.fl.rec.add("process of %s ended by itself: %v", ma.name, err)
		}
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process that this test started on the machine.
func (ma *machine) signal(sig syscall.Signal) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		ma.stopped = true
	}
	if ma.cmd != nil {
		_ = ma.cmd.Process.Signal(sig)
	}
}

func (ma *machine) kill() {
	ma.signal(syscall.SIGKILL)
	ma.mu.Lock()
	exited := ma.exited
	ma.mu.Unlock()
	if exited != nil {
		<-exited
	}
}

// running reports whether the process runs.
func (ma *machine) running() bool {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.exited == nil {
		return false
	}
	select {
	case <-ma.exited:
		return false
	default:
		return true
	}
}

// anonymousMB returns the private memory of the process without its files, in MB, or 0.
func (ma *machine) anonymousMB() int {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.cmd == nil || ma.cmd.Process == nil {
		return 0
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", ma.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := bytes.Cut(data, []byte("RssAnon:"))
	kb := 0
	_, _ = fmt.Sscan(string(rest), &kb)
	return kb >> 10
}

// ready asks the readiness address once.
func (ma *machine) ready() bool {
	cl := http.Client{Timeout: 900 * time.Millisecond}
	defer cl.CloseIdleConnections()
	res, err := cl.Get("http://" + ma.addr(ma.fl.pt.ready) + "/camphortrail/ready")
	if err != nil {
		return false
	}
	res.Body.Close()
	return res.StatusCode == 200
}

// startAll starts all processes for the first time.
func (fl *fleet) startAll() error {
	for _, ma := range append(append([]*machine{}, fl.cores...), fl.sides...) {
		if err := ma.start(true); err != nil {
			return err
		}
	}
	return nil
}

// close ends all processes that the fleet started, and removes its folder.
func (fl *fleet) close() {
	for _, ma := range append(append([]*machine{}, fl.cores...), fl.sides...) {
		ma.signal(syscall.SIGCONT)
		ma.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(fl.folder)
	} else {
		fmt.Println("kept", fl.folder)
	}
}

// operator sends configurations as the operator of the pages does.
type operator struct {
	fl      *fleet
	version int
	cl      http.Client
}

func newOperator(fl *fleet) *operator {
	return &operator{fl: fl, cl: http.Client{Timeout: time.Second}}
}

// once sends a document to one core machine, and follows a redirect twice.
func (op *operator) once(host *machine, doc []byte) (int, string, error) {
	url := "http://" + host.addr(op.fl.pt.control) + "/camphortrail/config"
	rq, err := http.NewRequest("PUT", url, bytes.NewReader(doc))
	if err != nil {
		return 0, "", err
	}
	rq.Header.Set("Content-Type", "application/json")
	res, err := op.cl.Do(rq)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	text, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(text), nil
}

// apply sends a document until it has a clear answer, or until the time is over.
func (op *operator) apply(doc []byte, limit time.Duration) (int, string) {
	end := time.Now().Add(limit)
	pause := 50 * time.Millisecond
	for i := 0; time.Now().Before(end); i++ {
		status, text, err := op.once(op.fl.cores[i%len(op.fl.cores)], doc)
		if err == nil && status < 500 && status != 408 && status != 429 {
			return status, text
		}
		time.Sleep(pause)
		pause = min(2*pause, 400*time.Millisecond)
	}
	return 0, "no clear answer"
}

// resource is an item of a configuration.
func resource(kind, name string, spec map[string]any) map[string]any {
	return map[string]any{"type": kind, "metadata": map[string]any{"name": name}, "spec": spec}
}

// document returns the next configuration.
func (op *operator) document(resources []map[string]any) []byte {
	base := op.version
	op.version++
	data, _ := json.Marshal(map[string]any{"version": op.version, "baseVersion": base, "resources": resources})
	return data
}

// limits are those of the example in PROTOCOL.md.
func limits() map[string]any {
	return resource("limits", "", map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000})
}

func serviceSpec(name string) map[string]any {
	return resource("services", name, map[string]any{"healthPath": "/healthz", "maxConns": 1684, "protocol": "h1", "tls": false})
}

func route(name, prefix, kind, svc string, timeoutMs, sloMs, priority, attempts int) map[string]any {
	return resource("routes", name, map[string]any{
		"host": "hulo84.example", "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "sloMs": sloMs,
		"priority": priority, "service": svc, "attempts": attempts,
	})
}
