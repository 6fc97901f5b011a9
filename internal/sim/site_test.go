package sim

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/proxy"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// machine is a machine with a node, the worker beside it and its callers.
type machine struct {
	*Node
	name         string // for the witness, since an address may be reused
	service      string
	addr         string
	n            int
	workerStarts int // starts of its workers
	w            *actors.Worker
	c            *actors.Client
	failedChecks atomic.Int64 // consecutive readiness checks that found it not ready
	busy         bool         // a trouble is acting on it
	gone         atomic.Bool  // removed for good
}

// site is a whole deployment in one process under virtual time, which speaks a
// dialect other than the product's own.
type site struct {
	*Fleet
	d            deployment
	wit          *checker.Witness
	rnd          *rand.Rand // used only by the goroutine that plays the day
	op           *actors.Operator
	apps         *actors.Apps
	draft        *actors.Draft // the latest configuration document
	smu          sync.Mutex
	machines     []*machine
	controlHosts []string // control plane hosts as operators and applications know them
	down         map[*Core]bool
	dark         map[string]bool // hosts without power
	held         map[*Core]bool  // control plane machines that a trouble is acting on
	endMinority  func()
	traffic      atomic.Bool
	press        atomic.Int64 // load in percent
	lastMachine  int          // highest number of a machine
	spare        int          // number of control plane machines added later
	extra        int          // number of routes added later
	added        []actors.Way // the added routes that exist now
	said         []string
	crowds       map[[2]string]float64 // zone and kind of request ("" for all) to the factor of the load
}

func newSite(t testing.TB, d deployment, seed uint64) *site {
	f := NewFleet(t, Shape{Far: d.far}, seed)
	for i := len(f.Cores); i < d.cores; i++ {
		f.Cores = append(f.Cores, &Core{Host: fmt.Sprintf("10.0.0.%d", i+1), Area: Areas[i%len(Areas)], Disk: NewDisk()})
	}
	s := &site{Fleet: f, d: d, wit: checker.New(d.bounds), dark: map[string]bool{}, crowds: map[[2]string]float64{}, held: map[*Core]bool{}, rnd: rand.New(rand.NewPCG(seed, 21)), down: map[*Core]bool{}}
	s.press.Store(100)
	for _, c := range f.Cores {
		s.controlHosts = append(s.controlHosts, c.Host)
	}
	f.Net.Place("10.0.9.7", "outside")
	outside := env.Env{Net: f.Net.Host("10.0.9.7"), Log: event.New("outside", nil), WallClock: time.Now}
	s.op = actors.NewOperator(outside, s.control, s.wit, seed+1)
	s.apps = actors.NewApps(outside, s.control, s.wit, f.g, seed+2)
	s.draft = d.draft(1)
	return s
}

// control lists the admin addresses of the control plane hosts.
func (s *site) control() []string {
	s.smu.Lock()
	defer s.smu.Unlock()
	var addresses []string
	for _, h := range s.controlHosts {
		addresses = append(addresses, h+":7003")
	}
	return addresses
}

// seedHosts lists the seed addresses that a starting process is configured with.
func (s *site) seedHosts(port int) []any {
	s.smu.Lock()
	defer s.smu.Unlock()
	var addresses []any
	for _, h := range s.controlHosts[:min(3, len(s.controlHosts))] {
		addresses = append(addresses, fmt.Sprintf("%s:%d", h, port))
	}
	return addresses
}

func (s *site) say(form string, args ...any) {
	s.smu.Lock()
	s.said = append(s.said, time.Now().Format("04:05.000 ")+fmt.Sprintf(form, args...))
	s.smu.Unlock()
}

// up starts the whole site and has the first configuration document applied.
func (s *site) up() {
	for _, c := range s.Cores {
		s.startCore(c, true)
	}
	for i := range s.d.nodes {
		s.add(Areas[i%len(Areas)], s.d.services[s.d.serviceOf(i)], "")
	}
	s.g.Go("first-document", func(ctx context.Context) { s.op.Send(ctx, s.draft, "", "") })
	s.g.Every("readiness", time.Second, s.poll)
}

// add starts a new machine with a worker of a service. The worker takes over the
// address addr, or gets a new one if addr is "".
func (s *site) add(area, service, addr string) *machine {
	s.smu.Lock()
	s.lastMachine++
	n := s.lastMachine
	s.smu.Unlock()
	workerHost := fmt.Sprintf("10.0.1.%d", n)
	if addr != "" {
		workerHost = host(addr)
	}
	if s.d.link > 0 {
		s.Net.Thin(workerHost, s.d.link)
	}
	m := &machine{Node: &Node{Host: workerHost, Area: area}, name: fmt.Sprint("m", n), service: service, addr: workerHost + ":9000", n: n}
	s.wit.Serves(m.name, service)
	s.boot(m)
	s.startWorker(m)
	callerHost := fmt.Sprintf("10.0.8.%d", n)
	s.Net.Place(callerHost, area)
	s.Net.Lag(callerHost, s.d.clientLatency)
	callerEnv := env.Env{Net: s.Net.Host(callerHost), Log: event.New(callerHost, nil), WallClock: time.Now}
	m.c = actors.NewClient(callerEnv, actors.Plain, workerHost+":8000", m.name, fmt.Sprint("c", n, "-"), s.wit, s.g, s.seed(n))
	m.c.Out.Store(true)
	for _, l := range append([]*actors.Line{s.later()}, s.d.lines...) {
		if l.Rate > 0 {
			s.g.Go("load", func(ctx context.Context) {
				m.c.Load(ctx, l, func() float64 {
					if !s.traffic.Load() || m.gone.Load() {
						return 0
					}
					return l.Rate * float64(s.press.Load()) / 100 / float64(s.d.nodes) * s.crowd(m.Area, l.Kind)
				})
			})
		}
	}
	s.smu.Lock()
	s.machines = append(s.machines, m)
	s.smu.Unlock()
	return m
}

// later describes the requests on routes that were added later.
func (s *site) later() *actors.Line {
	return &actors.Line{Kind: "later", Method: "GET", Repeat: true, Rate: 8, Back: 100, Work: 10 * time.Millisecond, Aim: 300 * time.Millisecond, Left: time.Second, Further: 1,
		Pick: func(random uint64) (string, string) {
			s.smu.Lock()
			defer s.smu.Unlock()
			if n := uint64(len(s.added)); n > 0 {
				return s.added[random%n].Host, s.added[random%n].Prefix
			}
			return s.d.lines[0].Host, s.d.lines[0].Prefix
		}}
}

func (s *site) seed(n int) uint64 { return uint64(n)*1000 + 7 }

// boot starts the node of a machine; the witness counts it as a new process.
func (s *site) boot(m *machine) {
	m.starts++
	s.wit.Lives(m.name)
	s.wit.Touch.Begin(m.name, checker.Planned+"start")()
	settings := map[string]any{"seeds": s.seedHosts(7002), "traffic": m.Host + ":8000", "service": m.service, "worker_addr": m.addr, "beat_ms": num(1500),
		"repeat_share": num(s.d.bounds.Share), "repeat_allowance": num(s.d.bounds.Allow)}
	for k, v := range s.d.settings() {
		settings[k] = v
	}
	e := s.env("node-"+m.Host, m.Host, m.Area, &m.skew)
	e.Dialect = actors.Plain
	node := proxy.New(s.props("proxy", "node-"+m.Host, m.Area, m.Host, 7002, 7003, settings), e)
	if err := node.Start(); err != nil {
		s.T.Errorf("node at %s: %v", m.Host, err)
		return
	}
	s.mu.Lock()
	m.Proxy = node
	s.mu.Unlock()
}

func (s *site) startWorker(m *machine) {
	m.workerStarts++
	n := m.n
	id := checker.Worker{Name: fmt.Sprintf("w%d-%d", n, m.workerStarts), Service: m.service, Machine: m.name, Area: m.Area}
	e := env.Env{Net: s.Net.Host(m.Host), Log: event.New(id.Name, nil), WallClock: time.Now}
	behaviour := s.d.ways
	// Speeds differ within a service; in some services a full worker resets connections.
	behaviour.Speed = 0.8 + float64(n%5)*0.15
	behaviour.Resets = s.d.resets[m.service]
	worker, err := actors.Start(e, actors.Plain, id, m.addr, m.Host+":8000", []string{m.Host + ":7003"}, behaviour, s.wit, s.seed(n)+3)
	if err != nil {
		s.T.Errorf("worker at %s: %v", m.Host, err)
		return
	}
	m.w = worker
}

// all lists the machines that were not removed.
func (s *site) all() []*machine {
	s.smu.Lock()
	defer s.smu.Unlock()
	var present []*machine
	for _, m := range s.machines {
		if !m.gone.Load() {
			present = append(present, m)
		}
	}
	return present
}

// close kills everything at once.
func (s *site) close() {
	s.traffic.Store(false)
	s.g.Cancel()
	for _, m := range s.all() {
		m.w.Kill()
		s.KillNode(m.Node)
	}
	// Callers of a machine that was lost without notice still listen.
	s.smu.Lock()
	list := s.machines
	s.smu.Unlock()
	for _, m := range list {
		m.c.Close()
	}
	s.Stop()
}
