// Package soak runs a cluster of real processes on loopback addresses for minutes. Callers
// keep connections until a process ends, and abandon requests. Workers leave, return, crash
// and slow down. Processes are stopped, killed, paused and told to reload their settings, in
// series and overlapping, while the configuration changes and control plane machines are
// replaced. The checker of the simulated runs judges the observations; the resources that
// processes hold are read from the kernel.
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

// Options are the parameters of a soak run.
type Options struct {
	Seed          uint64
	Machines      int           // number of machines with a proxy and a worker
	Duration      time.Duration // how long disruptions are started
	Dir           string        // folder for settings, logs and data
	Program       string        // this program, which also runs the processes of the cluster
	AddressPrefix string        // the first two numbers of all addresses, such as 127.0
	Out           io.Writer
}

// machine has a proxy, the worker beside it and its callers.
type machine struct {
	name, host, zone, service string
	number                    int
	proxy                     *process.Process
	client                    *actors.Client
	mu                        sync.Mutex // guards worker, workerStarts and failedChecks
	worker                    *actors.Worker
	workerStarts              int
	failedChecks              int  // consecutive readiness checks that failed
	inUse                     bool // taken by a disruption; guarded by fleet.mu
}

// controlMachine is a machine of the control plane.
type controlMachine struct {
	name, host, zone string
	store, registry  *process.Process
	down             bool
}

// fleet is the state of one soak run.
type fleet struct {
	options                Options
	tasks                  *task.Group
	recorder               *checker.Recorder
	lines                  []*actors.RequestKind
	operator               *actors.Operator
	apps                   *actors.Apps
	machines               []*machine
	mu                     sync.Mutex
	controlMachines        []*controlMachine
	controlMachinesCreated int // control plane machines created so far
	draft                  *actors.Draft
	loadRunning            atomic.Bool
	loadPercent            atomic.Int64 // the load in percent of the configured rates
	stalls                 atomic.Int64
	began                  time.Time
	violations             []string // violations that are not among the recorder's counts
	endMinority            func()   // ends the record of a lost majority; nil while there is a majority
}

var zones = []string{"north", "middle", "south"}

// controlMachineCount is the size of the control plane; the loss of one is tolerated.
const controlMachineCount = 3

func newFleet(options Options) *fleet {
	f := &fleet{options: options, tasks: task.New(context.Background()), recorder: checker.New(deploymentBounds(options.Machines)), lines: requestLines(options.Machines), began: time.Now()}
	f.loadPercent.Store(100)
	for range controlMachineCount {
		f.controlMachines = append(f.controlMachines, f.newControlMachine(zones[len(f.controlMachines)%len(zones)]))
	}
	environment := silentEnv("outside")
	f.operator = actors.NewOperator(environment, f.controlAPIAddrs, f.recorder, options.Seed+1)
	f.apps = actors.NewApps(environment, f.controlAPIAddrs, f.recorder, f.tasks, options.Seed+2)
	f.draft = initialDraft(f.lines)
	for i := range options.Machines {
		f.machines = append(f.machines, f.newMachine(i))
	}
	return f
}

// silentEnv returns a real environment without a log, for simulated actors.
func silentEnv(name string) env.Env {
	e := env.Real(name)
	e.Log = event.New(name, nil)
	return e
}

func (f *fleet) newControlMachine(zone string) *controlMachine {
	f.controlMachinesCreated++
	c := &controlMachine{name: fmt.Sprint("core", f.controlMachinesCreated), host: fmt.Sprintf("%s.1.%d", f.options.AddressPrefix, f.controlMachinesCreated), zone: zone}
	c.store = f.newProcess("store", c.name+".store")
	c.registry = f.newProcess("registry", c.name)
	return c
}

func (f *fleet) newMachine(i int) *machine {
	m := &machine{name: fmt.Sprint("m", i+1), number: i + 1, host: fmt.Sprintf("%s.%d.%d", f.options.AddressPrefix, 2+i/250, 1+i%250), zone: zones[i%len(zones)], service: serviceOf(i)}
	m.proxy = f.newProcess("proxy", m.name)
	m.client = actors.NewClient(silentEnv(m.name), actors.PlainDialect, m.host+":8000", m.name, fmt.Sprint("c", m.number, "-"), f.recorder, f.tasks, f.options.Seed*1000+uint64(i))
	f.recorder.SetCallerService(m.name, m.service)
	return m
}

// newProcess prepares a process of the cluster.
func (f *fleet) newProcess(program, name string) *process.Process {
	settings := filepath.Join(f.options.Dir, name+".json")
	p := &process.Process{Name: name, Log: filepath.Join(f.options.Dir, name+".log")}
	p.Command = func() *exec.Cmd {
		cmd := exec.Command(f.options.Program, program)
		cmd.Env = append(os.Environ(), settingsEnvVar+"="+settings)
		return cmd
	}
	p.OnUnexpectedExit = func(_ *process.Process, code int) { f.reportViolation("%s ended by itself with %d", name, code) }
	return p
}

// reportViolation records and prints a violation.
func (f *fleet) reportViolation(format string, args ...any) {
	line := fmt.Sprintf(format, args...)
	f.mu.Lock()
	f.violations = append(f.violations, line)
	f.mu.Unlock()
	f.logf("WRONG: %s", line)
}

// logf prints a step with its time.
func (f *fleet) logf(format string, args ...any) {
	fmt.Fprintf(f.options.Out, "%7.2f s  %s\n", time.Since(f.began).Seconds(), fmt.Sprintf(format, args...))
}

// controlAPIAddrs returns the API addresses of the control plane.
func (f *fleet) controlAPIAddrs() []string { return f.controlAddrs(7003) }

// controlAddrs returns the address of a port on each control plane machine.
func (f *fleet) controlAddrs(port int) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []string
	for _, c := range f.controlMachines {
		out = append(out, fmt.Sprintf("%s:%d", c.host, port))
	}
	return out
}

// waitFor polls a condition; it returns false if the timeout expired first.
func waitFor(timeout time.Duration, condition func() bool) bool {
	for begin := time.Now(); !condition(); sleep(50 * time.Millisecond) {
		if time.Since(begin) > timeout {
			return false
		}
	}
	return true
}

func sleep(d time.Duration) { task.Sleep(context.Background(), d) }

// randomDuration draws a time of at least least and less than least+spread.
func randomDuration(r *rand.Rand, least, spread time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(spread)))
}

var errNotReady = fault.New(fault.Unknown, "not every node became ready in time")
