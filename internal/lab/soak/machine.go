package soak

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"camphortrail/call"
	"camphortrail/platform"
	"camphortrail/platform/document"
)

// MachineKind says which process a machine runs.
type MachineKind int

// The kinds of machines.
const (
	ControlMachine MachineKind = iota
	NodeMachine
)

// Machine is a machine of a fleet: an address, and the process that runs there.
type Machine struct {
	Name    call.VM
	Zone    call.FailureDomain
	IP      string
	Kind    MachineKind
	Service call.Service // of a node
	// Upstream is the upstream beside a node, from Fleet.Start on.
	Upstream *Upstream
	// exchanging is held while the upstream is exchanged for another one.
	exchanging sync.Mutex
	// trouble is the troubleKind that impairs the upstream.
	trouble atomic.Int32

	fl     *Fleet
	size   ServiceSize
	folder string

	mu sync.Mutex
	// edit changes the settings, if it is not nil; see SetSettings.
	edit func(set *platform.Settings)
	// first is the last argument of Start.
	first  bool
	cmd    *exec.Cmd
	exited chan struct{}
	// ended says that the rig has ended the process, and terminated when it sent the first SIGTERM to it.
	ended      bool
	terminated time.Time
}

func (ma *Machine) addr(port int) string { return net.JoinHostPort(ma.IP, strconv.Itoa(port)) }

// CallerAddress returns the address of a node for requests.
func (ma *Machine) CallerAddress() string { return ma.addr(ma.fl.ports.callers) }

// UpstreamAddress returns the address of the upstream beside a node.
func (ma *Machine) UpstreamAddress() string { return ma.addr(ma.fl.ports.upstream) }

// ControlAddress returns the address for operators, or for reports of the upstream beside a node.
func (ma *Machine) ControlAddress() string { return ma.addr(ma.fl.ports.control) }

// PeerAddress returns the address for other processes of the system.
func (ma *Machine) PeerAddress() string { return ma.addr(ma.fl.ports.first) }

// LogPath returns the path of the log of all processes of the machine.
func (ma *Machine) LogPath() string { return filepath.Join(ma.folder, "log.jsonl") }

// DiskFolder returns the folder of the disk of a control replica.
func (ma *Machine) DiskFolder() string { return filepath.Join(ma.folder, "disk") }

func (ma *Machine) settingsPath() string { return filepath.Join(ma.folder, "settings.json") }

// settings returns the settings of the machine.
func (ma *Machine) settings() *platform.Settings {
	pt := ma.fl.ports
	set := &platform.Settings{
		Name: string(ma.Name), FailureDomain: string(ma.Zone), FailureDomains: make(map[string]string), IP: ma.IP,
		Ports:          []uint16{uint16(pt.first), uint16(pt.first + peerPorts - 1)},
		ControlAddress: ma.ControlAddress(), FirstStart: ma.first,
		GraceSeconds: Grace.Seconds(), DrainMS: float64(DrainPeriod.Milliseconds()),
		RetryRatio: retryRatio, RetrySlack: retrySlack,
	}
	for _, fd := range ma.fl.failureDomains() {
		set.FailureDomains[string(fd)] = region
	}
	for _, co := range ma.fl.Controls[:min(3, len(ma.fl.Controls))] {
		set.Seeds = append(set.Seeds, co.ControlAddress())
	}
	switch ma.Kind {
	case ControlMachine:
		set.DataFolder, set.MemoryMB, set.Descriptors = ma.DiskFolder(), controlMemoryMB, controlDescriptors
	case NodeMachine:
		set.CallerAddress, set.ReadinessAddress = ma.CallerAddress(), ma.addr(pt.readiness)
		set.Service, set.UpstreamAddress = string(ma.Service), ma.UpstreamAddress()
		set.MemoryMB, set.Descriptors = nodeMemoryMB, nodeDescriptors
	}
	if dep := ma.fl.opt.Deployment; dep != nil {
		dep.editSettings(ma, set)
	}
	if ma.edit != nil {
		ma.edit(set)
	}
	if ma.fl.opt.EditSettings != nil {
		ma.fl.opt.EditSettings(ma, set)
	}
	return set
}

// editSettings sets what a deployment states.
func (dep *Deployment) editSettings(ma *Machine, set *platform.Settings) {
	for fd := range set.FailureDomains {
		set.FailureDomains[fd] = dep.Region
	}
	set.RetryRatio, set.RetrySlack, set.RevokeMS = dep.RetryRatio, dep.RetrySlack, dep.RevokeMS
	set.MemoryMB = dep.NodeMemoryMB
	if ma.Kind == ControlMachine {
		set.MemoryMB = dep.ControlMemoryMB
	}
}

// writeSettings replaces the settings file. The caller holds ma.mu.
func (ma *Machine) writeSettings() error {
	temporary := ma.settingsPath() + ".new"
	if err := os.WriteFile(temporary, document.Encode(ma.settings()), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, ma.settingsPath())
}

// SetSettings changes the settings by edit from now on, and rewrites the file without a signal.
func (ma *Machine) SetSettings(edit func(set *platform.Settings)) error {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.edit = edit
	return ma.writeSettings()
}

// Start starts the process of the machine. first says that the whole system starts for the first
// time. The error matches ErrRunning if the process runs.
func (ma *Machine) Start(first bool) error {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if ma.running() {
		return errors.Wrap(ErrRunning, string(ma.Name))
	}
	ma.first = first
	if err := os.MkdirAll(ma.DiskFolder(), 0o755); err != nil {
		return err
	}
	if err := ma.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(ma.LogPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	command := map[MachineKind]string{ControlMachine: "platform-control", NodeMachine: "platform-node"}[ma.Kind]
	cmd := exec.Command(ma.fl.opt.Program, command)
	cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + ma.folder, "LANG=C", "GOMAXPROCS=1",
		platform.SettingsVariable + "=" + ma.settingsPath(),
	}
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with the rig, however that ends.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if ma.fl.opt.EditCommand != nil {
		ma.fl.opt.EditCommand(ma, cmd)
	}
	if err := cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	ma.cmd, ma.exited, ma.ended, ma.terminated = cmd, exited, false, time.Time{}
	ma.fl.Recorder.Add(Started{ma.Name, ma.fl.Recorder.Now()})
	go func() {
		defer close(exited)
		err := cmd.Wait()
		_ = out.Close()
		ma.mu.Lock()
		defer ma.mu.Unlock()
		ma.fl.Recorder.Add(Ended{ma.Name, ma.fl.Recorder.Now(), !ma.ended, errorText(err)})
	}()
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// startUpstream starts an upstream beside the node, which ends with ctx.
func (ma *Machine) startUpstream(ctx context.Context) error {
	up, err := NewUpstream(ctx, ma)
	if err != nil {
		return err
	}
	ma.mu.Lock()
	defer ma.mu.Unlock()
	ma.Upstream = up
	return nil
}

// Signal sends a signal to the process that the rig started on the machine, if it runs. After a
// SIGTERM or SIGKILL its end is not its own.
func (ma *Machine) Signal(sig syscall.Signal) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if !ma.running() {
		return
	}
	if sig == syscall.SIGKILL || sig == syscall.SIGTERM {
		ma.ended = true
	}
	if sig == syscall.SIGTERM && ma.terminated.IsZero() {
		ma.terminated = time.Now()
	}
	ma.fl.Recorder.Add(Signalled{ma.Name, ma.fl.Recorder.Now(), sig})
	// The process may have ended by itself, which its Ended records.
	_ = ma.cmd.Process.Signal(sig)
}

// throttle suspends the process for a time, unless it has ended. The record does not count it: a process
// that is allowed a part of a processor waits like this.
func (ma *Machine) throttle(length time.Duration) {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if !ma.running() {
		return
	}
	// The process may end meanwhile.
	_ = ma.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = ma.cmd.Process.Signal(syscall.SIGCONT)
}

// suspend suspends the process for a time. Unlike throttle, it lets other signals through meanwhile. The
// record does not count it.
func (ma *Machine) suspend(length time.Duration) {
	ma.mu.Lock()
	cmd, running := ma.cmd, ma.running()
	ma.mu.Unlock()
	if !running {
		return
	}
	// The process may end meanwhile, and os.Process then sends nothing.
	_ = cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	_ = cmd.Process.Signal(syscall.SIGCONT)
}

// lastBreak is the time before the end of the grace time from which a stopping process must run in order
// to answer what it has read.
const lastBreak = 800 * time.Millisecond

// mayBeSuspended reports whether a process that is suspended for a time from now on runs again before the
// last steps of its stop. It could answer nothing otherwise, whatever it did.
func (ma *Machine) mayBeSuspended(length time.Duration) bool {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.terminated.IsZero() || time.Since(ma.terminated)+length < Grace-2*lastBreak
}

// currentUpstream returns the upstream beside a node.
func (ma *Machine) currentUpstream() *Upstream {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.Upstream
}

// memoryKB returns the resident memory of the process in KB, or 0 if it does not run.
func (ma *Machine) memoryKB() int64 {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	if !ma.running() {
		return 0
	}
	data, err := os.ReadFile("/proc/" + strconv.Itoa(ma.cmd.Process.Pid) + "/statm")
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize()) >> 10
}

// Wait waits for the end of the process, or returns the error of ctx if that ends first.
func (ma *Machine) Wait(ctx context.Context) error {
	ma.mu.Lock()
	exited := ma.exited
	ma.mu.Unlock()
	if exited == nil {
		return nil
	}
	select {
	case <-exited:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Kill kills the process and waits for its end.
func (ma *Machine) Kill() {
	ma.Signal(syscall.SIGKILL)
	_ = ma.Wait(context.Background()) // a killed process ends
}

// Stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end of the process.
func (ma *Machine) Stop(ctx context.Context) {
	ma.Signal(syscall.SIGTERM)
	ctx, stop := context.WithTimeout(ctx, Grace)
	defer stop()
	if ma.Wait(ctx) != nil {
		ma.Kill()
	}
}

// Restart starts the process again after it has ended.
func (ma *Machine) Restart() error { return ma.Start(false) }

// Running reports whether the process runs.
func (ma *Machine) Running() bool {
	ma.mu.Lock()
	defer ma.mu.Unlock()
	return ma.running()
}

func (ma *Machine) running() bool {
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

// WipeDisk empties the disk. The process must not run.
func (ma *Machine) WipeDisk() error {
	if ma.Running() {
		return errors.Wrap(ErrRunning, string(ma.Name))
	}
	return os.RemoveAll(ma.DiskFolder())
}

// Ready asks a node once whether it is ready.
func (ma *Machine) Ready(ctx context.Context) bool {
	ctx, stop := context.WithTimeout(ctx, time.Second)
	defer stop()
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+ma.addr(ma.fl.ports.readiness)+readinessPath, nil)
	if err != nil {
		return false
	}
	res, err := client.Do(rq)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
