package sim

import (
	"context"
	"time"

	"puffincrank/internal/registry"
	"puffincrank/internal/standin/actors"
	"puffincrank/internal/store"
)

// startCore starts the store and the registry of a control plane machine. Only at the very
// first start (first) may the store found a cluster.
func (s *site) startCore(c *ControlMachine, first bool) {
	s.setPower(c.Host, true)
	if s.deployment.coreBandwidth > 0 {
		s.Net.LimitHost(c.Host, s.deployment.coreBandwidth)
	}
	e := s.env("store-"+c.Host, c.Host, c.Zone, &c.skew)
	e.FS = c.Disk
	c.Disk.pauseGate = s.Net.pauseGate("store-" + c.Host)
	storeSettings := map[string]any{"seeds": s.seedHosts(7001), "data": "x", "founding": first, "bear": num(float64(s.deployment.tolerated))}
	registrySettings := map[string]any{"seeds": s.seedHosts(7002), "stores": s.seedHosts(7001), "data": "x"}
	for k, v := range s.deployment.settings() {
		storeSettings[k], registrySettings[k] = v, v
	}
	newStore, err := store.New(s.settingsOf("store", "store-"+c.Host, c.Zone, c.Host, 7001, 7004, storeSettings), e)
	if err == nil {
		err = newStore.Start()
	}
	if err != nil {
		s.T.Errorf("store at %s: %v", c.Host, err)
		return
	}
	e = s.env("core-"+c.Host, c.Host, c.Zone, &c.skew)
	e.Dialect, e.FS = actors.PlainDialect, c.Disk
	newRegistry := registry.New(s.settingsOf("registry", "core-"+c.Host, c.Zone, c.Host, 7002, 7003, registrySettings), e)
	if err := newRegistry.Start(); err != nil {
		s.T.Errorf("registry at %s: %v", c.Host, err)
	}
	s.mu.Lock()
	c.Store, c.Registry = newStore, newRegistry
	s.mu.Unlock()
	s.recordCoreChange(c, false, "started "+c.Host)
}

// recordCoreChange records a disturbance of the control plane, and whether the machine is
// down from now on.
func (s *site) recordCoreChange(c *ControlMachine, away bool, change string) {
	s.recorder.Faults.Unsettle(change)
	s.siteMu.Lock()
	s.down[c] = away
	up := 0
	for _, c := range s.ControlMachines {
		if !s.down[c] {
			up++
		}
	}
	endMinority := s.endMinority
	if lost := 2*up <= len(s.ControlMachines); lost && endMinority == nil {
		s.endMinority = s.recorder.Faults.NoMajority()
	} else if !lost && endMinority != nil {
		s.endMinority = nil
		defer endMinority()
	}
	s.siteMu.Unlock()
}

// killCore kills the store and the registry of a control plane machine. If power is
// true the machine loses its power: it sends nothing more, so peers don't see their
// connections close.
func (s *site) killCore(c *ControlMachine, power bool) {
	s.recordCoreChange(c, true, "killed "+c.Host)
	if !power {
		s.KillControlMachine(c, false)
		return
	}
	s.setPower(c.Host, false)
	c.Store.Kill()
	c.Registry.Kill()
	c.Disk.LosePower()
}

// setPower switches the power of a host off or on. When it comes back, connections
// to the host are reset.
func (s *site) setPower(host string, on bool) {
	s.siteMu.Lock()
	wasOff := s.powerless[host]
	s.powerless[host] = !on
	s.siteMu.Unlock()
	if on && wasOff {
		s.Net.Kill(host)
	}
	if on == wasOff {
		s.isolateExcept(host, !on)
	}
}

// stopCore shuts both programs of a control plane machine down gracefully and kills
// what still runs after the grace period.
func (s *site) stopCore(c *ControlMachine) {
	s.recordCoreChange(c, true, "stopped "+c.Host)
	stopped := make(chan struct{}, 2)
	s.g.Go("stop-registry", func(context.Context) { c.Registry.Stop(); stopped <- struct{}{} })
	s.g.Go("stop-store", func(context.Context) { c.Store.Stop(); stopped <- struct{}{} })
	for range 2 {
		select {
		case <-stopped:
		case <-time.After(s.deployment.bounds.Grace):
		}
	}
	s.KillControlMachine(c, false)
}

// replaceCore replaces a control plane machine by an empty one at another address.
// The lists of control plane hosts are updated 3 s later.
func (s *site) replaceCore(i int, replacement *ControlMachine) {
	old := s.controlMachines()[i]
	s.replaceControlMachine(i, replacement)
	s.siteMu.Lock()
	delete(s.down, old)
	s.siteMu.Unlock()
	s.startCore(replacement, false)
	s.g.Go("seed-lag", func(context.Context) {
		Wait(3 * time.Second)
		s.siteMu.Lock()
		defer s.siteMu.Unlock()
		for j, h := range s.controlHosts {
			if h == old.Host {
				s.controlHosts[j] = replacement.Host
			}
		}
	})
}

// poll checks the readiness of every node, as the platform does once a second, and
// takes nodes out of routing after two failed checks in a row.
func (s *site) poll(ctx context.Context) {
	machines := s.all()
	routable, total := map[string]int{}, map[string]int{}
	for _, m := range machines {
		total[m.Zone]++
		if !m.client.Paused.Load() {
			routable[m.Zone]++
		}
	}
	for _, m := range machines {
		s.g.Go("look", func(ctx context.Context) {
			code, _ := actors.CallNode(ctx, s.Net.Host("10.0.9.9"), "GET", m.Host+":7003", "/puffin/ready", nil, 900*time.Millisecond)
			s.recorder.ReadinessProbed(m.name, code == 200)
			if code == 200 {
				m.failedChecks.Store(0)
				m.client.Paused.Store(false)
				return
			}
			// A node stays routable if no more than half of the zone's nodes are.
			if m.failedChecks.Add(1) >= 2 && 2*routable[m.Zone] > total[m.Zone] {
				m.client.Paused.Store(true)
			}
		})
	}
}
