// Package rig starts a small deployment of the project's programs as processes on loopback
// addresses, with the commands and the settings of the deploy file, for the second review.
package rig

import (
	"bytes"
	"context"
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

// The ports that all machines of a deployment share.
const (
	portControl = 8306
	portReady   = 8302
	portTraffic = 8304
	portInbound = 8300
	portApp     = 8301
	portInner   = 7620
)

// Zones are the zones of the deployment, one core machine in each.
var Zones = []string{"palermo-a", "catania-b", "messina-c"}

// Machine is one machine: a core machine runs a registry and a store, a sidecar a proxy.
type Machine struct {
	Name, Host, Zone, Service string
	Core                      bool
	rig                       *Rig
	mu                        sync.Mutex
	procs                     map[string]*exec.Cmd
	done                      map[string]chan struct{}
	started                   bool
}

// Rig is one deployment.
type Rig struct {
	Root, Dir string
	Cores     []*Machine
	Sides     []*Machine
	prefix    string
	began     time.Time
	recordMu  sync.Mutex
	record    *os.File
}

// New prepares a deployment of three core machines and one sidecar for each service named.
// What happens is written to the file record.
func New(root, record string, services ...string) (*Rig, error) {
	dir, err := os.MkdirTemp("", "puffin-review-")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{Root: root, Dir: dir, began: time.Now(), record: file, prefix: freePrefix()}
	for i := range 3 {
		r.Cores = append(r.Cores, r.machine(fmt.Sprintf("core-%s-1", Zones[i]), fmt.Sprintf("%s.%d.13", r.prefix, i+1), Zones[i], "", true))
	}
	for i, service := range services {
		zone := i % 3
		r.Sides = append(r.Sides, r.machine(fmt.Sprintf("sidecar-%s-%d", Zones[zone], i/3+1), fmt.Sprintf("%s.%d.%d", r.prefix, zone+1, 20+i), Zones[zone], service, false))
	}
	return r, nil
}

// freePrefix draws the first two numbers of addresses on which nothing listens.
func freePrefix() string {
	for {
		prefix := fmt.Sprintf("127.%d", 64+rand.IntN(128))
		if l, err := net.Listen("tcp", fmt.Sprintf("%s.1.13:%d", prefix, portControl)); err == nil {
			_ = l.Close()
			return prefix
		}
	}
}

func (r *Rig) machine(name, host, zone, service string, core bool) *Machine {
	return &Machine{Name: name, Host: host, Zone: zone, Service: service, Core: core, rig: r, procs: map[string]*exec.Cmd{}, done: map[string]chan struct{}{}}
}

// Logf writes a line to the record and to standard output.
func (r *Rig) Logf(format string, args ...any) {
	fmt.Print(r.Recordf(format, args...))
}

// Recordf writes a line to the record and returns it.
func (r *Rig) Recordf(format string, args ...any) string {
	r.recordMu.Lock()
	defer r.recordMu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.record.WriteString(line)
	return line
}

// Start starts all machines.
func (r *Rig) Start() error {
	for _, m := range append(append([]*Machine(nil), r.Cores...), r.Sides...) {
		if err := m.Start(); err != nil {
			return err
		}
	}
	return nil
}

// Close ends all processes and removes the temporary folder.
func (r *Rig) Close() {
	for _, m := range append(append([]*Machine(nil), r.Cores...), r.Sides...) {
		m.Kill()
	}
	_ = os.RemoveAll(r.Dir)
	_ = r.record.Close()
}

// programs are the programs that a machine runs, as the deploy file says.
func (m *Machine) programs() []string {
	if m.Core {
		return []string{"store", "registry"}
	}
	return []string{"proxy"}
}

// Start starts the processes of the machine.
func (m *Machine) Start() error {
	for _, program := range m.programs() {
		if err := m.start(program); err != nil {
			return err
		}
	}
	m.started = true
	return nil
}

func (m *Machine) start(program string) error {
	file := filepath.Join(m.rig.Dir, m.Name+"."+program+".toml")
	if err := os.WriteFile(file, []byte(m.settings(program)), 0o644); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.rig.Dir, m.Name+"."+program+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/"+program, "--site")
	cmd.Dir, cmd.Stdout, cmd.Stderr = m.rig.Root, log, log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PUFFINCRANK_SETTINGS=" + file}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		_ = log.Close()
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	m.mu.Lock()
	m.procs[program], m.done[program] = cmd, done
	m.mu.Unlock()
	return nil
}

// Signal sends a signal to all processes of the machine.
func (m *Machine) Signal(signal syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, cmd := range m.procs {
		_ = cmd.Process.Signal(signal)
	}
}

// Kill kills the processes of the machine and waits for their ends.
func (m *Machine) Kill() {
	m.Signal(syscall.SIGKILL)
	m.Wait()
}

// Wait waits until the processes of the machine have ended.
func (m *Machine) Wait() {
	m.mu.Lock()
	var done []chan struct{}
	for _, d := range m.done {
		done = append(done, d)
	}
	m.mu.Unlock()
	for _, d := range done {
		<-d
	}
}

// Ended reports whether a process of the machine has ended.
func (m *Machine) Ended() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, d := range m.done {
		select {
		case <-d:
			return true
		default:
		}
	}
	return false
}

// Control, Traffic, Ready and App are the addresses of the machine.
func (m *Machine) Control() string { return fmt.Sprintf("%s:%d", m.Host, portControl) }

// Traffic is where clients on the machine send requests.
func (m *Machine) Traffic() string { return fmt.Sprintf("%s:%d", m.Host, portTraffic) }

// App is where the worker of the machine listens.
func (m *Machine) App() string { return fmt.Sprintf("%s:%d", m.Host, portApp) }

// settings are those of a small site, as the bench prints them.
func (m *Machine) settings(program string) string {
	class, serves, memory, files, disk := "sidecar", "sidecar", 284, 4100, 0
	extra := fmt.Sprintf("appAddress = %q\nservice = %q\n", m.App(), m.Service)
	listen := fmt.Sprintf("inbound = \"%s:%d\"\noutbound = %q\nreadiness = \"%s:%d\"\n", m.Host, portInbound, m.Traffic(), m.Host, portReady)
	if m.Core {
		class, serves, memory, files, disk = "core", "control_plane", 280, 4096, 256
		extra, listen = fmt.Sprintf("data = %q\n", filepath.Join(m.rig.Dir, m.Name+"."+program+".data")), ""
	}
	seeds := ""
	for i, c := range m.rig.Cores {
		if i > 0 {
			seeds += ","
		}
		seeds += fmt.Sprintf("%q", c.Control())
	}
	return fmt.Sprintf(`node = %q
role = %q
machineClass = %q
serves = [%q]
ipAddress = %q
area = %q
region = "sicilia"
inner_ports = [%d,%d]
seeds = [%s]
initialStart = %t
lossCounted = %t
discovery = "static"
entryType = "static"
heartbeatIntervalS = 1500
activeContracts = ["base","drain","config","cost","retry","recover","coord"]
configMode = "highest"
%s
[areas]
palermo-a = "sicilia"
catania-b = "sicilia"
messina-c = "sicilia"

[listenAddresses]
%scontrolPlane = %q

[limits]
cpuShare = 0.96
cpuCores = 1
memoryMb = %d
maxFileDescriptors = %d
bandwidthMbps = 1000.0
diskMb = %d

[faultTolerance]
machines = 1
areas = 0
regions = 0

[bounds]
seedLagS = 3
addressReuseS = 2
touch_ms = 3000
ack_ms = 4000
catch_up_s = 4
leave_ms = 2000
grace_s = 6
lossSlackS = 200
change_ms = 2000
back_ms = 250
maxStretchS = 5000
repeat_share = 0.2
window_s = 10
repeat_allowance = 60
return_s = 15
history_s = 20
free_ms = 1500
`, m.Name, program, class, serves, m.Host, m.Zone, portInner, portInner+15, seeds, !m.started, m.Core, extra, listen, m.Control(), memory, files, disk)
}

// Ready reports whether a sidecar answers the readiness question with 200.
func (m *Machine) Ready() bool {
	code, _, err := Call(http.MethodGet, fmt.Sprintf("http://%s:%d/puffin/ready", m.Host, portReady), nil, time.Second)
	return err == nil && code == http.StatusOK
}

// Call makes one call with a JSON body, on a connection of its own.
func Call(method, url string, body any, timeout time.Duration) (int, []byte, error) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, nil, err
		}
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, Proxy: nil}}
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	return resp.StatusCode, raw, err
}

// Until polls a condition and reports whether it held within the time.
func Until(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

// Route is one route of a configuration.
type Route struct {
	Host, Prefix, Repeat, Service string
	TimeoutMS, TargetMS, Tries    int
}

// Configuration returns the operator's document.
func Configuration(version int, routes ...Route) map[string]any {
	paths, services, seen := []any{}, []any{}, map[string]bool{}
	for i, r := range routes {
		paths = append(paths, map[string]any{"name": fmt.Sprintf("r-%d", i), "host": r.Host, "prefix": r.Prefix, "repeat": r.Repeat, "left_ms": r.TimeoutMS, "aim_ms": r.TargetMS, "rank": 1, "service": r.Service, "tries": r.Tries})
		if !seen[r.Service] {
			seen[r.Service] = true
			services = append(services, map[string]any{"name": r.Service, "fitness": "/health", "links": 120, "proto": "h1", "tls": false})
		}
	}
	return map[string]any{"version": version, "paths": paths, "services": services, "limits": map[string]any{"head_bytes": 16384, "body_bytes": 67108864, "head_ms": 3000, "idle_ms": 15000}}
}

// PutConfiguration sends a configuration to the core machines until one acknowledges it.
func (r *Rig) PutConfiguration(doc map[string]any, limit time.Duration) bool {
	i := 0
	return Until(limit, func() bool {
		core := r.Cores[i%len(r.Cores)]
		i++
		code, _, err := Call(http.MethodPut, "http://"+core.Control()+"/puffin/config?by=number", doc, time.Second)
		return err == nil && code == http.StatusOK
	})
}

// AwaitReady waits until all sidecars are ready.
func (r *Rig) AwaitReady(limit time.Duration) bool {
	return Until(limit, func() bool {
		for _, m := range r.Sides {
			if !m.Ready() {
				return false
			}
		}
		return true
	})
}

// Clock gives a time as the record does.
func (r *Rig) Clock(at time.Time) string {
	if at.IsZero() {
		return "never"
	}
	return fmt.Sprintf("%.3f", at.Sub(r.began).Seconds())
}
