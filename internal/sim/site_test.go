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
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// machine is a machine with a node, the worker beside it and its callers.
type machine struct {
	*Node
	name         string // for the recorder, since an address may be reused
	service      string
	addr         string
	number       int
	workerStarts int // starts of its workers
	worker       *actors.Worker
	client       *actors.Client
	failedChecks atomic.Int64 // consecutive readiness checks that found it not ready
	inTrouble    bool         // a trouble is acting on it
	removed      atomic.Bool  // removed for good
}

// site is a whole deployment in one process under virtual time, which speaks a
// dialect other than the product's own.
type site struct {
	*Fleet
	deployment    deployment
	recorder      *checker.Recorder
	random        *rand.Rand // used only by the goroutine that plays the day
	op            *actors.Operator
	apps          *actors.Apps
	draft         *actors.Draft // the latest configuration document
	siteMu        sync.Mutex
	machines      []*machine
	controlHosts  []string // control plane hosts as operators and applications know them
	down          map[*ControlMachine]bool
	powerless     map[string]bool          // hosts without power
	inTrouble     map[*ControlMachine]bool // control plane machines that a trouble is acting on
	endMinority   func()
	traffic       atomic.Bool
	loadPercent   atomic.Int64        // load in percent
	lastMachine   int                 // highest number of a machine
	spareMachines int                 // number of control plane machines added later
	extraRoutes   int                 // number of routes added later
	addedRoutes   []actors.RouteDraft // the added routes that exist now
	actionLog     []string
	loadFactors   map[[2]string]float64 // zone and kind of request ("" for all) to the factor of the load
}

func newSite(t testing.TB, d deployment, seed uint64) *site {
	f := NewFleet(t, Shape{CrossZoneDelay: d.latency}, seed)
	for i := len(f.ControlMachines); i < d.cores; i++ {
		f.ControlMachines = append(f.ControlMachines, &ControlMachine{Host: fmt.Sprintf("10.0.0.%d", i+1), Zone: Zones[i%len(Zones)], Disk: NewDisk()})
	}
	s := &site{Fleet: f, deployment: d, recorder: checker.New(d.bounds), powerless: map[string]bool{}, loadFactors: map[[2]string]float64{}, inTrouble: map[*ControlMachine]bool{}, random: rand.New(rand.NewPCG(seed, 21)), down: map[*ControlMachine]bool{}}
	s.loadPercent.Store(100)
	for _, c := range f.ControlMachines {
		s.controlHosts = append(s.controlHosts, c.Host)
	}
	f.Net.SetZone("10.0.9.7", "outside")
	outside := env.Env{Net: f.Net.Host("10.0.9.7"), Log: event.New("outside", nil), WallClock: time.Now}
	s.op = actors.NewOperator(outside, s.control, s.recorder, seed+1)
	s.apps = actors.NewApps(outside, s.control, s.recorder, f.g, seed+2)
	s.draft = d.draft(1)
	return s
}

// control lists the admin addresses of the control plane hosts.
func (s *site) control() []string {
	s.siteMu.Lock()
	defer s.siteMu.Unlock()
	var addresses []string
	for _, h := range s.controlHosts {
		addresses = append(addresses, h+":7003")
	}
	return addresses
}

// seedHosts lists the seed addresses that a starting process is configured with.
func (s *site) seedHosts(port int) []any {
	s.siteMu.Lock()
	defer s.siteMu.Unlock()
	var addresses []any
	for _, h := range s.controlHosts[:min(3, len(s.controlHosts))] {
		addresses = append(addresses, fmt.Sprintf("%s:%d", h, port))
	}
	return addresses
}

// lateHeartbeatShare is the part of the workers' heartbeats that arrive again, late.
const lateHeartbeatShare = 0.1

// edgeRate is the number of requests per second, over all clients, to the edges of prefixes.
const edgeRate = 6

func (s *site) say(form string, args ...any) {
	s.siteMu.Lock()
	s.actionLog = append(s.actionLog, time.Now().Format("04:05.000 ")+fmt.Sprintf(form, args...))
	s.siteMu.Unlock()
}

// up starts the whole site and has the first configuration document applied.
func (s *site) up() {
	for _, c := range s.ControlMachines {
		s.startCore(c, true)
	}
	for i := range s.deployment.nodes {
		s.add(Zones[i%len(Zones)], s.deployment.services[s.deployment.serviceOf(i)], "")
	}
	s.g.Go("first-document", func(ctx context.Context) { s.op.Send(ctx, s.draft, "", "") })
	s.g.Every("readiness", time.Second, s.poll)
}

// add starts a new machine with a worker of a service. The worker takes over the
// address addr, or gets a new one if addr is "".
func (s *site) add(area, service, addr string) *machine {
	s.siteMu.Lock()
	s.lastMachine++
	n := s.lastMachine
	s.siteMu.Unlock()
	workerHost := fmt.Sprintf("10.0.1.%d", n)
	if addr != "" {
		workerHost = hostOf(addr)
	}
	if s.deployment.nodeBandwidth > 0 {
		s.Net.LimitHost(workerHost, s.deployment.nodeBandwidth)
	}
	m := &machine{Node: &Node{Host: workerHost, Zone: area}, name: fmt.Sprint("m", n), service: service, addr: workerHost + ":9000", number: n}
	s.recorder.SetCallerService(m.name, service)
	s.startNode(m)
	s.startWorker(m)
	callerHost := fmt.Sprintf("10.0.8.%d", n)
	s.Net.SetZone(callerHost, area)
	s.Net.SetExtraDelay(callerHost, s.deployment.clientLatency)
	callerEnv := env.Env{Net: s.Net.Host(callerHost), Log: event.New(callerHost, nil), WallClock: time.Now}
	m.client = actors.NewClient(callerEnv, actors.PlainDialect, workerHost+":8000", m.name, fmt.Sprint("c", n, "-"), s.recorder, s.g, s.seed(n))
	m.client.Paused.Store(true)
	edges := actors.EdgeRequests(s.deployment.lines, edgeRate)
	for _, l := range append([]*actors.RequestKind{s.later(), edges}, s.deployment.lines...) {
		if l.Rate > 0 {
			s.g.Go("load", func(ctx context.Context) {
				m.client.Load(ctx, l, func() float64 {
					if !s.traffic.Load() || m.removed.Load() {
						return 0
					}
					return l.Rate * float64(s.loadPercent.Load()) / 100 / float64(s.deployment.nodes) * s.loadFactor(m.Zone, l.Kind)
				})
			})
		}
	}
	s.siteMu.Lock()
	s.machines = append(s.machines, m)
	s.siteMu.Unlock()
	return m
}

// later describes the requests on routes that were added later.
func (s *site) later() *actors.RequestKind {
	return &actors.RequestKind{Kind: "later", Method: "GET", Retryable: true, Rate: 8, AnswerSize: 100, WorkTime: 10 * time.Millisecond, TargetLatency: 300 * time.Millisecond, Timeout: time.Second, Retries: 1,
		DrawTarget: func(random uint64) (string, string) {
			s.siteMu.Lock()
			defer s.siteMu.Unlock()
			if n := uint64(len(s.addedRoutes)); n > 0 {
				return s.addedRoutes[random%n].Host, s.addedRoutes[random%n].Prefix
			}
			return s.deployment.lines[0].Host, s.deployment.lines[0].Prefix
		}}
}

func (s *site) seed(n int) uint64 { return uint64(n)*1000 + 7 }

// all lists the machines that were not removed.
func (s *site) all() []*machine {
	s.siteMu.Lock()
	defer s.siteMu.Unlock()
	var present []*machine
	for _, m := range s.machines {
		if !m.removed.Load() {
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
		m.worker.Kill()
		s.KillNode(m.Node)
	}
	// Callers of a machine that was lost without notice still listen.
	s.siteMu.Lock()
	list := s.machines
	s.siteMu.Unlock()
	for _, m := range list {
		m.client.Close()
	}
	s.Stop()
}
