package fleetrun

import (
	"syscall"
	"time"

	"puffincrank/internal/standin"
)

// step is one fault or operation of a plan.
type step struct {
	fraction    float64 // when it begins, as a fraction of the run's duration
	description string
	run         func(*Run)
}

// Plans are the steps of each plan by its name.
var Plans = map[string][]step{
	"calm":   nil,
	"seeded": nil, // draws its steps at random, see seeded.go
	"short":  shortPlan,
	// Single control plane processes, workers and proxies are killed and come back, a
	// proxy is paused, a change is applied, and one process of each kind is restarted.
	"kills": {
		{0.08, "kill the writing store", func(r *Run) { r.killLeader() }},
		{0.20, "kill a worker, back under a new identity", func(r *Run) { r.replaceWorker(1, false) }},
		{0.32, "kill a registry, back after 3 s", func(r *Run) { r.restart(r.ControlMachines[1].Registry, syscall.SIGKILL, 3*time.Second) }},
		{0.42, "drain a worker and replace it", func(r *Run) { r.replaceWorker(2, true) }},
		{0.52, "change the configuration", func(r *Run) { r.applyChange() }},
		{0.60, "kill a proxy, back after 2 s", func(r *Run) { r.restartProxy(3, syscall.SIGKILL, 2*time.Second) }},
		{0.70, "freeze a proxy for 3 s", func(r *Run) { r.pauseProxy(4, 3*time.Second) }},
		{0.80, "roll a proxy politely", func(r *Run) { r.restartProxy(5, syscall.SIGTERM, 0) }},
		{0.88, "roll a core machine politely", func(r *Run) {
			r.restart(r.ControlMachines[2].Registry, syscall.SIGTERM, 0)
			r.restart(r.ControlMachines[2].Store, syscall.SIGTERM, 0)
		}},
	},
	// A good, a failing and a slow change, while a control plane process is killed and
	// a proxy is restarted.
	"trials": {
		{0.08, "propose a good change; kill the writing store meanwhile", func(r *Run) { r.runTrial("promoted", standin.WorkerBehavior{}, func() { r.killLeader() }) }},
		{0.38, "propose a failing change; roll a proxy meanwhile", func(r *Run) {
			r.runTrial("held-back", standin.WorkerBehavior{Fail: 0.15}, func() { r.restartProxy(5, syscall.SIGTERM, 0) })
		}},
		{0.68, "propose a slow change", func(r *Run) { r.runTrial("held-back", standin.WorkerBehavior{Took: 4}, func() {}) }},
	},
	// Every process is restarted from an earlier version to the current one, then some
	// of them back. Needs --old.
	"versions": {
		{0.05, "roll the first core machine and half of the nodes to this version", func(r *Run) { r.switchVersion(true, 0, 1, 0, len(r.Nodes)/2) }},
		{0.35, "a change while versions are mixed", func(r *Run) { r.applyChange() }},
		{0.40, "roll the rest to this version", func(r *Run) { r.switchVersion(true, 1, 3, len(r.Nodes)/2, len(r.Nodes)) }},
		{0.75, "roll one core machine and some nodes back", func(r *Run) { r.switchVersion(false, 2, 3, 0, 3) }},
		{0.92, "a change while versions are mixed again", func(r *Run) { r.applyChange() }},
	},
	// One fault after another, the last one shortly before the end.
	"day": {
		{0.04, "garbling and losing workers", func(r *Run) { r.setWorkerFaults(standin.WorkerBehavior{Garble: 0.3, Lose: 0.3}) }},
		{0.12, "they are well again", func(r *Run) { r.setWorkerFaults(standin.WorkerBehavior{}) }},
		{0.16, "kill the writing store", func(r *Run) { r.killLeader() }},
		{0.24, "freeze the writing store for 4 s", func(r *Run) { r.pauseLeader(4 * time.Second) }},
		{0.32, "kill four nodes and their workers at once, back after 3 s", func(r *Run) { r.killNodes(4, 3*time.Second) }},
		{0.42, "wipe the disk of a store", func(r *Run) { r.wipeStore(1) }},
		{0.52, "two changes at once, and a broken one", func(r *Run) { r.changeConcurrently() }},
		{0.56, "replace a worker", func(r *Run) { r.replaceWorker(2, false) }},
		{0.62, "kill all three core machines, back at once", func(r *Run) { r.killControlPlane() }},
		{0.74, "roll every core machine", func(r *Run) {
			for _, c := range r.ControlMachines {
				r.restart(c.Registry, syscall.SIGTERM, 0)
				r.restart(c.Store, syscall.SIGTERM, 0)
				sleep(2 * time.Second)
			}
		}},
		{0.84, "roll three proxies", func(r *Run) {
			for i := 6; i < 9; i++ {
				r.restartProxy(i, syscall.SIGTERM, 0)
			}
		}},
		{0.96, "one more fault at the end: a registry is killed", func(r *Run) { r.restart(r.ControlMachines[0].Registry, syscall.SIGKILL, time.Second) }},
	},
}

// RunPlan runs the steps of a plan at their times and returns when the duration is over.
func (r *Run) RunPlan(plan string, duration time.Duration) {
	begin := time.Now()
	if plan == "seeded" {
		r.runSeeded(begin, duration)
	}
	for _, step := range Plans[plan] {
		if wait := time.Duration(step.fraction*float64(duration)) - time.Since(begin); wait > 0 {
			sleep(wait)
		}
		r.Log("%s", step.description)
		step.run(r)
	}
	if wait := duration - time.Since(begin); wait > 0 {
		sleep(wait)
	}
}

// killLeader kills the leading store and starts it again after 3 s.
func (r *Run) killLeader() {
	for _, c := range r.ControlMachines {
		if code, got := r.Get("GET", c.Host+":7004", "/puffin/ready", ""); code == 200 && got["role"] == "write" {
			c.Store.Stop(syscall.SIGKILL, time.Second)
			sleep(3 * time.Second)
			_ = c.Store.Start()
			took, ok := r.WaitFor(15*time.Second, func() bool {
				code, _ := r.Get("GET", c.Host+":7004", "/puffin/ready", "")
				return code == 200
			})
			r.Log("  %s is ready again %.2f s after its start: %v", c.Store.Name, took.Seconds(), ok)
			return
		}
	}
}

// restart ends a process with a signal and starts it again after the downtime.
func (r *Run) restart(p *Process, signal syscall.Signal, downtime time.Duration) {
	code, took := p.Stop(signal, 25*time.Second)
	if signal == syscall.SIGTERM {
		r.Log("  %s ended with %d after %.2f s", p.Name, code, took.Seconds())
	}
	sleep(downtime)
	_ = p.Start()
}

// restartProxy restarts the proxy of a node and waits until it is ready. Unless it was a
// graceful shutdown, requests at the proxy meanwhile may be lost.
func (r *Run) restartProxy(i int, signal syscall.Signal, downtime time.Duration) {
	n := r.Nodes[i%len(r.Nodes)]
	begin := time.Now()
	r.restart(n.Proxy, signal, downtime)
	took, ok := r.WaitFor(15*time.Second, func() bool {
		code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", "")
		return code == 200
	})
	if signal != syscall.SIGTERM {
		r.Observer.Disconnected(n.Host+":8000", begin, time.Now())
	}
	r.Log("  %s is ready %.2f s after its start: %v", n.Proxy.Name, took.Seconds(), ok)
}

// pauseProxy suspends a proxy process for a time.
func (r *Run) pauseProxy(i int, duration time.Duration) {
	n := r.Nodes[i%len(r.Nodes)]
	n.Proxy.Signal(syscall.SIGSTOP)
	sleep(duration)
	n.Proxy.Signal(syscall.SIGCONT)
}

// replaceWorker ends a worker, with or without draining, and starts a new one at its
// address.
func (r *Run) replaceWorker(i int, drain bool) {
	n := r.Nodes[i%len(r.Nodes)]
	n.mu.Lock()
	w := n.Worker
	n.mu.Unlock()
	if drain {
		w.Leave("draining")
		sleep(2500 * time.Millisecond)
		w.Leave("gone")
	}
	w.Kill()
	if !drain {
		sleep(time.Second)
	}
	if err := r.StartWorker(n); err != nil {
		r.Log("  worker did not start: %v", err)
	}
}

// applyChange applies the same document as a new version through one of the nodes.
func (r *Run) applyChange() {
	_, got := r.Get("GET", r.Nodes[0].Host+":7003", "/puffin/config", "")
	v, _ := got["version"].(float64)
	r.Log("  version %d applied: %v", int(v)+1, r.Apply(r.Nodes[7%len(r.Nodes)].Host+":7003", uint64(v), r.Shape.Config))
}

// switchVersion gracefully restarts some control plane machines and nodes with the current
// version or with the earlier one.
func (r *Run) switchVersion(toNew bool, firstMachine, endMachine, firstNode, endNode int) {
	for _, c := range r.ControlMachines[firstMachine:endMachine] {
		for _, p := range []*Process{c.Registry, c.Store} {
			p.runsNewVersion = toNew
			r.restart(p, syscall.SIGTERM, 0)
		}
		sleep(2 * time.Second)
	}
	for i := firstNode; i < endNode; i++ {
		n := r.Nodes[i]
		n.Proxy.runsNewVersion = toNew
		r.restart(n.Proxy, syscall.SIGTERM, 0)
		r.WaitFor(10*time.Second, func() bool {
			code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", "")
			return code == 200
		})
	}
}
