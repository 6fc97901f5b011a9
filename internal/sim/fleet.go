package sim

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/model"
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/settings"
	"puffincrank/internal/standin"
	"puffincrank/internal/store"
	"puffincrank/internal/task"
)

// Shape is the size, configuration and load of a deployment.
type Shape struct {
	Nodes          int
	Slots          int
	Services       []string
	ServiceTimes   map[string]time.Duration
	Config         string
	Lines          []standin.CallKind
	Nested         map[string][]standin.CallKind // calls made by a service's workers; Rate is the share of its requests that make the call
	CrossZoneDelay time.Duration
}

// ServiceOf returns the service of the i-th node's worker. Services are rotated so that each
// zone has workers of each service.
func (s Shape) ServiceOf(i int) string {
	return s.Services[(i%len(Zones)+i/len(Zones))%len(s.Services)]
}

// ControlMachine is one control-plane machine, which runs a store and a registry.
type ControlMachine struct {
	Host     string
	Zone     string
	Region   string // of its zone; empty if not configured
	Disk     *Disk
	Store    *store.Store
	Registry *registry.Registry
	Steps    *model.Monitor // replaces the fleet's monitor if the machine was given another cluster's disk
	Seeds    []string       // hosts that it is configured to contact; nil for the founding hosts
	skew     atomic.Int64
}

// Node is one machine with a proxy and a worker.
type Node struct {
	Host   string
	Zone   string
	Proxy  *proxy.Proxy
	Worker *standin.Worker
	skew   atomic.Int64
	starts int
}

// Fleet is a whole cluster in one process, under virtual time.
type Fleet struct {
	T               testing.TB
	Shape           Shape
	Net             *Net
	Observer        *standin.Observer
	ControlMachines []*ControlMachine
	Nodes           []*Node
	Log             func(event.Entry)
	Steps           *model.Monitor        // checks each step of the stores against the model
	PollReadiness   bool                  // callers skip nodes that the platform's health checks find unready
	Settings        map[string]any        // settings of every process
	WorkerNet       func(env.Net) env.Net // wraps the network of the workers
	StoreSettings   map[string]any        // settings of every store
	client          *http.Transport
	g               *task.Group
	faulted         *ControlMachine // the control-plane machine of the current fault
	mu              sync.Mutex      // guards which processes run where, since faults can overlap
	convergedAfter  time.Duration   // time from the first configuration until all proxies knew all workers
	seedHosts       []string        // hosts of the founding control-plane machines
}

// Zones are the zones of a fleet.
var Zones = []string{"north", "south", "east"}

// NewFleet lays out a fleet without starting any process.
func NewFleet(t testing.TB, s Shape, seed uint64) *Fleet {
	f := &Fleet{T: t, Shape: s, Net: NewNet(seed, 200*time.Microsecond, s.CrossZoneDelay), Observer: standin.NewObserver(), Steps: model.NewMonitor(), g: task.New(context.Background())}
	for i := range 3 {
		f.ControlMachines = append(f.ControlMachines, &ControlMachine{Host: fmt.Sprintf("10.0.0.%d", i+1), Zone: Zones[i], Disk: NewDisk()})
		f.seedHosts = append(f.seedHosts, f.ControlMachines[i].Host)
	}
	for i := range s.Nodes {
		f.Nodes = append(f.Nodes, &Node{Host: fmt.Sprintf("10.0.1.%d", i+1), Zone: Zones[i%3]})
	}
	f.Net.SetZone("10.0.9.9", "outside")
	f.client = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
		return f.Net.Host("10.0.9.9").Dial(ctx, address)
	}}
	return f
}

func (f *Fleet) seeds(port int) []any { return hostPorts(f.seedHosts, port) }

func hostPorts(hosts []string, port int) []any {
	var addresses []any
	for _, hostName := range hosts {
		addresses = append(addresses, fmt.Sprintf("%s:%d", hostName, port))
	}
	return addresses
}

// seedHostsOf returns the hosts that a control-plane machine is configured to contact.
func (f *Fleet) seedHostsOf(c *ControlMachine) []string {
	if c.Seeds != nil {
		return c.Seeds
	}
	return f.seedHosts
}

func (f *Fleet) settingsOf(program, node, zone, host string, innerPort, outerPort int, extra map[string]any) settings.Settings {
	input := map[string]any{"node": node, "area": zone, "inner": fmt.Sprintf("%s:%d", host, innerPort), "outer": fmt.Sprintf("%s:%d", host, outerPort)}
	for _, overrides := range []map[string]any{f.Settings, extra} {
		for name, value := range overrides {
			input[name] = value
		}
	}
	value, faults := settings.Tables[program].Read(input, "")
	result, moreFaults := settings.FromChecked(value)
	if faults = append(faults, moreFaults...); len(faults) > 0 {
		f.T.Fatalf("settings of %s: %v", node, faults)
	}
	return result
}

func (f *Fleet) env(node, host, zone string, skew *atomic.Int64) env.Env {
	f.Net.SetZone(host, zone)
	log := event.New(node, nil)
	if f.Log != nil {
		log.SetListener(f.Log)
	}
	// A new process starts unpaused even if its predecessor was killed while paused.
	f.Net.PauseProcess(node, false)
	return env.Env{Net: f.Net.Process(host, node), Log: log, Sleep: f.Net.pauseGate(node).sleep,
		WallClock: func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }}
}

// StartStore starts the store of a control-plane machine on its disk.
func (f *Fleet) StartStore(c *ControlMachine) {
	environment := f.env("store-"+c.Host, c.Host, c.Zone, &c.skew)
	environment.FS, environment.Trace = c.Disk, f.Steps.Observe
	if c.Steps != nil {
		environment.Trace = c.Steps.Observe
	}
	c.Disk.pauseGate = f.Net.pauseGate("store-" + c.Host)
	// Each store gets the seeds in a different order.
	hosts := f.seedHostsOf(c)
	seeds := hostPorts(hosts, 7001)
	for i, hostName := range hosts {
		if hostName == c.Host {
			seeds = append(seeds[i:], seeds[:i]...)
		}
	}
	extra := map[string]any{"seeds": seeds, "data": "x"}
	for name, value := range f.StoreSettings {
		extra[name] = value
	}
	if c.Region != "" {
		extra["region"] = c.Region
	}
	started, err := store.New(f.settingsOf("store", "store-"+c.Host, c.Zone, c.Host, 7001, 7004, extra), environment)
	if err == nil {
		err = started.Start()
	}
	if err != nil {
		f.T.Fatalf("store at %s: %v", c.Host, err)
	}
	f.mu.Lock()
	c.Store = started
	f.mu.Unlock()
}

// storeAddresses returns the stores that a machine's registry is configured with, its own
// first.
func (f *Fleet) storeAddresses(c *ControlMachine) []any {
	hosts := []string{c.Host}
	for _, hostName := range f.seedHostsOf(c) {
		if hostName != c.Host {
			hosts = append(hosts, hostName)
		}
	}
	return hostPorts(hosts, 7001)
}

// StartRegistry starts the registry of a control-plane machine.
func (f *Fleet) StartRegistry(c *ControlMachine) {
	environment := f.env("core-"+c.Host, c.Host, c.Zone, &c.skew)
	environment.FS = c.Disk
	started := registry.New(f.settingsOf("registry", "core-"+c.Host, c.Zone, c.Host, 7002, 7003, map[string]any{"seeds": hostPorts(f.seedHostsOf(c), 7002), "stores": f.storeAddresses(c), "data": "x"}), environment)
	if err := started.Start(); err != nil {
		f.T.Fatalf("registry at %s: %v", c.Host, err)
	}
	f.mu.Lock()
	c.Registry = started
	f.mu.Unlock()
}

// StartProxy starts the proxy of a node.
func (f *Fleet) StartProxy(n *Node) {
	started := proxy.New(f.settingsOf("proxy", "node-"+n.Host, n.Zone, n.Host, 7002, 7003, map[string]any{"seeds": f.seeds(7002), "traffic": n.Host + ":8000"}),
		f.env("node-"+n.Host, n.Host, n.Zone, &n.skew))
	if err := started.Start(); err != nil {
		f.T.Fatalf("proxy at %s: %v", n.Host, err)
	}
	f.mu.Lock()
	n.Proxy = started
	f.mu.Unlock()
}

// StartWorker starts a new worker on a node.
func (f *Fleet) StartWorker(n *Node, service string) { f.worker(n, service, n.Host, false) }

// StartUncheckedWorker starts a worker that does not check which worker a request is addressed to.
// It sends its heartbeats from a second host name, which can be cut off separately.
func (f *Fleet) StartUncheckedWorker(n *Node, service string) { f.worker(n, service, n.Host+"w", true) }

func (f *Fleet) worker(n *Node, service, sendingHost string, naive bool) {
	n.starts++
	id := fmt.Sprintf("%s-%s-%d", service, strings.ReplaceAll(n.Host, ".", "-"), n.starts)
	environment := f.env(id, sendingHost, n.Zone, &n.skew)
	if f.WorkerNet != nil {
		environment.Net = f.WorkerNet(environment.Net)
	}
	started, err := standin.NewWorker(environment, service, id, n.Host+":9000", n.Host+":7003", f.Shape.Slots, standin.WorkerBehavior{Took: f.Shape.ServiceTimes[service], Naive: naive}, f.Observer)
	if err != nil {
		f.T.Fatalf("worker at %s: %v", n.Host, err)
	}
	started.NestCalls(n.Host+":8000", f.Shape.Nested[service])
	f.mu.Lock()
	n.Worker = started
	f.mu.Unlock()
}
