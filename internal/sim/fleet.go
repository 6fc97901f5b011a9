package sim

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/props"
	"puffincrank/internal/proxy"
	"puffincrank/internal/registry"
	"puffincrank/internal/settings"
	"puffincrank/internal/stand"
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
	Lines    []stand.Line
	Far      time.Duration
}

// Serves names the service of the i-th node's worker: each area has workers of
// each service.
func (s Shape) Serves(i int) string { return s.Services[(i%len(Areas)+i/len(Areas))%len(s.Services)] }

// Core is one core machine.
type Core struct {
	Host     string
	Area     string
	Disk     *Disk
	Store    *store.Store
	Registry *registry.Registry
	skew     time.Duration
}

// Node is one machine with a worker.
type Node struct {
	Host   string
	Area   string
	Proxy  *proxy.Proxy
	Worker *stand.Worker
	skew   time.Duration
	starts int
}

// Fleet is a whole mesh in one process, under virtual time.
type Fleet struct {
	T      testing.TB
	S      Shape
	Net    *Net
	Obs    *stand.Observer
	Cores  []*Core
	Nodes  []*Node
	Log    func(event.Entry)
	Polled bool // callers leave out nodes that the platform finds unready
	way    *http.Transport
	g      *task.Group
	marked *Core // the core machine of the fault under way
}

// Areas of the fleets.
var Areas = []string{"north", "south", "east"}

// NewFleet lays out a fleet; Start brings it up.
func NewFleet(t testing.TB, s Shape, seed uint64) *Fleet {
	f := &Fleet{T: t, S: s, Net: NewNet(seed, 200*time.Microsecond, s.Far), Obs: stand.NewObserver(), g: task.New(context.Background())}
	for i := range 3 {
		f.Cores = append(f.Cores, &Core{Host: fmt.Sprintf("10.0.0.%d", i+1), Area: Areas[i], Disk: NewDisk()})
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

func (f *Fleet) seeds(port int) []any {
	var out []any
	for _, c := range f.Cores[:3] {
		out = append(out, fmt.Sprintf("%s:%d", c.Host, port))
	}
	return out
}

func (f *Fleet) props(program, node, area, host string, inner, outer int, more map[string]any) props.Props {
	in := map[string]any{"node": node, "area": area, "inner": fmt.Sprintf("%s:%d", host, inner), "outer": fmt.Sprintf("%s:%d", host, outer)}
	for k, v := range more {
		in[k] = v
	}
	v, bad := props.Tables[program].Read(in, "")
	p, more2 := props.Make(v)
	if bad = append(bad, more2...); len(bad) > 0 {
		f.T.Fatalf("props of %s: %v", node, bad)
	}
	return p
}

func (f *Fleet) env(node, host, area string, skew *time.Duration) env.Env {
	f.Net.Place(host, area)
	log := event.New(node, nil)
	if f.Log != nil {
		log.Tell(f.Log)
	}
	return env.Env{Net: f.Net.Host(host), Log: log, Wall: func() time.Time { return time.Now().Add(*skew) }}
}

// StartStore starts the store of a core machine on its disk.
func (f *Fleet) StartStore(c *Core) {
	e := f.env("store-"+c.Host, c.Host, c.Area, &c.skew)
	e.FS = c.Disk
	s, err := store.New(f.props("store", "store-"+c.Host, c.Area, c.Host, 7001, 7004, map[string]any{"seeds": f.seeds(7001), "data": "x"}), e)
	if err == nil {
		err = s.Start()
	}
	if err != nil {
		f.T.Fatalf("store at %s: %v", c.Host, err)
	}
	c.Store = s
}

// StartRegistry starts the registry of a core machine.
func (f *Fleet) StartRegistry(c *Core) {
	r := registry.New(f.props("registry", "core-"+c.Host, c.Area, c.Host, 7002, 7003, map[string]any{"seeds": f.seeds(7002), "stores": f.seeds(7001)}),
		f.env("core-"+c.Host, c.Host, c.Area, &c.skew))
	if err := r.Start(); err != nil {
		f.T.Fatalf("registry at %s: %v", c.Host, err)
	}
	c.Registry = r
}

// StartProxy starts the proxy of a node.
func (f *Fleet) StartProxy(n *Node) {
	x := proxy.New(f.props("proxy", "node-"+n.Host, n.Area, n.Host, 7002, 7003, map[string]any{"seeds": f.seeds(7002), "traffic": n.Host + ":8000"}),
		f.env("node-"+n.Host, n.Host, n.Area, &n.skew))
	if err := x.Start(); err != nil {
		f.T.Fatalf("proxy at %s: %v", n.Host, err)
	}
	n.Proxy = x
}

// StartWorker starts a fresh worker beside a node.
func (f *Fleet) StartWorker(n *Node, service string) {
	n.starts++
	id := fmt.Sprintf("%s-%s-%d", service, strings.ReplaceAll(n.Host, ".", "-"), n.starts)
	e := f.env(id, n.Host, n.Area, &n.skew)
	w, err := stand.NewWorker(e, service, id, n.Host+":9000", n.Host+":7003", f.S.Slots, stand.Way{Took: f.S.Took[service]}, f.Obs)
	if err != nil {
		f.T.Fatalf("worker at %s: %v", n.Host, err)
	}
	n.Worker = w
}

// Start brings all up and puts the first configuration in force.
func (f *Fleet) Start() {
	for _, c := range f.Cores {
		f.StartStore(c)
		f.StartRegistry(c)
	}
	for i, n := range f.Nodes {
		f.StartProxy(n)
		f.StartWorker(n, f.S.Serves(i))
	}
	f.Until(15*time.Second, "the first configuration is taken", func() bool {
		code, v := f.Apply(f.Fronts()[0], 0, f.S.Doc)
		// After an unknown outcome the next try may find its own change there.
		return code == 200 || code == 409 && v == 1
	})
	f.Until(15*time.Second, "all are ready and know all workers", f.Whole)
}

// Whole tells that every node is ready and knows every worker.
func (f *Fleet) Whole() bool {
	for _, n := range f.Nodes {
		if n.Proxy == nil {
			continue
		}
		if code, _ := f.Get(n.Host+":7003", "/puffin/ready"); code != 200 {
			return false
		}
		code, got := f.Get(n.Host+":7003", "/puffin/own")
		if live, _ := got["entries"].(float64); code != 200 || int(live) != f.workers() {
			return false
		}
	}
	return true
}

func (f *Fleet) workers() int {
	n := 0
	for _, m := range f.Nodes {
		if m.Worker != nil && m.Proxy != nil {
			n++
		}
	}
	return n
}

// Fronts lists the traffic addresses.
func (f *Fleet) Fronts() []string {
	var out []string
	for _, n := range f.Nodes {
		out = append(out, n.Host+":8000")
	}
	return out
}

// Until waits for a state of the fleet, in virtual time, and tells how long.
func (f *Fleet) Until(bound time.Duration, what string, ok func() bool) time.Duration {
	from := time.Now()
	for !ok() {
		if time.Since(from) > bound {
			f.T.Fatalf("not within %v: %s", bound, what)
		}
		Wait(50 * time.Millisecond)
	}
	return time.Since(from)
}

// Wait lets virtual time pass.
func Wait(d time.Duration) {
	t := time.NewTimer(d)
	<-t.C
}

// Ask makes one outside call and reads its JSON.
func (f *Fleet) Ask(method, at, uri, body string) (int, map[string]any) {
	ctx, end := context.WithTimeout(context.Background(), 10*time.Second)
	defer end()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+uri, strings.NewReader(body))
	if err != nil {
		f.T.Fatal(err)
	}
	w, err := f.way.RoundTrip(r)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = w.Body.Close() }()
	raw, err := io.ReadAll(w.Body)
	if err != nil {
		return 0, nil
	}
	var got map[string]any
	_ = json.Unmarshal(raw, &got)
	return w.StatusCode, got
}

// Get reads.
func (f *Fleet) Get(at, uri string) (int, map[string]any) { return f.Ask("GET", at, uri, "") }

// Apply sends a document to the node with this traffic or outer address.
func (f *Fleet) Apply(at string, base uint64, doc string) (int, uint64) {
	code, got := f.Ask("PUT", host(at)+":7003", fmt.Sprintf("/puffin/config?based_on=%d", base), doc)
	v, _ := got["version"].(float64)
	if code == 200 {
		f.Obs.Acked(uint64(v))
	}
	return code, uint64(v)
}

// Read parses a document for a test.
func Read(doc string) map[string]any {
	m, _, _ := settings.Parse([]byte(doc))
	return m
}
