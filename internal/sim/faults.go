package sim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/standin"
)

// KillControlMachine kills both processes of a control-plane machine at once. With losePower its disk
// also loses the unsynced bytes.
func (f *Fleet) KillControlMachine(c *ControlMachine, losePower bool) {
	f.Net.Kill(c.Host)
	c.Disk.HangSyncs("", false)
	f.Net.PauseProcess("store-"+c.Host, false)
	f.Net.PauseProcess("core-"+c.Host, false)
	store, registry := f.controlProcessesOf(c)
	if store != nil {
		store.Kill()
	}
	if registry != nil {
		registry.Kill()
	}
	f.mu.Lock()
	c.Store, c.Registry = nil, nil
	f.mu.Unlock()
	if losePower {
		c.Disk.LosePower()
	}
}

// RestartControlMachine restarts both processes of a control-plane machine.
func (f *Fleet) RestartControlMachine(c *ControlMachine) {
	f.StartStore(c)
	f.StartRegistry(c)
}

// KillNode kills a node's proxy at once; its worker keeps running.
func (f *Fleet) KillNode(n *Node) {
	f.Net.PauseProcess("node-"+n.Host, false)
	proxy, _ := f.processesOf(n)
	if proxy != nil {
		proxy.Kill()
	}
	f.mu.Lock()
	n.Proxy = nil
	f.mu.Unlock()
}

// KillWorker kills a node's worker at once.
func (f *Fleet) KillWorker(n *Node) {
	_, worker := f.processesOf(n)
	if worker != nil {
		worker.Kill()
	}
	f.mu.Lock()
	n.Worker = nil
	f.mu.Unlock()
}

// Leader returns the control-plane machine whose store is the leader, or nil if none
// reports that role.
func (f *Fleet) Leader() *ControlMachine {
	for _, c := range f.ControlMachines {
		if c.Store == nil {
			continue
		}
		if code, status := f.Get(c.Host+":7004", "/puffin/ready"); code == 200 && status["role"] == "write" {
			return c
		}
	}
	return nil
}

// hosts lists the hosts of all machines in the fleet.
func (f *Fleet) hosts() []string {
	var hosts []string
	for _, c := range f.controlMachines() {
		hosts = append(hosts, c.Host)
	}
	for _, n := range f.Nodes {
		hosts = append(hosts, n.Host)
	}
	return hosts
}

// cutZone blocks or unblocks all traffic between the machines of a zone and those of the
// other zones.
func (f *Fleet) cutZone(zone string, on bool) {
	zoneOf := map[string]string{}
	for _, c := range f.ControlMachines {
		zoneOf[c.Host] = c.Zone
	}
	for _, n := range f.Nodes {
		zoneOf[n.Host] = n.Zone
	}
	for a, zoneA := range zoneOf {
		for b, zoneB := range zoneOf {
			if zoneA == zone && zoneB != zone {
				f.Net.Cut(a, b, on)
				f.Net.Cut(b, a, on)
			}
		}
	}
}

// Skew shifts the wall clock of a node.
func (n *Node) Skew(offset time.Duration) { n.skew.Store(int64(offset)) }

// Skew shifts the wall clock of a control-plane machine.
func (c *ControlMachine) Skew(offset time.Duration) { c.skew.Store(int64(offset)) }

// Load runs callers in the background. The returned function waits for their end.
func (f *Fleet) Load(lines []standin.CallKind, duration time.Duration) func() {
	f.Net.SetZone("10.0.9.8", "outside")
	callers := standin.NewCallers(f.env("callers", "10.0.9.8", "outside", new(atomic.Int64)), f.Ingresses(), f.Observer, 15*time.Second)
	if f.PollReadiness {
		callers.Skip = f.poll()
	}
	done := make(chan struct{})
	f.g.Go("load", func(context.Context) {
		callers.Run(lines, duration)
		close(done)
	})
	return func() { <-done }
}

// poll checks the readiness of every machine each second, as a platform's health checks do.
// The returned function reports whether an address was unready at its last check.
func (f *Fleet) poll() func(string) bool {
	var unready sync.Map
	f.g.Every("platform", time.Second, func(context.Context) {
		for _, n := range f.Nodes {
			f.g.Go("poll-ready", func(context.Context) {
				code, _ := f.Get(n.Host+":7003", "/puffin/ready")
				unready.Store(n.Host+":8000", code != 200)
				unready.Store(n.Host+":7003", code != 200)
			})
		}
		for _, c := range f.ControlMachines {
			f.g.Go("poll-ready", func(context.Context) {
				code, _ := f.Get(c.Host+":7003", "/puffin/ready")
				unready.Store(c.Host+":7003", code != 200)
			})
		}
	})
	return func(ingress string) bool {
		notReady, _ := unready.Load(ingress)
		return notReady == true
	}
}

// checkModelSteps fails the test for each step of a store that the model does not allow.
func (f *Fleet) checkModelSteps() {
	for _, violation := range f.Steps.Violations() {
		f.T.Errorf("a store took a step that the model does not allow: %s", violation)
	}
}

// Stop kills all processes, checks the stores' steps and ends the background tasks.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		f.KillWorker(n)
		f.KillNode(n)
	}
	for _, c := range f.ControlMachines {
		f.KillControlMachine(c, false)
	}
	f.checkModelSteps()
	f.client.CloseIdleConnections()
	f.g.Stop()
	// net/http lingers for half a second on connections that it closes early.
	Wait(time.Second)
}

// CheckInvariants fails the test if the observer counted a violation of an invariant, and logs the
// outcomes of the calls.
func (f *Fleet) CheckInvariants() {
	f.T.Helper()
	violations, notes := f.Observer.Violations()
	for rule, n := range violations {
		if n > 0 {
			f.T.Errorf("%d × %s", n, rule)
		}
	}
	for _, n := range notes {
		f.T.Log(n)
	}
	f.T.Logf("calls: %v", f.Observer.Counts())
	for reason, n := range f.Observer.Reasons() {
		f.T.Logf("%5d × %s", n, reason)
	}
}
