package proxy

import (
	"sync"

	"puffincrank/internal/protocol"
)

// calls measures what runs of the own worker call in turn: for each path, how
// many calls one run makes to each service on the mean. Nothing in a call says
// whose it is; but only paths that owners found to be called from within are
// looked at, and each call is credited to the runs under way by what each path
// is known to call. That converges on the likeliest means, since what a run
// doesn't make is also made while it doesn't run.
type calls struct {
	mu    sync.Mutex
	inner map[string]bool      // paths called from within, as their owners say
	made  map[string]*made     // by path of the own worker's runs
	under map[string]*underWay // likewise
}

type made struct {
	runs float64
	to   map[string]float64 // service to calls
}

// underWay is the runs of one path that go on: how many, and by how much of
// that they count as repeats.
type underWay struct{ runs, parts float64 }

func newCalls() *calls {
	return &calls{inner: map[string]bool{}, made: map[string]*made{}, under: map[string]*underWay{}}
}

// marks notes that a path is called from within.
func (c *calls) marks(path string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inner[path] && len(c.inner) >= 1024 {
		clear(c.inner)
	}
	c.inner[path] = true
}

// begin and end bracket a run; part is by how much it counts as a repeat.
func (c *calls) begin(path string, part float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.under[path]
	if u == nil {
		u = &underWay{}
		c.under[path] = u
	}
	u.runs++
	u.parts += part
	m := c.made[path]
	if m == nil {
		// Paths of older configurations must not pile up.
		if len(c.made) >= 1024 {
			clear(c.made)
		}
		m = &made{to: map[string]float64{}}
		c.made[path] = m
	}
	// Old figures fade, so that a change shows after a while.
	if m.runs++; m.runs > 2*enough {
		m.runs /= 2
		for s := range m.to {
			m.to[s] /= 2
		}
	}
}

func (c *calls) end(path string, part float64, ran bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	// What the worker declined called nothing.
	if m := c.made[path]; m != nil && !ran {
		m.runs = max(m.runs-1, 0)
	}
	if u := c.under[path]; u != nil {
		u.parts -= part
		if u.runs--; u.runs < 1 {
			delete(c.under, path)
		}
	}
}

// rate is what a run of a path calls of a service, as far as it is known; one
// that was never seen to call it may still do so.
func (c *calls) rate(path, service string) float64 {
	m := c.made[path]
	if m == nil {
		return 0.5
	}
	return (m.to[service] + 0.5) / (m.runs + 1)
}

// meet takes a call to a service and tells by how much of it it is the call of
// a repeated run.
func (c *calls) meet(path, service string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.inner[path] {
		return 0
	}
	all, again := 0.0, 0.0
	for p, u := range c.under {
		r := c.rate(p, service)
		all, again = all+u.runs*r, again+u.parts*r
	}
	if all == 0 {
		return 0
	}
	// The shares are taken before any of them changes.
	share := map[string]float64{}
	for p, u := range c.under {
		share[p] = u.runs * c.rate(p, service) / all
	}
	for p, n := range share {
		if m := c.made[p]; m != nil {
			m.to[service] += n
		}
	}
	return min(max(again/all, 0), 1)
}

// expects is what one run of a path calls, by service; what is under one in a
// hundred is taken for an error of the measure.
func (c *calls) expects(path string, part float64) map[string]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m := c.made[path]
	if m == nil || part == 0 {
		return nil
	}
	var out map[string]float64
	for s, n := range m.to {
		if n >= m.runs/100 && n >= 1 {
			if out == nil {
				out = map[string]float64{}
			}
			out[s] = part * n / m.runs
		}
	}
	return out
}

// begun notes a run at the own worker. A repeat runs only if the calls that it
// will make have room among the repeats of the services they go to.
func (x *Proxy) begun(v *visit) (lacks string, ok bool) {
	if v.part = v.in.NestedRetryShare; v.in.Retry {
		v.part = 1
	}
	if v.in.NeedsRetryBudget && !x.again.Allow(v.in.Service) {
		return v.in.Service, false
	}
	calls := x.calls.expects(v.in.Route, v.part)
	// One that is only called by a repeat isn't refused, or the work of that one
	// would be lost; its room is held all the same, before that of others.
	if lacks, ok = x.again.ReserveNested(calls, !v.in.Retry); !ok {
		return lacks, false
	}
	v.runs, v.calls = true, calls
	x.calls.begin(v.in.Route, v.part)
	return "", true
}

// ended gives back what a run held.
func (x *Proxy) ended(v *visit) {
	if v.runs {
		x.calls.end(v.in.Route, v.part, v.back.Outcome != protocol.Refused)
		x.again.ReleaseNested(v.calls)
	}
}
