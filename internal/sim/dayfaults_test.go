package sim

import (
	"context"
	"sync"
	"time"

	"puffincrank/internal/standin/actors"
	"puffincrank/internal/standin/checker"
)

var generalFaults = []dayFault{
	{"release", noCore, func(a faultRun) {
		// Rolling release: replaces workers of a service one after the other.
		service := a.deployment.services[a.IntN(len(a.deployment.services))]
		for range 3 {
			m := a.takeMachine(func(m *machine) bool { return m.service == service })
			if m == nil {
				return
			}
			a.say("%s is replaced by a release", m.name)
			a.add(m.Zone, service, "")
			Wait(a.ms(1500, 1500))
			m.worker.Leave(context.Background())
			a.retire(m)
		}
	}},
	{"reuse", noCore, func(a faultRun) {
		m := a.takeMachine(a.spareable)
		if m == nil {
			return
		}
		a.say("%s ends, and its address passes to another service", m.name)
		if a.IntN(2) == 0 {
			m.worker.Leave(context.Background())
		} else {
			m.worker.Kill()
		}
		a.retire(m)
		Wait(2 * time.Second)
		a.add(m.Zone, a.deployment.services[a.IntN(len(a.deployment.services))], m.addr)
	}},
	{"scale in", noCore, func(a faultRun) {
		if m := a.takeMachine(a.spareable); m != nil {
			a.say("%s is drained and removed", m.name)
			m.worker.Leave(context.Background())
			a.retire(m)
		}
	}},
	{"crash", noCore, func(a faultRun) {
		m := a.takeMachine(nil)
		if m == nil {
			return
		}
		defer a.releaseMachine(m)
		a.say("worker of %s crashes", m.name)
		m.worker.Kill()
		Wait(a.ms(300, 1500))
		a.startWorker(m)
	}},
	{"ill", noCore, func(a faultRun) {
		ills := actors.Faults{}
		switch a.IntN(4) {
		case 0:
			ills.Lose = 0.2 + 0.7*a.Float64()
		case 1:
			ills.Spoil = 0.2 + 0.7*a.Float64()
		case 2:
			ills.Slow = 4 + 8*a.Float64()
		case 3:
			ills.Fail, ills.Lose, ills.Spoil = 0.2, 0.1, 0.1
		}
		// One or two workers, or all of a service.
		service, n := "", 1+a.IntN(2)
		if a.IntN(3) == 0 {
			service, n = a.deployment.services[a.IntN(len(a.deployment.services))], len(a.all())
		}
		var affected []*machine
		for range n {
			if m := a.takeMachine(func(m *machine) bool { return service == "" || m.service == service }); m != nil {
				a.say("worker of %s is faulty: %+v", m.name, ills)
				m.worker.SetFaults(ills)
				affected = append(affected, m)
				defer a.releaseMachine(m)
			}
		}
		Wait(a.ms(4000, 5000))
		for _, m := range affected {
			m.worker.SetFaults(actors.Faults{})
		}
	}},
	{"callers leave", noCore, func(a faultRun) {
		part := 0.2 + 0.5*a.Float64()
		a.say("%.0f in 100 callers disconnect early", 100*part)
		for _, m := range a.all() {
			m.client.SetEarlyLeaveShare(part)
		}
		Wait(a.ms(3000, 6000))
		for _, m := range a.all() {
			m.client.SetEarlyLeaveShare(0.02)
		}
	}},
	{"node kill", noCore, func(a faultRun) {
		if m := a.takeMachine(nil); m != nil {
			a.say("node of %s killed", m.name)
			a.killAndRestart(m)
			a.releaseMachine(m)
		}
	}},
	{"node power", noCore, func(a faultRun) {
		if m := a.takeMachine(nil); m != nil {
			a.say("%s loses power", m.name)
			a.powerCycle(m)
			a.releaseMachine(m)
		}
	}},
	{"herd kill", allCores, func(a faultRun) {
		affected := a.takeShare(0.2 + 0.3*a.Float64())
		a.say("%d nodes killed at once", len(affected))
		var pending sync.WaitGroup
		for _, m := range affected {
			pending.Add(1)
			a.g.Go("herd", func(context.Context) { defer pending.Done(); a.killAndRestart(m); a.releaseMachine(m) })
		}
		if a.IntN(2) == 0 {
			a.say("and all core hosts")
			for _, c := range a.controlMachines() {
				a.killCore(c, false)
			}
			Wait(a.ms(300, 600))
			for _, c := range a.controlMachines() {
				a.startCore(c, false)
			}
		}
		pending.Wait()
	}},
	{"node freeze", noCore, func(a faultRun) {
		m := a.takeMachine(nil)
		if m == nil {
			return
		}
		defer a.releaseMachine(m)
		defer a.recorder.Faults.Begin(m.name, "frozen")()
		duration := a.ms(500, 5000)
		a.say("node of %s paused for %v", m.name, duration)
		a.Net.PauseProcess("node-"+m.Host, true)
		Wait(duration)
		a.Net.PauseProcess("node-"+m.Host, false)
	}},
	{"node cut", noCore, func(a faultRun) {
		m := a.takeMachine(nil)
		if m == nil {
			return
		}
		defer a.releaseMachine(m)
		defer a.recorder.Faults.Begin(m.name, "cut")()
		duration := a.ms(1000, 6000)
		a.say("%s cut off for %v", m.name, duration)
		a.cutOff(m, true)
		Wait(duration)
		a.cutOff(m, false)
	}},
	{"node slow", noCore, func(a faultRun) {
		m := a.takeMachine(nil)
		if m == nil {
			return
		}
		defer a.releaseMachine(m)
		defer a.recorder.Faults.Begin(m.name, checker.Slowed)()
		delay := a.ms(10, 300)
		a.say("network delay of %s rises by %v", m.name, delay)
		a.Net.SetExtraDelay(m.Host, delay)
		Wait(a.ms(2000, 5000))
		a.Net.SetExtraDelay(m.Host, 0)
	}},
	{"node clock", noCore, func(a faultRun) {
		m := a.takeMachine(nil)
		if m == nil {
			return
		}
		defer a.releaseMachine(m)
		jump := time.Duration(a.IntN(20001)-10000) * time.Millisecond
		a.say("wall clock of %s jumps by %v", m.name, jump)
		a.recorder.Faults.Begin(m.name, "clock")()
		m.Skew(jump)
		Wait(a.ms(2000, 6000))
		m.Skew(0)
		a.recorder.Faults.Begin(m.name, "clock")()
	}},
	{"node roll", noCore, func(a faultRun) {
		for range 2 + a.IntN(3) {
			m := a.takeMachine(nil)
			if m == nil {
				return
			}
			a.say("node of %s restarted gracefully", m.name)
			end := a.recorder.Faults.Begin(m.name, checker.Planned+"roll")
			a.stopNode(m)
			Wait(a.ms(100, 400))
			a.startNode(m)
			end()
			a.releaseMachine(m)
			Wait(a.ms(300, 1000))
		}
	}},
	{"press", noCore, func(a faultRun) {
		percent := int64(150 + a.IntN(250))
		a.say("load is %d percent", percent)
		a.site.loadPercent.Store(percent)
		Wait(a.ms(4000, 5000))
		a.site.loadPercent.Store(100)
	}},
}
