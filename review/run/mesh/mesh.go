// Package mesh starts a small deployment of the project's own programs as processes on
// loopback addresses, for the cases of the review. Workers, clients and the platform are
// the stand-ins of this package.
package mesh

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of every machine, as offsets from the first one.
const (
	offsetControl = 20 + iota
	offsetOutbound
	offsetReady
	offsetInbound
	offsetApp
)

// Bounds of the small deployments, in their own units.
const (
	Contact = 3 * time.Second
	Drain   = 2 * time.Second
	Grace   = 6 * time.Second
)

// Mesh is one deployment.
type Mesh struct {
	Core   []*Machine
	Side   []*Machine
	Start  time.Time
	dir    string
	root   string
	base   int
	record *os.File
	mu     sync.Mutex
	procs  []*Process
}

// Machine is one machine of the deployment, with its processes.
type Machine struct {
	Name, IP, Service string
	Procs             []*Process
	mesh              *Mesh
}

// Process is one process of the project on a machine.
type Process struct {
	Name     string
	program  string
	settings string
	mesh     *Mesh
	cmd      *exec.Cmd
	done     chan struct{}
	Started  time.Time
}

// Fail ends the case as one that couldn't run.
func (m *Mesh) Fail(format string, args ...any) {
	m.Log("could not run: "+format, args...)
	m.Close()
	os.Exit(2)
}

// Log writes one line to the record, with the time since the start.
func (m *Mesh) Log(format string, args ...any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	line := fmt.Sprintf("%8.3f ", time.Since(m.Start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(m.record, line)
}

// New prepares a deployment of three core machines and one side machine for each of the
// services. The record is written to record.txt in the folder of the case.
func New(caseDir string, services ...string) *Mesh {
	m := &Mesh{Start: time.Now()}
	var err error
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-ended
		m.Fail("ended by a signal")
	}()
	if m.record, err = os.Create(filepath.Join(caseDir, "record.txt")); err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	m.root, _ = filepath.Abs(filepath.Join(caseDir, "..", ".."))
	if m.dir, err = os.MkdirTemp("", "review"); err != nil {
		m.Fail("%v", err)
	}
	net2 := rand.IntN(200) + 20
	zones := []string{"palermo-a", "catania-b", "messina-c"}
	for i := range 3 {
		m.Core = append(m.Core, &Machine{Name: "core-" + zones[i] + "-1", IP: fmt.Sprintf("127.%d.1.%d", net2, i+1), mesh: m})
	}
	for i, service := range services {
		m.Side = append(m.Side, &Machine{Name: fmt.Sprintf("sidecar-%s-%d", zones[i%3], i+1), IP: fmt.Sprintf("127.%d.2.%d", net2, i+1), Service: service, mesh: m})
	}
	for m.base = 20000 + 40*rand.IntN(300); !m.portsFree(); {
		m.base = 20000 + 40*rand.IntN(300)
	}
	for i, c := range m.Core {
		for _, program := range []string{"registry", "store"} {
			m.addProcess(c, program, zones[i], "core")
		}
	}
	for i, s := range m.Side {
		m.addProcess(s, "proxy", zones[i%3], "sidecar")
	}
	return m
}

func (m *Mesh) portsFree() bool {
	for _, machine := range append(append([]*Machine{}, m.Core...), m.Side...) {
		for offset := range 30 {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", machine.IP, m.base+offset))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// Control, Outbound, Ready and App are the addresses of a machine.
func (c *Machine) Control() string  { return fmt.Sprintf("%s:%d", c.IP, c.mesh.base+offsetControl) }
func (c *Machine) Outbound() string { return fmt.Sprintf("%s:%d", c.IP, c.mesh.base+offsetOutbound) }
func (c *Machine) Ready() string    { return fmt.Sprintf("%s:%d", c.IP, c.mesh.base+offsetReady) }
func (c *Machine) App() string      { return fmt.Sprintf("%s:%d", c.IP, c.mesh.base+offsetApp) }

// addProcess writes the settings file of a process, as the platform does.
func (m *Mesh) addProcess(c *Machine, program, zone, class string) {
	p := &Process{Name: c.Name + "/" + program, program: program, mesh: m, settings: filepath.Join(m.dir, c.Name+"-"+program+".toml")}
	c.Procs = append(c.Procs, p)
	m.procs = append(m.procs, p)
	p.WriteSettings(c, zone, class, true)
}

// WriteSettings writes the settings file of a process.
func (p *Process) WriteSettings(c *Machine, zone, class string, initial bool) {
	m := p.mesh
	var seeds []string
	for _, core := range m.Core {
		seeds = append(seeds, fmt.Sprintf("%q", core.Control()))
	}
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("node = %q\nrole = %q\nmachineClass = %q\nipAddress = %q\narea = %q\nregion = \"sicilia\"", c.Name, p.program, class, c.IP, zone)
	line("inner_ports = [%d,%d]\nseeds = [%s]\ninitialStart = %v\nlossCounted = %v", m.base, m.base+15, strings.Join(seeds, ","), initial, class == "core")
	line("discovery = \"static\"\nentryType = \"static\"\nheartbeatIntervalS = 1500\nconfigMode = \"highest\"")
	if class == "core" {
		line("data = %q", filepath.Join(m.dir, c.Name, p.program))
		line("[limits]\nmemoryMb = 280\nmaxFileDescriptors = 4096\ndiskMb = 256")
	} else {
		line("appAddress = %q\nservice = %q", c.App(), c.Service)
		line("[limits]\nmemoryMb = 284\nmaxFileDescriptors = 4100\ndiskMb = 0")
	}
	line("[listenAddresses]\ncontrolPlane = %q", c.Control())
	if class == "sidecar" {
		line("inbound = \"%s:%d\"\noutbound = %q\nreadiness = %q", c.IP, m.base+offsetInbound, c.Outbound(), c.Ready())
	}
	line("[areas]\npalermo-a = \"sicilia\"\ncatania-b = \"sicilia\"\nmessina-c = \"sicilia\"")
	line("[faultTolerance]\nmachines = 1\nareas = 0\nregions = 0")
	line("[bounds]\nseedLagS = 3\naddressReuseS = 2\ntouch_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\nleave_ms = 2000\ngrace_s = 6\nlossSlackS = 200\nchange_ms = 2000\nback_ms = 250")
	line("maxStretchS = 5000\nrepeat_share = 0.2\nwindow_s = 10\nrepeat_allowance = 60\nreturn_s = 15\nhistory_s = 20\nfree_ms = 1500")
	if err := os.WriteFile(p.settings, []byte(b.String()), 0o600); err != nil {
		m.Fail("%v", err)
	}
}

// Start starts the process.
func (p *Process) Start() {
	m := p.mesh
	_ = os.MkdirAll(filepath.Join(m.dir, "log"), 0o700)
	log, err := os.OpenFile(filepath.Join(m.dir, "log", strings.ReplaceAll(p.Name, "/", "-")), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		m.Fail("%v", err)
	}
	defer func() { _ = log.Close() }()
	p.cmd = exec.Command(filepath.Join(m.root, "target", p.program), "--site")
	p.cmd.Dir, p.cmd.Stdout, p.cmd.Stderr = m.root, log, log
	p.cmd.Env = []string{"PUFFINCRANK_SETTINGS=" + p.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + m.dir}
	if err := p.cmd.Start(); err != nil {
		m.Fail("%s: %v", p.Name, err)
	}
	p.Started = time.Now()
	cmd, done := p.cmd, make(chan struct{})
	p.done = done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	m.Log("%s started", p.Name)
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.mesh.Log("%s gets %v", p.Name, s)
	_ = p.cmd.Process.Signal(s)
}

// Kill ends the process at once and waits for its end.
func (p *Process) Kill() {
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// Wait waits for the end of the process, for as long as given.
func (p *Process) Wait(limit time.Duration) bool {
	select {
	case <-p.done:
		return true
	case <-time.After(limit):
		return false
	}
}

// Ended reports whether the process has ended.
func (p *Process) Ended() bool { return p.Wait(0) }

// StartAll starts all processes and waits until the whole system is ready.
func (m *Mesh) StartAll(config string) {
	for _, p := range m.procs {
		p.Start()
	}
	if !m.Until(20*time.Second, func() bool { return m.Put(m.Core[0], config) }) {
		m.Fail("the first configuration was not taken")
	}
	if !m.Until(20*time.Second, m.AllReady) {
		m.Fail("not every node became ready")
	}
}

// Put sends a configuration to a core machine.
func (m *Mesh) Put(core *Machine, config string) bool {
	code, body := m.Call("PUT", core.Control(), "/puffin/config?by=number", config)
	m.Log("PUT config to %s: %d %s", core.Name, code, body)
	return code == 200
}

// AllReady reports whether every side machine answers its readiness check.
func (m *Mesh) AllReady() bool {
	for _, s := range m.Side {
		if code, _ := m.Call("GET", s.Ready(), "/puffin/ready", ""); code != http.StatusOK {
			return false
		}
	}
	return true
}

// Until waits until a condition holds.
func (m *Mesh) Until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// Close ends all processes and removes the temporary folder. With KEEP set the folder stays.
func (m *Mesh) Close() {
	for _, p := range m.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			<-p.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(m.dir)
	} else {
		fmt.Println(m.dir)
	}
}

// Restart starts the processes of a machine again, which does not start for the first time.
func (m *Mesh) Restart(c *Machine) {
	for _, p := range c.Procs {
		p.reset()
		p.Start()
	}
}

// reset rewrites the settings as of a later start.
func (p *Process) reset() {
	raw, err := os.ReadFile(p.settings)
	if err != nil {
		p.mesh.Fail("%v", err)
	}
	text := strings.Replace(string(raw), "initialStart = true", "initialStart = false", 1)
	if err := os.WriteFile(p.settings, []byte(text), 0o600); err != nil {
		p.mesh.Fail("%v", err)
	}
}
