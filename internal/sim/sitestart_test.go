package sim

import (
	"fmt"
	"time"

	"puffincrank/internal/env"
	"puffincrank/internal/event"
	"puffincrank/internal/proxy"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

// startNode starts the node of a machine; the recorder counts it as a new process.
func (s *site) startNode(m *machine) {
	m.starts++
	s.recorder.Restarted(m.name)
	s.recorder.Faults.Begin(m.name, checker.Planned+"start")()
	settings := map[string]any{"seeds": s.seedHosts(7002), "traffic": m.Host + ":8000", "service": m.service, "worker_addr": m.addr, "beat_ms": num(1500),
		"repeat_share": num(s.deployment.bounds.RetryShare), "repeat_allowance": num(s.deployment.bounds.RetryAllowance)}
	for k, v := range s.deployment.settings() {
		settings[k] = v
	}
	e := s.env("node-"+m.Host, m.Host, m.Zone, &m.skew)
	e.Dialect = actors.PlainDialect
	node := proxy.New(s.settingsOf("proxy", "node-"+m.Host, m.Zone, m.Host, 7002, 7003, settings), e)
	node.OnRegistryChange(func() {
		if workers := node.DepartedInUse(); len(workers) > 0 {
			s.T.Errorf("node at %s offers or admits to workers whose departure it holds: %v", m.Host, workers)
		}
	})
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
	n := m.number
	id := checker.Worker{Name: fmt.Sprintf("w%d-%d", n, m.workerStarts), Service: m.service, Machine: m.name, Zone: m.Zone}
	e := env.Env{Net: s.Net.Host(m.Host), Log: event.New(id.Name, nil), WallClock: time.Now}
	behaviour := s.deployment.ways
	// Speeds differ within a service; in some services a full worker resets connections.
	behaviour.TimeFactor = 0.8 + float64(n%5)*0.15
	behaviour.ResetsWhenFull = s.deployment.resets[m.service]
	behaviour.LateShare, behaviour.LateTasks = lateHeartbeatShare, s.g
	worker, err := actors.StartWorker(e, actors.PlainDialect, id, m.addr, m.Host+":8000", []string{m.Host + ":7003"}, behaviour, s.recorder, s.seed(n)+3)
	if err != nil {
		s.T.Errorf("worker at %s: %v", m.Host, err)
		return
	}
	m.worker = worker
}
