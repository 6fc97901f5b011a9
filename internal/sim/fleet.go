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

// Shape is the size of a deployment.
type Shape struct {
	Nodes    int
	Slots    int
	Services []string
	Took     map[string]time.Duration
	Doc      string
	Lines    []standin.Line
	Nested   map[string][]standin.Line // a service's own calls; Rate is their part of its jobs
	Far      time.Duration
}

// Serves names the service of the i-th node's worker: each area has workers of
// each service.
func (s Shape) Serves(i int) string { return s.Services[(i%len(Areas)+i/len(Areas))%len(s.Services)] }

// Core is one core machine.
type Core struct {
	Host     string
	Area     string
	Region   string // of its area; none if not told
	Disk     *Disk
	Store    *store.Store
	Registry *registry.Registry
	Steps    *model.Monitor // of another cluster, whose disk this machine was given
	Seeds    []string       // hosts that it is told of; nil for those of the founding
	skew     atomic.Int64
}

// Node is one machine with a worker.
type Node struct {
	Host   string
	Area   string
	Proxy  *proxy.Proxy
	Worker *standin.Worker
	skew   atomic.Int64
	starts int
}

// Fleet is a whole mesh in one process, under virtual time.
type Fleet struct {
	T         testing.TB
	S         Shape
	Net       *Net
	Obs       *standin.Observer
	Cores     []*Core
	Nodes     []*Node
	Log       func(event.Entry)
	Steps     *model.Monitor        // checks each step of the stores against the model
	Polled    bool                  // callers leave out nodes that the platform finds unready
	Told      map[string]any        // props that every process is told
	WorkerNet func(env.Net) env.Net // what workers have in place of their network
	Stores    map[string]any        // props that every store is told
	way       *http.Transport
	g         *task.Group
	marked    *Core         // the core machine of the fault under way
	mu        sync.Mutex    // guards which processes run where, for faults that overlap
	knew      time.Duration // from the first configuration until all knew all workers
	seedAt    []string      // hosts of the core machines at the founding
}

// Areas of the fleets.
var Areas = []string{"north", "south", "east"}

// NewFleet lays out a fleet; Start brings it up.
func NewFleet(t testing.TB, s Shape, seed uint64) *Fleet {
	f := &Fleet{T: t, S: s, Net: NewNet(seed, 200*time.Microsecond, s.Far), Obs: standin.NewObserver(), Steps: model.NewMonitor(), g: task.New(context.Background())}
	for i := range 3 {
		f.Cores = append(f.Cores, &Core{Host: fmt.Sprintf("10.0.0.%d", i+1), Area: Areas[i], Disk: NewDisk()})
		f.seedAt = append(f.seedAt, f.Cores[i].Host)
	}
	for i := range s.Nodes {
		f.Nodes = append(f.Nodes, &Node{Host: fmt.Sprintf("10.0.1.%d", i+1), Area: Areas[i%3]})
	}
	f.Net.Place("10.0.9.9", "outside")
	f.way = &http.Transport{DisableKeepAlives: true, DialContext: func(ctx context.Context, _, a string) (net.Conn, error) {
		return f.Net.Host("10.0.9.9").Dial(ctx, a)
	}}
	return f
}

func (f *Fleet) seeds(port int) []any { return ports(f.seedAt, port) }

func ports(hosts []string, port int) []any {
	var out []any
	for _, h := range hosts {
		out = append(out, fmt.Sprintf("%s:%d", h, port))
	}
	return out
}

// seedsOf gives the hosts that a core machine is told of.
func (f *Fleet) seedsOf(c *Core) []string {
	if c.Seeds != nil {
		return c.Seeds
	}
	return f.seedAt
}

func (f *Fleet) props(program, node, area, host string, inner, outer int, more map[string]any) settings.Settings {
	in := map[string]any{"node": node, "area": area, "inner": fmt.Sprintf("%s:%d", host, inner), "outer": fmt.Sprintf("%s:%d", host, outer)}
	for _, all := range []map[string]any{f.Told, more} {
		for k, v := range all {
			in[k] = v
		}
	}
	v, bad := settings.Tables[program].Read(in, "")
	p, more2 := settings.FromChecked(v)
	if bad = append(bad, more2...); len(bad) > 0 {
		f.T.Fatalf("props of %s: %v", node, bad)
	}
	return p
}

func (f *Fleet) env(node, host, area string, skew *atomic.Int64) env.Env {
	f.Net.Place(host, area)
	log := event.New(node, nil)
	if f.Log != nil {
		log.SetListener(f.Log)
	}
	// A fresh start is never frozen, whatever became of the one before.
	f.Net.Freeze(node, false)
	return env.Env{Net: f.Net.Process(host, node), Log: log, Sleep: f.Net.ice(node).pause,
		WallClock: func() time.Time { return time.Now().Add(time.Duration(skew.Load())) }}
}

// StartStore starts the store of a core machine on its disk.
func (f *Fleet) StartStore(c *Core) {
	e := f.env("store-"+c.Host, c.Host, c.Area, &c.skew)
	e.FS, e.Trace = c.Disk, f.Steps.Tell
	if c.Steps != nil {
		e.Trace = c.Steps.Tell
	}
	c.Disk.ice = f.Net.ice("store-" + c.Host)
	// Each store has the seeds in another order.
	hosts := f.seedsOf(c)
	seeds := ports(hosts, 7001)
	for i, h := range hosts {
		if h == c.Host {
			seeds = append(seeds[i:], seeds[:i]...)
		}
	}
	more := map[string]any{"seeds": seeds, "data": "x"}
	for k, v := range f.Stores {
		more[k] = v
	}
	if c.Region != "" {
		more["region"] = c.Region
	}
	s, err := store.New(f.props("store", "store-"+c.Host, c.Area, c.Host, 7001, 7004, more), e)
	if err == nil {
		err = s.Start()
	}
	if err != nil {
		f.T.Fatalf("store at %s: %v", c.Host, err)
	}
	f.mu.Lock()
	c.Store = s
	f.mu.Unlock()
}

// storesOf gives the stores that a machine's registry is told of: its own first.
func (f *Fleet) storesOf(c *Core) []any {
	hosts := []string{c.Host}
	for _, h := range f.seedsOf(c) {
		if h != c.Host {
			hosts = append(hosts, h)
		}
	}
	return ports(hosts, 7001)
}

// StartRegistry starts the registry of a core machine.
func (f *Fleet) StartRegistry(c *Core) {
	e := f.env("core-"+c.Host, c.Host, c.Area, &c.skew)
	e.FS = c.Disk
	r := registry.New(f.props("registry", "core-"+c.Host, c.Area, c.Host, 7002, 7003, map[string]any{"seeds": ports(f.seedsOf(c), 7002), "stores": f.storesOf(c), "data": "x"}), e)
	if err := r.Start(); err != nil {
		f.T.Fatalf("registry at %s: %v", c.Host, err)
	}
	f.mu.Lock()
	c.Registry = r
	f.mu.Unlock()
}

// StartProxy starts the proxy of a node.
func (f *Fleet) StartProxy(n *Node) {
	x := proxy.New(f.props("proxy", "node-"+n.Host, n.Area, n.Host, 7002, 7003, map[string]any{"seeds": f.seeds(7002), "traffic": n.Host + ":8000"}),
		f.env("node-"+n.Host, n.Host, n.Area, &n.skew))
	if err := x.Start(); err != nil {
		f.T.Fatalf("proxy at %s: %v", n.Host, err)
	}
	f.mu.Lock()
	n.Proxy = x
	f.mu.Unlock()
}

// StartWorker starts a fresh worker beside a node.
func (f *Fleet) StartWorker(n *Node, service string) { f.worker(n, service, n.Host, false) }

// StartStranger starts a worker that doesn't look whom a job is for; its beats
// go out from the host's second name, which can be cut off by itself.
func (f *Fleet) StartStranger(n *Node, service string) { f.worker(n, service, n.Host+"w", true) }

func (f *Fleet) worker(n *Node, service, from string, naive bool) {
	n.starts++
	id := fmt.Sprintf("%s-%s-%d", service, strings.ReplaceAll(n.Host, ".", "-"), n.starts)
	e := f.env(id, from, n.Area, &n.skew)
	if f.WorkerNet != nil {
		e.Net = f.WorkerNet(e.Net)
	}
	w, err := standin.NewWorker(e, service, id, n.Host+":9000", n.Host+":7003", f.S.Slots, standin.Way{Took: f.S.Took[service], Naive: naive}, f.Obs)
	if err != nil {
		f.T.Fatalf("worker at %s: %v", n.Host, err)
	}
	w.Nests(n.Host+":8000", f.S.Nested[service])
	f.mu.Lock()
	n.Worker = w
	f.mu.Unlock()
}
