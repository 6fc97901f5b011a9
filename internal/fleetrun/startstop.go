package fleetrun

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Start starts all processes, applies the first configuration and waits until every node
// is ready and knows every worker.
func (r *Run) Start() error {
	r.Log("starting 3 core machines and %d nodes", len(r.Nodes))
	for _, c := range r.ControlMachines {
		if err := c.Store.Start(); err != nil {
			return err
		}
		if err := c.Registry.Start(); err != nil {
			return err
		}
	}
	for _, n := range r.Nodes {
		if err := n.Proxy.Start(); err != nil {
			return err
		}
		if err := r.StartWorker(n); err != nil {
			return err
		}
	}
	if _, ok := r.WaitFor(20*time.Second, func() bool { return r.Apply(r.Nodes[0].Host+":7003", 0, r.Shape.Config) || r.configVersion > 0 }); !ok {
		return fault.New(fault.Unknown, "the first configuration was not taken in time")
	}
	took, ok := r.WaitFor(20*time.Second, r.Converged)
	if !ok {
		return fault.New(fault.Unknown, "not every node became ready in time")
	}
	r.Log("all ready %.2f s after the first configuration", took.Seconds())
	return nil
}

// Apply sends a document and records the acknowledged version.
func (r *Run) Apply(address string, baseVersion uint64, document string) bool {
	code, got := r.Get("PUT", address, fmt.Sprintf("/puffin/config?based_on=%d&emergency=true", baseVersion), document)
	v, _ := got["version"].(float64)
	if code == 200 {
		r.Observer.VersionAcked(uint64(v))
	}
	if code == 200 || code == 409 {
		r.configVersion = uint64(v)
	}
	return code == 200
}

// Converged returns whether every node is ready and knows every worker.
func (r *Run) Converged() bool {
	for _, n := range r.Nodes {
		if code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", ""); code != 200 {
			return false
		}
		_, status := r.Get("GET", n.Host+":7003", "/puffin/own", "")
		if entries, _ := status["entries"].(float64); int(entries) != len(r.Nodes) {
			return false
		}
	}
	return true
}

// IngressAddrs returns the addresses at which the proxies take requests of callers.
func (r *Run) IngressAddrs() []string {
	var out []string
	for _, n := range r.Nodes {
		out = append(out, n.Host+":8000")
	}
	return out
}

// APIAddrs returns the addresses of the HTTP API of all nodes.
func (r *Run) APIAddrs() []string {
	var out []string
	for _, c := range r.ControlMachines {
		out = append(out, c.Host+":7003")
	}
	for _, n := range r.Nodes {
		out = append(out, n.Host+":7003")
	}
	return out
}

// Stop shuts down all processes gracefully, proxies first, and returns a line for each
// that did not exit with code 0.
func (r *Run) Stop() []string {
	var failures []string
	stopAll := func(processes []*Process) {
		tasks := task.New(r.tasks.Context())
		results := make(chan string, len(processes))
		for _, p := range processes {
			tasks.Go("end-process", func(context.Context) {
				code, took := p.Stop(syscall.SIGTERM, 25*time.Second)
				if code != 0 {
					results <- fmt.Sprintf("%s ended with %d after %v", p.Name, code, took.Round(time.Millisecond))
				} else {
					results <- ""
				}
			})
		}
		for range processes {
			if s := <-results; s != "" {
				failures = append(failures, s)
			}
		}
		tasks.Stop()
	}
	var proxies, registries, stores []*Process
	for _, n := range r.Nodes {
		proxies = append(proxies, n.Proxy)
	}
	for _, c := range r.ControlMachines {
		registries, stores = append(registries, c.Registry), append(stores, c.Store)
	}
	stopAll(proxies)
	for _, n := range r.Nodes {
		if n.Worker != nil {
			n.Worker.Kill()
		}
	}
	stopAll(registries)
	stopAll(stores)
	return failures
}
