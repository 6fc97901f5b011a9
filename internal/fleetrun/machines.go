// Package fleetrun runs a whole mesh as real processes on loopback addresses,
// with stand-in workers and callers, and brings faults about. It is a test
// program: the product's own processes start no others.
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

// Proc is one process of the product.
type Proc struct {
	process.Process
	Program, Host, Area string
	props               string
	run                 *Run
	newer               bool // runs this version though the run began with an earlier one
}

// Node is a machine with a worker.
type Node struct {
	Host, Area, Service string
	Proxy               *Proc
	mu                  sync.Mutex
	Worker              *standin.Worker
	starts              int
}

// Core is a core machine.
type Core struct {
	Host, Area      string
	Store, Registry *Proc
}

// Run is one whole run.
type Run struct {
	Bin, Dir string
	Seed     uint64 // of the plan "seeded"
	Old      string // programs of an earlier version, to begin with
	S        sim.Shape
	Obs      *standin.Observer
	Cores    []*Core
	Nodes    []*Node
	g        *task.Group
	out      io.Writer
	way      *http.Transport
	version  uint64
	missed   []string // what did not end as it should
	Marks    []string // what was done when
	began    time.Time
}

// New lays out a run below a folder, on addresses that begin with net, such as
// 127.0: two runs on one machine must not meet.
func New(bin, dir, net string, s sim.Shape, out io.Writer) (*Run, error) {
	r := &Run{Bin: bin, Dir: dir, S: s, Obs: standin.NewObserver(), g: task.New(context.Background()), out: out, began: time.Now(),
		way: &http.Transport{DisableKeepAlives: true}}
	for i := range 3 {
		h := fmt.Sprintf("%s.1.%d", net, i+1)
		r.Cores = append(r.Cores, &Core{Host: h, Area: sim.Areas[i]})
	}
	for i, c := range r.Cores {
		var err error
		c.Store, err = r.proc("store", fmt.Sprintf("store%d", i+1), c.Host, c.Area, 7001, 7004,
			map[string]any{"seeds": r.seeds(7001), "data": filepath.Join(dir, fmt.Sprintf("store%d.data", i+1))})
		if err != nil {
			return nil, err
		}
		c.Registry, err = r.proc("registry", fmt.Sprintf("core%d", i+1), c.Host, c.Area, 7002, 7003,
			map[string]any{"seeds": r.seeds(7002), "stores": r.seeds(7001)})
		if err != nil {
			return nil, err
		}
	}
	for i := range s.Nodes {
		n := &Node{Host: fmt.Sprintf("%s.2.%d", net, i+1), Area: sim.Areas[i%3], Service: s.Serves(i)}
		var err error
		n.Proxy, err = r.proc("proxy", fmt.Sprintf("node%d", i+1), n.Host, n.Area, 7002, 7003,
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
	for _, c := range r.Cores[:3] {
		out = append(out, fmt.Sprintf("%s:%d", c.Host, port))
	}
	return out
}

func (r *Run) proc(program, name, host, area string, inner, outer int, more map[string]any) (*Proc, error) {
	in := map[string]any{"node": name, "area": area, "inner": fmt.Sprintf("%s:%d", host, inner), "outer": fmt.Sprintf("%s:%d", host, outer)}
	for k, v := range more {
		in[k] = v
	}
	raw, err := json.MarshalIndent(in, "", "  ")
	if err != nil {
		return nil, err
	}
	file := filepath.Join(r.Dir, name+".json")
	p := &Proc{Program: program, Host: host, Area: area, props: file, run: r}
	p.Name, p.Log, p.Command = name, filepath.Join(r.Dir, name+".log"), p.command
	return p, os.WriteFile(file, raw, 0o644)
}

// command is that of its program, in the version that it is to run.
func (p *Proc) command() *exec.Cmd {
	bin := p.run.Bin
	if p.run.Old != "" && !p.newer {
		bin = p.run.Old
	}
	return exec.Command(filepath.Join(bin, p.Program), "--props", p.props)
}

// Start starts the process; its log goes to a file of its own.
func (p *Proc) Start() error { return p.Process.Start(p.run.g) }

// StartWorker starts a fresh worker beside a node.
func (r *Run) StartWorker(n *Node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starts++
	id := fmt.Sprintf("%s-%s-%d", n.Service, n.Proxy.Name, n.starts)
	e := env.Real(id)
	e.Log = event.New(id, nil)
	w, err := standin.NewWorker(e, n.Service, id, n.Host+":9000", n.Host+":7003", r.S.Slots, standin.Way{Took: r.S.Took[n.Service]}, r.Obs)
	if err == nil {
		w.Nests(n.Host+":8000", r.S.Nested[n.Service])
	}
	n.Worker = w
	return err
}

// Get makes one outside call.
func (r *Run) Get(method, at, uri, body string) (int, map[string]any) {
	ctx, end := context.WithTimeout(context.Background(), 5*time.Second)
	defer end()
	q, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, strings.NewReader(body))
	if err != nil {
		return 0, nil
	}
	w, err := r.way.RoundTrip(q)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = w.Body.Close() }()
	var got map[string]any
	_ = json.NewDecoder(w.Body).Decode(&got)
	return w.StatusCode, got
}

// Mark notes what was done.
func (r *Run) Mark(form string, args ...any) {
	line := fmt.Sprintf("%6.2f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(form, args...)
	r.Marks = append(r.Marks, line)
	fmt.Fprintln(r.out, line)
}

// Until waits for a state of the fleet.
func (r *Run) Until(bound time.Duration, ok func() bool) (time.Duration, bool) {
	from := time.Now()
	for !ok() {
		if time.Since(from) > bound {
			return bound, false
		}
		pause(50 * time.Millisecond)
	}
	return time.Since(from), true
}

func pause(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}
