// Package soak runs a mesh of real processes on loopback addresses for minutes:
// callers keep their connections until a process is gone, and leave in the middle;
// workers leave, come back, crash and turn slow; processes are stopped, killed,
// frozen and told to read their settings again, in series and overlapping, while the
// configuration changes and core machines are replaced. All that is seen is judged
// by the witness of the simulated days, and what processes hold by the kernel's count.
package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/fault"
	"puffincrank/internal/fleetrun/process"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
	"puffincrank/internal/task"
)

// Options say what a soak is.
type Options struct {
	Seed    uint64
	Size    int           // machines with a node and a worker
	Long    time.Duration // how long the troubles last
	Dir     string        // for settings, logs and data
	Program string        // this program, which runs the members as well
	Net     string        // what all addresses begin with, such as 127.0
	Out     io.Writer
}

// machine has a node, the worker beside it and its callers.
type machine struct {
	name, host, area, service string
	number                    int
	node                      *process.Process
	client                    *actors.Client
	mu                        sync.Mutex
	worker                    *actors.Worker
	births                    int
	misses                    int // looks at its readiness in a row that failed
	busy                      bool
}

// core is a machine of the core.
type core struct {
	name, host, area string
	store, registry  *process.Process
	down             bool
}

// fleet is a whole run.
type fleet struct {
	o        Options
	g        *task.Group
	wit      *checker.Witness
	lines    []*actors.Line
	op       *actors.Operator
	apps     *actors.Apps
	machines []*machine
	mu       sync.Mutex
	cores    []*core
	born     int // core machines so far
	draft    *actors.Draft
	traffic  atomic.Bool
	press    atomic.Int64 // the load in percent
	stalls   atomic.Int64
	began    time.Time
	wrong    []string // what must not be, besides the witness's counts
	minority func()
}

var areas = []string{"north", "middle", "south"}

// coreSize is how many core machines there are; one may be lost.
const coreSize = 3

func newFleet(o Options) *fleet {
	f := &fleet{o: o, g: task.New(context.Background()), wit: checker.New(bounds(o.Size)), lines: lines(o.Size), began: time.Now()}
	f.press.Store(100)
	for range coreSize {
		f.cores = append(f.cores, f.newCore(areas[len(f.cores)%len(areas)]))
	}
	e := quiet("outside")
	f.op = actors.NewOperator(e, f.control, f.wit, o.Seed+1)
	f.apps = actors.NewApps(e, f.control, f.wit, f.g, o.Seed+2)
	f.draft = firstDraft(f.lines)
	for i := range o.Size {
		f.machines = append(f.machines, f.newMachine(i))
	}
	return f
}

// quiet is the machine's own network for a stand-in, which logs nothing.
func quiet(name string) env.Env {
	e := env.Real(name)
	e.Log = event.New(name, nil)
	return e
}

func (f *fleet) newCore(area string) *core {
	f.born++
	c := &core{name: fmt.Sprint("core", f.born), host: fmt.Sprintf("%s.1.%d", f.o.Net, f.born), area: area}
	c.store = f.member("store", c.name+".store")
	c.registry = f.member("registry", c.name)
	return c
}

func (f *fleet) newMachine(i int) *machine {
	m := &machine{name: fmt.Sprint("m", i+1), number: i + 1, host: fmt.Sprintf("%s.%d.%d", f.o.Net, 2+i/250, 1+i%250), area: areas[i%len(areas)], service: serviceOf(i)}
	m.node = f.member("proxy", m.name)
	m.client = actors.NewClient(quiet(m.name), actors.Plain, m.host+":8000", m.name, fmt.Sprint("c", m.number, "-"), f.wit, f.g, f.o.Seed*1000+uint64(i))
	f.wit.Serves(m.name, m.service)
	return m
}

// member is a process of the mesh.
func (f *fleet) member(program, name string) *process.Process {
	settings := filepath.Join(f.o.Dir, name+".json")
	p := &process.Process{Name: name, Log: filepath.Join(f.o.Dir, name+".log")}
	p.Command = func() *exec.Cmd {
		cmd := exec.Command(f.o.Program, program)
		cmd.Env = append(os.Environ(), settingsVariable+"="+settings)
		return cmd
	}
	p.OnUnexpectedExit = func(_ *process.Process, code int) { f.blame("%s ended by itself with %d", name, code) }
	return p
}

// blame notes what must not be.
func (f *fleet) blame(form string, args ...any) {
	line := fmt.Sprintf(form, args...)
	f.mu.Lock()
	f.wrong = append(f.wrong, line)
	f.mu.Unlock()
	f.say("WRONG: %s", line)
}

// say prints a step with its time.
func (f *fleet) say(form string, args ...any) {
	fmt.Fprintf(f.o.Out, "%7.2f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(form, args...))
}

// control lists the outer addresses of the control nodes.
func (f *fleet) control() []string { return f.seeds(7003) }

// seeds gives a port on each core machine.
func (f *fleet) seeds(port int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, c := range f.cores {
		out = append(out, fmt.Sprintf("%s:%d", c.host, port))
	}
	return out
}

// until waits for a state; false means that the bound was over before.
func until(bound time.Duration, ok func() bool) bool {
	for from := time.Now(); !ok(); pause(50 * time.Millisecond) {
		if time.Since(from) > bound {
			return false
		}
	}
	return true
}

func pause(d time.Duration) { task.Sleep(context.Background(), d) }

// span draws a time.
func span(r *rand.Rand, least, more time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(more)))
}

var errNotUp = fault.New(fault.Unknown, "not every node became ready in time")
