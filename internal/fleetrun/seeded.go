package fleetrun

import (
	"math/rand/v2"
	"syscall"
	"time"

	"puffincrank/internal/standin"
)

// shortPlan is the plan that CI runs: one fault of each kind in well under a minute.
var shortPlan = []step{
	{0.10, "kill a proxy, back after 1 s", func(r *Run) { r.restartProxy(3, syscall.SIGKILL, time.Second) }},
	{0.24, "freeze a proxy for 3 s while its worker leaves", func(r *Run) { r.pauseProxyWhileWorkerLeaves(4, 3*time.Second) }},
	{0.42, "roll a proxy", func(r *Run) { r.restartProxy(5, syscall.SIGTERM, 0) }},
	{0.52, "wipe the disk of a store", func(r *Run) { r.wipeStore(1) }},
	{0.66, "roll a core machine", func(r *Run) { r.restartControlMachine(2) }},
	{0.82, "two changes at once, and a broken one", func(r *Run) { r.changeConcurrently() }},
}

// seededFaults are the faults that the plan "seeded" draws from.
var seededFaults = []struct {
	description string
	run         func(r *Run, rnd *rand.Rand)
}{
	{"kill the writing store", func(r *Run, _ *rand.Rand) { r.killLeader() }},
	{"freeze the writing store", func(r *Run, rnd *rand.Rand) { r.pauseLeader(randomMillis(rnd, 500, 4000)) }},
	{"freeze a registry", func(r *Run, rnd *rand.Rand) {
		c := r.ControlMachines[rnd.IntN(3)]
		c.Registry.Signal(syscall.SIGSTOP)
		sleep(randomMillis(rnd, 500, 4000))
		c.Registry.Signal(syscall.SIGCONT)
	}},
	{"kill a registry", func(r *Run, rnd *rand.Rand) {
		r.restart(r.ControlMachines[rnd.IntN(3)].Registry, syscall.SIGKILL, randomMillis(rnd, 100, 3000))
	}},
	{"wipe the disk of a store", func(r *Run, rnd *rand.Rand) { r.wipeStore(rnd.IntN(3)) }},
	{"kill all three core machines, back at once", func(r *Run, _ *rand.Rand) { r.killControlPlane() }},
	{"roll a core machine", func(r *Run, rnd *rand.Rand) { r.restartControlMachine(rnd.IntN(3)) }},
	{"kill a proxy", func(r *Run, rnd *rand.Rand) {
		r.restartProxy(rnd.IntN(12), syscall.SIGKILL, randomMillis(rnd, 100, 3000))
	}},
	{"kill some nodes with their workers", func(r *Run, rnd *rand.Rand) { r.killNodes(2+rnd.IntN(3), randomMillis(rnd, 100, 3000)) }},
	{"freeze a proxy", func(r *Run, rnd *rand.Rand) { r.pauseProxy(rnd.IntN(12), randomMillis(rnd, 500, 4000)) }},
	{"freeze a proxy while its worker leaves", func(r *Run, rnd *rand.Rand) {
		r.pauseProxyWhileWorkerLeaves(rnd.IntN(12), randomMillis(rnd, 500, 4000))
	}},
	{"roll a proxy", func(r *Run, rnd *rand.Rand) { r.restartProxy(rnd.IntN(12), syscall.SIGTERM, 0) }},
	{"replace a worker at once", func(r *Run, rnd *rand.Rand) { r.replaceWorker(rnd.IntN(12), false) }},
	{"replace a worker politely", func(r *Run, rnd *rand.Rand) { r.replaceWorker(rnd.IntN(12), true) }},
	{"garbling and losing workers", func(r *Run, rnd *rand.Rand) {
		r.setWorkerFaults(standin.WorkerBehavior{Garble: rnd.Float64() / 2, Lose: rnd.Float64() / 2})
		sleep(2 * time.Second)
		r.setWorkerFaults(standin.WorkerBehavior{})
	}},
	{"two changes at once, and a broken one", func(r *Run, _ *rand.Rand) { r.changeConcurrently() }},
}

// randomMillis draws a time of at least least and less than least+span milliseconds.
func randomMillis(rnd *rand.Rand, least, span int) time.Duration {
	return time.Duration(least+rnd.IntN(span)) * time.Millisecond
}

// runSeeded injects random faults until 12 s before the end; the cluster needs that time
// to recover.
func (r *Run) runSeeded(begin time.Time, duration time.Duration) {
	rnd := rand.New(rand.NewPCG(r.Seed, 8))
	for time.Since(begin) < duration-12*time.Second {
		sleep(randomMillis(rnd, 300, 1500))
		f := seededFaults[rnd.IntN(len(seededFaults))]
		r.Log("%s", f.description)
		f.run(r, rnd)
	}
}

// restartControlMachine gracefully restarts both programs of a control plane machine and
// waits until they are ready.
func (r *Run) restartControlMachine(i int) {
	machine := r.ControlMachines[i]
	r.restart(machine.Registry, syscall.SIGTERM, 0)
	r.restart(machine.Store, syscall.SIGTERM, 0)
	r.WaitFor(15*time.Second, func() bool {
		registryStatus, _ := r.Get("GET", machine.Host+":7003", "/puffin/ready", "")
		storeStatus, _ := r.Get("GET", machine.Host+":7004", "/puffin/ready", "")
		return registryStatus == 200 && storeStatus == 200
	})
}

// pauseProxyWhileWorkerLeaves suspends a proxy while its worker announces that it is
// draining: the message stays unread, next to requests that are being delivered.
func (r *Run) pauseProxyWhileWorkerLeaves(i int, duration time.Duration) {
	n := r.Nodes[i%len(r.Nodes)]
	begin := time.Now()
	n.Proxy.Signal(syscall.SIGSTOP)
	sleep(100 * time.Millisecond)
	n.Worker.Leave("draining")
	sleep(duration)
	n.Proxy.Signal(syscall.SIGCONT)
	sleep(2500 * time.Millisecond)
	r.Observer.Disconnected(n.Host+":8000", begin, time.Now())
	n.Worker.Leave("gone")
	n.Worker.Kill()
	if err := r.StartWorker(n); err != nil {
		r.failures = append(r.failures, "a worker did not start: "+err.Error())
	}
}
