// Package fleetrun runs a whole cluster as real processes on loopback addresses, with
// simulated workers and callers, and injects faults. It is used by test programs only:
// the processes of the product start no others.
package fleetrun

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/sim"
	"puffincrank/internal/standin"
	"puffincrank/internal/task"
)

// Process is one process of the product.
type Process struct {
	process.Process
	Program, Host, Zone string
	settingsFile        string
	run                 *Run
	runsNewVersion      bool // runs the current version in a run that began with an earlier one
}

// Node is a machine with a proxy and a worker.
type Node struct {
	Host, Zone, Service string
	Proxy               *Process
	mu                  sync.Mutex
	Worker              *standin.Worker
	workerStarts        int
}

// ControlMachine is a machine of the control plane.
type ControlMachine struct {
	Host, Zone      string
	Store, Registry *Process
}

// Run is one run of a cluster under load and faults.
type Run struct {
	Programs, Dir   string
	Seed            uint64 // of the plan "seeded"
	OldPrograms     string // folder with programs of an earlier version that the run begins with
	Shape           sim.Shape
	Observer        *standin.Observer
	ControlMachines []*ControlMachine
	Nodes           []*Node
	tasks           *task.Group
	out             io.Writer
	transport       *http.Transport
	configVersion   uint64
	failures        []string // steps that did not have the expected outcome
	Timeline        []string // the steps with their times
	began           time.Time
}

// New prepares a run that keeps its files in a folder. All addresses begin with
// addressPrefix, such as 127.0; two runs on one machine need different prefixes.
func New(programs, dir, addressPrefix string, shape sim.Shape, out io.Writer) (*Run, error) {
	r := &Run{Programs: programs, Dir: dir, Shape: shape, Observer: standin.NewObserver(), tasks: task.New(context.Background()), out: out, began: time.Now(),
		transport: &http.Transport{DisableKeepAlives: true}}
	for i := range 3 {
		host := fmt.Sprintf("%s.1.%d", addressPrefix, i+1)
		r.ControlMachines = append(r.ControlMachines, &ControlMachine{Host: host, Zone: sim.Zones[i]})
	}
	for i, c := range r.ControlMachines {
		var err error
		c.Store, err = r.newProcess("store", fmt.Sprintf("store%d", i+1), c.Host, c.Zone, 7001, 7004,
			map[string]any{"seeds": r.seeds(7001), "data": filepath.Join(dir, fmt.Sprintf("store%d.data", i+1))})
		if err != nil {
			return nil, err
		}
		c.Registry, err = r.newProcess("registry", fmt.Sprintf("core%d", i+1), c.Host, c.Zone, 7002, 7003,
			map[string]any{"seeds": r.seeds(7002), "stores": r.seeds(7001)})
		if err != nil {
			return nil, err
		}
	}
	for i := range shape.Nodes {
		n := &Node{Host: fmt.Sprintf("%s.2.%d", addressPrefix, i+1), Zone: sim.Zones[i%3], Service: shape.ServiceOf(i)}
		var err error
		n.Proxy, err = r.newProcess("proxy", fmt.Sprintf("node%d", i+1), n.Host, n.Zone, 7002, 7003,
			map[string]any{"seeds": r.seeds(7002), "traffic": n.Host + ":8000"})
		if err != nil {
			return nil, err
		}
		r.Nodes = append(r.Nodes, n)
	}
	return r, nil
}

func (r *Run) seeds(port int) []string {
	var out []string
	for _, c := range r.ControlMachines[:3] {
		out = append(out, fmt.Sprintf("%s:%d", c.Host, port))
	}
	return out
}

func (r *Run) newProcess(program, name, host, zone string, inner, outer int, extra map[string]any) (*Process, error) {
	values := map[string]any{"node": name, "area": zone, "inner": fmt.Sprintf("%s:%d", host, inner), "outer": fmt.Sprintf("%s:%d", host, outer)}
	for k, v := range extra {
		values[k] = v
	}
	content, err := json.MarshalIndent(values, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.Dir, name+".json")
	p := &Process{Program: program, Host: host, Zone: zone, settingsFile: file, run: r}
	p.Name, p.Log, p.Command = name, filepath.Join(r.Dir, name+".log"), p.command
	return p, os.WriteFile(file, content, 0o644)
}

// command returns the command of the program in the version that it is to run.
func (p *Process) command() *exec.Cmd {
	programs := p.run.Programs
	if p.run.OldPrograms != "" && !p.runsNewVersion {
		programs = p.run.OldPrograms
	}
	return exec.Command(filepath.Join(programs, p.Program), "--props", p.settingsFile)
}

// Start starts the process. Each process has its own log file.
func (p *Process) Start() error { return p.Process.Start(p.run.tasks) }

// StartWorker starts a new worker beside a node's proxy.
func (r *Run) StartWorker(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.workerStarts++
	id := fmt.Sprintf("%s-%s-%d", n.Service, n.Proxy.Name, n.workerStarts)
	e := env.Real(id)
	e.Log = event.New(id, nil)
	w, err := standin.NewWorker(e, n.Service, id, n.Host+":9000", n.Host+":7003", r.Shape.Slots, standin.WorkerBehavior{Took: r.Shape.ServiceTimes[n.Service]}, r.Observer)
	if err == nil {
		w.NestCalls(n.Host+":8000", r.Shape.Nested[n.Service])
	}
	n.Worker = w
	return err
}

// Get makes one HTTP call and returns the status, 0 without an answer, and the JSON body.
func (r *Run) Get(method, address, uri, body string) (int, map[string]any) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	response, err := r.transport.RoundTrip(request)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = response.Body.Close() }()
	var answer map[string]any
	_ = json.NewDecoder(response.Body).Decode(&answer)
	return response.StatusCode, answer
}

// Log prints a step with its time and adds it to the timeline.
func (r *Run) Log(format string, args ...any) {
	line := fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.Timeline = append(r.Timeline, line)
	fmt.Fprintln(r.out, line)
}

// WaitFor polls a condition. It returns the time taken and whether the condition held
// before the timeout.
func (r *Run) WaitFor(timeout time.Duration, condition func() bool) (time.Duration, bool) {
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > timeout {
			return timeout, false
		}
		sleep(50 * time.Millisecond)
	}
	return time.Since(begin), true
}

func sleep(d time.Duration) {
	timer := time.NewTimer(d)
	<-timer.C
}
