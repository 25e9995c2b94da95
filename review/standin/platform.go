package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// heartbeat is heartbeatMs of the settings of small deployments.
const heartbeat = 1500 * time.Millisecond

// restartDelay is the time after which the platform starts a process that has ended.
const restartDelay = 500 * time.Millisecond

// bounds are those of the site zapatera-mx (SYSTEM.md).
var bounds = map[string]any{
	"seedLagS": 3, "reuseAfterS": 2, "contactWindowMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 6,
	"lossSlackMs": 200, "configApplyMs": 2000, "rollbackSlackMs": 250, "maxSkewMs": 5000, "retryRatio": 0.2,
	"retryWindowS": 10, "retrySlack": 48, "recoveryS": 15,
}

// ports are the same on all machines.
type ports struct{ app, inbound, outbound, ready, control, first, last int }

// cluster is a small deployment: machines with loopback addresses of their own.
type cluster struct {
	root   string
	folder string
	net    int
	ports  ports
	rec    *record
	runs   map[string][]string
	tmpl   map[string]string
	zones  map[string]string
	seeds  []string

	mu       sync.Mutex
	machines []*machine
	closing  bool
}

// machine is one machine with one process of the system.
type machine struct {
	cl       *cluster
	name     string
	ip       string
	zone     string
	role     string
	class    string
	memoryMB int
	service  string

	mu        sync.Mutex
	cmd       *exec.Cmd
	done      chan struct{}
	bootstrap bool
	// kept is false while the platform does not start the process again.
	kept bool
	// ends counts the processes that ended by themselves, with those killed for their memory.
	ends int
	peak int
}

func fail(err error) {
	if err != nil {
		panic(err)
	}
}

// newCluster reads the deploy file and its templates and looks for free ports.
func newCluster(root string, rec *record) *cluster {
	cl := &cluster{root: root, rec: rec, runs: map[string][]string{}, tmpl: map[string]string{}, zones: map[string]string{}}
	text, err := os.ReadFile(filepath.Join(root, "deploy/system.toml"))
	fail(err)
	section := ""
	for _, line := range strings.Split(string(text), "\n") {
		if m := regexp.MustCompile(`^\[roles\.(\w+)\]`).FindStringSubmatch(line); m != nil {
			section = m[1]
		}
		if m := regexp.MustCompile(`^(run|template|on) = "(.*)"`).FindStringSubmatch(line); m != nil && section != "" {
			switch m[1] {
			case "run":
				cl.runs[section] = strings.Fields(m[2])
			case "template":
				tm, err := os.ReadFile(filepath.Join(root, m[2]))
				fail(err)
				cl.tmpl[section] = string(tm)
			}
		}
	}
	cl.folder, err = os.MkdirTemp("", "review-")
	fail(err)
	cl.findPorts()
	return cl
}

// findPorts chooses a loopback net and ports that nobody listens on.
func (cl *cluster) findPorts() {
	for try := range 50 {
		cl.net = 60 + (os.Getpid()+try*7)%150
		base := 21000 + (os.Getpid()*13+try*101)%9000
		cl.ports = ports{base, base + 1, base + 2, base + 3, base + 4, base + 10, base + 25}
		free := true
		for host := 1; host < 20 && free; host++ {
			for _, port := range []int{base, base + 2, base + 3, base + 4, base + 10, base + 11} {
				ln, err := net.Listen("tcp", fmt.Sprintf("127.0.%d.%d:%d", cl.net, host, port))
				if err != nil {
					free = false
					break
				}
				ln.Close()
			}
		}
		if free {
			return
		}
	}
	fail(errors.New("no free ports"))
}

// add adds a machine. Core machines are seeds, at most three of them.
func (cl *cluster) add(role, class, zone, service string, memoryMB int) *machine {
	ma := &machine{
		cl: cl, role: role, class: class, zone: zone, service: service, memoryMB: memoryMB, bootstrap: true,
		name: fmt.Sprintf("%s-%s-%d", class, zone, len(cl.machines)+1),
		ip:   fmt.Sprintf("127.0.%d.%d", cl.net, len(cl.machines)+1),
	}
	cl.machines = append(cl.machines, ma)
	cl.zones[zone] = "mx-centro"
	if class == "core" && len(cl.seeds) < 3 {
		cl.seeds = append(cl.seeds, ma.at(cl.ports.control))
	}
	return ma
}

func (ma *machine) at(port int) string { return ma.ip + ":" + strconv.Itoa(port) }

func (ma *machine) outbound() string { return ma.at(ma.cl.ports.outbound) }
func (ma *machine) control() string  { return ma.at(ma.cl.ports.control) }
func (ma *machine) app() string      { return ma.at(ma.cl.ports.app) }

// writeSettings fills in the template.
func (ma *machine) writeSettings() string {
	cl := ma.cl
	listen := map[string]any{"control": ma.control()}
	serves := []any{"control"}
	values := map[string]any{}
	if ma.class == "sidecar" {
		serves = []any{"sidecar"}
		listen["inbound"], listen["outbound"], listen["ready"] = ma.at(cl.ports.inbound), ma.outbound(), ma.at(cl.ports.ready)
		values["appAddr"], values["service"] = ma.app(), ma.service
	} else {
		dir := filepath.Join(cl.folder, ma.name+"-data")
		fail(os.MkdirAll(dir, 0o755))
		values["dataDir"] = dir
	}
	seeds := []any{}
	for _, sd := range cl.seeds {
		seeds = append(seeds, sd)
	}
	zones := map[string]any{}
	for name, region := range cl.zones {
		zones[name] = region
	}
	for key, value := range map[string]any{
		"nodeName": ma.name, "role": ma.role, "machineClass": ma.class, "serves": serves, "ip": ma.ip, "zone": ma.zone,
		"region": "mx-centro", "zones": zones, "listen": listen, "portRange": []any{cl.ports.first, cl.ports.last},
		"seeds": seeds, "bootstrap": ma.bootstrap, "inTolerance": ma.class == "core",
		"limits":      map[string]any{"cpuShare": 0.64, "cpus": 1, "memoryMb": ma.memoryMB, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 256},
		"heartbeatMs": int(heartbeat / time.Millisecond), "bounds": bounds, "discovery": "static", "entry": "static",
		"contracts":      []any{"base", "drain", "config", "cost", "retry", "recover", "pressure"},
		"faultTolerance": map[string]any{"machines": 1, "zones": 1, "regions": 0},
	} {
		values[key] = value
	}
	path := filepath.Join(cl.folder, ma.name+".yaml")
	fail(os.WriteFile(path+".new", []byte(render(cl.tmpl[ma.role], values)), 0o644))
	fail(os.Rename(path+".new", path))
	return path
}

// render fills in a template as DEPLOY.md describes it, as far as deploy/settings.json needs it.
func render(text string, values map[string]any) string {
	section := regexp.MustCompile(`(?s)\{\{#([\w.]+)\}\}(.*?)\{\{/([\w.]+)\}\}`)
	text = section.ReplaceAllStringFunc(text, func(part string) string {
		m := section.FindStringSubmatch(part)
		value := lookup(values, m[1])
		if value == nil || value == "" {
			return ""
		}
		return strings.ReplaceAll(m[2], "{{.}}", fmt.Sprint(value))
	})
	place := regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
	return place.ReplaceAllStringFunc(text, func(part string) string {
		m := place.FindStringSubmatch(part)
		value := lookup(values, m[1])
		if m[2] != "" {
			data, err := json.Marshal(value)
			fail(err)
			return string(data)
		}
		if value == nil {
			return ""
		}
		return fmt.Sprint(value)
	})
}

func lookup(values map[string]any, path string) any {
	var at any = values
	for _, key := range strings.Split(path, ".") {
		table, ok := at.(map[string]any)
		if !ok {
			return nil
		}
		at = table[key]
	}
	return at
}

// start starts the process, and keeps it running until stop or kill.
func (ma *machine) start() {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.kept = true
	ma.startLocked()
}

func (ma *machine) startLocked() {
	run := ma.cl.runs[ma.role]
	cmd := exec.Command(filepath.Join(ma.cl.root, run[0]), run[1:]...)
	cmd.Dir = ma.cl.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CAMPHORTRAIL_NODE_FILE=" + ma.writeSettings()}
	logFile, err := os.OpenFile(filepath.Join(ma.cl.folder, ma.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	fail(err)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	fail(cmd.Start())
	logFile.Close()
	ma.bootstrap = false
	ma.cmd, ma.done = cmd, make(chan struct{})
	go ma.wait(cmd, ma.done)
	ma.cl.rec.add("%s: process %d of %s started", ma.name, cmd.Process.Pid, ma.role)
}

// wait waits for the end of a process, and starts the next one if it ended by itself.
func (ma *machine) wait(cmd *exec.Cmd, done chan struct{}) {
	err := cmd.Wait()
	close(done)
	ma.mu.Lock()
	if !ma.kept || ma.cmd != cmd {
		ma.mu.Unlock()
		return
	}
	ma.ends++
	ma.mu.Unlock()
	ma.cl.rec.add("%s: process %d ended (%v)", ma.name, cmd.Process.Pid, err)
	time.Sleep(restartDelay)
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.kept && ma.cmd == cmd {
		ma.startLocked()
	}
}

// signal sends a signal to the process. Kill ends it without a new start.
func (ma *machine) signal(sg syscall.Signal) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.cmd != nil {
		_ = ma.cmd.Process.Signal(sg)
	}
}

// kill ends the process, and waits for its end.
func (ma *machine) kill() {
	ma.mu.Lock()
	ma.kept = false
	cmd, done := ma.cmd, ma.done
	ma.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGCONT)
	_ = cmd.Process.Kill()
	<-done
}

// watchMemory kills the process whenever it uses more than memoryMb, as the platform does, until
// stop is closed. It starts again after a short delay.
func (ma *machine) watchMemory(stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		ma.mu.Lock()
		cmd := ma.cmd
		ma.mu.Unlock()
		used := residentMB(cmd.Process.Pid)
		ma.mu.Lock()
		ma.peak = max(ma.peak, used)
		ma.mu.Unlock()
		if used > ma.memoryMB {
			ma.cl.rec.add("%s: process %d uses %d MB, more than memoryMb %d: killed", ma.name, cmd.Process.Pid, used, ma.memoryMB)
			_ = cmd.Process.Kill()
			time.Sleep(restartDelay / 2)
		}
	}
}

func residentMB(pid int) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(data))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(fields[1])
	return pages * os.Getpagesize() >> 20
}

// startAll starts the processes of all machines.
func (cl *cluster) startAll() {
	for _, ma := range cl.machines {
		ma.start()
	}
}

// close ends all processes and removes the folder.
func (cl *cluster) close() {
	for _, ma := range cl.machines {
		ma.kill()
	}
	if os.Getenv("KEEP") != "" {
		fmt.Fprintln(os.Stderr, "kept", cl.folder)
		return
	}
	_ = os.RemoveAll(cl.folder)
}

// operatorClient follows no redirects by itself.
var operatorClient = &http.Client{
	Timeout:       3 * time.Second,
	CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
}

// putConfig sends a config as the operator does: to any control node, again until it gets a
// final response. It returns the status.
func (cl *cluster) putConfig(document []byte) int {
	for try := 0; try < 60; try++ {
		at := cl.seeds[try%len(cl.seeds)]
		url := "http://" + at + "/camphortrail/config"
		for range 3 {
			rq, err := http.NewRequest(http.MethodPut, url, bytes.NewReader(document))
			fail(err)
			rq.Header.Set("Content-Type", "application/json")
			res, err := operatorClient.Do(rq)
			if err != nil {
				break
			}
			res.Body.Close()
			switch {
			case res.StatusCode == http.StatusTemporaryRedirect:
				url = res.Header.Get("Location")
				continue
			case res.StatusCode < 500 && res.StatusCode != 408 && res.StatusCode != 429:
				return res.StatusCode
			}
			break
		}
		time.Sleep(time.Duration(min(50*(try+1), 500)) * time.Millisecond)
	}
	return 0
}

// awaitReady waits until the nodes of all sidecar machines answer the readiness check with 200.
func (cl *cluster) awaitReady(limit time.Duration) bool {
	end := time.Now().Add(limit)
	for _, ma := range cl.machines {
		if ma.class != "sidecar" {
			continue
		}
		for {
			res, err := operatorClient.Get("http://" + ma.at(cl.ports.ready) + "/camphortrail/ready")
			if err == nil {
				res.Body.Close()
				if res.StatusCode == 200 {
					break
				}
			}
			if time.Now().After(end) {
				return false
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return true
}
