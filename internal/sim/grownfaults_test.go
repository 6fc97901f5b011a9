package sim

import (
	"context"
	"fmt"
	"sync"
	"time"

	"puffincrank/internal/standin/actors"
)

// loadFactor is the factor by which the load of a kind of request in a zone is multiplied.
func (s *site) loadFactor(zone, kind string) float64 {
	s.siteMu.Lock()
	defer s.siteMu.Unlock()
	factor := 1.0
	for _, key := range [][2]string{{"", ""}, {zone, ""}, {"", kind}} {
		if value := s.loadFactors[key]; value > 0 {
			factor *= value
		}
	}
	return factor
}

// degradeWorkers makes a fraction of the workers faulty for 4 to 8 seconds and waits
// meanwhile.
func (a faultRun) degradeWorkers(fraction float64, ills actors.Faults, description string) {
	workers := a.takeShare(fraction)
	for _, m := range workers {
		a.say("worker of %s: %s", m.name, description)
		m.worker.SetFaults(ills)
		defer a.releaseMachine(m)
	}
	Wait(a.ms(4000, 4000))
	for _, m := range workers {
		m.worker.SetFaults(actors.Faults{})
	}
}

// zoneFilter returns a predicate that holds for callers of one random zone, and the
// zone's name.
func (a faultRun) zoneFilter() (func(host string) bool, string) {
	zone := Zones[a.IntN(len(Zones))]
	return func(host string) bool {
		a.Net.mu.Lock()
		defer a.Net.mu.Unlock()
		return a.Net.zones[host] == zone
	}, zone
}

// grownTroubles are the faults that the grown deployments added.
var grownTroubles = []dayFault{
	{"crowd", noCore, func(a faultRun) {
		key := [][2]string{{}, {Zones[a.IntN(len(Zones))], ""}, {"", a.deployment.lines[a.IntN(len(a.deployment.lines))].Kind}}[a.IntN(3)]
		factor := 1.5 + 2.5*a.Float64()
		a.say("load surge for %q: %.1f times the load", key, factor)
		a.siteMu.Lock()
		a.loadFactors[key] = factor
		a.siteMu.Unlock()
		Wait(a.ms(2000, 3000))
		a.siteMu.Lock()
		delete(a.loadFactors, key)
		a.siteMu.Unlock()
	}},
	{"grey", noCore, func(a faultRun) {
		// The workers fail a part of their requests while their health checks succeed.
		x := 0.25 + 0.4*a.Float64()
		ills := []actors.Faults{{Fail: x}, {Shed: x}, {Tear: x}, {Hang: x / 2}, {Lose: x}, {Slow: 4 + 6*a.Float64()}}[a.IntN(6)]
		description := fmt.Sprintf("grey %+v", ills)
		if a.IntN(3) == 0 {
			var zone string
			ills.Only, zone = a.zoneFilter()
			description += " for callers of " + zone
		}
		a.degradeWorkers(0.08+0.1*a.Float64(), ills, description)
	}},
	{"false fitness", noCore, func(a faultRun) {
		// The health check succeeds while every request fails, or fails while every
		// request succeeds.
		ills := []actors.Faults{{Fail: 1}, {Tear: 1}, {Hang: 1}, {Sick: true}}[a.IntN(4)]
		description := fmt.Sprintf("false fitness %+v", ills)
		if a.IntN(3) == 0 {
			var zone string
			ills.Only, zone = a.zoneFilter()
			description += " for callers of " + zone
		}
		a.degradeWorkers(0.1, ills, description)
	}},
	{"idle race", noCore, func(a faultRun) {
		rest := a.ms(150, 500)
		a.degradeWorkers(0.4+0.2*a.Float64(), actors.Faults{Forget: rest}, fmt.Sprintf("drops connections that were idle for %v", rest))
	}},
	{"flap", noCore, func(a faultRun) {
		var running sync.WaitGroup
		gap, end := a.ms(500, 1200), time.Now().Add(a.ms(4000, 3000))
		for _, m := range a.takeShare(0.08) {
			a.say("worker of %s stops and starts every %v", m.name, gap)
			running.Add(1)
			a.g.Go("flap", func(context.Context) {
				defer running.Done()
				defer a.releaseMachine(m)
				for time.Now().Before(end) {
					m.worker.Kill()
					Wait(gap)
					a.startWorker(m)
					Wait(gap)
				}
			})
		}
		running.Wait()
	}},
	{"gone for good", noCore, func(a faultRun) {
		// Either the worker alone is lost and its node stays, or both lose power.
		for range 1 + len(a.all())/16 {
			m := a.takeMachine(a.spareable)
			if m == nil {
				return
			}
			if a.IntN(2) == 0 {
				a.say("worker of %s is lost for good", m.name)
				m.worker.Kill()
				continue
			}
			a.say("%s is lost for good", m.name)
			a.recorder.Faults.Begin(m.name, "lost")
			a.setPower(m.Host, false)
			m.worker.Kill()
			a.KillNode(m.Node)
			m.removed.Store(true)
			m.client.Paused.Store(true)
		}
	}},
	{"resets", noCore, func(a faultRun) {
		fraction := 0.3 + 0.5*a.Float64()
		var hosts []string
		for _, m := range a.takeShare(0.1 + 0.2*a.Float64()) {
			defer a.recorder.Faults.Begin(m.name, "reset")()
			defer a.releaseMachine(m)
			hosts = append(hosts, m.Host)
		}
		if a.IntN(3) == 0 {
			hosts = append(hosts, a.controlMachines()[a.IntN(len(a.controlMachines()))].Host)
			a.recorder.Faults.Unsettle("reset")
		}
		a.say("%.2f of the connections of %v are reset", fraction, hosts)
		for _, h := range hosts {
			a.Net.Reset(h, fraction)
		}
		Wait(100 * time.Millisecond)
	}},
	{"core pair", allCores, func(a faultRun) {
		// Loses as many control-plane machines at once as the site tolerates, with or
		// without their disks.
		power, wiped := a.IntN(2) == 0, a.IntN(3)
		var lost []*ControlMachine
		for i := range a.deployment.tolerated {
			core := a.anyCore()
			a.say("control-plane machine %s lost with %d others (power %v, wiped %v)", core.Host, a.deployment.tolerated-1, power, i < wiped)
			a.killCore(core, power || i < wiped)
			if i < wiped {
				core.Disk.Wipe()
			}
			lost = append(lost, core)
		}
		Wait(a.ms(500, 4000))
		for _, core := range lost {
			a.startCore(core, false)
			Wait(a.ms(0, 800))
		}
		Wait(6 * time.Second)
	}},
}
