package sim

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"puffincrank/internal/standin"
)

// KillCore ends both programs of a core machine at once; with power the
// unsynced bytes go too.
func (f *Fleet) KillCore(c *Core, power bool) {
	f.Net.Kill(c.Host)
	c.Disk.Hang("", false)
	f.Net.Freeze("store-"+c.Host, false)
	f.Net.Freeze("core-"+c.Host, false)
	s, r := f.runs(c)
	if s != nil {
		s.Kill()
	}
	if r != nil {
		r.Kill()
	}
	f.mu.Lock()
	c.Store, c.Registry = nil, nil
	f.mu.Unlock()
	if power {
		c.Disk.Power()
	}
}

// BackCore starts a core machine again.
func (f *Fleet) BackCore(c *Core) {
	f.StartStore(c)
	f.StartRegistry(c)
}

// KillNode ends a node's proxy at once; its worker lives on.
func (f *Fleet) KillNode(n *Node) {
	f.Net.Freeze("node-"+n.Host, false)
	x, _ := f.now(n)
	if x != nil {
		x.Kill()
	}
	f.mu.Lock()
	n.Proxy = nil
	f.mu.Unlock()
}

// KillWorker ends a worker at once.
func (f *Fleet) KillWorker(n *Node) {
	_, w := f.now(n)
	if w != nil {
		w.Kill()
	}
	f.mu.Lock()
	n.Worker = nil
	f.mu.Unlock()
}

// Writer finds the core machine whose store writes.
func (f *Fleet) Writer() *Core {
	for _, c := range f.Cores {
		if c.Store == nil {
			continue
		}
		if code, got := f.Get(c.Host+":7004", "/puffin/ready"); code == 200 && got["role"] == "write" {
			return c
		}
	}
	return nil
}

// hosts lists all machines of the fleet.
func (f *Fleet) hosts() []string {
	var out []string
	for _, c := range f.cores() {
		out = append(out, c.Host)
	}
	for _, n := range f.Nodes {
		out = append(out, n.Host)
	}
	return out
}

// cutArea cuts all machines of an area off from those of the others.
func (f *Fleet) cutArea(area string, on bool) {
	where := map[string]string{}
	for _, c := range f.Cores {
		where[c.Host] = c.Area
	}
	for _, n := range f.Nodes {
		where[n.Host] = n.Area
	}
	for a, x := range where {
		for b, y := range where {
			if x == area && y != area {
				f.Net.Cut(a, b, on)
				f.Net.Cut(b, a, on)
			}
		}
	}
}

// Skew jumps the wall clock of a machine.
func (n *Node) Skew(d time.Duration) { n.skew.Store(int64(d)) }

// Skew jumps the wall clock of a core machine.
func (c *Core) Skew(d time.Duration) { c.skew.Store(int64(d)) }

// Load runs callers in the background until the returned function is called,
// which waits for their end.
func (f *Fleet) Load(lines []standin.Line, long time.Duration) func() {
	f.Net.Place("10.0.9.8", "outside")
	c := standin.NewCallers(f.env("callers", "10.0.9.8", "outside", new(atomic.Int64)), f.Fronts(), f.Obs, 15*time.Second)
	if f.Polled {
		c.Skip = f.poll()
	}
	over := make(chan struct{})
	f.g.Go("load", func(context.Context) {
		c.Run(lines, long)
		close(over)
	})
	return func() { <-over }
}

// poll looks at every node's readiness each second, as the platform does.
func (f *Fleet) poll() func(string) bool {
	var away sync.Map
	f.g.Every("platform", time.Second, func(context.Context) {
		for _, n := range f.Nodes {
			f.g.Go("poll-ready", func(context.Context) {
				code, _ := f.Get(n.Host+":7003", "/puffin/ready")
				away.Store(n.Host+":8000", code != 200)
				away.Store(n.Host+":7003", code != 200)
			})
		}
		for _, c := range f.Cores {
			f.g.Go("poll-ready", func(context.Context) {
				code, _ := f.Get(c.Host+":7003", "/puffin/ready")
				away.Store(c.Host+":7003", code != 200)
			})
		}
	})
	return func(front string) bool {
		off, _ := away.Load(front)
		return off == true
	}
}

// checkSteps fails the test on any step of a store that the model does not allow.
func (f *Fleet) checkSteps() {
	for _, fault := range f.Steps.Faults() {
		f.T.Errorf("a step that the model does not allow: %s", fault)
	}
}

// Stop ends everything at once.
func (f *Fleet) Stop() {
	for _, n := range f.Nodes {
		f.KillWorker(n)
		f.KillNode(n)
	}
	for _, c := range f.Cores {
		f.KillCore(c, false)
	}
	f.checkSteps()
	f.way.CloseIdleConnections()
	f.g.Stop()
	// net/http lingers for half a second on connections that it cut short.
	Wait(time.Second)
}

// Judge fails the test on any count of what must never happen.
func (f *Fleet) Judge() {
	f.T.Helper()
	bad, notes := f.Obs.Verdict()
	for k, n := range bad {
		if n > 0 {
			f.T.Errorf("%d × %s", n, k)
		}
	}
	for _, n := range notes {
		f.T.Log(n)
	}
	f.T.Logf("calls: %v", f.Obs.Counts())
	for why, n := range f.Obs.Reasons() {
		f.T.Logf("%5d × %s", n, why)
	}
}
