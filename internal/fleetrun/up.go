package fleetrun

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"puffincrank/internal/fault"
	"puffincrank/internal/task"
)

// Up starts everything, puts the first configuration in force and waits until
// every node is ready and knows every worker.
func (r *Run) Up() error {
	r.Mark("starting 3 core machines and %d nodes", len(r.Nodes))
	for _, c := range r.Cores {
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
	if _, ok := r.Until(20*time.Second, func() bool { return r.Apply(r.Nodes[0].Host+":7003", 0, r.S.Doc) || r.version > 0 }); !ok {
		return fault.New(fault.Unknown, "the first configuration was not taken in time")
	}
	took, ok := r.Until(20*time.Second, r.Whole)
	if !ok {
		return fault.New(fault.Unknown, "not every node became ready in time")
	}
	r.Mark("all ready %.2f s after the first configuration", took.Seconds())
	return nil
}

// Apply sends a document and notes the acknowledged version.
func (r *Run) Apply(at string, base uint64, doc string) bool {
	code, got := r.Get("PUT", at, fmt.Sprintf("/puffin/config?based_on=%d&emergency=true", base), doc)
	v, _ := got["version"].(float64)
	if code == 200 {
		r.Obs.Acked(uint64(v))
	}
	if code == 200 || code == 409 {
		r.version = uint64(v)
	}
	return code == 200
}

// Whole tells that every node is ready and knows every worker.
func (r *Run) Whole() bool {
	for _, n := range r.Nodes {
		if code, _ := r.Get("GET", n.Host+":7003", "/puffin/ready", ""); code != 200 {
			return false
		}
		_, own := r.Get("GET", n.Host+":7003", "/puffin/own", "")
		if live, _ := own["entries"].(float64); int(live) != len(r.Nodes) {
			return false
		}
	}
	return true
}

// Fronts lists the traffic addresses.
func (r *Run) Fronts() []string {
	var out []string
	for _, n := range r.Nodes {
		out = append(out, n.Host+":8000")
	}
	return out
}

// Outers lists the outer addresses of all nodes.
func (r *Run) Outers() []string {
	var out []string
	for _, c := range r.Cores {
		out = append(out, c.Host+":7003")
	}
	for _, n := range r.Nodes {
		out = append(out, n.Host+":7003")
	}
	return out
}

// Down stops everything politely, proxies first, and tells who did not end
// with code 0.
func (r *Run) Down() []string {
	var bad []string
	end := func(all []*Proc) {
		g := task.New(r.g.Context())
		results := make(chan string, len(all))
		for _, p := range all {
			g.Go("end-process", func(context.Context) {
				code, took := p.End(syscall.SIGTERM, 25*time.Second)
				if code != 0 {
					results <- fmt.Sprintf("%s ended with %d after %v", p.Name, code, took.Round(time.Millisecond))
				} else {
					results <- ""
				}
			})
		}
		for range all {
			if s := <-results; s != "" {
				bad = append(bad, s)
			}
		}
		g.Stop()
	}
	var proxies, regs, stores []*Proc
	for _, n := range r.Nodes {
		proxies = append(proxies, n.Proxy)
	}
	for _, c := range r.Cores {
		regs, stores = append(regs, c.Registry), append(stores, c.Store)
	}
	end(proxies)
	for _, n := range r.Nodes {
		if n.Worker != nil {
			n.Worker.Kill()
		}
	}
	end(regs)
	end(stores)
	return bad
}
